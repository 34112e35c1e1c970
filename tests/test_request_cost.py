"""Tests of the benchmark of one request's cost."""

import gc

from martenrun.bench.request_cost import measure
from martenrun.ownership.questions import OpenQuestion


def test_every_request_is_granted_reported_and_given_back():
    cost = measure(nodes=6, runners=60, prefixes=5, seconds=5.0, requests_per_s=20.0, seed=1)
    calls = {(part.role, part.event): part.calls for part in cost.parts}
    assert cost.granted == cost.requests > 50
    assert calls["owner", "ReserveSlot"] == 1.0
    assert 0.8 < calls["owner", "ReleaseSlots"] < 1.2  # Attempts run on over the window's ends.
    assert {part.event for part in cost.parts if part.sent_bytes} == {
        "AttemptReport", "DecideRequest", "Grant", "ReleaseSlots", "ReserveSlot", "SlotGranted"
    }  # fmt: skip


def test_a_request_that_has_ended_leaves_no_cycle_behind():
    gc.collect()
    gc.disable()
    try:
        measure(nodes=6, runners=60, prefixes=5, seconds=5.0, requests_per_s=20.0, seed=1)
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        left = sum(isinstance(found, OpenQuestion) for found in gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert left <= 60  # Those that were open when the run ended: 20 a second for 2 s.
