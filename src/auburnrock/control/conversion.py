"""Between the views of control/views.py and the messages of control.proto.

Both have the same names, so protobuf's own JSON mapping carries one to the
other and msgspec checks the types on the way back.
"""

from typing import TypeVar

from google.protobuf import json_format
from google.protobuf import message as protobuf_message
import msgspec

ViewT = TypeVar("ViewT")
MessageT = TypeVar("MessageT", bound=protobuf_message.Message)


def to_message(view: msgspec.Struct, message_type: type[MessageT]) -> MessageT:
    """Makes the message of a view; raises ParseError if the names differ."""
    return json_format.ParseDict(msgspec.to_builtins(view), message_type())


def to_view(message: protobuf_message.Message, view_type: type[ViewT]) -> ViewT:
    """Makes the view of a message; raises msgspec.ValidationError."""
    fields = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    # Protobuf's JSON mapping writes 64-bit numbers as text.
    return msgspec.convert(fields, view_type, strict=False)
