"""Types of the capacity table: the target size, slopes, and lines worked out from them."""

import enum
import tomllib
from importlib import resources

import msgspec

SECONDS_PER_DAY = 86_400


class TargetSize(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The size of the whole system that the table is worked out for."""

    nodes: int
    runners: int
    requests_per_s: float
    output_tokens_per_s: float
    cached_blocks: int
    cache_events_per_s: float
    tenants: int
    models: int
    regions: int
    zones: int
    configuration_changes_per_day: int
    machines_failed_per_day: int
    machines_replaced_per_day: int


class Allowance(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What one node may spend on control."""

    cpu_share: float
    memory_bytes: int
    bytes_per_s: float


class Target(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Target size and allowance."""

    size: TargetSize
    allowance: Allowance


class Driver(enum.StrEnum):
    """What a cost grows with, counted for one node (or one agent, for role ``agent``)."""

    CONSTANT = "constant"
    NODES = "nodes"
    TENANTS = "tenants"
    REQUESTS_PER_S = "requests per node and second"
    RUNNERS = "runners per node"
    RUNNERS_IN_ALL = "runners"
    BLOCKS = "cached blocks per node"
    CACHE_EVENTS_PER_S = "cache events per node and second"
    CHANGES_PER_S = "configuration changes per second"
    MEMBER_CHANGES_PER_S = "failures and restarts of machines per second"
    REQUESTS_IN_ALL_PER_S = "requests per second, all agents"
    TOKENS_PER_S = "output tokens per second, all agents"


class Figure(enum.StrEnum):
    """The figures of a line."""

    CPU = "cpu"
    BYTES = "bytes"
    MESSAGES = "messages"
    MEMORY = "memory"


class Spread(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Least and greatest value over repeated runs."""

    least: float
    greatest: float
    runs: int


class Slope(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A measured cost per unit of its driver.

    Attributes:
        role: whose cost it is; lines of one role add up.
        cpu_us: processor time, in microseconds per unit (and second, for a rate).
        sent_bytes: control bytes sent per unit (and second).
        messages: control messages sent per unit (and second).
        state_bytes: memory held per unit.
        mechanism: file that carries the line.
        run: command that gave the figures.
        result: file with its output.
        note: what the figure leaves out.
        unmeasured: figures that nobody has measured; they are told, never counted as nothing.
        cpu_us_spread: of ``cpu_us`` over repeated runs, None for a single run.
    """

    role: str
    name: str
    driver: Driver
    mechanism: str
    run: str
    result: str
    cpu_us: float = 0.0
    sent_bytes: float = 0.0
    messages: float = 0.0
    state_bytes: float = 0.0
    note: str = ""
    unmeasured: list[Figure] = []
    cpu_us_spread: Spread | None = None


class Line(msgspec.Struct, frozen=True):
    """One line of the table: a slope at the target size, per process."""

    role: str
    name: str
    driver: str
    units: float
    cpu_share: float
    bytes_per_s: float
    messages_per_s: float
    state_bytes: float
    mechanism: str
    result: str
    note: str
    unmeasured: list[Figure] = []
    cpu_share_spread: Spread | None = None


def load_target() -> Target:
    """Read the target size that comes with the package."""
    text = resources.files(__package__).joinpath("target.toml").read_text(encoding="utf-8")
    return msgspec.convert(tomllib.loads(text), type=Target)


def units_at(driver: Driver, size: TargetSize) -> float:
    """Return how many units of a driver fall on one process at a size."""
    per_node = {
        Driver.CONSTANT: 1.0,
        Driver.NODES: float(size.nodes),
        Driver.TENANTS: float(size.tenants),
        Driver.REQUESTS_PER_S: size.requests_per_s / size.nodes,
        Driver.RUNNERS: size.runners / size.nodes,
        Driver.RUNNERS_IN_ALL: float(size.runners),
        Driver.BLOCKS: size.cached_blocks / size.nodes,
        Driver.CACHE_EVENTS_PER_S: size.cache_events_per_s / size.nodes,
        Driver.CHANGES_PER_S: size.configuration_changes_per_day / SECONDS_PER_DAY,
        Driver.MEMBER_CHANGES_PER_S: (
            (size.machines_failed_per_day + size.machines_replaced_per_day) / SECONDS_PER_DAY
        ),
        Driver.REQUESTS_IN_ALL_PER_S: size.requests_per_s,
        Driver.TOKENS_PER_S: size.output_tokens_per_s,
    }
    return per_node[driver]
