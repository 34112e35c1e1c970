"""Probes of runners, and what callers and other routers learn of a partition."""

import attrs
import pytest

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.partition_monitor import PROBE_INTERVAL_S, PartitionMonitor
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.reachability import Reachability

from .builders import state
from .fakes import FakeLoop
from .gossip_world import router_record


def record(name, **changes):
    fields = {"front": f"{name}-front", "zone": "z1", "accepts_forwarded": True}
    return router_record(name, **{**fields, **changes})


@attrs.define
class FakePeers:
    own: RouterRecord = attrs.field(factory=lambda: record("own"))
    others: list = attrs.field(factory=lambda: [record("far", zone="z2"), record("near")])
    broadcasts: int = 0

    def live(self):
        return self.others

    def schedule_record_broadcast(self):
        self.broadcasts += 1


class FakePool:
    def __init__(self, states):
        self._states = states

    def services(self):
        return list(self._states)

    def states(self, service):
        return self._states.get(service, [])


@attrs.define
class FakeServices:
    loop: FakeLoop
    pool: FakePool
    reachability: Reachability
    adapter: object = PLATFORM_ADAPTER
    peers_reaching: object = None
    peer_keeps_software: object = None


class FakeServer:
    sheds_connections = False


class MonitorCase:
    def __init__(self):
        self.loop = FakeLoop()
        self.states = {
            "llm": [state(f"llm{n}", service="llm", address=f"llm{n}:1") for n in range(6)],
            "ledger": [state(f"led{n}", service="ledger", address=f"led{n}:1") for n in range(2)],
        }
        pool = FakePool(self.states)
        self.reachability = Reachability(pool.states)
        self.services = FakeServices(self.loop, pool, self.reachability)
        self.peers = FakePeers()
        self.front = FakeServer()
        self.probes = []
        self.monitor = PartitionMonitor(self.services, self.peers, self.front, self.probe)

    def probe(self, address, call, on_response):
        self.probes.append((address, on_response))

    def run(self, seconds=0.0):
        self.loop.run_until(self.loop.now() + seconds)
        self.monitor.run_maintenance(self.loop.now())

    def lose_runners(self):
        for instance in ("llm0", "llm1"):
            self.reachability.record_failure("llm", instance, self.loop.now())

    def own_record(self):
        self.monitor.update_record(self.peers.own)
        return self.peers.own


@pytest.fixture
def case():
    return MonitorCase()


def test_nothing_is_probed_while_runners_are_reachable(case):
    case.run()
    assert case.probes == [] and case.peers.broadcasts == 0


def test_a_router_that_reaches_no_runner_tells_routers_and_sheds_callers(case):
    case.lose_runners()
    case.run()
    assert case.own_record().is_cut_off and case.own_record().unreachable_services == ["llm"]
    assert case.peers.broadcasts == 1 and case.front.sheds_connections
    case.run()
    assert case.peers.broadcasts == 1


# Guards against callers that are sent away though no router could serve them better.
def test_callers_are_kept_while_no_other_router_reaches_runners(case):
    case.peers.others = [record("p1", is_cut_off=True), record("p2", is_leaving=True)]
    case.lose_runners()
    case.run()
    assert case.own_record().is_cut_off and not case.front.sheds_connections


def test_a_router_that_reaches_another_service_stays_in_the_directory(case):
    case.lose_runners()
    case.reachability.record_response("ledger", 0.0, case.loop.now())
    case.run()
    assert case.own_record().unreachable_services == ["llm"]
    assert not case.own_record().is_cut_off and not case.front.sheds_connections


def test_probes_end_the_partition_when_a_runner_responds(case):
    case.lose_runners()
    case.run()
    first = list(case.probes)
    assert len(first) == 2 and len({address for address, _ in first}) == 2
    case.run(PROBE_INTERVAL_S / 2)
    assert len(case.probes) == 2
    for _, on_response in first:
        on_response(None)
    case.run(2 * PROBE_INTERVAL_S)
    assert len(case.probes) == 3
    case.probes[-1][1](HttpResponse(200, [], b""))
    assert not case.own_record().is_cut_off and case.own_record().unreachable_services == []
    assert not case.front.sheds_connections


def test_runners_are_probed_if_all_are_silent_on_open_connections(case):
    now = case.loop.now()
    case.states["ledger"][0].record_sent(now)
    case.run(0.5)
    assert case.probes == []
    case.run(0.3)
    assert {address for address, _ in case.probes} == {"led0:1", "led1:1"}
    for _, on_response in case.probes:
        on_response(None)
    assert case.own_record().unreachable_services == ["ledger"]


def test_one_silent_runner_causes_no_probe_while_another_sends_data(case):
    case.states["ledger"][0].record_sent(case.loop.now())
    case.loop.run_until(case.loop.now() + 0.9)
    case.states["ledger"][1].last_data_at = case.loop.now() - 0.1
    case.run()
    assert case.probes == []


# Guards against a partition that is inferred from timeouts that fired after a suspension.
def test_a_probe_that_ends_after_a_suspension_does_not_count(case):
    case.states["ledger"][0].record_sent(case.loop.now())
    case.run(0.9)
    case.loop.run_until(case.loop.now() + 20.0)
    for _, on_response in case.probes:
        on_response(None)
    assert case.own_record().unreachable_services == []


def test_routers_of_the_own_zone_that_reach_the_service_are_chosen_first(case):
    case.peers.others = [
        record("far", zone="z2"),
        record("near"),
        record("leaving", is_leaving=True),
        record("behind", is_current=False),
        record("cut", unreachable_services=["llm"]),
        record("older", accepts_forwarded=False),
    ]
    assert case.services.peers_reaching("llm") == ["near", "far"]
    assert set(case.services.peers_reaching("ledger")) == {"near", "far", "cut"}
