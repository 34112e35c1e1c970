"""Forwards one caller's request to runners and returns the response."""

from collections.abc import Callable
from functools import partial

import attrs

from martenrun.net.exchange import Exchange
from martenrun.net.http import end_to_end
from martenrun.net.loop import Timer
from martenrun.router.attempt import STATUS_SERVER_ERROR, Attempt, SentRequest
from martenrun.router.caller_stream import CallerStream
from martenrun.router.messages import AMBIGUOUS_SOFTWARE, AdmittedRequest
from martenrun.router.peer_route import PeerRoute
from martenrun.router.quotas.gate import Grant
from martenrun.router.request_quota import RequestQuota
from martenrun.router.request_services import RequestServices
from martenrun.router.request_trace import RequestTrace
from martenrun.router.resume_polling import ResumePolling
from martenrun.router.retry import MAXIMUM_SENDS, AttemptState, Failure, NextStep, next_step
from martenrun.router.runner_choice import RunnerChoice
from martenrun.router.runner_sender import RunnerSender
from martenrun.router.runner_state import RunnerState

STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503

RUNNER_POLL_INTERVAL_S = 0.025
"""Delay before a waiting request tries again to choose a runner, in seconds."""


class RequestForwarder:
    """Forwards one admitted request: chooses runners, repeats failed attempts, responds.

    Args:
        exchange: HTTP exchange with the caller.
        on_end: called once when the request has ended.
    """

    def __init__(
        self,
        services: RequestServices,
        exchange: Exchange,
        admitted: AdmittedRequest,
        on_end: Callable[["RequestForwarder"], None],
    ) -> None:
        self._services = services
        self._exchange = exchange
        self._admitted = admitted
        self._on_end = on_end
        self._started_at = exchange.request.received_at
        forwarded = admitted.call.forwarded
        self._possible_runs = 0 if forwarded is None else forwarded.runs
        self._may_have_arrived = False
        self._attempt: SentRequest | None = None
        self._caller_stream = CallerStream(
            services.loop,
            exchange,
            admitted.call.last_event_id,
            admitted.software,
            tells_software=forwarded is not None and forwarded.service == admitted.service,
        )
        self._trace = RequestTrace(services.loop, admitted)
        self._parameters = services.decisions.forwarding
        self._runner_choice = RunnerChoice(
            services,
            exchange.request,
            admitted,
            lambda: self._caller_stream.required_software,
        )
        self._crash_check = self._runner_choice.crash_check
        self._resume_polling = ResumePolling(self._runner_choice, self._caller_stream)
        self._is_software_unknown = False
        self._quota = RequestQuota(services.quotas, admitted)
        self._sender = RunnerSender(
            services,
            exchange.request,
            admitted,
            self._caller_stream,
            self._runner_choice,
            self._quota,
            self._trace,
            self,
            self._set_attempt,
        )
        self._peer_route = PeerRoute(services, exchange.request, admitted)
        self._is_over_limit = False
        self.is_over = False
        exchange.on_disconnect = self._on_caller_disconnected
        exchange.on_drained = lambda: self._pause(False)
        left_s = admitted.give_up_at - services.loop.now()
        self._timer: Timer = services.loop.call_later(max(0.0, left_s), self._on_timeout)

    @property
    def admitted(self) -> AdmittedRequest:
        """The admitted request."""
        return self._admitted

    def start(self) -> None:
        """Obtain a quota grant if one is needed, then send the request to its first runner."""
        configuration, earlier = self._services.configuration, self._exchange.earlier_requests
        self._trace.record_admitted(self._admitted, configuration, earlier)
        peer = self._next_peer()
        if peer is not None:
            self._forward_to(peer)
        elif self._quota.needs_grant:
            self._quota.obtain(self._on_grant)
        else:
            self._start_routing()

    def _on_grant(self, grant: Grant) -> None:
        self._trace.record_grant(grant)
        if self.is_over:
            return
        if grant.is_granted:
            self._start_routing()
        else:
            # Requests over their tenant's limit do not count as demand in overload control.
            reason = "over_limit" if grant.is_conclusive else "limit_unsure"
            status = STATUS_TOO_MANY_REQUESTS if grant.is_conclusive else STATUS_UNAVAILABLE
            self._refuse(reason, grant.wait_s if grant.is_conclusive else 0.0, status)

    def _start_routing(self) -> None:
        self._runner_choice.record_demand()
        self._choose_runner()

    def _choose_runner(self) -> None:
        if self.is_over:
            return
        if self._services.loop.now() >= self._admitted.give_up_at:
            # The process was suspended: this call was scheduled before the deadline.
            self._on_timeout()
            return
        block = self._crash_check.block()
        if block is not None:
            # All runners that ran requests like it crashed; refusing it prevents further crashes.
            self._trace.record("ends_runners", fingerprint=block.key.hex(), part=block.part)
            self._refuse("ends_runners", block.left_s)
            return
        peer = self._next_peer()
        if peer is not None:
            self._forward_to(peer)
            return
        state = self._runner_choice.choose()
        if state is None and self._is_software_gone():
            self._refuse("software_not_listed")
        elif state is None:
            self._wait_or_refuse("no_runner")
        elif not self._sender.attempted_instances and not self._runner_choice.can_start_soon(state):
            self._refuse_for_overload(state)
        elif self._sender.attempted_instances and not self._is_within_budget():
            self._refuse("retry_budget")
        else:
            self._sender.send(state, self._choose_runner)

    def _is_software_gone(self) -> bool:
        """Return whether no listed runner may resume the stream."""
        is_bound = self._caller_stream.required_software is not None
        return is_bound and not self._runner_choice.has_listed_runner()

    def _refuse_for_overload(self, state: RunnerState) -> None:
        """Refuse at once: prompts waiting here would all be sent when the backlog is prefilled."""
        wait_s = self._runner_choice.wait_s(state)
        self._trace.record(
            "held_back",
            instance=state.runner.instance,
            backlog=int(state.backlog_tokens),
            wait_ms=round(wait_s * 1000),
        )
        self._refuse("overload", wait_s)

    # Sending

    def _next_peer(self) -> str | None:
        """Return the router to forward the request to, or None; repeats need the retry budget."""
        if self._may_have_arrived and not self._is_within_budget():
            return None
        return self._peer_route.next_peer(self._caller_stream.required_software is not None)

    def _forward_to(self, peer: str) -> None:
        if self._may_have_arrived:
            budget = self._services.retry_budget(self._admitted.service)
            budget.record_retry(self._services.loop.now())
        self._trace.record("forwarded", router=peer, runs=self._possible_runs)
        self._attempt = self._peer_route.send(
            peer,
            self,
            self._possible_runs,
            self._caller_stream.last_event_id,
            self._caller_stream.required_software,
        )

    def _set_attempt(self, attempt: Attempt) -> None:
        self._attempt = attempt

    # Callbacks of an attempt

    def on_response_head(self, attempt: SentRequest) -> None:
        """Record that a stream's response head has arrived."""
        self._trace.record("answering", instance=attempt.target, status=attempt.status)

    def on_stream_data(self, data: bytes) -> None:
        """Forward the complete events to the caller; raises BrokenStreamError."""
        if self._attempt is not None:
            self._caller_stream.forward(self._attempt, data)
        if self._exchange.is_congested:
            self._pause(True)

    def on_stream_complete(self, attempt: SentRequest) -> None:
        """End the response if the stream is complete, else fail the attempt."""
        is_empty = not self._caller_stream.has_events
        if self._caller_stream.has_partial_event or (is_empty and attempt.ends_by_connection):
            self._break_off(attempt)
        else:
            self._check_end(attempt, lambda: self._end_stream(attempt))

    def _end_stream(self, attempt: SentRequest) -> None:
        self._caller_stream.finish(attempt)
        self._exchange.end()
        self._end("served", attempt)

    def on_response_complete(self, attempt: Attempt) -> None:
        """Return a complete buffered response, or retry a server error of a repeatable request."""
        self._check_end(attempt, lambda: self._end_buffered(attempt))

    def _end_buffered(self, attempt: Attempt) -> None:
        if attempt.status >= STATUS_SERVER_ERROR and self._admitted.route.may_repeat:
            self.on_failure(Failure.RUN_FAILED, attempt)
        else:
            self._return_response(attempt)

    def _check_end(self, attempt: SentRequest, end: Callable[[], None]) -> None:
        """End a complete response, unless the end of its runner may have cut it."""

        def on_checked(may_be_cut: bool) -> None:
            if self.is_over or self._attempt is not attempt:
                return
            if may_be_cut:
                self._break_off(attempt)
            else:
                end()

        self._crash_check.check_end(attempt, on_checked)

    def _break_off(self, attempt: SentRequest) -> None:
        """Fail an attempt whose response ended too early."""
        if isinstance(attempt, Attempt):
            attempt.was_interrupted = True
        self.on_failure(Failure.BROKEN, attempt)

    def on_peer_response(self, attempt: SentRequest) -> None:
        """Return the response of another router, which is final."""
        metadata = self._services.adapter.read_response_metadata(attempt.status, attempt.headers)
        self._return_response(attempt, "served" if metadata.is_signed else "failed_at_peer")

    def _return_response(self, attempt: SentRequest, outcome: str = "served") -> None:
        if self._exchange.has_started:
            self._abort(attempt)
            return
        self._exchange.respond(attempt.status, end_to_end(attempt.headers), attempt.body)
        self._end(outcome, attempt)

    def on_failure(self, failure: Failure, attempt: SentRequest) -> None:
        """Handle a failed attempt by the step that :func:`next_step` returns."""
        if self.is_over:
            return
        self._attempt = None
        may_have_run = failure in (Failure.BROKEN, Failure.RUN_FAILED)
        self._possible_runs += may_have_run
        self._may_have_arrived = self._may_have_arrived or failure is not Failure.NOT_SENT
        self._quota.record_failure(may_have_run)
        self._caller_stream.discard_partial_event()
        go_on = partial(self._confirm_software, failure, attempt)
        if isinstance(attempt, Attempt) and attempt.was_interrupted:
            self._crash_check.handle_disconnect(attempt.state)
            if self._admitted.route.may_repeat:
                # The crash check finds within milliseconds whether the runner crashed.
                detector = self._services.suspects.detector
                detector.call_when_resolved(attempt.state.runner.instance, go_on)
                return
        go_on()

    def _confirm_software(self, failure: Failure, attempt: SentRequest) -> None:
        """Continue once it is known whether the runner's entry shows what wrote a begun stream."""

        def on_confirmed(is_confirmed: bool) -> None:
            if not is_confirmed and not self.is_over:
                self.mark_software_unknown(attempt)
            self._continue(failure, attempt)

        if self._caller_stream.first_event_at is not None and isinstance(attempt, Attempt):
            attempt.confirm_software(on_confirmed)
        else:
            self._continue(failure, attempt)

    def _continue(self, failure: Failure, attempt: SentRequest) -> None:
        """Retry the request at another runner or router, or end it."""
        if self.is_over:
            return
        now = self._services.loop.now()
        peer = self._next_peer()
        has_lost_all_runners = self._peer_route.has_lost_all_runners()
        state = None if has_lost_all_runners else self._runner_choice.choose()
        has_other = peer is not None or state is not None
        attempt_state = self._attempt_state(has_other, now)
        step = next_step(failure, attempt_state)
        if step is NextStep.ABORT_RESPONSE and self._resume_polling.may_wait(
            failure, attempt_state, now
        ):
            delay_s = self._resume_polling.next_delay_s()
            self._services.loop.call_later(delay_s, lambda: self._continue(failure, attempt))
            return
        self._trace.record_failed_attempt(
            attempt.target,
            attempt.status,
            failure,
            attempt.connection_failure,
            step,
            self._possible_runs,
        )
        if step is NextStep.SEND_AGAIN and peer is not None:
            self._forward_to(peer)
        elif step is NextStep.SEND_AGAIN and state is not None:
            self._send_again(state, failure, attempt)
        elif step is NextStep.FORWARD_RESPONSE:
            self._return_response(attempt)
        elif step is NextStep.REFUSE and has_lost_all_runners:
            self._refuse("runners_unreachable", self._peer_route.refusal_delay_s())
        elif step is NextStep.REFUSE:
            self._wait_or_refuse(failure.value)
        elif step is NextStep.ABORT_RESPONSE:
            self._abort(attempt)
        else:
            self._respond(502, "unknown", attempt)

    def _send_again(self, state: RunnerState, failure: Failure, attempt: SentRequest) -> None:
        """Send the request to another runner; a repeated run also counts against the quota."""
        if not self._quota.needs_grant:
            self._sender.send(state, lambda: self._continue(failure, attempt))
            return

        def continue_with_grant(grant: Grant) -> None:
            self._trace.record_grant(grant)
            self._is_over_limit = not grant.is_granted
            self._continue(failure, attempt)

        self._quota.obtain(continue_with_grant)

    def _attempt_state(self, has_other_runner: bool, now: float) -> AttemptState:
        admitted = self._admitted
        return AttemptState(
            may_repeat=admitted.route.may_repeat and self._caller_stream.may_resume,
            maximum_attempts=admitted.route.maximum_attempts,
            runs=self._possible_runs,
            sends=len(self._sender.attempted_instances),
            has_response_started=self._exchange.has_started,
            left_s=admitted.give_up_at - now,
            is_within_budget=self._is_within_budget() and not self._is_over_limit,
            has_other_runner=has_other_runner,
            is_blocked=self._crash_check.forbids_sending(self._possible_runs),
        )

    def _is_within_budget(self) -> bool:
        services = self._services
        budget = services.retry_budget(self._admitted.service)
        return budget.may_retry(services.loop.now(), services.router_count())

    # Ending the request

    def _wait_or_refuse(self, reason: str) -> None:
        """Try again shortly, or refuse early enough for the caller to be served elsewhere."""
        if self._runner_choice.are_all_draining():
            self._refuse("runners_draining", self._peer_route.refusal_delay_s())
            return
        waited_s = self._services.loop.now() - self._started_at
        limit_s = self._admitted.route.objective_s * self._parameters.waiting_share
        blocked_s = self._runner_choice.all_blocked_for_s()
        next_choice_s = max(RUNNER_POLL_INTERVAL_S, blocked_s or 0.0)
        if (
            waited_s + next_choice_s > limit_s
            or len(self._sender.attempted_instances) >= MAXIMUM_SENDS
        ):
            if blocked_s is None:
                self._refuse(reason)
            else:
                reason = self._runner_choice.blocking_reason()
                self._refuse(reason, self._runner_choice.retry_delay_s(blocked_s))
            return
        self._runner_choice.tried_instances.clear()
        self._services.loop.call_later(RUNNER_POLL_INTERVAL_S, self._choose_runner)

    def _refuse(
        self, reason: str, retry_after_s: float = 0.0, status: int = STATUS_UNAVAILABLE
    ) -> None:
        """Respond that the request has not run, with a Retry-After time."""
        retry_after = b"%.2f" % max(self._parameters.retry_after_s, retry_after_s)
        self._exchange.respond(status, [(b"Retry-After", retry_after)])
        self._end("refused", None, reason=reason)

    def _respond(self, status: int, outcome: str, attempt: SentRequest | None) -> None:
        self._exchange.respond(status, [])
        self._end(outcome, attempt)

    def _abort(self, attempt: SentRequest | None) -> None:
        self._exchange.abort()
        self._end("broken_off", attempt)

    def _on_caller_disconnected(self) -> None:
        self._end("caller_left", self._attempt)

    def _on_timeout(self) -> None:
        if self._exchange.has_started:
            self._abort(self._attempt)
        elif self._possible_runs or (self._attempt is not None and self._attempt.was_sent):
            self._respond(504, "timed_out", self._attempt)
        else:
            self._refuse("timed_out")

    @property
    def runner_attempt(self) -> Attempt | None:
        """The attempt in progress at a runner, if there is one."""
        return self._attempt if isinstance(self._attempt, Attempt) else None

    def may_repeat(self, now: float) -> bool:
        """Return whether the request may be sent elsewhere if the attempt in progress breaks."""
        has_other = self._next_peer() is not None or self._runner_choice.choose() is not None
        state = self._attempt_state(has_other, now)
        failed = attrs.evolve(state, runs=state.runs + 1)
        return next_step(Failure.BROKEN, failed) is NextStep.SEND_AGAIN

    def break_attempt(self, attempt: Attempt) -> None:
        """Give up an attempt at a runner, which may have executed the request."""
        attempt.cancel()
        self.on_failure(Failure.BROKEN, attempt)

    @property
    def is_software_unknown(self) -> bool:
        """Whether it is unknown which software version wrote the stream's events."""
        return self._is_software_unknown

    def mark_software_unknown(self, attempt: SentRequest) -> None:
        """Let the stream go on only at its runner, also if the caller resumes it."""
        self._is_software_unknown = True
        self._caller_stream.required_software = AMBIGUOUS_SOFTWARE
        self._services.record_stream(self._admitted, AMBIGUOUS_SOFTWARE, self._started_at)
        self._trace.record("software_unknown", instance=attempt.target)

    def record_restart(self, attempt: Attempt) -> None:
        """Record that the runner of an attempt has restarted while it served the request."""
        self._crash_check.record_restart(attempt.state)

    def shut_down(self) -> None:
        """End the request because the process stops."""
        self._on_timeout()

    def _end(self, outcome: str, attempt: SentRequest | None, reason: str | None = None) -> None:
        if self.is_over:
            return
        self.is_over = True
        grant = self._quota.last_grant
        self._quota.close()
        self._sender.close()
        self._timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        duration_s = self._services.loop.now() - self._started_at
        self._services.record_outcome(outcome, self._admitted.route, duration_s)
        self._trace.end(
            outcome,
            reason=reason,
            instance=None if attempt is None else attempt.target,
            status=None if attempt is None else attempt.status,
            tries=len(self._sender.attempted_instances),
            total_ms=round(duration_s * 1000, 1),
            **self._caller_stream.summary(self._started_at),
            quota_owner=None if grant is None else grant.owner,
            quota_balance=None if grant is None else round(grant.balance),
        )
        self._on_end(self)

    def _pause(self, is_paused: bool) -> None:
        if self._attempt is not None and self._attempt.connection is not None:
            self._attempt.connection.pause(is_paused)
