"""One caller's request on its way: sent to runners, its answer carried back."""

from collections.abc import Callable

import attrs

from martenrun.net.client import ClientConnection
from martenrun.net.http import Headers, end_to_end, request_bytes
from martenrun.net.loop import Timer
from martenrun.net.server import Exchange
from martenrun.router.event_stream import BrokenStreamError, EventSplitter
from martenrun.router.log import Value, log_event, log_trouble
from martenrun.router.messages import AnswerMarks, Call, Dispatch, Route, RouteKind, Tenant
from martenrun.router.placement import PlacementQuestion, shared_prefix
from martenrun.router.retry import MAXIMUM_SENDS, Failure, NextStep, TryState, next_step
from martenrun.router.runner_state import LOADING_MEMORY_S, RunnerState
from martenrun.router.world import World

EXPECTED_ANSWER_TOKENS = 200
"""Tokens of memory that an answer is reckoned to take."""

FULL_MEMORY_S = 0.15
"""How long a runner that had no room is passed over, in seconds."""

WAITING_SHARE = 0.2
"""Share of a route's objective for which a request may wait for a runner before it is refused."""

LOOK_AGAIN_S = 0.025
"""How long a request waits until runners are looked at again, in seconds."""

RETRY_AFTER_S = 0.25
"""When a refused caller is told to come back, in seconds."""

STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500


