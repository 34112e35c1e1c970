"""Checking histories of real processes, and the summary of many runs.

See also: :mod:`martenrun.proof.campaign`, the same for simulated histories.
"""

import collections

import msgspec

from martenrun.proof.campaign import SeededViolation
from martenrun.proof.checkers import CHECKERS, Violation
from martenrun.proof.history import AnyRecord, Executed, History, RequestAnswered, RequestInvoked
from martenrun.proof.process_schedule import ProcessFault

UNCHECKED = frozenset({"cache_use"})
"""Promises for which real processes tell too little: nobody sees grants or whose blocks are
used."""


class ProcessSummary(msgspec.Struct):
    """Totals of many runs over real processes.

    Attributes:
        answers: requests by outcome, ``whole`` or an error's code.
        executions: executions that engines reported.
        crashes: seeds whose run was stopped by an exception of the harness.
        stopped_early: whether the time ran out before the number of runs was reached.
    """

    first_seed: int
    runs: int = 0
    requests: int = 0
    executions: int = 0
    answers: dict[str, int] = msgspec.field(default_factory=dict)
    faults: dict[str, int] = msgspec.field(default_factory=dict)
    violations_by_promise: dict[str, int] = msgspec.field(default_factory=dict)
    violations: list[SeededViolation] = msgspec.field(default_factory=list)
    crashes: dict[int, str] = msgspec.field(default_factory=dict)
    stopped_early: bool = False

    @property
    def is_clean(self) -> bool:
        """Whether every run ended without a violation."""
        return not self.violations and not self.crashes


class ProcessCampaign:
    """Checks each run, and in the end all runs over one deployment as one history.

    The whole history also shows what came after a run's end: late executions, and changes of
    configuration that take longer than a run.  Another deployment begins another history: its
    processes have the same names, but its object API counts its revisions anew.
    """

    def __init__(self, first_seed: int) -> None:
        self.summary = ProcessSummary(first_seed)
        self._records: list[AnyRecord] = []
        self._ends: list[tuple[int, float]] = []
        self._known: set[tuple[str, str]] = set()

    def add(self, seed: int, faults: list[ProcessFault], history: History) -> None:
        """Check and count one run."""
        self.summary.runs += 1
        self._count(faults, history)
        self._records += history.records
        self._ends.append((seed, history.end_s))
        for violation in check_processes(history):
            self._found(seed, violation)

    def crashed(self, seed: int, error: Exception) -> None:
        """Count a run that an exception of the harness stopped."""
        self.summary.runs += 1
        self.summary.crashes[seed] = f"{type(error).__name__}: {error}"

    def finish(self, late_records: list[AnyRecord]) -> ProcessSummary:
        """Check the runs over one deployment as one history, with what came after their runs.

        Runs that are added afterwards are those of another deployment.
        """
        if self._ends:
            known = {id(record) for record in self._records}
            self._records += [record for record in late_records if id(record) not in known]
            ordered = sorted(self._records, key=lambda record: record.time_s)
            for violation in check_processes(History(ordered, self._ends[-1][1])):
                self._found(self._seed_at(violation.time_s), violation)
        self._records, self._ends = [], []
        return self.summary

    def _seed_at(self, time_s: float) -> int:
        return next((seed for seed, end_s in self._ends if time_s <= end_s), self._ends[-1][0])

    def _found(self, seed: int, violation: Violation) -> None:
        if (violation.promise, violation.subject) in self._known:
            return
        self._known.add((violation.promise, violation.subject))
        counts = self.summary.violations_by_promise
        counts[violation.promise] = counts.get(violation.promise, 0) + 1
        self.summary.violations.append(SeededViolation(seed, violation))

    def _count(self, faults: list[ProcessFault], history: History) -> None:
        summary = self.summary
        summary.requests += len(history.of(RequestInvoked))
        summary.executions += len(history.of(Executed))
        outcomes = collections.Counter(summary.answers)
        outcomes.update(_outcome(answer) for answer in history.of(RequestAnswered))
        summary.answers = dict(sorted(outcomes.items()))
        kinds = collections.Counter(summary.faults)
        kinds.update(fault.kind.value for fault in faults)
        summary.faults = dict(sorted(kinds.items()))


def check_processes(history: History) -> list[Violation]:
    """Return the violations of every promise that real processes can be held to."""
    return [
        violation
        for promise, checker in CHECKERS.items()
        if promise not in UNCHECKED
        for violation in checker(history)
    ]


def _outcome(answer: RequestAnswered) -> str:
    return "whole" if answer.terminated else answer.code or "without a word"
