"""Sends one request to runners, one attempt at a time."""

from collections.abc import Callable

from martenrun.net.http import HttpRequest, request_head
from martenrun.router.attempt import Attempt, AttemptListener, AttemptLoad
from martenrun.router.caller_stream import CallerStream
from martenrun.router.instance_check import InstanceCheck
from martenrun.router.messages import AdmittedRequest
from martenrun.router.quotas.gate import Grant
from martenrun.router.request_quota import RequestQuota
from martenrun.router.request_services import RequestServices
from martenrun.router.request_trace import RequestTrace
from martenrun.router.runner_access import RunnerAccess
from martenrun.router.runner_choice import RunnerChoice
from martenrun.router.runner_request import runner_dispatch
from martenrun.router.runner_state import RunnerState


class RunnerSender:
    """Sends a request to chosen runners, with the grants and checks that each send needs.

    Args:
        listener: receives the events of the attempts.
        on_started: called with each attempt before it is sent.

    Attributes:
        attempted_instances: the instances to which the request was sent, in order.
    """

    def __init__(
        self,
        services: RequestServices,
        request: HttpRequest,
        admitted: AdmittedRequest,
        caller_stream: CallerStream,
        runner_choice: RunnerChoice,
        quota: RequestQuota,
        trace: RequestTrace,
        listener: AttemptListener,
        on_started: Callable[[Attempt], None],
    ) -> None:
        self._services = services
        self._request = request
        self._admitted = admitted
        self._caller_stream = caller_stream
        self._runner_choice = runner_choice
        self._quota = quota
        self._trace = trace
        self._listener = listener
        self._on_started = on_started
        self._access = RunnerAccess(services, runner_choice.placement_query)
        self.attempted_instances: list[str] = []

    def send(self, state: RunnerState, choose_again: Callable[[], None]) -> None:
        """Send the request to a runner, or call back once a runner may be chosen again.

        A rate-limited runner needs a grant.  A stream that has begun is only sent to a runner whose
        instance was checked just before.
        """
        check = self._services.instance_check
        is_bound = self._caller_stream.required_software is not None
        if check is not None and is_bound and check.is_due(state):
            self._check_instance(check, state, choose_again)
            return
        if self._access.may_send(state):
            self._dispatch(state)
            return

        def on_runner_grant(grant: Grant) -> None:
            self._trace.record_grant(grant, "runner_grant_asked")
            self._services.loop.call_later(0.0, choose_again)

        self._access.obtain(state, on_runner_grant)

    def _check_instance(
        self, check: InstanceCheck, state: RunnerState, choose_again: Callable[[], None]
    ) -> None:
        def on_checked() -> None:
            if check.is_due(state):
                # Without its report the runner may have restarted with another software version.
                self._trace.record("instance_unconfirmed", instance=state.runner.instance)
                self._runner_choice.tried_instances.append(state.runner.instance)
            choose_again()

        check.run(state, on_checked)

    def close(self) -> None:
        """Give back unused grants when the request ends."""
        self._access.close()

    def _dispatch(self, state: RunnerState) -> None:
        services = self._services
        now = services.loop.now()
        if state.is_draining:
            services.count_notice("sent_while_draining")
        if state.is_backing_off(now):
            services.count_notice("sent_during_backoff")
        if self.attempted_instances:
            services.retry_budget(self._admitted.service).record_retry(now)
        else:
            self._runner_choice.record_admitted()
        self._runner_choice.tried_instances.append(state.runner.instance)
        self.attempted_instances.append(state.runner.instance)
        self._quota.record_sent()
        request = self._request
        placement = services.placement
        query = self._runner_choice.placement_query()
        last_event_id = self._caller_stream.last_event_id
        dispatch = runner_dispatch(services, self._admitted, state, query, last_event_id)
        headers = services.adapter.runner_headers(request.headers, dispatch)
        head = request_head(request.method, request.target, headers, len(request.body))
        load = AttemptLoad(
            prefill_tokens=placement.prefill_tokens(query, state),
            kv_cache_tokens=query.needed_tokens if query.parts else 0,
        )
        has_grant = self._access.has_grant(state)
        attempt = Attempt(
            services,
            self._admitted,
            self._listener,
            state,
            load,
            has_grant,
            lambda: self._runner_choice.crash_check.block() is not None,
        )
        attempt.permit = self._access.record_sent(state)
        self._on_started(attempt)
        placement.record_prefill(query, state)
        if self._caller_stream.first_event_at is None:
            services.record_stream(self._admitted, attempt.software, request.received_at)
        state.record_sent(now)
        self._trace.record_sent(state, self._admitted.call.model, len(self.attempted_instances))
        expected_id = (services.adapter.request_id_field, self._admitted.call.request_id)
        try:
            attempt.connection = services.pool.send(
                state,
                head,
                attempt,
                expected_id,
                self._admitted.route.may_repeat,
                request.body,
            )
        except OSError:
            attempt.on_broken(False)
            return
        if services.instance_check is not None and self._admitted.route.is_resumable:
            services.instance_check.run_for_connection(state, attempt.connection.opened_at)