@attrs.frozen
class Admitted:
    """A request that may be served.

    Attributes:
        call: what was read from it.
        route: its route.
        tenant: who sent it, or None on open routes.
        service: the service that the route's split chose for it.
        deadline_at: steady time at which the caller leaves.
        give_up_at: steady time at which it gets its final answer.
    """

    call: Call
    route: Route
    tenant: Tenant | None
    service: str
    deadline_at: float
    give_up_at: float


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
        self._tried: list[str] = []
        self._sent_to: list[str] = []
        self._runs = 0
        self._was_sent = False
        self._try: Try | None = None
        self._pinned_head: tuple[int, Headers] | None = None
        self._splitter = EventSplitter(admitted.call.last_event_id)
        self._first_event_at: float | None = None
        self._trail: list[tuple[float, str, dict[str, Value]]] = []
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
        self._note(
            "admitted",
            service=self._admitted.service,
            tenant=None if self._admitted.tenant is None else self._admitted.tenant.name,
            configuration=None if table is None else table.configuration.version,
            configuration_age_ms=round(age_s * 1000),
        )
        self._look_for_runner()

    def _look_for_runner(self) -> None:
        if self.is_over:
            return
        state = self._choose()
        if state is None:
            self._wait_or_refuse("no_runner")
        elif self._sent_to and not self._is_within_budget():
            self._refuse("retry_budget")
        else:
            self._send(state)

    # Sending

    def _question(self) -> PlacementQuestion:
        world = self._world
        admitted = self._admitted
        now = world.loop.now()
        model = admitted.call.model
        wanted = world.weights.wanted.get(model) if model else None
        tenant = admitted.tenant
        return PlacementQuestion(
            parts=admitted.call.parts,
            needed_tokens=admitted.call.prompt_tokens + EXPECTED_ANSWER_TOKENS,
            memory_tokens=world.memory_tokens(admitted.service),
            wall=tenant.name.encode() if tenant is not None and tenant.is_isolated else b"",
            model=model,
            wanted_version=None if wanted is None else wanted.version,
            oldest_version=world.oldest_weights(model, now) if model else 0,
            tried=self._tried,
            zone=world.settings.zone,
            now=now,
        )

    def _choose(self) -> RunnerState | None:
        states = self._world.pool.states(self._admitted.service)
        return self._world.placement.choose(self._question(), states)

    def _send(self, state: RunnerState) -> None:
        world = self._world
        now = world.loop.now()
        if self._sent_to:
            world.budget(self._admitted.service).note_repeat(now)
        self._tried.append(state.runner.instance)
        self._sent_to.append(state.runner.instance)
        request = self._exchange.request
        placement = self._world.placement
        question = self._question()
        dispatch = self._dispatch(state, question)
        headers = world.dialect.runner_headers(request.headers, dispatch)
        data = request_bytes(request.method, request.target, headers, request.body)
        to_read = placement.tokens_to_read(question, state)
        held = question.needed_tokens if question.parts else 0
        self._try = Try(self, state, to_read, held)
        placement.note_read(question, state)
        state.note_sent(now)
        self._note(
            "sent",
            instance=state.runner.instance,
            load=state.load,
            backlog=int(state.backlog_tokens),
            weights=state.weights_version(self._admitted.call.model or ""),
            tries=len(self._sent_to),
        )
        expected_id = (world.dialect.request_id_field, self._admitted.call.request_id)
        try:
            self._try.connection = world.pool.send(
                state, data, self._try, expected_id, self._admitted.route.may_repeat
            )
        except OSError:
            self._try.on_broken(False)

    def _cache_source(self, state: RunnerState, question: PlacementQuestion) -> str | None:
        """Return the address of a runner to fetch kept parts from where there is no store."""
        instance = self._world.placement.last_reader(question, state)
        source = None if instance is None else self._world.pool.state(instance)
        if source is None or source.is_avoided(question.now):
            return None
        return source.runner.address

    def _dispatch(self, state: RunnerState, question: PlacementQuestion) -> Dispatch:
        admitted = self._admitted
        call = admitted.call
        version = None if call.model is None else state.weights_version(call.model)
        tenant = admitted.tenant
        has_shared = len(call.parts) > 1
        store = self._world.cache_store(shared_prefix(call.parts)) if has_shared else None
        last = self._splitter.last_event_id
        return Dispatch(
            instance=state.runner.instance,
            deadline_s=max(0.001, min(admitted.deadline_at, admitted.give_up_at) - question.now),
            tenant=None if tenant is None else tenant.name,
            priority=_engine_priority(admitted) if call.model is not None else None,
            weights_version=version,
            cache_salt=None if call.model is None else _salt(call.model, version, tenant),
            fetch_from=store or self._cache_source(state, question),
            save_to=store,
            last_event_id=last if last > 0 else None,
        )

    # What a try reports

    def on_answer_head(self, attempt: "Try") -> None:
        """A stream has begun."""
        self._note("answering", instance=attempt.state.runner.instance, status=attempt.status)

    def on_stream_data(self, data: bytes) -> None:
        """Pass on the events that are whole; raises BrokenStreamError."""
        for event in self._splitter.feed(data):
            if self._first_event_at is None:
                self._first_event_at = self._world.loop.now()
                self._begin_stream()
            self._exchange.send(event.data)
        if self._exchange.is_congested:
            self._pause(True)

    def _begin_stream(self) -> None:
        if self._try is None or self._exchange.has_started:
            return
        self._exchange.start(self._try.status, end_to_end(self._try.headers), None)

    def on_stream_whole(self, attempt: "Try") -> None:
        """The stream has ended whole."""
        if self._splitter.has_rest:
            self.on_failure(Failure.BROKEN, attempt)
            return
        self._begin_stream()
        self._exchange.end()
        self._end("served", attempt)

    def on_whole(self, attempt: "Try") -> None:
        """A buffered answer is whole."""
        state = attempt.state
        if attempt.status >= STATUS_SERVER_ERROR and self._admitted.route.may_repeat:
            self.on_failure(Failure.RUN_FAILED, attempt)
            return
        state.note_success(self._world.loop.now())
        self._pass_on(attempt)

    def _pass_on(self, attempt: "Try") -> None:
        if self._exchange.has_started:
            self._break_off(attempt)
            return
        self._exchange.respond(attempt.status, end_to_end(attempt.headers), bytes(attempt.body))
        self._end("served", attempt)

    def on_failure(self, failure: Failure, attempt: "Try") -> None:
        """A try has failed: go on as :func:`next_step` says."""
        if self.is_over:
            return
        self._try = None
        now = self._world.loop.now()
        if failure in (Failure.BROKEN, Failure.RUN_FAILED):
            self._runs += 1
        self._splitter.restart()
        state = self._choose()
        step = next_step(failure, self._try_state(state is not None, now))
        self._note(
            "try_failed",
            instance=attempt.state.runner.instance,
            failure=failure.value,
            status=attempt.status,
            step=step.value,
            runs=self._runs,
        )
        if step is NextStep.SEND_AGAIN and state is not None:
            self._send(state)
        elif step is NextStep.PASS_ON:
            self._pass_on(attempt)
        elif step is NextStep.REFUSE:
            self._wait_or_refuse(failure.value)
        elif step is NextStep.BREAK_OFF:
            self._break_off(attempt)
        else:
            self._answer(502, "unknown", attempt)

    def _try_state(self, has_other_runner: bool, now: float) -> TryState:
        admitted = self._admitted
        return TryState(
            may_repeat=admitted.route.may_repeat,
            maximum_attempts=admitted.route.maximum_attempts,
            runs=self._runs,
            sends=len(self._sent_to),
            has_answer_begun=self._exchange.has_started,
            left_s=admitted.give_up_at - now,
            is_within_budget=self._is_within_budget(),
            has_other_runner=has_other_runner,
        )

    def _is_within_budget(self) -> bool:
        world = self._world
        budget = world.budget(self._admitted.service)
        return budget.may_repeat(world.loop.now(), world.node_count())

    # Ends

    def _wait_or_refuse(self, reason: str) -> None:
        """Look again in a moment, or refuse while the caller can still be served in time."""
        waited_s = self._world.loop.now() - self._began_at
        limit_s = self._admitted.route.objective_s * WAITING_SHARE
        if waited_s + LOOK_AGAIN_S > limit_s or len(self._sent_to) >= MAXIMUM_SENDS:
            self._refuse(reason)
            return
        self._tried.clear()
        self._world.loop.call_later(LOOK_AGAIN_S, self._look_for_runner)

    def _refuse(self, reason: str) -> None:
        """Say that the request has not run and when to come back."""
        retry_after = b"%.2f" % RETRY_AFTER_S
        self._exchange.respond(503, [(b"Retry-After", retry_after)])
        self._end("refused", None, reason=reason)

    def _answer(self, status: int, outcome: str, attempt: "Try | None") -> None:
        self._exchange.respond(status, [])
        self._end(outcome, attempt)

    def _break_off(self, attempt: "Try | None") -> None:
        self._exchange.abort()
        self._end("broken_off", attempt)

    def _on_gone(self) -> None:
        self._end("caller_left", self._try)

    def _on_timeout(self) -> None:
        if self._exchange.has_started:
            self._break_off(self._try)
        elif self._runs or (self._try is not None and self._try.was_sent):
            self._answer(504, "timed_out", self._try)
        else:
            self._refuse("timed_out")

    def leave_old_weights(self, now: float) -> None:
        """Take the request from a runner whose weights are too old for it to begin there."""
        attempt = self._try
        model = self._admitted.call.model
        if attempt is None or model is None or attempt.has_begun:
            return
        version = attempt.state.weights_version(model)
        if version is not None and version < self._world.overdue_weights(model, now):
            attempt.cancel()
            self.on_failure(Failure.BROKEN, attempt)

    def shut_down(self) -> None:
        """Break the request off because the process ends."""
        self._on_timeout()

    def _end(self, outcome: str, attempt: "Try | None", reason: str | None = None) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._timer.cancel()
        if self._try is not None:
            self._try.cancel()
            self._try = None
        now = self._world.loop.now()
        is_failure = outcome not in ("served", "caller_left")
        self._world.count(outcome, self._admitted.route, now - self._began_at)
        self._write_trail(
            outcome,
            is_failure,
            reason=reason,
            instance=None if attempt is None else attempt.state.runner.instance,
            status=None if attempt is None else attempt.status,
            tries=len(self._sent_to),
            events=self._splitter.last_event_id,
            total_ms=round((now - self._began_at) * 1000, 1),
            first_ms=None
            if self._first_event_at is None
            else round((self._first_event_at - self._began_at) * 1000, 1),
        )
        self._on_end(self)

    def _pause(self, is_paused: bool) -> None:
        if self._try is not None and self._try.connection is not None:
            self._try.connection.pause(is_paused)

    def _note(self, event: str, **fields: Value) -> None:
        """Remember a step; the steps of a request that fails are written with its outcome."""
        self._trail.append((self._world.loop.now(), event, fields))

    def _write_trail(self, outcome: str, is_failure: bool, **fields: Value) -> None:
        call = self._admitted.call
        known = {
            "request": call.request_id.decode("latin-1"),
            "route": self._admitted.route.name,
        }
        if is_failure:
            for at, event, step in self._trail:
                log_trouble(event, **known, at_steady=round(at, 4), **step)
        if is_failure:
            log_trouble(outcome, **known, **fields)
        else:
            log_event(outcome, **known, **fields)


