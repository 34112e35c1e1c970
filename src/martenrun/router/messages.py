"""Types exchanged between the router's components and the platform adapter.

Times are in seconds unless a name says otherwise; ``*_at`` is a time of the monotonic clock.
"""

import enum
import hashlib
from collections.abc import Mapping

import attrs

from martenrun.net.http import Headers
from martenrun.net.server import ServerLimits
from martenrun.router.forwarded_request import ForwardedState
from martenrun.router.quotas.limit import RateLimit


class UnreadableError(ValueError):
    """Data of the platform's store or of a runner cannot be decoded."""

    remedy = "Check the object in the platform's store and which client wrote it."


class RouteKind(enum.StrEnum):
    """Whether requests of a route may run more than once, and whether responses are streamed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Destination of requests for a host and path prefix, and their guarantees."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    split: tuple[WeightedService, ...]
    maximum_attempts: int
    is_open: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class EngineLimits:
    """Capacity of one model engine of a service."""

    slots: int
    kv_cache_tokens: int
    models: tuple[str, ...]


@attrs.frozen
class Service:
    """A group of runners; with ``engine`` set they serve models."""

    name: str
    maximum_connections: int
    engine: EngineLimits | None


@attrs.frozen
class KvCacheStore:
    """A store that engines save KV cache blocks to and fetch them from."""

    address: str
    zone: str


@attrs.frozen
class Tenant:
    """Owner of API keys; ``limit`` is None if its usage is not limited."""

    name: str
    priority: int | None
    is_isolated: bool
    limit: RateLimit | None = None


@attrs.frozen
class Configuration:
    """One version of everything that the operator configures."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    stores: tuple[KvCacheStore, ...]
    limits: ServerLimits
    tenants_by_key: Mapping[bytes, Tenant]
    has_tenants: bool


@attrs.frozen
class Runner:
    """One runner instance, as listed in the platform's store.

    Attributes:
        instance: the instance key, see :mod:`martenrun.router.runner_instance`.
        name: the runner's id on the platform, which later instances may share.
        started_at_ms: start time by the runner's own clock, in milliseconds; None if not reported.
        software: version of its software; empty if unknown.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    weights: Mapping[str, int]
    name: str = attrs.field(default=attrs.Factory(lambda self: self.instance, takes_self=True))
    started_at_ms: int | None = None
    software: str = ""

    @property
    def software_id(self) -> str:
        """Its software version; unknown software is the same as that of this instance only."""
        return self.software or unknown_software(self)


AMBIGUOUS_SOFTWARE = "ambiguous"
"""Software version of a stream that either of two versions may have written; no runner has it."""


def unknown_software(runner: Runner) -> str:
    """Return a software version that no other runner instance has."""
    return f"unknown at {runner.instance}"


@attrs.frozen
class TargetWeights:
    """The version of a model's weights that the operator wants served."""

    model: str
    version: int


MAXIMUM_PART_ID_BYTES = 32
"""Longer ids of parts are replaced by a digest of this length: tables keep them for a while."""


def bounded_part_id(part_id: bytes) -> bytes:
    """Return the id by which a part of a prompt is kept."""
    if len(part_id) <= MAXIMUM_PART_ID_BYTES:
        return part_id
    return hashlib.blake2b(part_id, digest_size=MAXIMUM_PART_ID_BYTES).digest()


@attrs.frozen
class PromptPart:
    """A part of a prompt, shared between requests with the same beginning."""

    part_id: bytes = attrs.field(converter=bounded_part_id)
    tokens: int


@attrs.frozen
class Call:
    """Values parsed from a caller's request.

    ``counted_tokens`` is the number of prompt tokens plus the maximum number of output tokens, or
    None if the request does not state them.  ``forwarded`` is set if another router received the
    request and forwarded it.  ``resumed_id`` is the id of the attempt that began the stream which
    the request resumes, if the caller names it.
    """

    request_id: bytes
    host: str
    path: str
    key: bytes | None
    deadline_s: float | None
    model: str | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    last_event_id: int
    counted_tokens: int | None = None
    forwarded: ForwardedState | None = None
    resumed_id: bytes | None = None


