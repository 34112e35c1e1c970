"""Each checker of the soak finds violations by real routers that run without a safeguard."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from platform_deployment import PlatformDeployment
from soak import play

from martenrun.proof.soak_schedule import Step

from .unguarded_router import GUARDS

PROGRAM = Path(__file__).with_name("unguarded_router.py")

SCHEDULES = {
    "directory": [Step(1.0, "vanish", (1,), 0.0, 0)],
    "leaving": [
        Step(1.0, "replace_runner", (0,), 0.0, 0),
        Step(2.0, "vanish_runner", (1,), 0.0, 1),
    ],
    "entries": [
        Step(1.0, "break_entries", (0, 1, 2, 3, 4, 5), 7.0, 0),
        Step(6.5, "configure", (0,), 0.0, 1),
    ],
    # The second step extends the run: routers that read the store through another router would
    # miss drains that are cut short.
    "served again": [
        Step(1.0, "restart_runner", (12, 13, 14, 15, 16, 17), 0.0, 0),
        Step(6.0, "configure", (0,), 0.0, 1),
    ],
    "connections": [Step(1.0, "configure", (0,), 0.0, 0)],
    "left": [Step(1.0, "configure", (0,), 0.0, 0)],
    "own end": [Step(1.0, "hang_up", (0,), 0.0, 0)],
    "deadly": [
        Step(1.0, "deadly_request", (0,), 0.0, 0),
        Step(9.0, "configure", (0,), 0.0, 1),
    ],
    "deadly parts": [
        Step(1.0, "deadly_part", (0,), 0.0, 0),
        Step(9.0, "configure", (0,), 0.0, 1),
    ],
    # Routers block a part after a few crashes, and not each of them cuts a response.
    "closed ends": [
        *(Step(1.0 + 2.0 * n, "deadly_part", (2,), 0.0, n) for n in range(4)),
        Step(9.0, "configure", (0,), 0.0, 4),
    ],
    "rates": [Step(9.0, "configure", (0,), 0.0, 0)],
    "partitions": [
        Step(1.0, "reset_links", (0,), 10.0, 0),
        Step(11.5, "configure", (0,), 0.0, 1),
    ],
    "software": [
        Step(1.0, "roll_software", (2,), 0.0, 0),
        *(Step(3.0 + 0.5 * n, "cut_streams", (0, 1, 2), 0.0, 1) for n in range(12)),
    ],
    "drains": [
        Step(1.0, "announce_drain", (0, 1, 2, 3), 4.0, 0),
        Step(9.0, "configure", (0,), 0.0, 1),
    ],
    "backoffs": [
        Step(1.0, "request_backoff", (1, 2, 3), 6.0, 0),
        Step(9.0, "configure", (0,), 0.0, 1),
    ],
    # Revisions stay below the lost ones while the key is taken away.
    "revoked": [
        Step(0.5, "change_keys", (0,), 0.0, 0),
        *(Step(1.0 + 0.1 * n, "configure", (0,), 0.0, 1) for n in range(50)),
        Step(6.0, "restore_store", (14,), 0.5, 2),
        Step(8.0, "change_keys", (0,), 0.0, 0),
        Step(17.0, "restart_runner", (0,), 0.0, 3),
    ],
    "limits": [Step(0.5, "limit_runners", (0,), 12.0, 0), Step(9.0, "configure", (0,), 0.0, 1)],
}


CHECKER_NAMES = {"entries": "leaving", "closed ends": "own answer"}
"""The checker that finds the violation of a removed guard, where their names differ."""


PARALLEL_DEPLOYMENTS = 4
"""Deployments that run at a time: more routers that start at once exceed the limit of a start."""

LINKED = {"partitions", "drains", "backoffs"}
"""Guards whose checkers need links of each router to the runners."""

GREEDY_CALLERS = {"rates": 8}
"""Callers of the greedy tenant: a single one stays below the bound if responses are slow."""


def run_unguarded(guard):
    """Return the violations of a deployment whose routers run without a guard."""
    deployment = PlatformDeployment(
        3,
        3,
        3,
        has_relays=True,
        program=PROGRAM,
        environment={"UNGUARDED": guard},
        has_links=guard in LINKED,
    )
    callers = GREEDY_CALLERS.get(guard, 1)
    return play(SCHEDULES[guard], 1, deployment, None, greedy_callers=callers).violations


@pytest.fixture(scope="module")
def violations():
    """Return violations by removed guard; some deployments run in parallel."""
    with ThreadPoolExecutor(PARALLEL_DEPLOYMENTS) as pool:
        return dict(zip(GUARDS, pool.map(run_unguarded, GUARDS), strict=True))


@pytest.mark.parametrize("guard", GUARDS)
def test_a_checker_fails_without_its_guard(violations, guard):
    assert CHECKER_NAMES.get(guard, guard) in {text.partition(":")[0] for text in violations[guard]}
