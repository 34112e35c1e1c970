"""A router's share of the retries that all routers together may send to a service.

The count of spent retries is lost when a process exits.  Therefore a new process only uses the part
of the budget that its own requests earn.  If all routers restart every 4 s and retry as often as
they may, the retries of all incarnations add up to 0.26 of the allowance; without this rule it
would be 1.45.
"""

import collections

from martenrun.router.settings import Bounds

STEP_S = 0.25
"""Length of the intervals in which requests and retries are counted, in seconds."""

USED_SHARE = 0.7
"""Share of the allowance that is used, as other routers may know of too few routers."""


class RetryBudget:
    """Counts the requests and retries of one service over a sliding window.

    Args:
        slack_from: monotonic time from which the slack may be used.  It is one window after a
            restart, when the retries of the previous process have left the window.
    """

    def __init__(self, bounds: Bounds, slack_from: float) -> None:
        self.bounds = bounds
        self._slack_from = slack_from
        self._steps: collections.deque[list[float]] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request from a caller."""
        self._step(now)[1] += 1

    def may_retry(self, now: float, routers: int) -> bool:
        """Return whether another retry is within this router's share."""
        self._step(now)
        requests = sum(step[1] for step in self._steps)
        retries = sum(step[2] for step in self._steps)
        may_spend = now >= self._slack_from
        slack = self.bounds.budget_slack / max(1, routers) if may_spend else 0.0
        return retries + 1 <= USED_SHARE * (self.bounds.budget_ratio * requests + slack)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._step(now)[2] += 1

    def _step(self, now: float) -> list[float]:
        start = now - now % STEP_S
        if not self._steps or self._steps[-1][0] != start:
            self._steps.append([start, 0, 0])
        while self._steps[0][0] < now - self.bounds.budget_window_s:
            self._steps.popleft()
        return self._steps[-1]
