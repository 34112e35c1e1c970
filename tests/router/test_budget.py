"""Tests that the retries of all routers together stay within the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.retry_budget import RetryBudget

from .builders import bounds


@given(st.integers(1, 20), st.integers(0, 300))
def test_all_nodes_together_stay_within_the_allowance(nodes, requests_each):
    repeats = 0
    for _ in range(nodes):
        budget = RetryBudget(bounds(), 0.0)
        for _ in range(requests_each):
            budget.note_request(100.0)
        while budget.may_repeat(100.0, nodes):
            budget.note_repeat(100.0)
            repeats += 1
    assert repeats <= 0.2 * requests_each * nodes + 54


def test_repeats_are_forgotten_after_the_window():
    budget = RetryBudget(bounds(), 0.0)
    while budget.may_repeat(100.0, 16):
        budget.note_repeat(100.0)
    assert not budget.may_repeat(109.0, 16)
    assert budget.may_repeat(111.0, 16)


class Fleet:
    """Routers that retry as often as their budgets allow, with restarts.

    Each incarnation only counts its own requests and retries; the counts of earlier ones are lost.
    """

    def __init__(self, nodes, requests_per_s):
        self.nodes = nodes
        self.requests_per_s = requests_per_s
        self.budgets = [RetryBudget(bounds(), 0.0) for _ in range(nodes)]
        self.sent = []
        self.asked = []

    def play(self, restarts, seconds):
        """Simulate steps of 0.1 s; ``restarts`` returns the routers that restart at a step."""
        for step in range(int(seconds * 10)):
            now = step / 10
            for node in restarts(step):
                self.budgets[node] = RetryBudget(bounds(), now + bounds().budget_window_s)
            for budget in self.budgets:
                if step % max(1, round(10 / self.requests_per_s)) == 0:
                    budget.note_request(now)
                    self.asked.append(now)
                while budget.may_repeat(now, self.nodes):
                    budget.note_repeat(now)
                    self.sent.append(now)

    def worst_share(self):
        """Return the largest share of the allowance that was used in any ten seconds."""
        worst = 0.0
        for begin in range(60):
            repeats = sum(begin <= at < begin + 10 for at in self.sent)
            requests = sum(begin <= at < begin + 10 for at in self.asked)
            worst = max(worst, repeats / (0.2 * requests + 54))
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
        fleet.play(restarts, 70)
        shares[name] = fleet.worst_share()
    assert max(shares.values()) <= 1.0, shares
