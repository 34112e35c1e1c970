"""Trace of one request, buffered until its outcome decides whether it is logged."""

from martenrun.net.loop import Loop
from martenrun.router.log import Value, log_event, log_warning
from martenrun.router.messages import AdmittedRequest
from martenrun.router.quotas.gate import Grant
from martenrun.router.retry import Failure, NextStep
from martenrun.router.runner_state import RunnerState
from martenrun.router.store.state import ConfigurationState

SUCCESSES = ("served", "caller_left")
"""Outcomes that are no failure of the router."""


class RequestTrace:
    """Steps of a request; all of them are logged if it fails, else only its outcome."""

    def __init__(self, loop: Loop, admitted: AdmittedRequest) -> None:
        self._loop = loop
        self._steps: list[tuple[float, str, dict[str, Value]]] = []
        resumed = admitted.call.resumed_id
        self._resumed = None if resumed is None else resumed.decode("latin-1")
        self._common_fields: dict[str, Value] = {
            "request": admitted.call.request_id.decode("latin-1"),
            "route": admitted.route.name,
        }

    def record(self, event: str, **fields: Value) -> None:
        """Record a step."""
        self._steps.append((self._loop.now(), event, fields))

    def record_admitted(
        self, admitted: AdmittedRequest, configuration: ConfigurationState, earlier_requests: int
    ) -> None:
        """Record that the request was admitted, and the configuration that admitted it."""
        self.record(
            "admitted",
            service=admitted.service,
            tenant=None if admitted.tenant is None else admitted.tenant.name,
            configuration=configuration.version or None,
            store_era=configuration.era,
            configuration_age_ms=round(configuration.age_s(self._loop.now()) * 1000),
            earlier_requests=earlier_requests,
        )

    def record_grant(self, grant: Grant, event: str = "quota_asked") -> None:
        """Record the outcome of a request for units of a tenant's or a runner's limit."""
        self.record(
            event,
            units=grant.use.units,
            is_granted=grant.is_granted,
            routers=",".join(grant.asked),
            owner=grant.owner,
            balance=round(grant.balance),
            is_alone=grant.is_isolated,
            wait_ms=round(grant.wait_s * 1000),
        )

    def record_sent(self, state: RunnerState, model: str | None, attempts: int) -> None:
        """Record that the request was sent to a runner."""
        self.record(
            "sent",
            instance=state.runner.instance,
            load=state.load,
            backlog=int(state.backlog_tokens),
            weights=state.weights_version(model or ""),
            software=state.runner.software,
            is_draining=state.is_draining,
            is_backing_off=state.is_backing_off(self._loop.now()),
            tries=attempts,
        )

    def record_failed_attempt(
        self, instance: str, status: int, failure: Failure, cause: str, step: NextStep, runs: int
    ) -> None:
        """Record a failed attempt and the next step.

        Args:
            cause: how the connection failed; empty if it did not.
        """
        self.record(
            "try_failed",
            instance=instance,
            failure=failure.value,
            cause=cause,
            status=status,
            step=step.value,
            runs=runs,
        )

    def end(self, outcome: str, **fields: Value) -> None:
        """Log the outcome, preceded by the recorded steps if it is a failure."""
        fields["resumed"] = self._resumed
        if outcome in SUCCESSES:
            log_event(outcome, **self._common_fields, **fields)
            return
        for at, event, step in self._steps:
            log_warning(event, **self._common_fields, at_steady=round(at, 4), **step)
        log_warning(outcome, **self._common_fields, **fields)
