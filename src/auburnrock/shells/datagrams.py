"""The UDP socket for lease renewals, seals and hints."""

import abc
import asyncio

import msgspec

from auburnrock import messages
from auburnrock.shells import control_traffic

BIND_LIMIT_S = 2.0
BIND_RETRY_S = 0.02


class DatagramHandler(abc.ABC):
    """Receives datagrams."""

    @abc.abstractmethod
    def on_datagram(
        self, message: messages.Datagram, sender: tuple[str, int]
    ) -> None:
        """Handles one message; must not block."""

    @abc.abstractmethod
    def on_garbage(self, reason: str) -> None:
        """Notes that a datagram was no message."""


class DatagramSocket(asyncio.DatagramProtocol):
    """One UDP socket.

    Attributes:
      handler: receives messages.
      transport: the socket once it is open.
      traffic: counts what is sent and received.
    """

    def __init__(
        self,
        handler: DatagramHandler,
        traffic: control_traffic.ControlTraffic,
    ):
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None
        self.traffic = traffic

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the socket is open."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Called by asyncio with one datagram."""
        self.traffic.datagram_received(len(data))
        try:
            message = messages.decode_datagram(data)
        except msgspec.DecodeError as error:
            self.handler.on_garbage(str(error))
            return
        self.handler.on_datagram(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio when a send was refused, as by a dead peer."""

    def send(
        self, message: messages.Datagram, receiver: tuple[str, int]
    ) -> None:
        """Sends one message; it may be lost."""
        if self.transport is None or self.transport.is_closing():
            return
        data = messages.encode(message)
        self.traffic.datagram_sent(len(data))
        self.transport.sendto(data, receiver)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.abort()


async def open_socket(
    handler: DatagramHandler,
    traffic: control_traffic.ControlTraffic,
    address: str,
    port: int,
) -> DatagramSocket:
    """Opens the socket on an address of this host.

    Waits a little for a port whose former socket is still being closed, as
    when a process goes on with a new incarnation; raises OSError after that.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + BIND_LIMIT_S
    while True:
        try:
            _, protocol = await loop.create_datagram_endpoint(
                lambda: DatagramSocket(handler, traffic),
                local_addr=(address, port),
            )
        except OSError:
            if loop.time() > end_s:
                raise
            await asyncio.sleep(BIND_RETRY_S)
        else:
            return protocol
