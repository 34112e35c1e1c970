"""Schemas of the configuration objects that operators publish."""

import enum
import re
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.errors import InvalidObjectError
from martenrun.kvcache.limits import StoreLimits
from martenrun.scaling.limits import ScalingLimits
from martenrun.schema import faults_of

_NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}\Z"
_NAME_TITLE = "1 to 63 of a-z, 0-9, '.', '-', starting with a letter or digit"
_NAME = re.compile(_NAME_PATTERN)


def checked_name(text: str) -> str:
    """Return an object's name; raises ValueError unless it is a short lower-case label."""
    if not _NAME.match(text):
        raise ValueError(f"use {_NAME_TITLE}")
    return text


Name = Annotated[str, Meta(pattern=_NAME_PATTERN, title=_NAME_TITLE)]
"""Name of an object; see :func:`checked_name`."""


class Kind(enum.StrEnum):
    """Kinds of configuration objects."""

    TENANT = "tenants"
    API_KEY = "keys"
    POOL = "pools"
    POLICY = "policies"
    ROUTE = "routes"
    DRAIN = "drains"
    RETENTION = "retention"
    ASSIGNMENT = "assignments"


REPLICATED_KINDS = tuple(kind.value for kind in Kind)
"""Kinds that every node and agent keeps a copy of."""


class Role(enum.StrEnum):
    """What the holder of a key may do."""

    CALLER = "caller"
    READER = "reader"
    TENANT_ADMIN = "tenant-admin"
    PLATFORM_ADMIN = "platform-admin"


class RunnerRole(enum.StrEnum):
    """Which phase of requests a pool's runners serve."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class ConfigurationDocument(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, gc=False
):
    """Base of every object's document; unknown fields are faults.

    Documents are trees, in which the interpreter need not look for cycles.
    """


class Tenant(ConfigurationDocument, frozen=True, kw_only=True):
    """A group of callers that shares the pools with others.

    ``weight`` is the tenant's share of a contended pool relative to other tenants.
    """

    weight: Annotated[float, Meta(gt=0, le=1_000)] = 1.0
    requests_per_s: Annotated[float, Meta(gt=0)] = 1_000.0
    tokens_per_s: Annotated[float, Meta(gt=0)] = 1_000_000.0
    concurrent_streams: Annotated[int, Meta(gt=0)] = 1_000
    queue_length: Annotated[int, Meta(ge=0)] = 1_000


class ApiKey(ConfigurationDocument, frozen=True, kw_only=True):
    """A bearer token, stored as the hex SHA-256 of the token.

    A tenant may have many keys.  A key is rotated by publishing a second one and retiring the
    first when its holders have moved; both are valid meanwhile.
    """

    tenant: Name
    role: Role = Role.CALLER
    key_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
    retired: bool = False


class Pool(ConfigurationDocument, frozen=True, kw_only=True):
    """Runners that serve one model with one weights version.

    A roll of new weights leaves at least ``floor`` of the runners serving.  Each runner also
    gets the ``adapters`` and, if it is given, the ``role``.  ``weight_stores`` names the weight
    store that the runners of a zone load from; all other zones may share any of them.  A pool
    with ``kept_cache`` exports cached prefixes to its engines' store and imports them.  With
    ``scaling`` the system moves runners to and from the pool, which keeps from
    ``minimum_runners`` to ``maximum_runners``.
    """

    model: Annotated[str, Meta(min_length=1)]
    weights_version: Annotated[str, Meta(min_length=1)]
    block_bytes: Annotated[int, Meta(ge=64, le=1_000_000)] = DEFAULT_BLOCK_BYTES
    policy: Name | None = None
    floor: Annotated[int, Meta(ge=0)] = 0
    adapters: list[Name] = []
    role: RunnerRole | None = None
    kept_cache: StoreLimits | None = None
    weight_stores: dict[Name, Name] = {}
    minimum_runners: Annotated[int, Meta(ge=1)] | None = None
    maximum_runners: Annotated[int, Meta(ge=1)] | None = None
    scaling: ScalingLimits | None = None

    def __post_init__(self) -> None:
        """Check the fields of scaling against each other; raises ValueError."""
        if self.scaling is None:
            return
        if self.minimum_runners is None or self.maximum_runners is None:
            raise ValueError("scaling needs minimum_runners and maximum_runners")
        if not self.floor <= self.minimum_runners <= self.maximum_runners:
            raise ValueError("floor, minimum_runners and maximum_runners must not fall")


class Policy(ConfigurationDocument, frozen=True, kw_only=True):
    """A sharing policy: a CEL expression that gives a tenant's weight (see docs/POLICIES.md)."""

    expression: Annotated[str, Meta(min_length=1, max_length=4_096)]


