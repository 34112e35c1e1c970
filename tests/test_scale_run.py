"""Tests of the scale run: small, repeatable, and nothing is left waiting."""

from martenrun.bench.scale.report import Scenario
from martenrun.bench.scale.run import ScaleRun

SCENARIO = Scenario(
    nodes=6,
    runners=26,
    agents=6,
    tenants=5,
    seed=3,
    loss=0.02,
    requests_per_node_s=5.0,
    phase_s=2.0,
    changes=2,
)


def test_every_request_of_a_run_ends_and_every_fault_heals():
    report = ScaleRun(SCENARIO).run()
    assert report.load.asked > 20
    assert report.load.whole + report.load.refused == report.load.asked
    assert report.change_in_force.count == 2 * SCENARIO.nodes
    assert report.change_in_force.maximum < 12
    assert [fault.recovered.count for fault in report.faults] == [6, 6, 6]
    assert all(fault.recovered.maximum < 60 for fault in report.faults)


def test_the_same_seed_gives_the_same_history():
    first, second = (ScaleRun(SCENARIO).run() for _ in range(2))
    assert first.change_in_force == second.change_in_force
    assert first.load.decision == second.load.decision
    assert first.faults == second.faults
