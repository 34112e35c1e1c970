"""Orders to the stand-in engine and the fencing tokens that guard them."""

import enum

import msgspec

from martenrun.standins.engine.refusals import RefusalCode, RefusedError


class OrderAction(enum.StrEnum):
    """What an order asks for; ``value`` of the order names the version, adapter or role."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    LOAD_MODEL = "load_model"


class Role(enum.StrEnum):
    """Which phase of requests the engine serves."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``; ``model`` belongs to ``load_model``."""

    fence: int
    incarnation: str
    action: OrderAction
    value: str
    model: str = ""


class FenceGuard:
    """Lets orders through whose fencing token is not lower than any earlier one.

    The caller serializes the calls.
    """

    def __init__(self, incarnation: str) -> None:
        self.fence = 0
        self._incarnation = incarnation
        self._seen: Order | None = None
        self._accepted: Order | None = None

    def check(self, order: Order) -> bool:
        """Return whether the order is still to be carried out; an accepted one is not.

        Raises:
            RefusedError: it is for another incarnation, or its token is too low, or another
                order came with the same token.
        """
        if order.incarnation != self._incarnation:
            message = f"the engine's incarnation is {self._incarnation}"
            raise RefusedError(RefusalCode.ANOTHER_INCARNATION, message)
        if order.fence <= self.fence and order != self._seen:
            message = f"an order with fencing token {self.fence} came before"
            raise RefusedError(RefusalCode.STALE_FENCE, message)
        self.fence = order.fence
        self._seen = order
        return order != self._accepted

    def renamed(self, incarnation: str) -> "FenceGuard":
        """Return the guard of the incarnation that an accepted order has led to.

        The fencing token stays, and the same order for the new incarnation is carried out
        already.
        """
        guard = FenceGuard(incarnation)
        guard.fence = self.fence
        if self._seen is not None and self._seen == self._accepted:
            guard._seen = guard._accepted = msgspec.structs.replace(
                self._seen, incarnation=incarnation
            )
        return guard

    def accept(self, order: Order) -> None:
        """Remember that an order is being carried out."""
        self._accepted = order
