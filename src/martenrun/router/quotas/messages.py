"""What routers tell each other of tenants' rates, in datagrams."""

import enum

import msgspec


class QuotaStage(enum.IntEnum):
    """What a router tells of its part in keeping accounts."""

    NONE = 0
    """It keeps none and asks nobody: a program of before rates."""

    BEGUN = 1
    """It keeps accounts, and may not know of all that others granted before it began."""

    WARM = 2
    """It has kept accounts for a whole window."""


class ToldLimit(msgspec.Struct, array_like=True, frozen=True):
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
    limit: ToldLimit
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
    """What a grant is worth from now on: 0 units if nothing was used of it.

    Attributes:
        teller: the router that keeps the account as well and passes the asker's word on, if one.
    """

    tenant: str
    asker: str
    number: int
    units: int
    limit: ToldLimit
    teller: str = ""


class QuotaSeen(msgspec.Struct, array_like=True, frozen=True, tag="seen"):
    """Answers one that passes uses on: the other keeper is there."""

    keeper: str


QuotaMessage = QuotaAsk | QuotaAnswer | QuotaUse | QuotaSeen
