"""Any schedule of faults: once they stop, all live nodes agree within a bound."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from martenrun.membership.record import MemberStatus
from martenrun.simulation.members import MemberCluster
from martenrun.simulation.network import LinkFaults

NODES = 9
AGREE_WITHIN_S = 60.0

_NODE = st.integers(0, NODES - 1)
_FAULT = st.one_of(
    st.tuples(st.sampled_from(["kill", "start", "freeze", "thaw"]), _NODE),
    st.tuples(st.just("cut"), st.integers(1, NODES - 1)),
    st.tuples(st.just("heal"), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 20)),
)


class Faults:
    """Carries out a schedule and undoes at the end what must not last."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.frozen = set()

    def apply(self, kind, number):
        cluster, address = self.cluster, self.cluster.addresses[number % NODES]
        running = address in cluster.views
        if kind == "wait":
            cluster.run(number)
        elif kind == "cut":
            cluster.network.cut([cluster.addresses[:number]])
        elif kind == "heal":
            cluster.network.heal()
        elif kind == "kill" and running:
            cluster.kill(address)
            self.frozen.discard(address)
        elif kind == "start" and not running:
            cluster.start(address)
        elif kind == "freeze" and running and address not in self.frozen:
            cluster.processes[address].freeze()
            self.frozen.add(address)
        elif kind == "thaw" and address in self.frozen:
            cluster.processes[address].thaw()
            self.frozen.discard(address)

    def stop(self):
        self.cluster.network.heal()
        self.cluster.faults.loss = 0.0
        for address in self.frozen:
            self.cluster.processes[address].thaw()


@settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    schedule=st.lists(_FAULT, max_size=14),
    seed=st.integers(0, 1000),
    loss=st.sampled_from([0.0, 0.05, 0.2]),
)
def test_live_nodes_agree_after_the_faults_stop(schedule, seed, loss):
    faults = LinkFaults(jitter_s=0.05, loss=loss, duplicate=0.1)
    cluster = MemberCluster(NODES, seed, faults)
    cluster.run(5.0)
    schedule_faults = Faults(cluster)
    for kind, number in schedule:
        schedule_faults.apply(kind, number)
    schedule_faults.stop()
    if not cluster.views:
        return
    cluster.run_until(cluster.agrees, AGREE_WITHIN_S, step_s=0.5)
    cluster.run(20.0)
    assert cluster.agrees(), "what was agreed lasts while nothing fails"
    for address in cluster.views:
        assert cluster.count_believing(address, MemberStatus.DEAD) == 0
