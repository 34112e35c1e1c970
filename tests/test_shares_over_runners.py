"""Shares over the queues of several runners, with callers that ask again when answered."""

import pytest

from martenrun.simulation.ownership_cluster import (
    OTHER_TENANT,
    TENANT,
    OwnershipCluster,
    SimulatedRequest,
)

WEIGHTS = {TENANT: 1.0, OTHER_TENANT: 3.0}
SERVICE_S = 0.32
STEP_S = 0.05
WARM_UP_S = 10.0
END_S = 30.0


def served(cluster: OwnershipCluster, callers: int) -> dict[str, int]:
    """Keep callers of both tenants busy; return what finished after the warm-up."""
    asked: list[SimulatedRequest] = []
    counts = dict.fromkeys(WEIGHTS, 0)
    cluster.scheduler.run_until(1.0)
    for prefix, tenant in enumerate(WEIGHTS):
        asked += [cluster.ask(prefix, SERVICE_S, tenant=tenant) for _ in range(callers)]
    while cluster.scheduler.now < END_S:
        for node in cluster.nodes.values():
            assert node.ownership is not None
            for runner in node.ownership.owner.owned.values():
                runner.queue.set_weights(WEIGHTS)
        cluster.scheduler.run_until(cluster.scheduler.now + STEP_S)
        for index, request in enumerate(asked):
            if request.finished_at is None:
                continue
            tenant = request.question.tenant
            counts[tenant] += cluster.scheduler.now > WARM_UP_S and request.refusal is None
            prefix = list(WEIGHTS).index(tenant)
            asked[index] = cluster.ask(prefix, SERVICE_S, tenant=tenant)
    return counts


@pytest.mark.parametrize(("nodes", "runners"), [(1, 2), (3, 4)])
def test_weights_hold_over_runners_that_tenants_prefer_differently(nodes: int, runners: int):
    """Each tenant has one prefix, hence one preferred runner; plain weights, no correction."""
    counts = served(OwnershipCluster(nodes, runners, seed=5, zones=1), callers=10 * runners)
    assert counts[OTHER_TENANT] / counts[TENANT] == pytest.approx(3.0, rel=0.1)
