"""Updates of other routers reach the components that handle them."""

from martenrun.router.drain_messages import DrainUpdate
from martenrun.router.peer_messages import decode, encode
from martenrun.router.peer_updates import dispatch_update
from martenrun.router.runner_responses import drains_for_new_router

from .builders import runner, state
from .test_forwarding import ForwardingCase
from .test_runner_responses import LEAVING, STAMP


def drained_case(script, states=None):
    """Return a case with the drains that it broadcasts."""
    broadcast = []

    def setup(case):
        case.services.broadcast_drains = broadcast.append

    case = ForwardingCase(script, states=states or [state("i-0")], setup=setup).run(0.1)
    return case, broadcast


# Guards against routers that send requests to a runner until each has seen its announcement.
def test_an_announced_drain_is_told_to_other_routers_once():
    case, broadcast = drained_case([(200, [STAMP, LEAVING], b"ok")])
    assert broadcast == [DrainUpdate(["i-0"])]
    dispatch_update(case.services, None, DrainUpdate(["i-0"]))
    assert len(broadcast) == 1


def test_a_drain_told_by_another_router_counts_for_listed_runners_only():
    case, broadcast = drained_case([(200, [STAMP], b"ok")])
    dispatch_update(case.services, None, decode(encode(DrainUpdate(["i-9", "i-0"]))))
    assert case.states[0].is_draining and broadcast == []


def test_a_new_router_is_told_of_drains_that_the_store_does_not_show():
    known, listed, ready = state("i-0"), state("i-1", is_draining=True), state("i-2")
    known.record_draining(90.0)
    case = ForwardingCase(states=[known, listed, ready])
    case.pool.all_states = lambda: case.states
    assert drains_for_new_router(case.services) == DrainUpdate(["i-0"])
    case.pool.all_states = lambda: [ready]
    assert drains_for_new_router(case.services) is None


def test_a_drain_of_one_start_says_nothing_about_the_next():
    case, _ = drained_case([(200, [STAMP], b"ok")])
    case.states[0].runner = runner("i-0~00002", name="i-0")
    dispatch_update(case.services, None, DrainUpdate(["i-0"]))
    assert not case.states[0].is_draining
