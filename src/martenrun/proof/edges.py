"""The edge of a simulated process: carries requests between callers and engines.

It does in virtual time what :mod:`martenrun.edge.forward` and the engine adapter do on
threads, and decides as little: outcomes are named as the adapter names them.
"""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.backends.stream_progress import ResumeFields
from martenrun.constants import ENGINE_READ_TIMEOUT_S, RESUME_WINDOW_S
from martenrun.edge.forward import MINIMUM_WAIT_S
from martenrun.edge.request import CallerRequest
from martenrun.errors import MartenrunError
from martenrun.events import AttemptEnded, Event, Finish, RequestArrived, RunAttempt
from martenrun.proof.history import RequestAnswered, Token
from martenrun.proof.recorder import Recorder
from martenrun.routing.prefix_index import RunnerIdentity
from martenrun.simulation.engine import SimulatedEngine
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.stream import EngineStream

BYTES_PER_TOKEN = 4


@dataclass
class CarriedRequest:
    """A caller's request in progress at an edge, and the output it has received."""

    request: CallerRequest
    deadline: float
    tokens: list[Token] = field(default_factory=list)
    is_terminated: bool = False

    def resume_fields(self) -> ResumeFields | None:
        """Return what a further attempt must carry, or None if the caller has nothing yet."""
        return ResumeFields(len(self.tokens), "") if self.tokens else None


class SimulatedEdge:
    """All requests in progress at one process's edge.

    Args:
        tell: gives an event to the process's loop.
        engines: by address.
        token_gap_timeout_s: longest silence on a stream that has begun.
        is_cut_from: returns whether the machine at an address cannot be reached.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: Recorder,
        engines: Mapping[str, SimulatedEngine],
        tell: Callable[[Event], None],
        token_gap_timeout_s: float,
        is_cut_from: Callable[[str], bool],
    ) -> None:
        self.scheduler = scheduler
        self.engines = engines
        self.token_gap_timeout_s = token_gap_timeout_s
        self.is_cut_from = is_cut_from
        self.tell = tell
        self._recorder = recorder
        self._carried: dict[str, CarriedRequest] = {}
        self._attempts: dict[str, SimulatedAttempt] = {}

    @property
    def active_count(self) -> int:
        """Number of requests in progress."""
        return len(self._carried)

    def begin(self, request: CallerRequest) -> None:
        """Take a caller's parsed request."""
        deadline = self.scheduler.now + request.question.deadline_s
        self._carried[request.question.request_id] = CarriedRequest(request, deadline)
        self.tell(RequestArrived(request.question, request.repeatable))

    def run_attempt(self, instruction: RunAttempt) -> None:
        """Send an attempt to an engine."""
        carried = self._carried.get(instruction.request_id)
        if carried is not None:
            attempt = SimulatedAttempt(self, carried, instruction)
            self._attempts[instruction.request_id] = attempt
            attempt.start()

    def finish(self, instruction: Finish) -> None:
        """Give a caller its final answer."""
        carried = self._carried.pop(instruction.request_id, None)
        self._attempts.pop(instruction.request_id, None)
        if carried is not None:
            self.answer(instruction.request_id, carried, instruction.error)

    def answer(
        self, request_id: str, carried: CarriedRequest | None, error: MartenrunError | None
    ) -> None:
        """Record what the caller saw."""
        self._recorder.add(
            RequestAnswered(
                time_s=self.scheduler.now,
                request_id=request_id,
                tokens=[] if carried is None else carried.tokens,
                terminated=carried is not None and carried.is_terminated,
                code="" if error is None else error.code,
                ran="" if error is None else error.ran.value,
            )
        )

    def break_off(self) -> None:
        """The process ended: every caller's and every engine's connection breaks."""
        for attempt in self._attempts.values():
            attempt.abandon()
        for request_id, carried in self._carried.items():
            self.lose(request_id, carried.tokens)
        self._carried.clear()
        self._attempts.clear()

    def lose(self, request_id: str, tokens: list[Token]) -> None:
        """Record that a caller's connection broke."""
        self._recorder.add(
            RequestAnswered(
                time_s=self.scheduler.now,
                request_id=request_id,
                tokens=tokens,
                terminated=False,
                code="connection_lost",
                ran="unknown",
            )
        )