class Route(ConfigurationDocument, frozen=True, kw_only=True):
    """Lets tenants use a pool under a model name; an empty tenant list means all."""

    model: Annotated[str, Meta(min_length=1)]
    pool: Name
    tenants: list[Name] = []


class DrainRole(enum.StrEnum):
    """What kind of machine is drained."""

    RUNNER = "runner"
    NODE = "node"


class Drain(ConfigurationDocument, frozen=True, kw_only=True):
    """Marks the runner or node of the object's name as leaving: it gets no new work."""

    role: DrainRole = DrainRole.RUNNER
    reason: Annotated[str, Meta(max_length=1_000)] = ""


class AssignmentOrigin(enum.StrEnum):
    """Who made an assignment; the system never changes an operator's."""

    OPERATOR = "operator"
    SCALING = "scaling"


class Assignment(ConfigurationDocument, frozen=True, kw_only=True):
    """Puts the runner of the object's name into a pool, whatever the machine list says.

    Without a ``pool`` the runner goes back to the machine list's, and the system may move it
    again once it serves there.  ``left_pool`` tells where it came from.  ``arrived`` is set by
    the runner's owner node when the engine serves with the pool's model and weights; until then
    other nodes do not count on the runner.
    """

    pool: Name | None = None
    left_pool: Name | None = None
    made_by: AssignmentOrigin = AssignmentOrigin.OPERATOR
    reason: Annotated[str, Meta(max_length=1_000)] = ""
    arrived: bool = False


class Retention(ConfigurationDocument, frozen=True, kw_only=True):
    """How long something lasting is kept; the object's name says what (``claims``).

    A key that is used again after its claim was removed runs again.
    """

    seconds: Annotated[float, Meta(ge=3_600, le=400 * 86_400)] = 7 * 86_400.0
    removals_per_s: Annotated[float, Meta(gt=0, le=1_000)] = 50.0


Document = Tenant | ApiKey | Pool | Policy | Route | Drain | Retention | Assignment

_MODELS: dict[Kind, type[Document]] = {
    Kind.TENANT: Tenant,
    Kind.API_KEY: ApiKey,
    Kind.POOL: Pool,
    Kind.POLICY: Policy,
    Kind.ROUTE: Route,
    Kind.DRAIN: Drain,
    Kind.RETENTION: Retention,
    Kind.ASSIGNMENT: Assignment,
}


def parse_document(kind: Kind, data: bytes) -> Document:
    """Check a JSON document against its kind's schema.

    Raises:
        InvalidObjectError: naming every faulty field.
    """
    try:
        return msgspec.json.decode(data, type=_MODELS[kind])
    except RecursionError as error:
        raise InvalidObjectError(f"{kind.value}: nested too deeply") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        faults = _faults(kind, data)
        raise InvalidObjectError(f"{kind.value}: {faults or error}") from error


def _faults(kind: Kind, data: bytes) -> str:
    """Return every faulty field with what is wrong; empty if the data is no JSON at all."""
    try:
        values = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return ""
    found = faults_of(_MODELS[kind], values)
    return "; ".join(f"{fault.field or 'document'}: {fault.message}" for fault in found)


def encode_document(document: Document) -> bytes:
    """Return a document as JSON, defaults included."""
    return msgspec.json.encode(document)
