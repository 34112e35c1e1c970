"""A request that may not be repeated runs at most once, whichever edge its copies reach."""

from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import Executed, History, RequestInvoked

PROMISE = "at_most_once"


def check_at_most_once(history: History) -> list[Violation]:
    """Find second executions for the same tenant and idempotency key.

    A request without a key is its own operation.
    """
    operations = {
        record.request_id: (record.tenant, record.idempotency_key or record.request_id)
        for record in history.of(RequestInvoked)
        if not record.repeatable
    }
    first: dict[tuple[str, str], Executed] = {}
    found: list[Violation] = []
    for run in history.of(Executed):
        operation = operations.get(run.request_id)
        if operation is None:
            continue
        earlier = first.setdefault(operation, run)
        if earlier is not run:
            detail = f"run at {earlier.engine} and again at {run.engine}"
            found.append(Violation(PROMISE, run.request_id, run.time_s, detail))
    return found
