"""Typed messages between the router's parts and the adapter of the platform it runs on.

Times are seconds unless a name says otherwise; ``*_at`` is a time of the steady clock.
"""

import enum
from collections.abc import Mapping

import attrs

from martenrun.net.http import Headers
from martenrun.net.server import ServerLimits
from martenrun.router.quotas.limit import RateLimit


class UnreadableError(ValueError):
    """Bytes or an object that are not what the platform should hold there."""

    remedy = "Look at the object in the platform's store and at who has written it."


class RouteKind(enum.StrEnum):
    """How often a request of a route may run, and how it is answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of a host and path go, and what they are promised."""

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
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class EngineLimits:
    """What one model engine of a service can carry."""

    slots: int
    cache_tokens: int
    models: tuple[str, ...]


@attrs.frozen
class Service:
    """A group of runners; one with an engine serves models."""

    name: str
    maximum_connections: int
    engine: EngineLimits | None


@attrs.frozen
class KeptCacheStore:
    """A store that engines save KV cache to and fetch it from."""

    address: str
    zone: str


@attrs.frozen
class Tenant:
    """Who holds a key; ``limit`` is None where it may use what it asks for."""

    name: str
    priority: int | None
    is_isolated: bool
    limit: RateLimit | None = None


@attrs.frozen
class Configuration:
    """Everything that the operator configures, as one version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    stores: tuple[KeptCacheStore, ...]
    limits: ServerLimits
    tenants_by_key: Mapping[bytes, Tenant]
    has_tenants: bool


@attrs.frozen
class Runner:
    """One start of a runner, as the runner list tells it.

    Attributes:
        instance: the key of this start, see :mod:`martenrun.router.runner_instance`.
        name: its id on the platform, which later starts may have as well.
        born_ms: when it started by its own clock, in milliseconds, or None if it does not tell.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    weights: Mapping[str, int]
    name: str = attrs.field(default=attrs.Factory(lambda self: self.instance, takes_self=True))
    born_ms: int | None = None


@attrs.frozen
class WantedWeights:
    """The version of a model's weights that the operator has named."""

    model: str
    version: int


@attrs.frozen
class PromptPart:
    """A part of a prompt, shared between requests that begin alike."""

    part_id: bytes
    tokens: int


@attrs.frozen
class Call:
    """What the router reads from a caller's request.

    ``counted_tokens`` are those of its prompt and of its longest answer together, or None if it
    tells of none.
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


@attrs.frozen
class Admitted:
    """A request that may be served.

    Attributes:
        call: what was read from it.
        route: its route.
        tenant: who sent it, or None on open routes.
        service: the service that the route's split chose for it.
        deadline_at: steady time at which the caller leaves.
        give_up_at: steady time at which it gets its final answer.
    """

    call: Call
    route: Route
    tenant: Tenant | None
    service: str
    deadline_at: float
    give_up_at: float


@attrs.frozen
class Dispatch:
    """What the router adds to a request that it sends to a runner, which is named by its id."""

    runner: str
    deadline_s: float
    tenant: str | None
    priority: int | None
    weights_version: int | None
    cache_salt: str | None
    fetch_from: str | None
    save_to: str | None
    last_event_id: int | None


@attrs.frozen
class AdvertisedLimit:
    """A runner's rate limit, as advertised in an answer; all routers together share it.

    Attributes:
        requests_per_s: 0 or more; None if the advertised value is not a valid rate.
        text: the advertised value, truncated for logs.
    """

    requests_per_s: float | None
    text: str


@attrs.frozen
class AnswerMarks:
    """What a runner's answer says of itself beside its status and body.

    Attributes:
        rate_limit: the limit that the answer advertises; None if it advertises none.
    """

    is_signed: bool
    is_not_executed: bool
    is_encoded: bool
    rate_limit: AdvertisedLimit | None = None


class Dataset(enum.Enum):
    """What a router follows in the platform's store."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"
    WEIGHTS = "weights"
    LEASES = "leases"
    BLAME = "blame"
    CONTACTS = "contacts"


@attrs.frozen
class StoredObject:
    """One object of the store; ``spec`` is its content as decoded."""

    name: str
    revision: int
    spec: object


@attrs.frozen
class StoreEvent:
    """A change of one object."""

    stored: StoredObject
    is_gone: bool


@attrs.frozen
class StorePage:
    """A page of a list.

    ``next_after`` is where the next one begins, or None at the end; ``unreadable`` counts objects
    that are left out because not even their names can be read.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    next_after: str | None
    unreadable: int = 0


@attrs.frozen
class StoreChanges:
    """What a watch answers; ``unreadable`` counts events that are left out, as in a page."""

    events: tuple[StoreEvent, ...]
    revision: int
    unreadable: int = 0


@attrs.frozen
class HttpCall:
    """A request to the platform or to a runner's control interface."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


VersionAges = dict[str, list[tuple[int, int]]]
"""For each model its last versions, and for how long each has been known, in milliseconds."""


@attrs.frozen
class LeaseRecord:
    """Content of a lease object: who holds it and with which fencing token.

    Attributes:
        holder: one life of a router, as its address and its incarnation.
        fencing_token: token of the holder's orders.
        renewals: only rises, so that each renewal gives the object a new revision.
        pause_s: how long after this write the holder gives no orders yet, in seconds.
        released_idle_s: None while it is held; once given up, how long before this write the last
            order lies back, in seconds.
        ages_ms: for each model how long its last versions had been known when this was written, as
            (version, milliseconds): what all routers know is gone when all lose power at once.
        ordered_ms: for each runner how long before this write it may have been ordered, in
            milliseconds; 0 where the holder may order it from now on.  None where nobody tells:
            any runner may have been ordered.
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
        """Address of the router that holds it, whichever of its lives."""
        return self.holder.partition("#")[0]


@attrs.frozen
class WeightsOrder:
    """An order to a runner, named by its id, to load a version of a model's weights.

    ``lets_runs_finish``: the load begins once the runs in progress have ended; otherwise they go
    on under the new weights, and what they make from then on is worth nothing.
    """

    runner: str
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int | None
    lets_runs_finish: bool = True


class OrderOutcome(enum.Enum):
    """What a runner says of an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds already"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_INSTANCE = "other instance"
    REFUSED = "refused"


@attrs.frozen
class RunnerReport:
    """What a runner tells of itself, some hundred milliseconds old."""

    weights: Mapping[str, int]
    is_loading: bool
    orders_taken: int
    active: int = 0
    born_ms: int | None = None
