"""One connection between an edge and a simulated engine."""

from collections.abc import Callable
from typing import Protocol

from martenrun.simulation.scheduler import Scheduler

RETRANSMISSION_S = 0.2
"""Time between two attempts at sending what a cut link holds back, in seconds."""


class StreamReader(Protocol):
    """The edge's side of a connection."""

    def take_token(self, index: int, prompt: str, matched_blocks: int) -> None:
        """Take one piece of output."""

    def take_end(self) -> None:
        """Take the stream's terminator."""

    def take_refusal(self, message: str) -> None:
        """Take an answer that says that nothing was run."""

    def take_reset(self) -> None:
        """Learn that the connection broke."""


_Delivery = Callable[[StreamReader], None]


class EngineStream:
    """One connection; closing it from either side ends the execution or the reading.

    What either side sends while the link is cut arrives in order once it is joined again, as
    on TCP.

    Args:
        is_cut: returns whether the link is cut now.
    """

    def __init__(
        self, reader: StreamReader, scheduler: Scheduler, is_cut: Callable[[], bool]
    ) -> None:
        self.reader: StreamReader | None = reader
        self.is_cancelled = False
        self.next_token = 0
        self.matched_blocks = 0
        self._scheduler = scheduler
        self._is_cut = is_cut
        self._held: list[_Delivery] = []

    def cancel(self) -> None:
        """The edge closes: the engine stops its work once it learns of it."""
        self.reader = None
        if self._is_cut():
            self._scheduler.after(RETRANSMISSION_S, self.cancel)
        else:
            self.is_cancelled = True

    def cut(self) -> None:
        """The connection breaks; the engine may go on working."""
        self._send_last(lambda reader: reader.take_reset())

    def end(self) -> None:
        """The engine sends the terminator and closes."""
        self._send_last(lambda reader: reader.take_end())

    def refuse(self, message: str) -> None:
        """The engine answers that it runs nothing."""
        self._send(lambda reader: reader.take_refusal(message))

    def send_token(self, prompt: str) -> None:
        """The engine sends the next piece of output."""
        index = self.next_token
        self._send(lambda reader: reader.take_token(index, prompt, self.matched_blocks))

    def _send_last(self, delivery: _Delivery) -> None:
        def close_and_deliver(reader: StreamReader) -> None:
            self.reader = None
            delivery(reader)

        self._send(close_and_deliver)

    def _send(self, delivery: _Delivery) -> None:
        if self.reader is None:
            return
        if not self._held and not self._is_cut():
            delivery(self.reader)
            return
        self._held.append(delivery)
        if len(self._held) == 1:
            self._scheduler.after(RETRANSMISSION_S, self._send_held)

    def _send_held(self) -> None:
        if self._is_cut():
            self._scheduler.after(RETRANSMISSION_S, self._send_held)
            return
        held, self._held = self._held, []
        for delivery in held:
            if self.reader is not None:
                delivery(self.reader)


def refuse_unreachable(stream: EngineStream, scheduler: Scheduler, timeout_s: float) -> None:
    """Tell the edge after its time-out that no connection came about."""

    def time_out() -> None:
        reader, stream.reader = stream.reader, None
        if reader is not None:
            reader.take_refusal("no connection")

    scheduler.after(timeout_s, time_out)