class Try:
    """One try of a request at one runner; see :class:`martenrun.net.client.AnswerReader`."""

    def __init__(
        self, forwarding: Forwarding, state: RunnerState, to_read: float, held: int
    ) -> None:
        self._forwarding = forwarding
        self.state = state
        self._to_read = to_read
        self._held = held
        self.has_begun = False
        state.reading += to_read
        state.held += held
        self.connection: ClientConnection | None = None
        self.was_sent = False
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.is_streamed = False
        self._marks: AnswerMarks | None = None
        self._is_over = False

    @property
    def _world(self) -> World:
        return self._forwarding._world

    def on_sent(self) -> None:
        """The request leaves."""
        self.was_sent = True

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """An answer has begun; one that cannot be the runner's ends the try."""
        now = self._world.loop.now()
        self.state.note_bytes(now)
        self.status = status
        self.headers = headers
        marks = self._world.dialect.read_marks(status, headers)
        self._marks = marks
        if marks.is_not_executed:
            return
        if marks.is_encoded or (status < 300 and not marks.is_signed):
            self._fail(Failure.BROKEN)
            return
        is_stream = self._forwarding.admitted.route.kind is RouteKind.STREAM
        self.is_streamed = is_stream and status < 300
        if self.is_streamed:
            self._forwarding.on_answer_head(self)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self._is_over:
            return
        self.state.note_bytes(self._world.loop.now())
        self._has_read()
        self.has_begun = True
        if not self.is_streamed:
            self.body += data
            return
        try:
            self._forwarding.on_stream_data(data)
        except BrokenStreamError as exc:
            log_trouble("stream_amiss", fault=str(exc), instance=self.state.runner.instance)
            self._fail(Failure.BROKEN)

    def on_complete(self) -> None:
        """The answer is whole."""
        if self._is_over:
            return
        if self._marks is not None and self._marks.is_not_executed:
            self._learn_refusal()
            self._finish()
            self._forwarding.on_failure(Failure.NOT_EXECUTED, self)
            return
        self._finish()
        if self.is_streamed:
            self.state.note_success(self._world.loop.now())
            self._forwarding.on_stream_whole(self)
        else:
            if self.status >= STATUS_SERVER_ERROR:
                self.state.note_failure(self._world.loop.now())
            self._forwarding.on_whole(self)

    def on_broken(self, was_sent: bool) -> None:
        """The connection ended before the answer did."""
        self._fail(Failure.BROKEN if was_sent else Failure.NOT_SENT)

    def cancel(self) -> None:
        """Give the try up: the runner sees the connection close."""
        if not self._is_over:
            self._finish()
            if self.connection is not None:
                self.connection.close()

    def _fail(self, failure: Failure) -> None:
        if self._is_over:
            return
        self.cancel()
        self.state.note_failure(self._world.loop.now())
        self._forwarding.on_failure(failure, self)

    def _has_read(self) -> None:
        """The prompt is read once the first token comes."""
        self.state.reading -= self._to_read
        self._to_read = 0.0

    def _finish(self) -> None:
        self._is_over = True
        self._has_read()
        self.state.held -= self._held
        self.state.note_ended()

    def _learn_refusal(self) -> None:
        now = self._world.loop.now()
        if self.status != STATUS_MISDIRECTED:
            self.state.full_until = now + FULL_MEMORY_S
            return
        model = self._forwarding.admitted.call.model
        instance = self._world.dialect.answering_instance(self.headers)
        wanted = None if model is None else self._world.weights.wanted.get(model)
        if instance != self.state.runner.instance or model is None or wanted is None:
            # Another runner has the address now.
            self.state.loading_until = now + LOADING_MEMORY_S
        elif wanted.version > (self.state.weights_version(model) or 0):
            self.state.learn_weights(model, wanted.version)
        else:
            self.state.full_until = now + FULL_MEMORY_S


def _salt(model: str, version: int | None, tenant: Tenant | None) -> str:
    """Return the text that keeps cached parts of versions and isolated tenants apart."""
    wall = tenant.name if tenant is not None and tenant.is_isolated else ""
    return f"{model}/{version}/{wall}"


def _engine_priority(admitted: Admitted) -> int:
    """Return the engine's priority, 0 (first) to 9: the tenant's goes before the route's."""
    tenant = admitted.tenant
    by_tenant = 1 if tenant is None or tenant.priority is None else tenant.priority
    return max(0, min(9, by_tenant * 3 + min(2, admitted.route.priority)))
