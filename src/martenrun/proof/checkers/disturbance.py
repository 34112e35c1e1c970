"""Which faults hit a process in a span of time."""

import collections

from martenrun.proof.history import History, ProcessDisturbed


class Disturbances:
    """The faults of a history, by process."""

    def __init__(self, history: History) -> None:
        self._faults = collections.defaultdict[str, list[ProcessDisturbed]](list)
        for fault in history.of(ProcessDisturbed):
            self._faults[fault.process].append(fault)

    def of(self, process: str) -> list[ProcessDisturbed]:
        """Return the faults of a process."""
        return self._faults[process]

    def touch(
        self, process: str, start_s: float, end_s: float, besides: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether a fault of the process overlaps a span.

        Args:
            besides: kinds of faults that do not count.
        """
        return any(
            fault.time_s <= end_s and fault.until_s >= start_s and fault.kind not in besides
            for fault in self._faults[process]
        )

    def calm_since(
        self, process: str, start_s: float, bound_s: float, kinds: frozenset[str] | None = None
    ) -> float:
        """Return the first time at which ``bound_s`` undisturbed seconds have passed.

        Args:
            kinds: the faults that count; all if not given.
        """
        due_s = start_s + bound_s
        for fault in sorted(self._faults[process], key=lambda fault: fault.time_s):
            if kinds is not None and fault.kind not in kinds:
                continue
            if fault.time_s <= due_s and fault.until_s >= start_s:
                due_s = max(due_s, fault.until_s + bound_s)
        return due_s
