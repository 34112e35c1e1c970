"""Schemas of the configuration objects that operators publish."""

import enum
import re
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.errors import InvalidObjectError

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


def checked_name(text: str) -> str:
    """Return an object's name; raises ValueError unless it is a short lower-case label."""
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError("use 1 to 63 of a-z, 0-9, '.', '-', starting with a letter or digit")
    return text


Name = Annotated[str, AfterValidator(checked_name)]


class Kind(enum.StrEnum):
    """Kinds of configuration objects."""

    TENANT = "tenants"
    API_KEY = "keys"
    POOL = "pools"
    POLICY = "policies"
    ROUTE = "routes"
    DRAIN = "drains"
    RETENTION = "retention"


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


class ConfigurationDocument(BaseModel):
    """Base of every object's document; unknown fields are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Tenant(ConfigurationDocument):
    """A group of callers that shares the pools with others.

    ``weight`` is the tenant's share of a contended pool relative to other tenants.
    """

    weight: float = Field(default=1.0, gt=0, le=1_000)
    requests_per_s: float = Field(default=1_000.0, gt=0)
    tokens_per_s: float = Field(default=1_000_000.0, gt=0)
    concurrent_streams: int = Field(default=1_000, gt=0)
    queue_length: int = Field(default=1_000, ge=0)


class ApiKey(ConfigurationDocument):
    """A bearer token, stored as the hex SHA-256 of the token.

    A tenant may have many keys.  A key is rotated by publishing a second one and retiring the
    first when its holders have moved; both are valid meanwhile.
    """

    tenant: Name
    role: Role = Role.CALLER
    key_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    retired: bool = False


class Pool(ConfigurationDocument):
    """Runners that serve one model with one weights version.

    A roll of new weights leaves at least ``floor`` of the runners serving.  Each runner also
    gets the ``adapters`` and, if it is given, the ``role``.  ``weight_stores`` names the weight
    store that the runners of a zone load from; all other zones may share any of them.
    """

    model: str = Field(min_length=1)
    weights_version: str = Field(min_length=1)
    block_bytes: int = Field(default=DEFAULT_BLOCK_BYTES, ge=64, le=1_000_000)
    policy: Name | None = None
    floor: int = Field(default=0, ge=0)
    adapters: list[Name] = Field(default_factory=list)
    role: RunnerRole | None = None
    weight_stores: dict[Name, Name] = Field(default_factory=dict)


class Policy(ConfigurationDocument):
    """A sharing policy: a CEL expression that gives a tenant's weight (see docs/POLICIES.md)."""

    expression: str = Field(min_length=1, max_length=4_096)


class Route(ConfigurationDocument):
    """Lets tenants use a pool under a model name; an empty tenant list means all."""

    model: str = Field(min_length=1)
    pool: Name
    tenants: list[Name] = Field(default_factory=list)


class DrainRole(enum.StrEnum):
    """What kind of machine is drained."""

    RUNNER = "runner"
    NODE = "node"


class Drain(ConfigurationDocument):
    """Marks the runner or node of the object's name as leaving: it gets no new work."""

    role: DrainRole = DrainRole.RUNNER
    reason: str = Field(default="", max_length=1_000)


class Retention(ConfigurationDocument):
    """How long something lasting is kept; the object's name says what (``claims``).

    A key that is used again after its claim was removed runs again.
    """

    seconds: float = Field(default=7 * 86_400.0, ge=3_600, le=400 * 86_400)
    removals_per_s: float = Field(default=50.0, gt=0, le=1_000)


Document = Tenant | ApiKey | Pool | Policy | Route | Drain | Retention

_MODELS: dict[Kind, type[Document]] = {
    Kind.TENANT: Tenant,
    Kind.API_KEY: ApiKey,
    Kind.POOL: Pool,
    Kind.POLICY: Policy,
    Kind.ROUTE: Route,
    Kind.DRAIN: Drain,
    Kind.RETENTION: Retention,
}


def parse_document(kind: Kind, data: bytes) -> Document:
    """Check a JSON document against its kind's schema.

    Raises:
        InvalidObjectError: naming every faulty field.
    """
    try:
        return _MODELS[kind].model_validate_json(data)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(str(part) for part in fault['loc']) or 'document'}: {fault['msg']}"
            for fault in error.errors()
        )
        raise InvalidObjectError(f"{kind.value}: {faults}") from error
