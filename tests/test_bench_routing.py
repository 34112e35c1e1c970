"""Tests of the routing benchmark."""

import pytest

from martenrun.bench.routing import DEPLOYMENTS, run_benchmark
from martenrun.bench.routing_causes import LateCause, LateCauses, LateRequest
from martenrun.bench.routing_policies import POLICY_NAMES
from martenrun.deployments.model import load_deployment

SHORT_S = 14.0


def run_short(deployment, policy, seed=3):
    return run_benchmark(deployment, policy, seed, 0.4, "owner", SHORT_S)


@pytest.mark.parametrize("policy", POLICY_NAMES)
def test_the_same_seed_gives_the_same_figures(policy):
    figures = run_short("angurlekha", policy)
    assert figures == run_short("angurlekha", policy)
    assert figures.requests > 0
    assert 0.0 <= figures.wasted <= 1.0 - figures.hit_rate


def test_a_store_saves_computation_and_a_faulty_one_does_no_harm():
    run = ("angurlekha", "prefix_aware", 3, 1.0, "owner", 25.0)
    off, on, faulty = (run_benchmark(*run, store) for store in ("off", "on", "faulty"))
    assert off.imported == off.exported_blocks == 0
    assert on.imported > 0
    assert on.hit_rate > off.hit_rate
    assert faulty.hit_rate > off.hit_rate - 0.01
    assert faulty.refused == 0


def test_requests_wait_while_the_only_node_restarts():
    figures = run_benchmark("angurlekha", "prefix_aware", 1, 0.4, "owner", 60.0, nodes=1)
    assert (figures.nodes, figures.refused) == (1, 0)


def test_a_scaled_deployment_has_as_many_times_the_runners_and_nodes():
    one, two = (
        run_benchmark("angurlekha", "oracle", 1, 0.2, "owner", 12.0, scale=scale)
        for scale in (1, 2)
    )
    assert (two.nodes, two.runners) == (2 * one.nodes, 2 * one.runners)
    assert two.requests > 1.5 * one.requests


def test_another_seed_gives_other_figures():
    assert run_short("angurlekha", "oracle", 3) != run_short("angurlekha", "oracle", 4)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_deployments_have_the_sizes_their_operators_give(name):
    deployment = load_deployment(name)
    sizes = (len(deployment.zones), [pool.runners for pool in deployment.pools])
    assert sizes == {"angurlekha": (3, [6, 3]), "souk-fellah": (4, [9, 4])}[name]
    assert len(deployment.popularity.tenant_shares) == 8


def late(cached, best, best_believed, home_forgot=False, attempts=1, waited_share=0.0, imported=0):
    hashes = list(range(20))
    return LateRequest(
        hashes, attempts, waited_share, cached, imported, best, best_believed, home_forgot
    )


@pytest.mark.parametrize(
    ("request_", "cause"),
    [
        (late(0, 0, 0, attempts=2), LateCause.ENGINE_GONE),
        (late(0, 0, 0, waited_share=0.6), LateCause.SLOT_WAIT),
        (late(0, 10, 8), LateCause.HOLDER_PASSED_OVER),
        (late(0, 10, 0, home_forgot=True), LateCause.HOME_FORGOT),
        (late(0, 10, 0), LateCause.NOT_BELIEVED),
        (late(0, 0, 0), LateCause.EVICTED),
        (late(0, 0, 0, imported=9), LateCause.IMPORTED),
        (late(5, 5, 5), LateCause.CRASHED),
        (late(15, 15, 15), LateCause.FIRST_USE),
    ],
)
def test_a_late_request_has_one_cause(request_, cause):
    causes = LateCauses()
    causes.lost(range(5), LateCause.EVICTED)
    causes.lost(range(5, 15), LateCause.CRASHED)
    causes.count(request_)
    assert causes.counts == {cause.value: 1}
