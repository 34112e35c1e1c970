"""Shares over all nodes together under overload, in virtual time; the yardstick itself."""

import pytest

from martenrun.bench.sharing import run_discipline
from martenrun.bench.sharing_model import TenantModel
from martenrun.sharing.max_min import max_min_shares
from martenrun.sharing.shares import MAXIMUM_CORRECTION, ShareController
from martenrun.sharing.usage import TenantUsage

TENANTS = [
    TenantModel("large", 1.0, 0.4, 64),
    TenantModel("keys-1000", 1.0, 0.4, 64, keys=1_000),
    TenantModel("local", 1.0, 0.2, 1),
    TenantModel("light", 1.0, 0.02, 4),
]


def test_capacity_that_one_leaves_goes_to_the_others_by_weight():
    shares = max_min_shares(100.0, {"a": 10.0, "b": 500.0, "c": 500.0}, {"a": 1, "b": 1, "c": 2})
    assert shares == pytest.approx({"a": 10.0, "b": 30.0, "c": 60.0})


def test_shares_hold_over_all_nodes_and_baselines_do_worse():
    """A tenant with one prompt reaches two nodes of four, the large ones all."""
    fifo, per_node, over_all = (
        run_discipline(name, TENANTS, nodes=4, windows=2, seed=1)
        for name in ("fifo", "per-node", "global")
    )
    assert over_all.steady_error_max < 0.1
    assert per_node.steady_error_max > 2 * over_all.steady_error_max
    assert fifo.steady_error_max > 2 * over_all.steady_error_max
    assert over_all.tenants_without_service == 0
    assert over_all.wait_p95_s <= 15.0


def controller(usage: dict[str, float], weights: dict[str, float]) -> ShareController:
    return ShareController(
        lambda name: weights.get(name, 1.0),
        lambda name, now: TenantUsage(0.0, 0.0, usage[name], 0.0),
    )


def test_equal_usage_per_weight_changes_nothing_and_corrections_are_bounded():
    settled = controller({"a": 100.0, "b": 200.0}, {"b": 2.0})
    assert settled.weights(["a", "b"], 0.0) == pytest.approx({"a": 1.0, "b": 2.0})
    assert settled.weights(["a", "b"], 0.5) is None
    starved = controller({"a": 0.0, "b": 1e9}, {})
    for second in range(200):
        weights = starved.weights(["a", "b"], float(second)) or {}
    assert weights["a"] == pytest.approx(MAXIMUM_CORRECTION)
    assert weights["b"] >= 1 / MAXIMUM_CORRECTION


def test_a_weight_change_moves_the_next_correction():
    weights = {"a": 1.0}
    changing = controller({"a": 100.0, "b": 100.0}, weights)
    assert changing.weights(["a", "b"], 0.0) == pytest.approx({"a": 1.0, "b": 1.0})
    weights["a"] = 3.0
    after = changing.weights(["a", "b"], 1.0) or {}
    assert after["a"] > 3.0 and after["b"] < 1.0
