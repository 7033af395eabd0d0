"""The port for other nodes' requests and pulls, and for the client library."""

import abc
import asyncio

import aiomisc

from auburnrock import errors
from auburnrock import messages
from auburnrock.shells import executor
from auburnrock.shells import frames
from auburnrock.shells import logs
from auburnrock.shells import quarantine_task
from auburnrock.shells import results_task
from auburnrock.shells import store_sync


class FiguresSource(abc.ABC):
    """Knows the load of this node's shards."""

    @abc.abstractmethod
    def answer(self, pull: messages.PullFigures) -> messages.Figures:
        """The figures for an assigner."""


class PeerHandler(frames.FrameHandler):
    """Runs the requests and answers the pulls that peers send.

    Attributes:
      executor: runs requests at the target.
      sync: owns the replica.
      results: knows what this node remembers of released shards.
      quarantine: is told of requests that crashed targets.
      event_log: where events go.
      figures: knows the load; set when the node is wired.
      running: task of each exchange in progress, by connection and stream.
    """

    def __init__(
        self,
        request_executor: executor.Executor,
        sync: store_sync.StoreSync,
        results: results_task.ResultsTask,
        quarantine: quarantine_task.QuarantineTask,
        event_log: logs.EventLog,
    ):
        self.executor = request_executor
        self.sync = sync
        self.results = results
        self.quarantine = quarantine
        self.event_log = event_log
        self.figures: FiguresSource | None = None
        self.running: dict[
            tuple[frames.FrameConnection, int], asyncio.Task
        ] = {}

    def on_frame(
        self, connection: frames.FrameConnection, frame: messages.Frame
    ) -> None:
        """Handles a request, a cancel or a pull."""
        match frame:
            case messages.Request():
                self._start(connection, frame)
            case messages.Cancel():
                task = self.running.get((connection, frame.stream))
                if task is not None:
                    task.cancel()
            case messages.Pull():
                replica = self.sync.view.replica
                connection.send(
                    replica.delta_after(frame.stream, frame.after_revision)
                )
            case messages.PullResults():
                connection.send(self.results.answer(frame))
            case messages.Suspects():
                self.quarantine.on_told(frame.data)
                connection.send(messages.Results(frame.stream, b""))
            case messages.PullFigures() if self.figures is not None:
                connection.send(self.figures.answer(frame))
            case _:
                self.on_garbage(f"unexpected frame {type(frame).__name__}")

    def on_garbage(self, reason: str) -> None:
        """Notes that a peer sent bytes that are no frame."""
        self.event_log.write("peer_garbage", reason=reason)

    def on_closed(self, connection: frames.FrameConnection) -> None:
        """Cancels what the ended connection had asked for."""
        for (owner, _), task in list(self.running.items()):
            if owner is connection:
                task.cancel()

    def _start(
        self, connection: frames.FrameConnection, request: messages.Request
    ) -> None:
        key = (connection, request.stream)
        task = asyncio.create_task(self._run(connection, request))
        self.running[key] = task
        task.add_done_callback(lambda _task: self.running.pop(key, None))

    async def _run(
        self, connection: frames.FrameConnection, request: messages.Request
    ) -> None:
        stream = request.stream
        try:
            answer = await self.executor.execute(request)
            answer.stream = stream
            connection.send(answer)
        except Exception as error:
            # The peer must get an answer whatever went wrong here.
            refusal = self.executor.refuse(
                request,
                errors.Failure(errors.ErrorKind.INTERNAL, repr(error)),
            )
            refusal.stream = stream
            connection.send(refusal)


class PeerServer(aiomisc.Service):
    """Listens for other nodes.

    Attributes:
      address: IP number to listen on.
      port: TCP port to listen on.
      handler: handles the frames.
      peers: this node's own connections, closed with the server.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: PeerHandler,
        peers: frames.PeerConnections,
    ):
        super().__init__()
        self.address = address
        self.port = port
        self.handler = handler
        self.peers = peers
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: frames.FrameConnection(self.handler),
            self.address,
            self.port,
            backlog=1024,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the port and the connections."""
        if self._server is not None:
            self._server.close()
        self.peers.close()
