"""Orders to the stand-in engine and the fencing tokens that guard them."""

import enum
import threading

import msgspec

from martenrun.standins.engine.refusals import RefusalCode, RefusedError


class OrderAction(enum.StrEnum):
    """What an order asks for; ``value`` of the order names the version, adapter or role."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Role(enum.StrEnum):
    """Which phase of requests the engine serves."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``."""

    fence: int
    incarnation: str
    action: OrderAction
    value: str


class FenceGuard:
    """Lets orders through whose fencing token is not lower than any earlier one."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._latest: Order | None = None

    @property
    def fence(self) -> int:
        """The highest token seen; 0 before the first order."""
        return 0 if self._latest is None else self._latest.fence

    def check(self, order: Order) -> bool:
        """Return whether the order is new; the same order again is not.

        Raises:
            RefusedError: it is for another incarnation, or its token is too low.
        """
        with self._lock:
            if order.incarnation != self._incarnation:
                message = f"the engine's incarnation is {self._incarnation}"
                raise RefusedError(RefusalCode.ANOTHER_INCARNATION, message)
            if order == self._latest:
                return False
            if order.fence <= self.fence:
                message = f"an order with fencing token {self.fence} came before"
                raise RefusedError(RefusalCode.STALE_FENCE, message)
            self._latest = order
            return True
