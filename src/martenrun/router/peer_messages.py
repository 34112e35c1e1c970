"""What routers tell each other in datagrams, as MessagePack arrays."""

from collections.abc import Callable

import msgspec

from martenrun.identity.rendezvous import weight
from martenrun.router.crash_messages import CrashUpdate
from martenrun.router.limit_messages import LimitNews
from martenrun.router.quotas.messages import (
    QuotaAck,
    QuotaRequest,
    QuotaResponse,
    QuotaStage,
    QuotaUse,
    RecallRequest,
    RecallResponse,
)


class RunnerLoad(msgspec.Struct, array_like=True, frozen=True):
    """What one router has given a runner to do.

    Attributes:
        requests: requests under way there.
        tokens_to_read: tokens of their prompts that are still to be read.
        tokens_held: tokens of memory that they take.
    """

    requests: int
    tokens_to_read: int
    tokens_held: int


class RouterRecord(msgspec.Struct, array_like=True):
    """What a router tells of itself.

    ``age_ms`` is how long ago the record's own router raised its beat, in milliseconds, as far as
    the router that tells the record knows; 0 where that router tells of itself.
    ``lease_revision`` and ``lease_token`` tell of the lease on orders while it holds that, else 0;
    ``loads`` tells what it has given each runner to do;
    ``weights`` tells for each model how long the router has known of its last versions, as
    (version, milliseconds).
    ``reads_store`` says that it reads the store for others; ``capacity`` is the processor that it
    may use, in cores.
    ``configurations`` tells which versions of the configuration are in force somewhere, as far as
    the router knows, as (version, milliseconds since then).
    ``quota_stage`` is a :class:`QuotaStage`.
    """

    address: str
    incarnation: int
    beat: int
    front: str
    zone: str
    is_leaving: bool
    is_current: bool
    has_lost_store: bool
    lease_revision: int
    lease_token: int
    loads: dict[str, RunnerLoad]
    weights: dict[str, list[tuple[int, int]]]
    age_ms: int = 0
    reads_store: bool = False
    capacity: float = 0.0
    configurations: list[tuple[int, int]] = []
    quota_stage: int = QuotaStage.NONE.value


class RouterBeat(msgspec.Struct, array_like=True, frozen=True):
    """The last beat heard of a router, without its record, and how long ago it was raised.

    Attributes:
        life: number of the router's life, see :func:`life_number`; 16 bytes a beat instead of 33
            with address and incarnation.
        age_ms: as in the record, in milliseconds.
    """

    life: int
    beat: int
    age_ms: int


def life_number(address: str, incarnation: int) -> int:
    """Return a number of 64 bits for one life of a router, alike at all routers."""
    return weight(b"%d" % incarnation, address)


class Gossip(msgspec.Struct, array_like=True, tag="gossip"):
    """Records, the sender's first, and beats of routers whose records do not fit in."""

    records: list[RouterRecord]
    beats: list[RouterBeat] = []


class RecordsWanted(msgspec.Struct, array_like=True, tag="wanted"):
    """Asks for records that ``asker`` lacks, of lives of which it has heard beats only."""

    asker: str
    lives: list[int]


class WeightsNews(msgspec.Struct, array_like=True, tag="load"):
    """Runners begin to load a version of a model's weights, or have it now."""

    instances: list[str]
    model: str
    version: int
    is_loaded: bool


class LeaseNews(msgspec.Struct, array_like=True, tag="lease"):
    """A router has given the lease on orders up, ``idle_ms`` after its last order."""

    holder: str
    fencing_token: int
    revision: int
    idle_ms: int


class ReadingNews(msgspec.Struct, array_like=True, tag="reading"):
    """What a router has given one runner to do by now: a part of its next record, sent ahead."""

    address: str
    incarnation: int
    beat: int
    instance: str
    load: RunnerLoad


class SilenceNews(msgspec.Struct, array_like=True, tag="silence"):
    """A router hears nothing from a runner that owes it answers, while it hears from others."""

    address: str
    instance: str


class ZoneLoads(msgspec.Struct, array_like=True, tag="zone"):
    """Sums of what all routers of a zone have given runners to do, by zone and instance.

    Attributes:
        is_passed_on: a router of the listener's own zone passes on what another zone told.
    """

    zones: dict[str, dict[str, RunnerLoad]]
    is_passed_on: bool = False


Message = (
    Gossip
    | RecordsWanted
    | WeightsNews
    | LeaseNews
    | SilenceNews
    | ReadingNews
    | ZoneLoads
    | CrashUpdate
    | LimitNews
    | QuotaRequest
    | QuotaResponse
    | QuotaUse
    | QuotaAck
    | RecallRequest
    | RecallResponse
)

decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode
"""Read a datagram; raises msgspec.MsgspecError if it is no message."""

encode: Callable[[Message], bytes] = msgspec.msgpack.Encoder().encode
"""Return a message as a datagram."""
