"""The steps of one request, remembered until it is known whether they are worth writing."""

from martenrun.net.loop import Loop
from martenrun.router.log import Value, log_event, log_trouble
from martenrun.router.messages import Admitted
from martenrun.router.quotas.gate import Grant
from martenrun.router.retry import Failure, NextStep
from martenrun.router.runner_state import RunnerState


class RequestTrail:
    """Steps of a request; all of them are written if it fails, else only its outcome."""

    def __init__(self, loop: Loop, admitted: Admitted) -> None:
        self._loop = loop
        self._steps: list[tuple[float, str, dict[str, Value]]] = []
        self._known: dict[str, Value] = {
            "request": admitted.call.request_id.decode("latin-1"),
            "route": admitted.route.name,
        }

    def note(self, event: str, **fields: Value) -> None:
        """Remember a step."""
        self._steps.append((self._loop.now(), event, fields))

    def note_grant(self, grant: Grant, event: str = "quota_asked") -> None:
        """Remember the outcome of a request for units of a tenant's or a runner's limit."""
        self.note(
            event,
            units=grant.use.units,
            is_granted=grant.is_granted,
            routers=",".join(grant.asked),
            owner=grant.owner,
            balance=round(grant.balance),
            is_alone=grant.is_isolated,
            wait_ms=round(grant.wait_s * 1000),
        )

    def note_sent(self, state: RunnerState, model: str | None, tries: int) -> None:
        """Remember that the request was sent to a runner."""
        self.note(
            "sent",
            instance=state.runner.instance,
            load=state.load,
            backlog=int(state.backlog_tokens),
            weights=state.weights_version(model or ""),
            tries=tries,
        )

    def note_failed(
        self, instance: str, status: int, failure: Failure, step: NextStep, runs: int
    ) -> None:
        """Remember a failed try and the next step."""
        self.note(
            "try_failed",
            instance=instance,
            failure=failure.value,
            status=status,
            step=step.value,
            runs=runs,
        )

    def end(self, outcome: str, is_failure: bool, **fields: Value) -> None:
        """Write the outcome, and the steps before it if it is a failure."""
        if not is_failure:
            log_event(outcome, **self._known, **fields)
            return
        for at, event, step in self._steps:
            log_trouble(event, **self._known, at_steady=round(at, 4), **step)
        log_trouble(outcome, **self._known, **fields)
