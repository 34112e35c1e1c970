"""The one loop of a process: a pykka actor that runs decision logic and its instructions.

Every decision of a process is made on this actor's thread.  Driver threads (waitress,
watches, an agent's transport and clock) share nothing with it; they only ``tell`` it events.
"""

import queue
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka
from absl import logging

from martenrun.backends.object_api import ObjectApi
from martenrun.constants import TICK_INTERVAL_S
from martenrun.dispatch import Dispatcher
from martenrun.errors import MartenrunError, ObjectNotFoundError, VersionConflictError
from martenrun.events import (
    DecisionLogic,
    Event,
    EventBatch,
    Instruction,
    PeerMessage,
    Send,
    SendDatagram,
    StoreAnswered,
    StoreList,
    StoreOutcome,
    StoreRead,
    StoreWrite,
    Tell,
    Tick,
)
from martenrun.loop_inbox import LoopInbox
from martenrun.wire.transport import PeerTransport

STORE_WORKERS = 4
"""Calls of the object API in progress at a time, per process."""

Carrier = Callable[[Any], None]
"""Carries out instructions of one type; must not block."""


class LoopActor(pykka.ThreadingActor):
    """Runs the decision logic of one process.

    Args:
        parts: decision logic; each event goes to those that handle it, in order.
        carriers: what carries out each type of instruction; Tell needs none.
        inbox: where events wait; by default a queue that others fill, which takes one lock an
            event where pykka's own takes four.
    """

    def __init__(
        self,
        parts: list[DecisionLogic],
        carriers: Mapping[type[Any], Carrier],
        inbox: LoopInbox | None = None,
    ) -> None:
        self._inbox: Any = queue.SimpleQueue() if inbox is None else inbox
        super().__init__()
        self._dispatcher = Dispatcher(parts)
        self._carriers = carriers

    def _create_actor_inbox(self) -> Any:  # type: ignore[override]
        """Return the inbox; pykka asks for it while the actor is made."""
        return self._inbox

    def on_receive(self, message: Any) -> None:
        """Handle one event, or each of a batch."""
        if isinstance(message, EventBatch):
            for event in message.events:
                self._handle(event)
        else:
            self._handle(message)

    def _handle(self, event: Event) -> None:
        for part in self._dispatcher.parts_for(event):
            # A fault in one event or instruction must not stop the loop for all others.
            try:
                instructions = part.handle(event, time.monotonic())
            except Exception:
                logging.exception("event %s failed", type(event).__name__)
                continue
            for instruction in instructions:
                self._carry_out(instruction)

    def _carry_out(self, instruction: Instruction) -> None:
        if isinstance(instruction, Tell):
            self.actor_ref.tell(instruction.event)
            return
        try:
            self._carriers[type(instruction)](instruction)
        except Exception:
            logging.exception("instruction %s failed", type(instruction).__name__)


def message_carrier(transport: PeerTransport, tell: Callable[[Event], None]) -> Carrier:
    """Return the carrier of Send; messages to the process itself skip the network."""

    def carry(instruction: Send) -> None:
        if instruction.peer == transport.name:
            tell(PeerMessage(instruction.peer, instruction.message))
        else:
            transport.send(instruction.peer, instruction.message)

    return carry


def datagram_carrier(transport: PeerTransport) -> Carrier:
    """Return the carrier of SendDatagram."""

    def carry(instruction: SendDatagram) -> None:
        transport.send_datagram(instruction.peer, instruction.message)

    return carry


class StoreWorkers:
    """Driver threads that carry out StoreWrite, StoreRead and StoreList."""

    def __init__(self, store: ObjectApi, tell: Callable[[Event], None]) -> None:
        self._store = store
        self._tell = tell
        self._threads = ThreadPoolExecutor(STORE_WORKERS, thread_name_prefix="store")

    def carry(self, instruction: StoreWrite | StoreRead | StoreList) -> None:
        """Start a call; its StoreAnswered follows."""
        self._threads.submit(lambda: self._tell(self._answer(instruction)))

    def stop(self) -> None:
        """Wait for no further calls."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _answer(self, call: StoreWrite | StoreRead | StoreList) -> StoreAnswered:
        try:
            if isinstance(call, StoreRead):
                found = self._store.get(call.kind, call.name)
                return StoreAnswered(call.call_id, StoreOutcome.DONE, found.revision, found)
            if isinstance(call, StoreList):
                listed = tuple(self._store.list_page(call.kind, call.after_name, call.limit))
                return StoreAnswered(call.call_id, StoreOutcome.DONE, listed=listed)
            version = self._store.write(call.kind, call.name, call.expected, call.document)
            return StoreAnswered(call.call_id, StoreOutcome.DONE, version)
        except VersionConflictError as error:
            return StoreAnswered(call.call_id, StoreOutcome.CONFLICT, error.present_version)
        except ObjectNotFoundError:
            return StoreAnswered(call.call_id, StoreOutcome.NOT_FOUND)
        except MartenrunError:
            return StoreAnswered(call.call_id, StoreOutcome.UNKNOWN)


class Clock:
    """Driver thread that tells a loop the time passes."""

    def __init__(self, tell: Callable[[Event], None]) -> None:
        self._tell = tell
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="clock", daemon=True)

    def start(self) -> None:
        """Start ticking; the first tick comes at once, so that a start waits for none."""
        self._tell(Tick())
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
