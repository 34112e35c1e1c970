"""Many histories in one run, and their summary."""

import collections
from collections.abc import Iterable

import msgspec

from martenrun.proof.checkers.violation import Violation
from martenrun.proof.schedule import draw_schedule
from martenrun.proof.world import Outcome, run_schedule


class SeededViolation(msgspec.Struct, frozen=True):
    """A violation and the seed whose history shows it again."""

    seed: int
    violation: Violation


class Summary(msgspec.Struct):
    """Totals of many histories.

    Attributes:
        faults: how many of each kind were brought about.
        crashes: seeds whose history stopped with an exception of the product or the harness.
    """

    first_seed: int
    histories: int = 0
    operations: int = 0
    faults: dict[str, int] = msgspec.field(default_factory=dict)
    violations_by_promise: dict[str, int] = msgspec.field(default_factory=dict)
    violations: list[SeededViolation] = msgspec.field(default_factory=list)
    crashes: dict[int, str] = msgspec.field(default_factory=dict)

    def add(self, seed: int, outcome: Outcome | str) -> None:
        """Count one history; a string tells the exception that stopped it."""
        self.histories += 1
        if isinstance(outcome, str):
            self.crashes[seed] = outcome
            return
        self.operations += outcome.operations
        kinds = collections.Counter(self.faults)
        kinds.update(fault.kind.value for fault in outcome.schedule.faults)
        self.faults = dict(sorted(kinds.items()))
        for violation in outcome.violations:
            count = self.violations_by_promise.get(violation.promise, 0)
            self.violations_by_promise[violation.promise] = count + 1
            self.violations.append(SeededViolation(seed, violation))

    @property
    def is_clean(self) -> bool:
        """Whether every history ran to its end without a violation."""
        return not self.violations and not self.crashes


def run_seed(seed: int) -> Outcome | str:
    """Run the history of a seed; an exception is returned as text, so that others go on."""
    try:
        return run_schedule(draw_schedule(seed))
    except Exception as error:
        return f"{type(error).__name__}: {error}"


def run_campaign(seeds: Iterable[int], first_seed: int) -> Summary:
    """Run the histories of some seeds one after another."""
    summary = Summary(first_seed)
    for seed in seeds:
        summary.add(seed, run_seed(seed))
    return summary
