"""State of one decision question at its home node."""

from collections.abc import Callable
from dataclasses import dataclass, field

from martenrun.errors import (
    CapacityError,
    DeadlineExceededError,
    MartenrunError,
    NoRunnerError,
)
from martenrun.ownership.reasons import Reason
from martenrun.routing.policy import NOT_CANDIDATE_S, RunnerChoice, RunnerState
from martenrun.wire.messages import DecideRequest, Grant

MAXIMUM_DIRECT_TRIES = 3
"""Runners asked for a free slot at once before the question queues."""

MAXIMUM_QUEUE_TRIES = 3
"""Runners asked for a place in their queues."""

TAKE_OVER_S = 6.0
"""Time after which what the other owners say decides, in seconds.

A dead owner's runners have another owner by then.
"""

NO_RUNNER_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 1.0
"""Retry-After when no owner has told an expected wait, in seconds."""


@dataclass(slots=True)
class Reservation:
    """One reservation asked of one owner; its id is also the lease's.

    Attributes:
        known_incarnation, asked_version: what the owner need not repeat in its grant.
        incarnation: the runner's, once the slot is granted.
    """

    reservation_id: int
    question: "OpenQuestion"
    choice: RunnerChoice
    owner: str
    may_queue: bool
    answer_until: float
    is_queued: bool = False
    is_redirected: bool = False
    known_incarnation: str = ""
    asked_version: str = ""
    incarnation: str = ""

    @property
    def runner(self) -> str:
        """Name of the runner."""
        return self.choice.runner.name