@attrs.frozen
class AdmittedRequest:
    """A request that passed admission.

    Attributes:
        call: values parsed from the request.
        tenant: owner of the API key, or None on open routes.
        service: the service that the route's traffic split chose.
        deadline_at: monotonic time at which the caller stops waiting.
        give_up_at: monotonic time by which the caller gets a final response.
        software: software version that began the stream which the request resumes; None if it
            resumes none.
    """

    call: Call
    route: Route
    tenant: Tenant | None
    service: str
    deadline_at: float
    give_up_at: float
    software: str | None = None


@attrs.frozen
class Dispatch:
    """Values that the router adds to a request for a runner; ``runner`` is its platform id."""

    runner: str
    deadline_s: float
    tenant: str | None
    priority: int | None
    weights_version: int | None
    cache_salt: str | None
    fetch_from: str | None
    save_to: str | None
    last_event_id: int | None


class Dataset(enum.Enum):
    """A set of objects that routers follow in the platform's store."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"
    WEIGHTS = "weights"
    LEASES = "leases"
    CRASH_RECORDS = "blame"
    PEER_ADDRESSES = "contacts"
    SOFTWARE_VERSIONS = "software"


@attrs.frozen(order=True)
class StorePosition:
    """A point in the store's history.

    Revisions only order changes of one era: a store that returns from a copy assigns them again.
    """

    era: int
    revision: int


@attrs.frozen
class StoredObject:
    """One object of the store.

    Attributes:
        revision: of its last change, in ``era``.
        spec: its decoded content.
        era: era of the store in which it was read; 0 if the store names none.
    """

    name: str
    revision: int
    spec: object
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Where in the store's history it was read with its last change."""
        return StorePosition(self.era, self.revision)


@attrs.frozen
class StoreEvent:
    """A change or deletion of one object."""

    stored: StoredObject
    is_deleted: bool


@attrs.frozen
class StorePage:
    """A page of listed objects.

    ``next_after`` is the name after which the next page starts, or None at the end.
    ``unreadable`` counts objects that are omitted because not even their names can be decoded.
    ``is_repaired``: the page could only be decoded after parts of it were replaced.
    """

    objects: tuple[StoredObject, ...]
    position: StorePosition
    next_after: str | None
    unreadable: int = 0
    is_repaired: bool = False


@attrs.frozen
class StoreChanges:
    """Response of a watch; ``unreadable`` and ``is_repaired`` are as in :class:`StorePage`."""

    events: tuple[StoreEvent, ...]
    position: StorePosition
    unreadable: int = 0
    is_repaired: bool = False


@attrs.frozen
class HttpCall:
    """A request to the platform or to a runner's control interface."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


VersionAges = dict[str, list[tuple[int, int]]]
"""For each model its recent versions as (version, milliseconds since it was first known)."""


@attrs.frozen
class LeaseRecord:
    """Content of a lease object: its holder and the holder's fencing token.

    Attributes:
        holder: the router that holds the lease, as address and incarnation.
        fencing_token: token of the holder's orders.
        renewals: increases with each renewal, so that the object gets a new revision.
        pause_s: how long after this write the holder sends no orders, in seconds.
        released_idle_s: None while the lease is held; after its release, the seconds between the
            last order and this write.
        ages_ms: for each model its recent versions as (version, milliseconds since it was first
            known) at this write.  Stored because the routers' own state is lost when all of them
            lose power at once.
        ordered_ms: for each runner the milliseconds between its last possible order and this
            write; 0 if the holder may send it orders from this write on.  None if unknown: any
            runner may have received an order.
    """

    holder: str
    fencing_token: int
    renewals: int = 0
    pause_s: float = 0.0
    released_idle_s: float | None = None
    ages_ms: VersionAges = attrs.field(factory=dict)
    ordered_ms: Mapping[str, int] | None = None

    @property
    def router(self) -> str:
        """Address of the router that holds the lease, without its incarnation."""
        return self.holder.partition("#")[0]


@attrs.frozen
class WeightsOrder:
    """An order to a runner, identified by its platform id, to load a version of model weights.

    With ``lets_runs_finish`` the load starts after the runs in progress have ended.  Otherwise
    they continue under the new weights, and their output from then on is useless.
    """

    runner: str
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int | None
    lets_runs_finish: bool = True


class OrderOutcome(enum.Enum):
    """A runner's response to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds already"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_INSTANCE = "other instance"
    REFUSED = "refused"


@attrs.frozen
class RunnerReport:
    """A runner's report of its own state, which may be some hundred milliseconds old."""

    weights: Mapping[str, int]
    is_loading: bool
    orders_taken: int
    active: int = 0
    started_at_ms: int | None = None
