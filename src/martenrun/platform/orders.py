"""The control interface of runners: orders and reports."""

import msgspec

from martenrun.router.messages import HttpCall, OrderOutcome, WeightsOrder

_OUTCOME_BY_STATUS = {
    200: OrderOutcome.HOLDS_ALREADY,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_INSTANCE,
}


def order_weights(order: WeightsOrder) -> HttpCall:
    """Return the call that orders a runner to load a version of a model's weights."""
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
        (b"X-Expect-Instance", order.runner.encode()),
    ]
    return HttpCall(b"POST", b"/martenrun/order", headers, msgspec.json.encode(body))


def read_order_outcome(status: int) -> OrderOutcome:
    """Convert the status of the response to an order."""
    return _OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)


def report_request() -> HttpCall:
    """Return the call that requests a runner's report."""
    return HttpCall(b"GET", b"/martenrun/report", [])
