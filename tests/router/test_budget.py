"""Tests that the retries of all routers together stay within the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.retry_budget import RetryBudget

from .builders import bounds


@given(st.integers(1, 20), st.integers(0, 300))
def test_all_routers_together_stay_within_the_allowance(routers, requests_per_router):
    retries = 0
    for _ in range(routers):
        budget = RetryBudget(bounds(), 0.0)
        for _ in range(requests_per_router):
            budget.record_request(100.0)
        while budget.may_retry(100.0, routers):
            budget.record_retry(100.0)
            retries += 1
    assert retries <= 0.2 * requests_per_router * routers + 54


def test_retries_expire_after_the_window():
    budget = RetryBudget(bounds(), 0.0)
    while budget.may_retry(100.0, 16):
        budget.record_retry(100.0)
    assert not budget.may_retry(109.0, 16)
    assert budget.may_retry(111.0, 16)


class Fleet:
    """Routers that retry as often as their budgets allow, with restarts.

    Each incarnation only counts its own requests and retries; the counts of earlier ones are lost.
    """

    def __init__(self, routers, requests_per_s):
        self.routers = routers
        self.requests_per_s = requests_per_s
        self.budgets = [RetryBudget(bounds(), 0.0) for _ in range(routers)]
        self.retry_times = []
        self.request_times = []

    def run(self, restarts, seconds):
        """Simulate steps of 0.1 s; ``restarts`` returns the routers that restart at a step."""
        for step in range(int(seconds * 10)):
            now = step / 10
            for router in restarts(step):
                self.budgets[router] = RetryBudget(bounds(), now + bounds().budget_window_s)
            for budget in self.budgets:
                if step % max(1, round(10 / self.requests_per_s)) == 0:
                    budget.record_request(now)
                    self.request_times.append(now)
                while budget.may_retry(now, self.routers):
                    budget.record_retry(now)
                    self.retry_times.append(now)

    def worst_share(self):
        """Return the largest share of the allowance that was used in any ten seconds."""
        worst = 0.0
        for start in range(60):
            retries = sum(start <= at < start + 10 for at in self.retry_times)
            requests = sum(start <= at < start + 10 for at in self.request_times)
            worst = max(worst, retries / (0.2 * requests + 54))
        return worst


RESTARTS = {
    "none": lambda step: [],
    "herds": lambda step: range(7) if step in (250, 300) else [],
    "in turn": lambda step: [(step // 10) % 7] if step % 10 == 0 else [],
    "all, each 4 s": lambda step: range(7) if step % 40 == 0 else [],
}
"""For each pattern the routers, of seven, that restart at a step of 0.1 s."""


def test_restarts_spend_no_share_twice():
    """Guards against exceeding the allowance after restarts, counted over all incarnations.

    In a run with failures of routers and runners more retries than allowed arrived in ten seconds.
    A possible cause, not confirmed by a trace: the count of spent retries is lost with its process,
    and the next incarnation could spend the same share again within the window.
    """
    shares = {}
    for name, restarts in RESTARTS.items():
        fleet = Fleet(7, 2)
        fleet.run(restarts, 70)
        shares[name] = fleet.worst_share()
    assert max(shares.values()) <= 1.0, shares