@dataclass(slots=True)
class OpenQuestion:
    """A question without its end; ``lease`` is set once it is granted.

    ``spare`` are runners at which an attempt of the request failed before.
    """

    question: DecideRequest
    agent: str
    pool: str
    state: str
    deadline: float
    choices: list[RunnerChoice]
    spare: list[RunnerChoice] = field(default_factory=list)
    tell_at: float = 0.0
    probe_at: float = 0.0
    expected_wait_s: float = 0.0
    accept_any_version: bool = False
    tried: set[str] = field(default_factory=set)
    full: set[str] = field(default_factory=set)
    queue_tried: set[str] = field(default_factory=set)
    waits_s: dict[str, float] = field(default_factory=dict)
    reasons: set[Reason] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    unusable: set[str] = field(default_factory=set)
    reservations: dict[int, Reservation] = field(default_factory=dict)
    lease: Reservation | None = None

    def hinted(self, runner: RunnerState) -> None:
        """Consider a runner that an owner has told to be free, after the next best.

        It is taken for as slow as the slowest candidate: little of the prompt is cached there.
        """
        is_known = any(known.runner.name == runner.name for known in self.choices)
        if is_known or runner.name in self.question.excluded_runners:
            return
        expected = [choice.expected_first_token_s for choice in self.choices]
        slowest_s = max((each for each in expected if each < NOT_CANDIDATE_S), default=0.0)
        hint = RunnerChoice(runner, expected_first_token_s=slowest_s)
        self.choices.insert(len(self.tried), hint)

    def readmit(self) -> bool:
        """Consider the spare runners once nothing else takes work; returns whether there are any.

        An attempt also fails because a connection breaks, so the runner may well be usable.
        """
        is_for_load = bool(self.reasons & {Reason.FULL, Reason.DEADLINE})
        if is_for_load or not self.spare:
            return False
        self.choices += self.spare
        self.spare = []
        return True

    def forget_tries(self) -> None:
        """Start over, after a place in a queue was lost or owners were silent."""
        self.reasons.clear()
        self.answered.clear()
        self.unusable.clear()
        self.tried.clear()
        self.full.clear()
        self.queue_tried.clear()

    def next_choice(self, is_reachable: Callable[[str], bool]) -> tuple[RunnerChoice, bool] | None:
        """Return the runner to ask and whether to queue there; None when none is left.

        A runner that is believed free is asked first, unless waiting for another takes less time
        than computing more of the prompt.

        Args:
            is_reachable: whether the runner's owner is believed to answer.
        """
        reachable = [choice for choice in self.choices if is_reachable(choice.runner.name)]
        if len(self.tried - self.unusable) < MAXIMUM_DIRECT_TRIES and len(self.choices) > 1:
            # Who has refused, but for being full, is not to be waited for.
            gone = (self.tried - self.full) | self.queue_tried
            left = [choice for choice in reachable if choice.runner.name not in gone]
            shortest_s = min(map(self._expected_s, left), default=0.0)
            for choice in left:
                name = choice.runner.name
                is_free = name not in self.tried and choice.runner.free_slots > 0
                if is_free and choice.expected_first_token_s <= shortest_s:
                    self.tried.add(name)
                    return choice, False
        return self._next_queue(reachable) or self._next_queue(self.choices)

    def _next_queue(self, choices: list[RunnerChoice]) -> tuple[RunnerChoice, bool] | None:
        known = self.queue_tried | self.unusable
        left = [choice for choice in choices if choice.runner.name not in known]
        if not left or len(self.queue_tried - self.unusable) >= MAXIMUM_QUEUE_TRIES:
            return None
        best = min(left, key=self._expected_s)
        self.queue_tried.add(best.runner.name)
        self.answered.discard(best.runner.name)
        return best, True

    def second_places(self, is_reachable: Callable[[str], bool]) -> list[RunnerChoice]:
        """Return the runners in one of whose queues the question should wait too.

        With a place in one queue only, a tenant whose prompts prefer one runner is missing in
        the other queues, which then serve others beyond their weights.  A second place is
        worth it while its longer prefill costs no more than the expected wait.  The caller draws
        one, so that every queue meets every tenant whose prompts may run there.
        """
        placed = {reservation.runner: reservation for reservation in self.reservations.values()}
        if len(placed) != 1:
            return []
        first = next(iter(placed.values())).choice
        most_s = first.expected_first_token_s + self.expected_wait_s
        return [
            choice
            for choice in self.choices
            if choice.runner.name not in placed
            and choice.expected_first_token_s <= most_s
            and is_reachable(choice.runner.name)
        ]

    def _expected_s(self, choice: RunnerChoice) -> float:
        return self.waits_s.get(choice.runner.name, 0.0) + choice.expected_first_token_s

    def refused_by_owner(self, runner: str, reason: Reason) -> None:
        """Note that a runner's owner has refused; a node that is not its owner knows nothing."""
        self.reasons.add(reason)
        if reason is not Reason.NOT_OWNER:
            self.answered.add(runner)
        if reason is Reason.FULL:
            self.full.add(runner)
        if reason is Reason.STALE_VERSION:
            # With other weights it may still be the only one left: it is asked for any version.
            self.accept_any_version = True
            self.queue_tried.discard(runner)
        if reason in (Reason.LEAVING, Reason.UNKNOWN_RUNNER):
            self.unusable.add(runner)

    def awaits_owner(self, now: float) -> bool:
        """Whether the owner of a runner asked has not told its state, and may still do so."""
        is_silent = not self.answered >= self.tried | self.queue_tried
        opened_at = self.deadline - self.question.deadline_s
        return is_silent and (not self.answered or now < opened_at + TAKE_OVER_S)

    def error(self, now: float) -> MartenrunError:
        """Return why no candidate took the question, and when to come back."""
        waits = [wait_s for wait_s in self.waits_s.values() if wait_s > 0]
        wait_s = min(waits, default=FULL_RETRY_AFTER_S)
        if Reason.DEADLINE in self.reasons:
            left_s = self.deadline - now
            return DeadlineExceededError(
                f"the queues need {wait_s:.1f} s and {left_s:.1f} s are left",
                retry_after_s=max(0.05, wait_s - left_s),
            )
        if Reason.FULL in self.reasons:
            return CapacityError(f"pool {self.pool!r} is full", retry_after_s=wait_s)
        return NoRunnerError(
            f"pool {self.pool!r} has no usable runner", retry_after_s=NO_RUNNER_RETRY_AFTER_S
        )


def granted_message(question: DecideRequest, lease: Reservation) -> Grant:
    """Return the message that tells an agent its lease."""
    runner = lease.choice.runner
    return Grant(
        question.request_id,
        question.attempt,
        runner.name,
        runner.address,
        lease.incarnation,
        lease.choice.weights_version,
        lease.choice.believed_blocks,
        question.priority,
    )
