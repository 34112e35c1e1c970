"""Records of a concurrent run, as its checkers read them.

One observer outside the system takes all times, so records of one history may be compared
and sorted by ``time_s``.  The same records come from simulations and from real processes.

See also: :mod:`martenrun.proof.checkers`.
"""

from typing import TypeVar

import msgspec

OBJECT_API = "object-api"
"""Name of the platform's object API among processes."""

MACHINE_LIST = "machine-list"
"""Name of the platform's machine list among processes."""

NETWORK = "network"
"""Name of the network between processes among processes: a fault of it loses messages."""

STOPPED = "stopped"
"""Kind of a process's absence after its planned stop."""

ISOLATED = "isolated"
"""Kind of the fault that cuts a process off from the platform."""


class Token(msgspec.Struct, frozen=True):
    """One piece of output: which prompt it answers and its place in that answer, from 0."""

    source: str
    index: int


class CacheOrigin(msgspec.Struct, frozen=True):
    """Who wrote a cached block."""

    tenant: str
    weights_version: str
    incarnation: str


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all records; ``time_s`` is the observer's clock, in seconds."""

    time_s: float


class RequestInvoked(Record, frozen=True, tag=True):
    """A caller sent a request to the edge of process ``edge``.

    ``source`` names the prompt; ``deadline_s`` is the time allowed for a decision.
    """

    request_id: str
    edge: str
    tenant: str
    source: str
    output_tokens: int
    repeatable: bool = True
    idempotency_key: str = ""
    deadline_s: float = 30.0


class RequestAnswered(Record, frozen=True, tag=True):
    """A caller's request is over.

    ``terminated`` tells that the stream ended with its terminator; ``code`` and ``ran`` are
    those of the typed error, empty if there was none.
    """

    request_id: str
    tokens: list[Token]
    terminated: bool
    code: str = ""
    ran: str = ""


class Asked(Record, frozen=True, tag=True):
    """An edge asked a node which engine should serve a request."""

    request_id: str
    edge: str
    node: str


class Granted(Record, frozen=True, tag=True):
    """A node named a runner for an attempt.

    ``chain`` holds the prompt's block hashes in hexadecimal, hashed for ``tenant`` and
    ``chain_version``; ``believed_blocks`` of them are credited as cached at the runner.
    """

    node: str
    request_id: str
    attempt: int
    runner: str
    incarnation: str
    weights_version: str
    tenant: str
    chain_version: str
    chain: list[str]
    believed_blocks: int


class Executed(Record, frozen=True, tag=True):
    """An engine began to execute an attempt; ``reused`` tells who wrote the blocks it used.

    ``received_s`` is when the engine's machine got the attempt: a paused engine runs it later.
    ``expected_version`` is the weights version of the grant, empty if it is not known;
    ``resume_from`` the number of pieces of output that the caller had before.
    """

    engine: str
    received_s: float
    incarnation: str
    expected_incarnation: str
    weights_version: str
    request_id: str
    tenant: str
    chain: list[str]
    reused: list[CacheOrigin]
    expected_version: str = ""
    resume_from: int = 0


class LoadBegun(Record, frozen=True, tag=True):
    """An engine left service to load weights, by an order with fencing token ``fence``."""

    engine: str
    incarnation: str
    version: str
    fence: int


class LoadEnded(Record, frozen=True, tag=True):
    """An engine's load is over: it serves again, gave it up for another one or has crashed."""

    engine: str
    incarnation: str
    version: str
    fence: int


class ConfigurationAccepted(Record, frozen=True, tag=True):
    """The administration API told an operator that a change is accepted.

    ``subject`` is KIND/NAME; ``expected`` the version that the change was based on.
    """

    revision: int
    subject: str = ""
    expected: int = 0
    removed: bool = False


class RemovalUnknown(Record, frozen=True, tag=True):
    """The answer to an operator's removal of an object was lost: it may have taken effect."""

    subject: str


class ConfigurationInForce(Record, frozen=True, tag=True):
    """A process was seen with a configuration in force; ``digest`` covers its contents."""

    process: str
    incarnation: str
    revision: int
    digest: str


class ProcessStarted(Record, frozen=True, tag=True):
    """A node or agent started; ``restarted`` tells that it had run before."""

    process: str
    restarted: bool
    is_node: bool = True


class EngineListed(Record, frozen=True, tag=True):
    """The platform put an engine on the machine list; the run knows all engines by these."""

    process: str


class ProcessDisturbed(Record, frozen=True, tag=True):
    """A fault hit a process.

    ``kind`` is ``kill``, ``freeze``, ``cut``, :data:`ISOLATED`, ``late``, ``loss``,
    :data:`STOPPED` or ``down``.
    """

    process: str
    kind: str
    until_s: float


class CutFromObjectApi(Record, frozen=True, tag=True):
    """A node could not reach the object API for some time, and everybody else."""

    process: str
    until_s: float


class LeavingAnnounced(Record, frozen=True, tag=True):
    """The platform marked a machine as leaving."""

    process: str


class LeavingWithdrawn(Record, frozen=True, tag=True):
    """The platform marked a leaving machine as live again, or replaced it."""

    process: str


class PlannedStop(Record, frozen=True, tag=True):
    """A process was asked to stop at ``time_s`` and had ended by ``until_s``."""

    process: str
    until_s: float


AnyRecord = (
    RequestInvoked
    | RequestAnswered
    | Asked
    | Granted
    | Executed
    | LoadBegun
    | LoadEnded
    | ConfigurationAccepted
    | RemovalUnknown
    | ConfigurationInForce
    | ProcessStarted
    | EngineListed
    | ProcessDisturbed
    | CutFromObjectApi
    | LeavingAnnounced
    | LeavingWithdrawn
    | PlannedStop
)


RecordType = TypeVar("RecordType", bound=Record)


class History(msgspec.Struct):
    """All records of one run, in order of time, which ended at ``end_s``."""

    records: list[AnyRecord] = msgspec.field(default_factory=list)
    end_s: float = 0.0

    def of(self, kind: type[RecordType]) -> list[RecordType]:
        """Return the records of one kind, in order of time."""
        return [record for record in self.records if isinstance(record, kind)]
