"""Messages that routers exchange about rate-limited accounts, sent as datagrams."""

import enum

import msgspec

from martenrun.net.wire_types import Amount, Milliseconds


class QuotaStage(enum.IntEnum):
    """How far a router takes part in owning accounts."""

    NONE = 0
    """It owns no accounts and requests no grants: a version without rate limits."""

    JOINING = 1
    """It owns accounts and has run for less than one window."""

    ESTABLISHED = 2
    """It has run for at least one window."""


class VersionedLimit(msgspec.Struct, array_like=True, frozen=True):
    """A limit as known to the requester; the one of the newest configuration applies."""

    configuration: int
    units_per_s: Amount
    burst_units: Amount


class QuotaRequest(msgspec.Struct, array_like=True, frozen=True, tag="quota"):
    """Requests units of an account.

    Attributes:
        requester: internal address that the response is sent to.
        number: identifies the grant among those of its requester, over all its incarnations.
        is_final: the receiver must decide by its own account instead of forwarding the request.
    """

    tenant: str
    requester: str
    number: int
    units: int
    limit: VersionedLimit
    is_final: bool = False


class QuotaResponse(msgspec.Struct, array_like=True, frozen=True, tag="granted"):
    """Reports whether units were granted, and otherwise the delay before a retry.

    Attributes:
        owner: internal address of the router that decided.
        balance: units left in its account afterwards; negative if the account is overdrawn.
    """

    number: int
    is_granted: bool
    wait_ms: Milliseconds = 0
    owner: str = ""
    balance: int = 0


class QuotaUse(msgspec.Struct, array_like=True, frozen=True, tag="used"):
    """Sets the units used by a grant; 0 if it was not used.

    Attributes:
        forwarder: the owner that replicates the use; empty if the requester itself sent it.
    """

    tenant: str
    requester: str
    number: int
    units: int
    limit: VersionedLimit
    forwarder: str = ""


class QuotaAck(msgspec.Struct, array_like=True, frozen=True, tag="seen"):
    """Acknowledges replicated uses, which shows that the other owner is reachable."""

    replica: str


class RecallRequest(msgspec.Struct, array_like=True, frozen=True, tag="recall"):
    """Asks all routers for the grants of an account within the last window.

    Attributes:
        requester: internal address that the response is sent to.
    """

    tenant: str
    requester: str


class RecalledUse(msgspec.Struct, array_like=True, frozen=True):
    """A grant as remembered by a router.

    Attributes:
        requester, number: identify the grant.
        units: units used by it.
        age_ms: time since it was granted, in milliseconds.
    """

    requester: str
    number: int
    units: int
    age_ms: Milliseconds


class RecalledAccount(msgspec.Struct, array_like=True, frozen=True):
    """A router's copy of an account.

    Attributes:
        balance: units left; negative if the account is overdrawn.
        covered_ms: for how long every grant has been counted, at most one window, in milliseconds.
        uses: the grants of the last window that the balance includes.
    """

    balance: int
    covered_ms: Milliseconds
    uses: list[RecalledUse]


class RecallResponse(msgspec.Struct, array_like=True, frozen=True, tag="memory"):
    """Responds to a recall request.

    Attributes:
        sender: internal address of the responding router.
        remembered_ms: how far back its own grants are complete, at most one window.
        uses: the grants that it obtained itself.
        account: its copy of the account, if that is current.
    """

    tenant: str
    sender: str
    remembered_ms: Milliseconds
    uses: list[RecalledUse]
    account: RecalledAccount | None = None


QuotaMessage = QuotaRequest | QuotaResponse | QuotaUse | QuotaAck | RecallRequest | RecallResponse
