"""What routers tell each other of tenants' rates, in datagrams."""

import enum

import msgspec


class QuotaStage(enum.IntEnum):
    """What a router tells of its part in owning accounts."""

    NONE = 0
    """It owns none and asks nobody: a version without rates."""

    JOINING = 1
    """It owns accounts and has run for less than a window."""

    ESTABLISHED = 2
    """It has run for a whole window."""


class VersionedLimit(msgspec.Struct, array_like=True, frozen=True):
    """A tenant's limit as the asker knows it: of two, that of the later configuration holds."""

    configuration: int
    units_per_s: float
    burst_units: float


class QuotaAsk(msgspec.Struct, array_like=True, frozen=True, tag="quota"):
    """Asks whether a tenant may use so many units now.

    Attributes:
        asker: internal address that the answer goes to.
        number: names the grant among those of its asker, over all its lives.
        is_final: the listener answers by its own account, whoever it believes to keep it.
    """

    tenant: str
    asker: str
    number: int
    units: int
    limit: VersionedLimit
    is_final: bool = False


class QuotaAnswer(msgspec.Struct, array_like=True, frozen=True, tag="granted"):
    """Whether they may be used, or in how many milliseconds it may be asked again.

    Attributes:
        owner: internal address of the router that decided.
        balance: units left in its account afterwards; below zero there is a debt.
    """

    number: int
    is_granted: bool
    wait_ms: int = 0
    owner: str = ""
    balance: int = 0


class QuotaUse(msgspec.Struct, array_like=True, frozen=True, tag="used"):
    """What a grant is use_now from now on: 0 units if nothing was used of it.

    Attributes:
        forwarder: the other owner that replicates the use, empty where the asker itself tells it.
    """

    tenant: str
    asker: str
    number: int
    units: int
    limit: VersionedLimit
    forwarder: str = ""


class QuotaAck(msgspec.Struct, array_like=True, frozen=True, tag="seen"):
    """Acknowledges replicated uses: the other owner is in touch."""

    replica: str


class QuotaRecall(msgspec.Struct, array_like=True, frozen=True, tag="recall"):
    """Asks every router what it knows of a tenant's grants within the last window.

    Attributes:
        asker: internal address that the answer goes to.
    """

    tenant: str
    asker: str


class RecalledUse(msgspec.Struct, array_like=True, frozen=True):
    """A grant as a router remembers it.

    Attributes:
        asker, number: name the grant.
        units: what was used of it.
        age_ms: how long ago it was granted, in milliseconds.
    """

    asker: str
    number: int
    units: int
    age_ms: int


class RecalledAccount(msgspec.Struct, array_like=True, frozen=True):
    """A router's account of a tenant.

    Attributes:
        balance: units left; below zero there is a debt.
        covered_ms: for how long it has counted every grant, a window at most, in milliseconds.
        uses: the grants of the last window that the balance contains.
    """

    balance: int
    covered_ms: int
    uses: list[RecalledUse]


class QuotaMemory(msgspec.Struct, array_like=True, frozen=True, tag="memory"):
    """Answers a recall.

    Attributes:
        sender: internal address of the router that answers.
        remembered_ms: how far back it remembers its own grants, a window at most.
        uses: its own grants.
        account: its account, if that is current.
    """

    tenant: str
    sender: str
    remembered_ms: int
    uses: list[RecalledUse]
    account: RecalledAccount | None = None


QuotaMessage = QuotaAsk | QuotaAnswer | QuotaUse | QuotaAck | QuotaRecall | QuotaMemory
