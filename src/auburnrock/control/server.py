"""The port for operators: gRPC calls answered from the node's own state."""

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

Answer = result.Result[msgspec.Struct, errors.Failure]


class ControlSource(abc.ABC):
    """The node as seen by the control port. No method may block."""

    @abc.abstractmethod
    def status(self) -> views.Status:
        """This node and what it knows of the fleet."""

    @abc.abstractmethod
    def explain(
        self, service: str, key: str
    ) -> result.Result[views.Explanation, errors.Failure]:
        """Who owns a key and why; UNKNOWN_SERVICE if there is no service."""

    @abc.abstractmethod
    def recent_events(self) -> list[logs.Event]:
        """The recent events of this process, oldest first."""

    @abc.abstractmethod
    async def drain(self) -> result.Result[views.Done, errors.Failure]:
        """Begins a planned stop and returns; a repeat changes nothing."""

    @abc.abstractmethod
    async def confirm_end(
        self, incarnation: int
    ) -> result.Result[views.Done, errors.Failure]:
        """Takes the operator's word that a node and its target have ended.

        Args:
          incarnation: incarnation of a node other than this one; its keys are
            taken over without waiting for its lease or its witnesses.
        """


class ControlHandler(control_grpc.ControlBase):
    """Answers the calls of control.proto.

    Attributes:
      source: the node.
      event_log: where refused and failed calls are written.
    """

    def __init__(self, source: ControlSource, event_log: logs.EventLog):
        self.source = source
        self.event_log = event_log

    async def Status(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Answers with the node's status."""

        async def answer(request: control_pb2.StatusRequest) -> Answer:
            view = self.source.status()
            return result.Ok(_brief(view) if request.brief else view)

        await self._reply(stream, control_pb2.StatusReply, answer)

    async def Explain(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Answers who owns a key and why."""

        async def answer(request: control_pb2.ExplainRequest) -> Answer:
            return self.source.explain(request.service, request.key)

        await self._reply(stream, control_pb2.ExplainReply, answer)

    async def Events(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Answers with the recent events."""

        async def answer(request: control_pb2.EventsRequest) -> Answer:
            events = [
                _event_view(event)
                for event in self.source.recent_events()
                if event.wall_ms >= request.since_wall_ms
            ]
            return result.Ok(views.EventList(events))

        await self._reply(stream, control_pb2.EventsReply, answer)

    async def Drain(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Begins a planned stop."""

        async def answer(_request: control_pb2.DrainRequest) -> Answer:
            return await self.source.drain()

        await self._reply(stream, control_pb2.DoneReply, answer)

    async def ConfirmEnd(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Takes the operator's word that a node and its target ended."""

        async def answer(request: control_pb2.ConfirmEndRequest) -> Answer:
            return await self.source.confirm_end(request.incarnation)

        await self._reply(stream, control_pb2.DoneReply, answer)

    async def _reply(
        self,
        stream: grpclib.server.Stream,
        reply_type: type[protobuf_message.Message],
        answer: Callable[[protobuf_message.Message], Awaitable[Answer]],
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        try:
            reply = _reply_message(await answer(request), reply_type)
        except Exception as error:
            # The operator must get an answer whatever went wrong here.
            self.event_log.write("control_failed", error=repr(error))
            failure = errors.Failure(errors.ErrorKind.INTERNAL, repr(error))
            reply = _reply_message(result.Err(failure), reply_type)
        await stream.send_message(reply)


class ControlServer(aiomisc.Service):
    """Listens for the operators' tool.

    Attributes:
      address: IP number to listen on.
      port: TCP port to listen on; 0 picks one, which is then written here.
      handler: answers the calls.
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
        """Opens the port."""
        self.server = grpclib.server.Server([self.handler])
        # Bound here, as grpclib does not tell which port it was given.
        family = socket.AF_INET6 if ":" in self.address else socket.AF_INET
        listener = socket.create_server(
            (self.address, self.port), family=family
        )
        self.port = listener.getsockname()[1]
        await self.server.start(sock=listener)

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the port and cancels the calls in progress."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


def make_server(
    address: str, port: int, source: ControlSource, event_log: logs.EventLog
) -> ControlServer:
    """Makes the service of the control port; it listens once started."""
    return ControlServer(address, port, ControlHandler(source, event_log))


def _reply_message(
    answer: Answer, reply_type: type[protobuf_message.Message]
) -> protobuf_message.Message:
    reply = reply_type()
    if isinstance(answer, result.Err):
        failure = answer.err_value
        reply.failure.kind = failure.kind.value
        reply.failure.message = failure.message
        return reply
    value = conversion.to_message(answer.ok_value, type(reply.value))
    reply.value.CopyFrom(value)
    # Marks a value without any field set as present, too.
    reply.value.SetInParent()
    return reply


def _brief(view: views.Status) -> views.Status:
    """A status whose size does not grow with the fleet."""
    own = [m for m in view.members if m.incarnation == view.incarnation]
    return msgspec.structs.replace(view, members=own, leaders=[])


def _event_view(event: logs.Event) -> views.Event:
    fields = [views.Field(key, value) for key, value in event.fields]
    return views.Event(event.wall_ms, event.process, event.event, fields)
