"""A link to a server: a TCP proxy that can lose a packet, or hold up what is sent."""

import asyncio
import contextlib
from collections.abc import Callable

from standins2.http import port_of, reset

RETRANSMISSION_S = 0.2
"""After this time a lost packet is sent again: the shortest retransmission timeout of Linux."""

READ_BYTES = 65_536


class Link:
    """Carries connections at ``address`` to a target.

    Attributes:
        loses: returns whether a packet from a client to the target is lost once.
        packets: packets carried in both directions: pieces of data, and three for each connection.
        lost: packets that were lost.
        is_cut: whether nothing passes; what was sent meanwhile is passed on afterwards, as TCP
            sends it again.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self.address = ""
        self.loses: Callable[[bytes], bool] = lambda _data: False
        self.packets = 0
        self.lost = 0
        self.is_cut = False

    async def _pass(self) -> None:
        """Wait until the link is whole."""
        while self.is_cut:
            await asyncio.sleep(0.01)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{port_of(server)}"

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self._carry_both(reader, writer)

    async def _carry_both(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._pass()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer)
            return
        self.packets += 3
        there = self._pump(reader, far_writer, True)
        back = self._pump(far_reader, writer, False)
        await asyncio.gather(there, back)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_there: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                self.packets += 2
                if is_there and self.loses(data):
                    self.lost += 1
                    await asyncio.sleep(RETRANSMISSION_S)
                    if reader.exception() is not None:
                        raise ConnectionResetError
                await self._pass()
                writer.write(data)
                await writer.drain()
            await self._pass()
            with contextlib.suppress(OSError):
                writer.write_eof()
        except OSError:
            reset(writer)
