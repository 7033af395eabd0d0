"""Cost of one exchange between nodes: grpclib unary call or frame.

python -m bench.control_cost [--json] [--calls N] [--repeat N]

Client and server share one process and event loop, so CPU time is that of
both ends. Each exchange carries 50 bytes there and 200 bytes back. The third
kind is the control port as it ships, with its views and their conversion.
"""

import argparse
import asyncio
from collections.abc import Awaitable, Callable
import io
import statistics
import time

import grpclib.client
import grpclib.server
import msgspec
import result
import uvloop

from auburnrock import messages
from auburnrock.control import client as control_client
from auburnrock.control import control_grpc
from auburnrock.control import control_pb2
from auburnrock.control import server as control_server
from auburnrock.control import views
from auburnrock.shells import frames
from auburnrock.shells import logs

ADDRESS = "127.0.0.1"
SENT = b"k" * 50
RECEIVED = b"v" * 200
TIMEOUT_S = 30.0
WARM_UP_CALLS = 200
CALLS_AT_A_TIME = (1, 32)

Exchange = Callable[[], Awaitable[object]]


class Cost(msgspec.Struct):
    """Median over the repeats.

    Attributes:
      kind: kind of exchange.
      at_a_time: exchanges in progress at a time.
      per_second: exchanges a second.
      cpu_us: CPU time of both ends for one exchange, in microseconds.
      ratio: CPU time beside that of a frame.
    """

    kind: str
    at_a_time: int
    per_second: float
    cpu_us: float
    ratio: float = 1.0


class EchoFrames(frames.FrameHandler):
    """Answers each request at once."""

    def on_frame(
        self, connection: frames.FrameConnection, frame: messages.Frame
    ) -> None:
        connection.send(
            messages.Response(
                stream=frame.stream,
                request_id=frame.request_id,
                status=200,
                headers=[],
                body=RECEIVED,
                owner=1,
                epoch=1,
            )
        )

    def on_garbage(self, reason: str) -> None:
        raise RuntimeError(reason)


class BareControl(control_grpc.ControlBase):
    """Answers one call with a message made beforehand."""

    reply = control_pb2.ExplainReply(
        value=control_pb2.Explanation(owner_name=RECEIVED.decode())
    )

    async def Explain(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(self.reply)

    async def Status(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        raise AssertionError("nothing here calls this")

    Events = Drain = ConfirmEnd = Status


class Source(control_server.ControlSource):
    """A node that explains every key with 200 bytes."""

    def explain(self, service: str, key: str):
        view = views.Explanation(
            service=service,
            key=key,
            shard=1,
            why=views.ShardReason.HASHED,
            page_key="",
            owner_name=RECEIVED.decode(),
        )
        return result.Ok(view)

    def status(self):
        raise AssertionError("nothing here calls this")

    def recent_events(self):
        raise AssertionError("nothing here calls this")

    async def drain(self):
        raise AssertionError("nothing here calls this")

    async def confirm_end(self, incarnation: int):
        raise AssertionError("nothing here calls this")


async def measure(
    kind: str, exchange: Exchange, at_a_time: int, calls: int
) -> Cost:
    """Runs exchanges and times them."""

    async def caller(count: int) -> None:
        for _ in range(count):
            await exchange()

    await caller(WARM_UP_CALLS)
    cpu_s = time.process_time()
    began_s = time.perf_counter()
    share = calls // at_a_time
    await asyncio.gather(*(caller(share) for _ in range(at_a_time)))
    elapsed_s = time.perf_counter() - began_s
    cpu_s = time.process_time() - cpu_s
    done = share * at_a_time
    return Cost(kind, at_a_time, done / elapsed_s, cpu_s / done * 1e6)


async def with_frames(at_a_time: int, calls: int) -> Cost:
    """Costs of exchanges as nodes make them."""
    loop = asyncio.get_running_loop()
    handler = EchoFrames()
    server = await loop.create_server(
        lambda: frames.FrameConnection(handler), ADDRESS, 0
    )
    port = server.sockets[0].getsockname()[1]
    peers = frames.PeerConnections(handler)

    async def exchange() -> None:
        request = messages.Request(
            stream=0,
            request_id="r",
            service="s",
            method="GET",
            path="/",
            headers=[],
            body=SENT,
            key="k",
            shard=1,
            deadline_ms=1_000,
            idempotent=True,
            idempotency_key="",
            caller="",
        )
        await peers.exchange(ADDRESS, port, request, TIMEOUT_S)

    cost = await measure("frame", exchange, at_a_time, calls)
    peers.close()
    server.close()
    return cost


async def with_bare_grpclib(at_a_time: int, calls: int) -> Cost:
    """Costs of unary calls alone."""
    service = control_server.ControlServer(ADDRESS, 0, BareControl())
    await service.start()
    channel = grpclib.client.Channel(ADDRESS, service.port)
    stub = control_grpc.ControlStub(channel)
    request = control_pb2.ExplainRequest(service="s", key=SENT.decode())

    async def exchange() -> None:
        await stub.Explain(request)

    cost = await measure("grpclib unary", exchange, at_a_time, calls)
    channel.close()
    await service.stop()
    return cost


async def with_control_port(at_a_time: int, calls: int) -> Cost:
    """Costs of a control call as it ships."""
    event_log = logs.event_log("bench", io.StringIO())
    service = control_server.make_server(ADDRESS, 0, Source(), event_log)
    await service.start()
    client = control_client.connect(f"{ADDRESS}:{service.port}", TIMEOUT_S)

    async def exchange() -> None:
        answer = await client.explain("s", SENT.decode())
        assert answer.is_ok(), answer

    cost = await measure("control port", exchange, at_a_time, calls)
    client.close()
    await service.stop()
    return cost


async def run(calls: int, repeat: int) -> list[Cost]:
    """Measures all kinds, alternating, and takes the medians."""
    kinds = (with_frames, with_bare_grpclib, with_control_port)
    costs = []
    for at_a_time in CALLS_AT_A_TIME:
        rounds = [
            [await kind(at_a_time, calls) for kind in kinds]
            for _ in range(repeat)
        ]
        medians = [median(list(column)) for column in zip(*rounds, strict=True)]
        for cost in medians:
            cost.ratio = cost.cpu_us / medians[0].cpu_us
        costs += medians
    return costs


def median(costs: list[Cost]) -> Cost:
    """The medians of each figure of one kind."""
    return Cost(
        costs[0].kind,
        costs[0].at_a_time,
        statistics.median(cost.per_second for cost in costs),
        statistics.median(cost.cpu_us for cost in costs),
    )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--calls", type=int, default=6_400)
    parser.add_argument("--repeat", type=int, default=5)
    arguments = parser.parse_args()
    costs = uvloop.run(run(arguments.calls, arguments.repeat))
    if arguments.json:
        print(msgspec.json.encode(costs).decode())
        return
    print("kind           at a time  per second  CPU us  ratio")
    for cost in costs:
        print(
            f"{cost.kind:<14} {cost.at_a_time:>9} {cost.per_second:>11,.0f}"
            f" {cost.cpu_us:>7.0f} {cost.ratio:>6.1f}"
        )


if __name__ == "__main__":
    main()
