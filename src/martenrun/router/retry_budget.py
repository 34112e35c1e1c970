"""A node's share of the retries that all nodes together may send to a service.

What a process has spent of its share is lost with it.  So a process that has just started uses the
part that comes with its own requests only.  Where all nodes restart each 4 s and repeat as often as
they may, the repeats of all lives together are 0.26 of what is allowed, and would else be 1.45.
"""

import collections

from martenrun.router.settings import Bounds

STEP_S = 0.25
"""Length of the steps in which arrivals are counted, in seconds."""

SAFETY = 0.7
"""Part of the allowance that is used; others may know of fewer nodes than there are."""


class RetryBudget:
    """Counts requests and repeats for one service over a sliding window.

    Args:
        spends_from: from when on this node's part of the slack may be used: one window after a
            restart, by when nothing that the process before it spent counts any more.
    """

    def __init__(self, bounds: Bounds, spends_from: float) -> None:
        self.bounds = bounds
        self._spends_from = spends_from
        self._steps: collections.deque[list[float]] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a request that callers sent."""
        self._step(now)[1] += 1

    def may_repeat(self, now: float, nodes: int) -> bool:
        """Return whether one more repeat stays within this node's share."""
        self._step(now)
        requests = sum(step[1] for step in self._steps)
        repeats = sum(step[2] for step in self._steps)
        may_spend = now >= self._spends_from
        slack = self.bounds.budget_slack / max(1, nodes) if may_spend else 0.0
        return repeats + 1 <= SAFETY * (self.bounds.budget_ratio * requests + slack)

    def note_repeat(self, now: float) -> None:
        """Count a repeat that is sent."""
        self._step(now)[2] += 1

    def _step(self, now: float) -> list[float]:
        start = now - now % STEP_S
        if not self._steps or self._steps[-1][0] != start:
            self._steps.append([start, 0, 0])
        while self._steps[0][0] < now - self.bounds.budget_window_s:
            self._steps.popleft()
        return self._steps[-1]
