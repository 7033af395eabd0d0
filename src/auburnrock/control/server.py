"""The control port: serves operators' gRPC calls from the node's state."""

import abc
from collections.abc import Awaitable, Callable
import socket

import aiomisc
from google.protobuf import message as protobuf_message
import grpclib.server
import msgspec
import result

from auburnrock import errors
from auburnrock.control import control_grpc
from auburnrock.control import control_pb2
from auburnrock.control import conversion
from auburnrock.control import views
from auburnrock.shells import logs

CallResult = result.Result[msgspec.Struct, errors.Failure]
"""The view that a control call returns, or the reason why it failed."""


class ControlSource(abc.ABC):
    """The interface of a node to the control port; no method may block."""

    @abc.abstractmethod
    def status(self) -> views.Status:
        """Returns the status of this node and its view of the fleet."""

    @abc.abstractmethod
    def explain(
        self, service: str, key: str
    ) -> result.Result[views.Explanation, errors.Failure]:
        """Returns the owner of a key and how it was determined.

        Fails with UNKNOWN_SERVICE if no such service is configured.
        """

    @abc.abstractmethod
    def recent_events(self) -> list[logs.Event]:
        """Returns the recent events of this process, oldest first."""

    @abc.abstractmethod
    async def drain(self) -> result.Result[views.Done, errors.Failure]:
        """Starts a planned stop without awaiting its end; is idempotent."""

    @abc.abstractmethod
    async def confirm_end(
        self, incarnation: int
    ) -> result.Result[views.Done, errors.Failure]:
        """Applies an operator's confirmation that a node and its target ended.

        Args:
          incarnation: incarnation of a node other than this one; its keys are
            reassigned without awaiting the end of its lease or its witnesses.
        """


class ControlHandler(control_grpc.ControlBase):
    """Implements the gRPC service of control.proto.

    Attributes:
      source: the node that the calls are about.
      event_log: log of the calls that raised an error.
    """

    def __init__(self, source: ControlSource, event_log: logs.EventLog):
        self.source = source
        self.event_log = event_log

    async def Status(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Replies with the node's status."""

        async def call(request: control_pb2.StatusRequest) -> CallResult:
            view = self.source.status()
            return result.Ok(_brief(view) if request.brief else view)

        await self._reply(stream, control_pb2.StatusReply, call)

    async def Explain(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Replies with the owner of a key and how it was determined."""

        async def call(request: control_pb2.ExplainRequest) -> CallResult:
            return self.source.explain(request.service, request.key)

        await self._reply(stream, control_pb2.ExplainReply, call)

    async def Events(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Replies with the recent events."""

        async def call(request: control_pb2.EventsRequest) -> CallResult:
            events = [
                _event_view(event)
                for event in self.source.recent_events()
                if event.wall_ms >= request.since_wall_ms
            ]
            return result.Ok(views.EventList(events))

        await self._reply(stream, control_pb2.EventsReply, call)

    async def Drain(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Starts a planned stop."""

        async def call(_request: control_pb2.DrainRequest) -> CallResult:
            return await self.source.drain()

        await self._reply(stream, control_pb2.DoneReply, call)

    async def ConfirmEnd(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Applies a confirmation that a node and its target ended."""

        async def call(request: control_pb2.ConfirmEndRequest) -> CallResult:
            return await self.source.confirm_end(request.incarnation)

        await self._reply(stream, control_pb2.DoneReply, call)

    async def _reply(
        self,
        stream: grpclib.server.Stream,
        reply_type: type[protobuf_message.Message],
        call: Callable[[protobuf_message.Message], Awaitable[CallResult]],
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        try:
            reply = _reply_message(await call(request), reply_type)
        except Exception as error:
            # Any error is reported to the operator: without a reply the call
            # would fail without a reason.
            self.event_log.write("control_failed", error=repr(error))
            failure = errors.Failure(errors.ErrorKind.INTERNAL, repr(error))
            reply = _reply_message(result.Err(failure), reply_type)
        await stream.send_message(reply)


class ControlServer(aiomisc.Service):
    """The gRPC server of the control port.

    Attributes:
      address: IP address to listen on.
      port: TCP port to listen on; 0 selects a free port, which replaces the 0
        once the server has started.
      handler: implementation of the gRPC service.
      server: the gRPC server; None until it has started.
    """

    def __init__(
        self, address: str, port: int, handler: control_grpc.ControlBase
    ):
        super().__init__()
        self.address = address
        self.port = port
        self.handler = handler
        self.server: grpclib.server.Server | None = None

    async def start(self) -> None:
        """Starts to accept connections."""
        self.server = grpclib.server.Server([self.handler])
        # The socket is bound here since grpclib does not expose the port that
        # the system assigned.
        family = socket.AF_INET6 if ":" in self.address else socket.AF_INET
        listener = socket.create_server(
            (self.address, self.port), family=family
        )
        self.port = listener.getsockname()[1]
        await self.server.start(sock=listener)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops accepting connections and cancels the calls in progress."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


def make_server(
    address: str, port: int, source: ControlSource, event_log: logs.EventLog
) -> ControlServer:
    """Returns the server of the control port, not yet started."""
    return ControlServer(address, port, ControlHandler(source, event_log))


def _reply_message(
    call_result: CallResult, reply_type: type[protobuf_message.Message]
) -> protobuf_message.Message:
    reply = reply_type()
    if isinstance(call_result, result.Err):
        failure = call_result.err_value
        reply.failure.kind = failure.kind.value
        reply.failure.message = failure.message
        return reply
    value = conversion.to_message(call_result.ok_value, type(reply.value))
    reply.value.CopyFrom(value)
    # A value whose fields all have their defaults must be marked as present.
    reply.value.SetInParent()
    return reply


def _brief(view: views.Status) -> views.Status:
    """Returns a status whose size does not depend on that of the fleet."""
    own = [m for m in view.members if m.incarnation == view.incarnation]
    return msgspec.structs.replace(view, members=own, leaders=[])


def _event_view(event: logs.Event) -> views.Event:
    fields = [views.Field(key, value) for key, value in event.fields]
    return views.Event(event.wall_ms, event.process, event.event, fields)
