"""Client of a node's control port; failed calls are returned, not raised."""

import asyncio
from typing import TypeVar

from google.protobuf import json_format
from google.protobuf import message as protobuf_message
import grpclib
import grpclib.client
import grpclib.exceptions
import msgspec
import result

from auburnrock import errors
from auburnrock.control import control_grpc
from auburnrock.control import control_pb2
from auburnrock.control import conversion
from auburnrock.control import views

TIMEOUT_S = 2.0
"""Default limit of one call of the control port, in seconds."""

ViewT = TypeVar("ViewT")

_CALL_ERRORS = (
    grpclib.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    protobuf_message.DecodeError,
    OSError,
    TimeoutError,
    AssertionError,
)


class ControlClient:
    """A client of one node's control port.

    Attributes:
      address: host:port of the node's control port.
      timeout_s: limit of one call, in seconds.
      channel: the gRPC connection, opened at the first call.
      stub: the gRPC methods on the connection.
    """

    def __init__(
        self, address: str, timeout_s: float, channel: grpclib.client.Channel
    ):
        self.address = address
        self.timeout_s = timeout_s
        self.channel = channel
        self.stub = control_grpc.ControlStub(channel)

    async def status(
        self, brief: bool = False
    ) -> result.Result[views.Status, errors.Failure]:
        """Returns the node's status and its view of the fleet.

        Args:
          brief: whether to omit the other members and the leaders, for
            callers that query many nodes.
        """
        request = control_pb2.StatusRequest(brief=brief)
        return await self._read(self.stub.Status, request, views.Status)

    async def explain(
        self, service: str, key: str
    ) -> result.Result[views.Explanation, errors.Failure]:
        """Returns the owner of a key and how it was determined."""
        request = control_pb2.ExplainRequest(service=service, key=key)
        return await self._read(self.stub.Explain, request, views.Explanation)

    async def events(
        self, since_wall_ms: int = 0
    ) -> result.Result[views.EventList, errors.Failure]:
        """Returns the node's events since a Unix time in milliseconds."""
        request = control_pb2.EventsRequest(since_wall_ms=since_wall_ms)
        return await self._read(self.stub.Events, request, views.EventList)

    async def drain(self) -> result.Result[views.Done, errors.Failure]:
        """Starts a planned stop of the node; a repeated call is harmless."""
        request = control_pb2.DrainRequest()
        return await self._change(self.stub.Drain, request)

    async def confirm_end(
        self, incarnation: int
    ) -> result.Result[views.Done, errors.Failure]:
        """Confirms that a node and its target ended; may be repeated.

        Args:
          incarnation: incarnation of the node that ended.
        """
        request = control_pb2.ConfirmEndRequest(incarnation=incarnation)
        return await self._change(self.stub.ConfirmEnd, request)

    def close(self) -> None:
        """Closes the connection."""
        self.channel.close()

    async def _read(
        self,
        method: grpclib.client.UnaryUnaryMethod,
        request: protobuf_message.Message,
        view_type: type[ViewT],
    ) -> result.Result[ViewT, errors.Failure]:
        kind = errors.ErrorKind.PEER_UNREACHABLE
        return await self._call(method, request, view_type, kind)

    async def _change(
        self,
        method: grpclib.client.UnaryUnaryMethod,
        request: protobuf_message.Message,
    ) -> result.Result[views.Done, errors.Failure]:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
        return await self._call(method, request, views.Done, kind)

    async def _call(
        self,
        method: grpclib.client.UnaryUnaryMethod,
        request: protobuf_message.Message,
        view_type: type[ViewT],
        error_kind: errors.ErrorKind,
    ) -> result.Result[ViewT, errors.Failure]:
        try:
            async with asyncio.timeout(self.timeout_s):
                reply = await method(request)
        except ConnectionRefusedError as error:
            unreachable = errors.ErrorKind.PEER_UNREACHABLE
            return self._failure(unreachable, f"connection refused: {error}")
        except _CALL_ERRORS as error:
            text = f"no answer: {type(error).__name__} {error}".rstrip()
            return self._failure(error_kind, text)
        return self._decode(reply, view_type, error_kind)

    def _decode(
        self,
        reply: protobuf_message.Message,
        view_type: type[ViewT],
        error_kind: errors.ErrorKind,
    ) -> result.Result[ViewT, errors.Failure]:
        try:
            match reply.WhichOneof("result"):
                case "value":
                    view = conversion.to_view(reply.value, view_type)
                    return result.Ok(view)
                case "failure":
                    failure = conversion.to_view(reply.failure, errors.Failure)
                    return result.Err(failure)
        except (msgspec.ValidationError, json_format.Error) as error:
            return self._failure(error_kind, f"unreadable answer: {error}")
        return self._failure(error_kind, "empty answer")

    def _failure(
        self, kind: errors.ErrorKind, text: str
    ) -> result.Result[ViewT, errors.Failure]:
        message = f"node at {self.address}, limit {self.timeout_s} s: {text}"
        return result.Err(errors.Failure(kind, message))


def connect(address: str, timeout_s: float = TIMEOUT_S) -> ControlClient:
    """Returns a client of the node at host:port.

    The client connects at its first call. This function must be called in a
    running event loop.
    """
    host, _, port = address.rpartition(":")
    channel = grpclib.client.Channel(host, int(port))
    return ControlClient(address, timeout_s, channel)
