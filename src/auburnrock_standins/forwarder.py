"""Forwards TCP and UDP between loopback ports, and cuts links on request.

Usage: python -m auburnrock_standins.forwarder --control_port=7900 \
  --pair=127.0.0.1:7901=127.0.0.1:7701 --pair=...

`POST /auburnrock/switches` at the control port with Cuts as JSON replaces all
cuts. A cut direction is a black hole: datagrams are lost; what TCP carries is
held and arrives once the link is back, as a retransmission would. A cut does
not stop a TCP connection from being accepted.
"""

import asyncio
import contextlib

from absl import app
from absl import flags
from aiohttp import web
import msgspec
import uvloop

from auburnrock_standins import serving

_CONTROL_PORT = flags.DEFINE_integer("control_port", 0, "port for switches")
_PAIRS = flags.DEFINE_multi_string("pair", [], "listen host:port=to host:port")

READ_BYTES = 65_536


class Address(msgspec.Struct, frozen=True):
    """A host and a port."""

    host: str
    port: int


class Pair(msgspec.Struct, frozen=True):
    """Where a link listens, for TCP and UDP, and where it leads."""

    listen: Address
    to: Address


class Cut(msgspec.Struct, forbid_unknown_fields=True):
    """Directions of a link that carry nothing.

    Attributes:
      pair: number of the link, from 0, in the order of the flags.
      forward: towards where it leads.
      backward: back to who connected.
      sender_port: if not 0, only datagrams of this port are lost, and TCP
        goes on; cuts one node off a link that others share.
    """

    pair: int
    forward: bool = True
    backward: bool = True
    sender_port: int = 0


class Cuts(msgspec.Struct, forbid_unknown_fields=True):
    """All cuts; a link that is not named carries both directions."""

    cuts: list[Cut] = []


def parse_address(text: str) -> Address:
    """Reads host:port; raises ValueError."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def parse_pair(text: str) -> Pair:
    """Reads listen=to; raises ValueError."""
    listen, _, to = text.partition("=")
    return Pair(parse_address(listen), parse_address(to))


class Direction:
    """One direction of a link; `is_open` is clear while it is cut."""

    def __init__(self):
        self.is_open = asyncio.Event()
        self.is_open.set()

    def set_cut(self, is_cut: bool) -> None:
        """Cuts or restores it."""
        if is_cut:
            self.is_open.clear()
        else:
            self.is_open.set()

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copies a stream, and its end, as long as the direction is open."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        await self.is_open.wait()
        with contextlib.suppress(OSError):
            writer.close()


class Link:
    """One pair with its two directions."""

    def __init__(self, pair: Pair):
        self.pair = pair
        self.server: asyncio.Server | None = None
        self.forward = Direction()
        self.backward = Direction()
        self.cut_senders: set[int] = set()

    async def start(self) -> None:
        """Begins to listen."""
        listen = self.pair.listen
        self.server = await asyncio.start_server(
            self.accept, listen.host, listen.port
        )
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramEntry(self), (listen.host, listen.port)
        )

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one TCP connection."""
        await self.forward.is_open.wait()
        to = self.pair.to
        try:
            far_reader, far_writer = await asyncio.open_connection(
                to.host, to.port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.forward.carry(reader, far_writer),
            self.backward.carry(far_reader, writer),
        )


class DatagramEntry(asyncio.DatagramProtocol):
    """Receives datagrams of all senders; one exit socket for each."""

    def __init__(self, link: Link):
        self.link = link
        self.exits: dict[tuple, asyncio.Future] = {}

    def connection_made(self, transport) -> None:
        """See asyncio."""
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """See asyncio."""
        if not self.link.forward.is_open.is_set():
            return
        if sender[1] in self.link.cut_senders:
            return
        if sender not in self.exits:
            self.exits[sender] = asyncio.ensure_future(self.open_exit(sender))
        self.exits[sender].add_done_callback(
            lambda opened: opened.result().sendto(data)
        )

    async def open_exit(self, sender: tuple) -> asyncio.DatagramTransport:
        """Makes the socket that speaks for a sender."""
        to = self.link.pair.to
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramExit(self, sender), remote_addr=(to.host, to.port)
        )
        return transport


class DatagramExit(asyncio.DatagramProtocol):
    """Sends the answers back to one sender."""

    def __init__(self, entry: DatagramEntry, sender: tuple):
        self.entry = entry
        self.sender = sender

    def datagram_received(self, data: bytes, far_end: tuple) -> None:
        """See asyncio."""
        if self.entry.link.backward.is_open.is_set():
            self.entry.transport.sendto(data, self.sender)


class Control:
    """Sets the cuts."""

    def __init__(self, links: list[Link]):
        self.links = links

    async def set(self, request: web.Request) -> web.Response:
        """Replaces all cuts."""
        message = await serving.read(request, Cuts)
        cuts = {cut.pair: cut for cut in message.cuts if not cut.sender_port}
        for number, link in enumerate(self.links):
            cut = cuts.get(number, Cut(number, False, False))
            link.forward.set_cut(cut.forward)
            link.backward.set_cut(cut.backward)
            link.cut_senders = {
                cut.sender_port
                for cut in message.cuts
                if cut.pair == number and cut.sender_port
            }
        return serving.answer(message)


async def serve(pairs: list[Pair], control_port: int) -> None:
    """Forwards until the process ends."""
    links = [Link(pair) for pair in pairs]
    for link in links:
        await link.start()
    application = web.Application()
    application.add_routes(
        [web.post(serving.SWITCHES_PATH, Control(links).set)]
    )
    await serving.start(application, "127.0.0.1", control_port)
    await asyncio.Event().wait()


def main(arguments: list[str]) -> None:
    """Starts the program; called by absl."""
    del arguments
    pairs = [parse_pair(text) for text in _PAIRS.value]
    uvloop.run(serve(pairs, _CONTROL_PORT.value))


if __name__ == "__main__":
    app.run(main)
