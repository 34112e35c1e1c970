"""One attempt of a request at one runner: what the runner answers, and what that teaches."""

from typing import Protocol

import attrs

from martenrun.net.client import CONNECT_TIMEOUT_S, ClientConnection
from martenrun.net.http import Headers
from martenrun.router.event_stream import BrokenStreamError
from martenrun.router.log import log_trouble
from martenrun.router.messages import Admitted, AnswerMarks, RouteKind
from martenrun.router.retry import Failure
from martenrun.router.runner_state import LOADING_MEMORY_S, RunnerState
from martenrun.router.world import World

FULL_MEMORY_S = 0.15
"""How long a runner that had no room is passed over, in seconds."""

STOOD_STILL_S = 0.2
"""How much longer than it may take a connection must have taken to come up, in seconds."""

STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500


@attrs.frozen
class AttemptLoad:
    """What a runner has to do for a request: tokens to read, and tokens of memory."""

    tokens_to_read: float
    tokens_held: int


class AttemptOwner(Protocol):
    """What an attempt reports to."""

    def on_answer_head(self, attempt: "Attempt") -> None:
        """A stream has begun."""

    def on_stream_data(self, data: bytes) -> None:
        """A part of a stream; raises BrokenStreamError if it is amiss."""

    def on_stream_whole(self, attempt: "Attempt") -> None:
        """A stream has ended whole."""

    def on_whole(self, attempt: "Attempt") -> None:
        """A buffered answer is whole."""

    def on_failure(self, failure: Failure, attempt: "Attempt") -> None:
        """There is no answer that can be passed on."""


class Attempt:
    """One attempt of a request at one runner; see :class:`martenrun.net.client.AnswerReader`.

    Args:
        world: everything that the router knows and uses.
        admitted: the request.
        owner: told how the attempt goes.
        state: the runner.
        load: what the runner has to read and to hold for it.
        has_grant: whether the request may be sent even if the runner is rate-limited.
    """

    def __init__(
        self,
        world: World,
        admitted: Admitted,
        owner: AttemptOwner,
        state: RunnerState,
        load: AttemptLoad,
        has_grant: bool = False,
    ) -> None:
        self._world = world
        self._admitted = admitted
        self._owner = owner
        self.state = state
        self._to_read = load.tokens_to_read
        self._held = load.tokens_held
        self._has_grant = has_grant
        self.has_begun = False
        self._began_at = world.loop.now()
        self._tokens_ahead = state.backlog_tokens + load.tokens_to_read
        state.reading += load.tokens_to_read
        state.held += load.tokens_held
        world.note_reading(state)
        self.connection: ClientConnection | None = None
        self.was_sent = False
        self.was_cut_off = False
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.is_streamed = False
        self._marks: AnswerMarks | None = None
        self._is_over = False

    def on_sent(self) -> None:
        """The request leaves, unless the machine stood still while its connection came up.

        The deadline that it names was reckoned before that.
        """
        if self._world.loop.now() - self._began_at > CONNECT_TIMEOUT_S + STOOD_STILL_S:
            self._fail(Failure.NOT_SENT)
            return
        limits = self._world.runner_limits
        if not self._has_grant and limits.limit(self.state.runner.instance) is not None:
            # The limit was learned while connecting; this is not a failure of the runner.
            limits.count("withheld")
            self.cancel()
            self._owner.on_failure(Failure.NOT_SENT, self)
            return
        self.was_sent = True

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """An answer has begun; one that cannot be the runner's ends the attempt."""
        now = self._world.loop.now()
        self.state.note_bytes(now)
        self.status = status
        self.headers = headers
        marks = self._world.dialect.read_marks(status, headers)
        self._marks = marks
        self._learn_limit(marks, now)
        if marks.is_not_executed:
            return
        if marks.is_encoded or (status < 300 and not marks.is_signed):
            self._fail(Failure.BROKEN)
            return
        is_stream = self._admitted.route.kind is RouteKind.STREAM
        self.is_streamed = is_stream and status < 300
        if self.is_streamed:
            self._owner.on_answer_head(self)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self._is_over:
            return
        now = self._world.loop.now()
        self.state.note_bytes(now)
        if self.is_streamed and not self.has_begun:
            speed = self._world.guard(self._admitted.service).speed
            speed.note(self._tokens_ahead, now - self._began_at)
        self._has_read()
        self.has_begun = True
        if not self.is_streamed:
            self.body += data
            return
        try:
            self._owner.on_stream_data(data)
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
            self._owner.on_failure(Failure.NOT_EXECUTED, self)
            return
        self._finish()
        now = self._world.loop.now()
        if self.status >= STATUS_SERVER_ERROR:
            self.state.note_failure(now)
        else:
            self.state.note_success(now)
        if self.is_streamed:
            self._owner.on_stream_whole(self)
        else:
            self._owner.on_whole(self)

    def on_broken(self, was_sent: bool) -> None:
        """The connection ended before the answer did."""
        now = self._world.loop.now()
        if not was_sent and now - self._began_at >= CONNECT_TIMEOUT_S:
            self.state.unanswered_since = self._began_at
        if was_sent and not self.status and self.connection is not None:
            self._world.pool.note_broken(self.connection)
        self.was_cut_off = was_sent
        self._fail(Failure.BROKEN if was_sent else Failure.NOT_SENT)

    def cancel(self) -> None:
        """Give the attempt up: the runner sees the connection close."""
        if not self._is_over:
            self._finish()
            if self.connection is not None:
                self.connection.close()

    def _fail(self, failure: Failure) -> None:
        if self._is_over:
            return
        self.cancel()
        self.state.note_failure(self._world.loop.now())
        self._owner.on_failure(failure, self)

    def _has_read(self) -> None:
        """The prompt is read once the first token comes."""
        if not self._to_read:
            return
        self.state.reading -= self._to_read
        self._to_read = 0.0
        self._world.note_reading(self.state)

    def _finish(self) -> None:
        self._is_over = True
        self._has_read()
        self.state.held -= self._held
        self.state.note_ended()

    def _learn_limit(self, marks: AnswerMarks, now: float) -> None:
        """Record the rate limit that the answer advertises, or that it advertises none.

        An answer without a limit counts only if signed: others may not come from the runner.
        """
        instance = self._world.dialect.answering_instance(self.headers)
        if self.status == STATUS_MISDIRECTED and instance not in (None, self.state.runner.name):
            return
        limits = self._world.runner_limits
        if marks.rate_limit is not None:
            limits.note_advertised(self.state.runner.instance, marks.rate_limit, now)
        elif marks.is_signed:
            limits.note_absent(self.state.runner.instance, self._began_at, now)

    def _learn_refusal(self) -> None:
        now = self._world.loop.now()
        if self.status != STATUS_MISDIRECTED:
            self.state.full_until = now + FULL_MEMORY_S
            return
        model = self._admitted.call.model
        instance = self._world.dialect.answering_instance(self.headers)
        wanted = None if model is None else self._world.weights.targets.get(model)
        if instance != self.state.runner.name or model is None or wanted is None:
            # Another runner has the address now.
            self.state.loading_until = now + LOADING_MEMORY_S
        elif wanted.version > (self.state.weights_version(model) or 0):
            self.state.learn_weights(model, wanted.version)
        else:
            self.state.full_until = now + FULL_MEMORY_S
