"""A request refused as not run was not run, neither before nor after the refusal."""

from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import Executed, History, RequestAnswered

PROMISE = "not_run"


def check_not_run(history: History) -> list[Violation]:
    """Find executions of requests whose answer says ``ran: no``."""
    refused = {answer.request_id for answer in history.of(RequestAnswered) if answer.ran == "no"}
    return [
        Violation(PROMISE, run.request_id, run.time_s, f"run at {run.engine}, refused as not run")
        for run in history.of(Executed)
        if run.request_id in refused
    ]
