"""Converts between the views of control/views.py and control.proto messages.

Views and messages have the same field names, so protobuf's JSON mapping
converts between them. msgspec validates the types of a received message.
"""

from typing import TypeVar

from google.protobuf import json_format
from google.protobuf import message as protobuf_message
import msgspec

ViewT = TypeVar("ViewT")
MessageT = TypeVar("MessageT", bound=protobuf_message.Message)


def to_message(view: msgspec.Struct, message_type: type[MessageT]) -> MessageT:
    """Converts a view to its protobuf message.

    Raises:
      json_format.ParseError: the field names of view and message differ.
    """
    return json_format.ParseDict(msgspec.to_builtins(view), message_type())


def to_view(message: protobuf_message.Message, view_type: type[ViewT]) -> ViewT:
    """Converts a protobuf message to its view.

    Raises:
      msgspec.ValidationError: a field has a value that its type excludes.
    """
    fields = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    # Protobuf's JSON mapping encodes 64-bit integers as strings, which only
    # a lax conversion accepts.
    return msgspec.convert(fields, view_type, strict=False)
