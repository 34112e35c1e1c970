"""One caller's request on its way: sent to runners, its answer carried back."""

from collections.abc import Callable

from martenrun.net.http import end_to_end, request_bytes
from martenrun.net.loop import Timer
from martenrun.net.server import Exchange
from martenrun.router.attempt import STATUS_SERVER_ERROR, Attempt, AttemptLoad
from martenrun.router.caller_stream import CallerStream
from martenrun.router.messages import Admitted
from martenrun.router.quotas.gate import Grant
from martenrun.router.request_quota import RequestQuota
from martenrun.router.retry import MAXIMUM_SENDS, Failure, NextStep, TryState, next_step
from martenrun.router.runner_access import RunnerAccess
from martenrun.router.runner_choice import RunnerChoice
from martenrun.router.runner_request import runner_dispatch
from martenrun.router.runner_state import RunnerState
from martenrun.router.trail import RequestTrail
from martenrun.router.world import World

STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503

LOOK_AGAIN_S = 0.025
"""How long a request waits until runners are looked at again, in seconds."""


class Forwarding:
    """Carries one request.

    Args:
        world: everything that the router knows and uses.
        exchange: the caller's side.
        admitted: the request.
        on_end: called once when the request is over.
    """

    def __init__(
        self,
        world: World,
        exchange: Exchange,
        admitted: Admitted,
        on_end: Callable[["Forwarding"], None],
    ) -> None:
        self._world = world
        self._exchange = exchange
        self._admitted = admitted
        self._on_end = on_end
        self._began_at = exchange.request.received_at
        self._sent_to: list[str] = []
        self._runs = 0
        self._attempt: Attempt | None = None
        self._stream = CallerStream(world.loop, exchange, admitted.call.last_event_id)
        self._trail = RequestTrail(world.loop, admitted)
        self._figures = world.decisions.forwarding
        self._choice = RunnerChoice(world, exchange.request, admitted)
        self._quota = RequestQuota(world.quotas, admitted)
        self._access = RunnerAccess(world)
        self._is_over_limit = False
        self.is_over = False
        exchange.on_gone = self._on_gone
        exchange.on_drained = lambda: self._pause(False)
        left_s = admitted.give_up_at - world.loop.now()
        self._timer: Timer = world.loop.call_later(max(0.0, left_s), self._on_timeout)

    @property
    def admitted(self) -> Admitted:
        """The request."""
        return self._admitted

    def start(self) -> None:
        """Take the request up: it is sent to its first runner."""
        table = self._world.configuration.table
        age_s = self._world.configuration.age_s(self._world.loop.now())
        self._trail.note(
            "admitted",
            service=self._admitted.service,
            tenant=None if self._admitted.tenant is None else self._admitted.tenant.name,
            configuration=None if table is None else table.configuration.version,
            configuration_age_ms=round(age_s * 1000),
        )
        if self._quota.needs_grant:
            self._quota.obtain(self._on_grant)
        else:
            self._take_up()

    def _on_grant(self, grant: Grant) -> None:
        self._trail.note_grant(grant)
        if self.is_over:
            return
        if grant.is_granted:
            self._take_up()
        else:
            # What is over its tenant's limit takes no part in the demand that others wait behind.
            reason = "over_limit" if grant.is_conclusive else "limit_unsure"
            status = STATUS_TOO_MANY if grant.is_conclusive else STATUS_UNAVAILABLE
            self._refuse(reason, grant.wait_s if grant.is_conclusive else 0.0, status)

    def _take_up(self) -> None:
        self._choice.note_asked()
        self._look_for_runner()

    def _look_for_runner(self) -> None:
        if self.is_over:
            return
        if self._world.loop.now() >= self._admitted.give_up_at:
            # The machine stood still: this look was due before the end of the deadline.
            self._on_timeout()
            return
        held_s = self._choice.held_back_s()
        if held_s:
            # It has ended all runners that ran it: refused here it ends no more of them.
            fingerprint = self._choice.known_fingerprint() or b""
            self._trail.note("ends_runners", fingerprint=fingerprint.hex())
            self._refuse("ends_runners", held_s)
            return
        state = self._choice.choose()
        if state is None:
            self._wait_or_refuse("no_runner")
        elif not self._sent_to and not self._choice.may_wait_at(state):
            self._refuse_for_overload(state)
        elif self._sent_to and not self._is_within_budget():
            self._refuse("retry_budget")
        else:
            self._send(state, self._look_for_runner)

    def _refuse_for_overload(self, state: RunnerState) -> None:
        """Refuse at once: prompts that waited here would all follow when the backlog is read."""
        wait_s = self._choice.wait_s(state)
        self._trail.note(
            "held_back",
            instance=state.runner.instance,
            backlog=int(state.backlog_tokens),
            wait_ms=round(wait_s * 1000),
        )
        self._refuse("overload", wait_s)

    # Sending

    def _send(self, state: RunnerState, choose_again: Callable[[], None]) -> None:
        """Send the request to a runner, after obtaining a grant if the runner is rate-limited."""
        if self._access.may_send(state):
            self._dispatch(state)
            return

        def decided(grant: Grant) -> None:
            self._trail.note_grant(grant, "runner_grant_asked")
            self._world.loop.call_later(0.0, choose_again)

        self._access.obtain(state, decided)

    def _dispatch(self, state: RunnerState) -> None:
        world = self._world
        now = world.loop.now()
        if self._sent_to:
            world.budget(self._admitted.service).note_repeat(now)
        else:
            self._choice.note_taken()
        self._choice.tried.append(state.runner.instance)
        self._sent_to.append(state.runner.instance)
        self._quota.record_sent()
        request = self._exchange.request
        placement = world.placement
        question = self._choice.question()
        last_event_id = self._stream.last_event_id
        dispatch = runner_dispatch(world, self._admitted, state, question, last_event_id)
        headers = world.dialect.runner_headers(request.headers, dispatch)
        data = request_bytes(request.method, request.target, headers, request.body)
        load = AttemptLoad(
            tokens_to_read=placement.tokens_to_read(question, state),
            tokens_held=question.needed_tokens if question.parts else 0,
        )
        attempt = Attempt(world, self._admitted, self, state, load, self._access.has_grant(state))
        self._access.note_sent(state)
        self._attempt = attempt
        placement.note_read(question, state)
        state.note_sent(now)
        self._trail.note_sent(state, self._admitted.call.model, len(self._sent_to))
        expected_id = (world.dialect.request_id_field, self._admitted.call.request_id)
        try:
            attempt.connection = world.pool.send(
                state, data, attempt, expected_id, self._admitted.route.may_repeat
            )
        except OSError:
            attempt.on_broken(False)

    # What an attempt reports

    def on_answer_head(self, attempt: Attempt) -> None:
        """A stream has begun."""
        self._trail.note("answering", instance=attempt.state.runner.instance, status=attempt.status)

    def on_stream_data(self, data: bytes) -> None:
        """Pass on the events that are whole; raises BrokenStreamError."""
        if self._attempt is not None:
            self._stream.pass_on(self._attempt, data)
        if self._exchange.is_congested:
            self._pause(True)

    def on_stream_whole(self, attempt: Attempt) -> None:
        """The stream has ended whole."""
        if self._stream.has_rest:
            self.on_failure(Failure.BROKEN, attempt)
            return
        self._world.suspects.record_completion(self._choice.known_fingerprint())
        self._stream.begin(attempt)
        self._exchange.end()
        self._end("served", attempt)

    def on_whole(self, attempt: Attempt) -> None:
        """A buffered answer is whole."""
        self._world.suspects.record_completion(self._choice.known_fingerprint())
        if attempt.status >= STATUS_SERVER_ERROR and self._admitted.route.may_repeat:
            self.on_failure(Failure.RUN_FAILED, attempt)
        else:
            self._pass_on(attempt)

    def _pass_on(self, attempt: Attempt) -> None:
        if self._exchange.has_started:
            self._break_off(attempt)
            return
        self._exchange.respond(attempt.status, end_to_end(attempt.headers), bytes(attempt.body))
        self._end("served", attempt)

    def on_failure(self, failure: Failure, attempt: Attempt) -> None:
        """An attempt has failed: go on as :func:`next_step` says."""
        if self.is_over:
            return
        self._attempt = None
        may_have_run = failure in (Failure.BROKEN, Failure.RUN_FAILED)
        self._runs += may_have_run
        self._quota.record_failure(may_have_run)
        self._stream.restart()
        if not attempt.was_cut_off:
            self._go_on(failure, attempt)
            return
        suspects = self._world.suspects
        suspects.handle_disconnect(attempt.state, self._exchange.request, self._admitted)
        if self._admitted.route.may_repeat:
            # Milliseconds later it is known whether the runner has ended under this request.
            instance = attempt.state.runner.instance
            suspects.detector.call_when_resolved(instance, lambda: self._go_on(failure, attempt))
        else:
            self._go_on(failure, attempt)

    def _go_on(self, failure: Failure, attempt: Attempt) -> None:
        """Send the request again or end it."""
        if self.is_over:
            return
        now = self._world.loop.now()
        state = self._choice.choose()
        step = next_step(failure, self._try_state(state is not None, now))
        instance = attempt.state.runner.instance
        self._trail.note_failed(instance, attempt.status, failure, step, self._runs)
        if step is NextStep.SEND_AGAIN and state is not None:
            self._send_again(state, failure, attempt)
        elif step is NextStep.PASS_ON:
            self._pass_on(attempt)
        elif step is NextStep.REFUSE:
            self._wait_or_refuse(failure.value)
        elif step is NextStep.BREAK_OFF:
            self._break_off(attempt)
        else:
            self._answer(502, "unknown", attempt)

    def _send_again(self, state: RunnerState, failure: Failure, attempt: Attempt) -> None:
        """Send it to another runner; another run counts against its tenant's limit as well."""
        if not self._quota.needs_grant:
            self._send(state, lambda: self._go_on(failure, attempt))
            return

        def go_on(grant: Grant) -> None:
            self._trail.note_grant(grant)
            self._is_over_limit = not grant.is_granted
            self._go_on(failure, attempt)

        self._quota.obtain(go_on)

    def _try_state(self, has_other_runner: bool, now: float) -> TryState:
        admitted = self._admitted
        return TryState(
            may_repeat=admitted.route.may_repeat,
            maximum_attempts=admitted.route.maximum_attempts,
            runs=self._runs,
            sends=len(self._sent_to),
            has_answer_begun=self._exchange.has_started,
            left_s=admitted.give_up_at - now,
            is_within_budget=self._is_within_budget() and not self._is_over_limit,
            has_other_runner=has_other_runner,
            is_held_back=self._choice.held_back_s() > 0,
        )

    def _is_within_budget(self) -> bool:
        world = self._world
        budget = world.budget(self._admitted.service)
        return budget.may_repeat(world.loop.now(), world.node_count())

    # Ends

    def _wait_or_refuse(self, reason: str) -> None:
        """Look again in a moment, or refuse while the caller can still be served in time."""
        waited_s = self._world.loop.now() - self._began_at
        limit_s = self._admitted.route.objective_s * self._figures.waiting_share
        limited_s = self._choice.limited_for_s()
        look_again_s = max(LOOK_AGAIN_S, limited_s or 0.0)
        if waited_s + look_again_s > limit_s or len(self._sent_to) >= MAXIMUM_SENDS:
            if limited_s is None:
                self._refuse(reason)
            else:
                self._refuse("runner_limits", self._choice.retry_delay_s(limited_s))
            return
        self._choice.tried.clear()
        self._world.loop.call_later(LOOK_AGAIN_S, self._look_for_runner)

    def _refuse(
        self, reason: str, back_in_s: float = 0.0, status: int = STATUS_UNAVAILABLE
    ) -> None:
        """Say that the request has not run and when to come back."""
        retry_after = b"%.2f" % max(self._figures.retry_after_s, back_in_s)
        self._exchange.respond(status, [(b"Retry-After", retry_after)])
        self._end("refused", None, reason=reason)

    def _answer(self, status: int, outcome: str, attempt: Attempt | None) -> None:
        self._exchange.respond(status, [])
        self._end(outcome, attempt)

    def _break_off(self, attempt: Attempt | None) -> None:
        self._exchange.abort()
        self._end("broken_off", attempt)

    def _on_gone(self) -> None:
        self._end("caller_left", self._attempt)

    def _on_timeout(self) -> None:
        if self._exchange.has_started:
            self._break_off(self._attempt)
        elif self._runs or (self._attempt is not None and self._attempt.was_sent):
            self._answer(504, "timed_out", self._attempt)
        else:
            self._refuse("timed_out")

    def leave_old_weights(self, now: float) -> None:
        """Take the request from a runner whose weights are too old for it to begin there."""
        attempt = self._attempt
        model = self._admitted.call.model
        if attempt is None or model is None or attempt.has_begun:
            return
        version = attempt.state.weights_version(model)
        if version is not None and version < self._world.overdue_weights(model, now):
            attempt.cancel()
            self.on_failure(Failure.BROKEN, attempt)

    def leave_ended_runner(self) -> None:
        """Go on elsewhere if the runner has started anew: this run has ended, told or not."""
        attempt = self._attempt
        if attempt is not None and self._world.runners.has_ended(attempt.state.runner):
            attempt.cancel()
            request = self._exchange.request
            self._world.suspects.record_restart(attempt.state, request, self._admitted)
            self.on_failure(Failure.BROKEN, attempt)

    def shut_down(self) -> None:
        """Break the request off because the process ends."""
        self._on_timeout()

    def _end(self, outcome: str, attempt: Attempt | None, reason: str | None = None) -> None:
        if self.is_over:
            return
        self.is_over = True
        grant = self._quota.last_grant
        self._quota.close()
        self._access.close()
        self._timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        now = self._world.loop.now()
        is_failure = outcome not in ("served", "caller_left")
        self._world.count(outcome, self._admitted.route, now - self._began_at)
        self._trail.end(
            outcome,
            is_failure,
            reason=reason,
            instance=None if attempt is None else attempt.state.runner.instance,
            status=None if attempt is None else attempt.status,
            tries=len(self._sent_to),
            events=self._stream.last_event_id,
            total_ms=round((now - self._began_at) * 1000, 1),
            first_ms=self._stream.first_ms(self._began_at),
            longest_gap_ms=round(self._stream.longest_gap_s * 1000, 1),
            quota_owner=None if grant is None else grant.owner,
            quota_balance=None if grant is None else round(grant.balance),
        )
        self._on_end(self)

    def _pause(self, is_paused: bool) -> None:
        if self._attempt is not None and self._attempt.connection is not None:
            self._attempt.connection.pause(is_paused)
