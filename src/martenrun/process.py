"""The one loop of a process: a pykka actor that runs decision logic and its instructions.

Every decision of a process is made on this actor's thread.  Driver threads (waitress,
transport, watches, clock) share nothing with it; they only ``tell`` it events.
"""

import threading
import time
from collections.abc import Callable
from typing import Any

import pykka
from absl import logging

from martenrun.constants import TICK_INTERVAL_S
from martenrun.events import (
    DecisionLogic,
    Event,
    Finish,
    Instruction,
    PeerMessage,
    RunAttempt,
    Send,
    Tick,
)
from martenrun.wire.transport import PeerTransport


class LoopActor(pykka.ThreadingActor):
    """Runs the decision logic of one process.

    Args:
        parts: decision logic; each event goes to all of them in order.
        transport: carries Send instructions.
        to_edge: carries RunAttempt and Finish instructions to the waiting edge thread.
    """

    def __init__(
        self,
        parts: list[DecisionLogic],
        transport: PeerTransport,
        to_edge: Callable[[RunAttempt | Finish], None],
    ) -> None:
        super().__init__()
        self._parts = parts
        self._transport = transport
        self._to_edge = to_edge

    def on_receive(self, message: Any) -> None:
        """Handle one event."""
        event: Event = message
        for part in self._parts:
            try:
                instructions = part.handle(event, time.monotonic())
            except Exception:
                # A fault in one event must not stop the loop for all others.
                logging.exception("event %s failed", type(event).__name__)
                continue
            for instruction in instructions:
                self._carry_out(instruction)

    def _carry_out(self, instruction: Instruction) -> None:
        if not isinstance(instruction, Send):
            self._to_edge(instruction)
        elif instruction.peer == self._transport.name:
            self.actor_ref.tell(PeerMessage(instruction.peer, instruction.message))
        else:
            self._transport.send(instruction.peer, instruction.message)


class Clock:
    """Driver thread that tells a loop the time passes."""

    def __init__(self, tell: Callable[[Event], None]) -> None:
        self._tell = tell
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="clock", daemon=True)

    def start(self) -> None:
        """Start ticking."""
        self._thread.start()

    def stop(self) -> None:
        """Stop ticking."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            self._tell(Tick())


class Poller:
    """Driver thread that calls ``poll`` again and again, with jittered pauses.

    ``poll`` does blocking input and tells the loop what it found.  A failure is logged and
    the pause doubles up to a limit, so that a platform outage is not met with a storm.
    """

    def __init__(
        self, name: str, poll: Callable[[], None], pause_s: float, maximum_pause_s: float = 5.0
    ) -> None:
        self._poll = poll
        self._pause_s = pause_s
        self._maximum_pause_s = maximum_pause_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the present call."""
        self._stopping.set()

    def _run(self) -> None:
        pause_s = self._pause_s
        while not self._stopping.is_set():
            try:
                self._poll()
                pause_s = self._pause_s
            except Exception as error:
                pause_s = min(max(2 * pause_s, 0.1), self._maximum_pause_s)
                logging.log_every_n_seconds(
                    logging.WARNING, "%s failed: %s", 5, self._thread.name, error
                )
            self._stopping.wait(pause_s)
