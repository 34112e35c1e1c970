"""Events that drivers give to decision logic, and instructions it gives back.

Decision logic is pure: ``handle(event, now) -> list[Instruction]``.  ``now`` is a monotonic
time in seconds; it is never compared across machines.

See also: :mod:`martenrun.process`, which carries instructions out.
"""

import enum
from dataclasses import dataclass
from typing import Protocol

from martenrun.backends.cache_events import CacheEvents
from martenrun.backends.engine import AttemptResult, RunnerDescription
from martenrun.backends.engine_orders import EngineOrder, OrderOutcome
from martenrun.backends.kv_transfers import BlockTransfer
from martenrun.backends.machine_list import Machine
from martenrun.errors import MartenrunError
from martenrun.membership.view import Member
from martenrun.wire.messages import (
    ConfigurationObject,
    ConfigurationUpdate,
    DecideRequest,
    Grant,
    Message,
    NodeStatus,
)


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message arrived from a node or an agent."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The connection to a peer has ended, or none could be opened.

    What was sent over it may not have arrived, and its answers may not come.  The peer itself
    may be alive: only its connection is known to be gone.
    """

    peer: str


@dataclass(frozen=True, slots=True)
class MachinesListed:
    """The machine list has answered."""

    machines: list[Machine]


@dataclass(frozen=True, slots=True)
class RunnerDescribed:
    """An engine has described itself, or failed to (``description`` is None)."""

    runner: str
    description: RunnerDescription | None


@dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """An engine's cache-event feed has told something new."""

    runner: str
    events: CacheEvents


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request has been parsed and authenticated at the edge."""

    question: DecideRequest
    repeatable: bool


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at an engine is over.

    ``can_resume`` tells whether another engine could go on with a broken stream.
    """

    request_id: str
    attempt: int
    result: AttemptResult
    first_token_s: float
    can_resume: bool = False


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""

    request_id: str


class StoreOutcome(enum.StrEnum):
    """How a call of the object API ended."""

    DONE = "done"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """A StoreWrite or StoreRead has ended.

    ``UNKNOWN`` means that a write may or may not have taken effect.  ``found`` is the object
    for a read that is DONE; ``version`` is the version present after a write or a conflict.
    ``listed`` is the answer to a StoreList.
    """

    call_id: str
    outcome: StoreOutcome
    version: int = 0
    found: ConfigurationObject | None = None
    listed: tuple[ConfigurationObject, ...] = ()


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The live nodes have changed; ``members`` are sorted by address, leaving ones excluded."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This process is asked to stop: tell the others, take no new work."""


@dataclass(frozen=True, slots=True)
class QuestionCleared:
    """A question with an idempotency key holds its claim and may be decided."""

    peer: str
    question: DecideRequest


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order to an engine has ended; the same ``order`` may be sent more than once."""

    runner: str
    order: EngineOrder
    outcome: OrderOutcome


@dataclass(frozen=True, slots=True)
class ExportEnded:
    """An export has ended; ``blocks`` leading ones are kept, none if it failed."""

    runner: str
    transfer: BlockTransfer
    blocks: int


class WatchOutcome(enum.StrEnum):
    """How a StoreWatch ended."""

    CHANGES = "changes"
    COMPACTED = "compacted"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoreWatched:
    """A StoreWatch has ended; ``update`` may be empty, and is complete for a list."""

    outcome: WatchOutcome
    update: ConfigurationUpdate


@dataclass(frozen=True, slots=True)
class StatusWanted:
    """An operator asks which configuration is in force where; StatusReady follows."""

    query_id: str


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Events that a driver tells at once; the loop handles each in order.

    No part of the decision logic sees a batch.
    """

    events: "tuple[Event, ...]"


Event = (
    Tick
    | PeerMessage
    | PeerDisconnected
    | MachinesListed
    | RunnerDescribed
    | CacheEventsRead
    | RequestArrived
    | AttemptEnded
    | CallerGone
    | StoreAnswered
    | MembersChanged
    | LeaveRequested
    | QuestionCleared
    | OrderAnswered
    | ExportEnded
    | StoreWatched
    | StatusWanted
    | EventBatch
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer; it may get lost."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message to a node in one datagram; it may get lost and must be small.

    See also: :data:`martenrun.constants.MAXIMUM_DATAGRAM_BYTES`.
    """

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """Tell the edge to send the request to the granted runner."""

    request_id: str
    grant: Grant


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the edge the request's final answer; ``error`` is None when it is whole."""

    request_id: str
    error: MartenrunError | None
    result: AttemptResult | None = None


@dataclass(frozen=True, slots=True)
class Tell:
    """Give an event to every part of the same process, after the present one."""

    event: Event


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """Compare-and-swap an object of the object API; StoreAnswered follows.

    ``document`` is JSON, or None to remove the object; ``expected`` 0 creates.
    """

    call_id: str
    kind: str
    name: str
    expected: int
    document: bytes | None


@dataclass(frozen=True, slots=True)
class StoreRead:
    """Read one object of the object API; StoreAnswered follows."""

    call_id: str
    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class StoreList:
    """Read the objects of a kind that come after a name, in their names' order.

    StoreAnswered follows; fewer than ``limit`` objects are the last ones.
    """

    call_id: str
    kind: str
    after_name: str
    limit: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a fenced order to a runner's engine; OrderAnswered follows."""

    runner: str
    address: str
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class SendExport:
    """Tell a runner's engine to export blocks to its store; ExportEnded follows."""

    runner: str
    address: str
    transfer: BlockTransfer


@dataclass(frozen=True, slots=True)
class StoreWatch:
    """Wait for configuration changes after a revision; StoreWatched follows.

    ``after`` below zero lists all configuration objects at once.
    """

    after: int


@dataclass(frozen=True, slots=True)
class StatusReady:
    """Give the operator the status; nodes that did not answer are missing in ``nodes``."""

    query_id: str
    own: str
    members: list[str]
    nodes: dict[str, NodeStatus]


Instruction = (
    Send
    | RunAttempt
    | Finish
    | Tell
    | StoreWrite
    | StoreRead
    | StoreList
    | StoreWatch
    | SendOrder
    | SendExport
    | SendDatagram
    | StatusReady
)


class DecisionLogic(Protocol):
    """A pure state machine that a process runs on its one loop.

    It may name the events and messages it handles in an attribute ``handles``; without it, it
    is given every event.  See also: :mod:`martenrun.dispatch`.
    """

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event at time ``now`` and return what to do."""
        ...
