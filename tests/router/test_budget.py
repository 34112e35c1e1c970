"""The retry budget: all nodes together stay within the ratio and the slack."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.retry_budget import RetryBudget

from .builders import bounds


@given(st.integers(1, 20), st.integers(0, 300))
def test_all_nodes_together_stay_within_the_allowance(nodes, requests_each):
    repeats = 0
    for _ in range(nodes):
        budget = RetryBudget(bounds())
        for _ in range(requests_each):
            budget.note_request(100.0)
        while budget.may_repeat(100.0, nodes):
            budget.note_repeat(100.0)
            repeats += 1
    assert repeats <= 0.2 * requests_each * nodes + 54


def test_repeats_are_forgotten_after_the_window():
    budget = RetryBudget(bounds())
    while budget.may_repeat(100.0, 16):
        budget.note_repeat(100.0)
    assert not budget.may_repeat(109.0, 16)
    assert budget.may_repeat(111.0, 16)
