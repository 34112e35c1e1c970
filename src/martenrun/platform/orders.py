"""The control interface of runners: orders and reports."""

import msgspec

from martenrun.router.messages import HttpCall, OrderOutcome, RunnerReport, WeightsOrder

_OUTCOMES = {
    200: OrderOutcome.HOLDS_ALREADY,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_INSTANCE,
}


def order_weights(order: WeightsOrder) -> HttpCall:
    """Return the call that orders a runner to load weights."""
    body: dict[str, object] = {
        "op_type": "version",
        "model": order.model,
        "version": order.version,
        "mode": "wait" if order.lets_runs_finish else "keep",
        "holder": order.holder,
        "fence_token": order.fencing_token,
    }
    if order.expected_orders is not None:
        body["expected_rev"] = order.expected_orders
    headers = [
        (b"Content-Type", b"application/json"),
        (b"X-Expect-Instance", order.instance.encode()),
    ]
    return HttpCall(b"POST", b"/martenrun/order", headers, msgspec.json.encode(body))


def read_order_outcome(status: int) -> OrderOutcome:
    """Translate the status that an order is answered with."""
    return _OUTCOMES.get(status, OrderOutcome.REFUSED)


def ask_report() -> HttpCall:
    """Return the call for a runner's report."""
    return HttpCall(b"GET", b"/martenrun/report", [])


def read_report(body: bytes) -> RunnerReport:
    """Translate a runner's report; raises ValueError if it cannot be understood."""
    table = msgspec.json.decode(body)
    return RunnerReport(
        weights={model["name"]: int(model["version"]) for model in table.get("models") or []},
        is_loading=bool(table.get("busy", False)),
        orders_taken=int(table.get("call_seq", 0)),
        active=int(table.get("active", 0)),
    )