class SimulatedAttempt:
    """One attempt at an engine, read by the edge."""

    def __init__(
        self, edge: SimulatedEdge, carried: CarriedRequest, instruction: RunAttempt
    ) -> None:
        self._edge = edge
        self._carried = carried
        self._instruction = instruction
        self._stream: EngineStream | None = None
        self._result = AttemptResult(AttemptOutcome.UNKNOWN)
        self._ended = False
        self._started_s = edge.scheduler.now
        self._heard_s = edge.scheduler.now
        self._first_token_s = 0.0

    def start(self) -> None:
        """Connect to the engine."""
        grant = self._instruction.grant
        engine = self._edge.engines[grant.address]
        body = self._carried.request.engine_body(grant.priority, self._carried.resume_fields())
        self._stream = engine.connect(
            RunnerIdentity(grant.incarnation, grant.weights_version),
            body,
            self,
            lambda: self._edge.is_cut_from(grant.address),
        )
        self._edge.scheduler.after(self._allowed_silence_s(), self._check_silence)

    def abandon(self) -> None:
        """The edge's process ended."""
        self._ended = True
        if self._stream is not None:
            self._stream.cancel()

    def take_token(self, index: int, prompt: str, matched_blocks: int) -> None:
        """Take one piece of output."""
        self._heard_s = self._edge.scheduler.now
        self._first_token_s = self._first_token_s or self._heard_s - self._started_s
        self._carried.tokens.append(Token(source_of(prompt), index))
        self._result.output_tokens += 1
        if self._result.output_tokens == 1:
            # The silence allowed from now on is shorter than the one before the first token.
            self._edge.scheduler.after(self._allowed_silence_s(), self._check_silence)
        self._result.prompt_tokens = len(prompt) // BYTES_PER_TOKEN

    def take_end(self) -> None:
        """Take the stream's terminator."""
        self._carried.is_terminated = True
        self._end(AttemptOutcome.COMPLETE)

    def take_refusal(self, message: str) -> None:
        """Take an answer that says that nothing was run."""
        self._end(AttemptOutcome.NOT_RUN)

    def take_reset(self) -> None:
        """Learn that the connection broke."""
        self._end(self._early_outcome())

    def _allowed_silence_s(self) -> float:
        if self._result.output_tokens > 0:
            return self._edge.token_gap_timeout_s
        least_s = RESUME_WINDOW_S if self._carried.tokens else MINIMUM_WAIT_S
        left_s = max(least_s, self._carried.deadline - self._started_s)
        return min(ENGINE_READ_TIMEOUT_S, left_s)

    def _early_outcome(self) -> AttemptOutcome:
        has_output = bool(self._carried.tokens)
        return AttemptOutcome.BROKEN if has_output else AttemptOutcome.UNKNOWN

    def _check_silence(self) -> None:
        if self._ended:
            return
        left_s = self._heard_s + self._allowed_silence_s() - self._edge.scheduler.now
        if left_s > 1e-6:
            self._edge.scheduler.after(left_s, self._check_silence)
            return
        assert self._stream is not None
        self._stream.cancel()
        self._end(self._early_outcome())

    def _end(self, outcome: AttemptOutcome) -> None:
        if self._ended:
            return
        self._ended = True
        self._result.outcome = outcome
        grant = self._instruction.grant
        self._edge.tell(
            AttemptEnded(
                self._instruction.request_id,
                grant.attempt,
                self._result,
                self._first_token_s,
                can_resume=True,
            )
        )


def source_of(prompt: str) -> str:
    """Return the name of a prompt in a history."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()
