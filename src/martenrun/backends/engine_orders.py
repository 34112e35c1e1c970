"""Adapter for fenced orders to engines: load a model, weights or an adapter, change role.

Each order carries a fencing token.  An engine refuses a token that is lower than one it has
seen, so that a holder of a lapsed permit cannot undo what its successor ordered.
"""

import enum

import msgspec
from urllib3.exceptions import HTTPError

from martenrun.backends.engine import EngineConnections

_TIMEOUT_S = 10.0


class OrderAction(enum.StrEnum):
    """What an order asks for."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    LOAD_MODEL = "load_model"


class OrderOutcome(enum.StrEnum):
    """What became of an order.

    ``STALE``: a higher fencing token came before.  ``RESTARTED``: the engine has another
    incarnation.  ``REFUSED``: the engine cannot carry it out, for example because the weights
    do not exist.  ``UNKNOWN``: it may or may not have taken effect; sending it again is safe.
    """

    ACCEPTED = "accepted"
    STALE = "stale"
    RESTARTED = "restarted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineOrder(msgspec.Struct, frozen=True):
    """One order.

    Attributes:
        fence: fencing token; rises with every grant of a permit.
        incarnation: the engine incarnation it is meant for.
        action: see :class:`OrderAction`.
        value: name of the weights version, adapter or role.
        model: the model to load; empty unless the action is ``LOAD_MODEL``.
    """

    fence: int
    incarnation: str
    action: OrderAction
    value: str
    model: str = ""


class _Error(msgspec.Struct):
    code: str = ""


class _Refusal(msgspec.Struct):
    error: _Error


_REFUSALS = {
    "stale_fence": OrderOutcome.STALE,
    "another_incarnation": OrderOutcome.RESTARTED,
    "invalid": OrderOutcome.REFUSED,
}


class EngineOrders:
    """Sends orders; used from driver threads."""

    def __init__(self, engines: EngineConnections) -> None:
        self._engines = engines

    def send(self, address: str, order: EngineOrder) -> OrderOutcome:
        """Send an order and return its outcome; does not raise."""
        try:
            response = self._engines.pool(address).request(
                "POST", "/v1/orders", body=msgspec.json.encode(order), timeout=_TIMEOUT_S
            )
        except HTTPError:
            return OrderOutcome.UNKNOWN
        if response.status == 202:
            return OrderOutcome.ACCEPTED
        try:
            refusal = msgspec.json.decode(response.data, type=_Refusal)
        except msgspec.MsgspecError:
            return OrderOutcome.UNKNOWN
        return _REFUSALS.get(refusal.error.code, OrderOutcome.UNKNOWN)
