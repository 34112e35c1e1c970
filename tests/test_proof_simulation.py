"""Simulated histories: every checker fails without its guard and passes with it."""

import dataclasses
import weakref

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.agent import configuration as agent_configuration
from martenrun.agent.active import ActiveRequest
from martenrun.agent.configuration import AgentConfigurationLogic
from martenrun.agent.requests import RequestsLogic
from martenrun.claims.logic import ClaimsLogic
from martenrun.configuration.state import ConfigurationState
from martenrun.edge.request import CallerRequest
from martenrun.errors import Ran
from martenrun.events import PeerMessage, QuestionCleared, Tell
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.table import MemberTable
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.orders import permits
from martenrun.ownership.stall import MachineListAge
from martenrun.platform.engine import AttemptOutcome
from martenrun.platform.machine_list import Machine
from martenrun.proof import processes
from martenrun.proof.checkers.restart import check_restart
from martenrun.proof.drain import DrainStep
from martenrun.proof.history import (
    EngineListed,
    Executed,
    History,
    RequestAnswered,
    RequestInvoked,
)
from martenrun.proof.processes import SimulatedProcess
from martenrun.proof.schedule import HOLDER_PAUSE_S, Fault, FaultKind, Schedule, draw_schedule
from martenrun.proof.world import World, run_schedule
from martenrun.routing.beliefs import BeliefBook
from martenrun.routing.policy import RunnerChoice
from martenrun.standins.engine.orders import FenceGuard
from martenrun.wire.messages import ConfigurationUpdate


def fault(kind, at_s, duration_s=1.0, target=0):
    return Fault(kind, at_s, duration_s, target)


def schedule(*faults, **fields):
    return Schedule(**{"seed": 7, "faults": faults, **fields})


CRASHES = schedule(
    *(fault(FaultKind.CRASH_ENGINE, 1.0 + index, 0.3, index) for index in range(8)),
    requests_per_s=16.0,
    copy_share=0.0,
)
CUTS = schedule(
    *(fault(FaultKind.CUT_CONNECTIONS, 0.5 + 0.25 * index, 0.0, index) for index in range(36)),
    requests_per_s=16.0,
    copy_share=0.0,
)
LEAVING = schedule(fault(FaultKind.ENGINE_LEAVES, 1.0), load_s=9.0, requests_per_s=8.0)
BUSY_LEAVING = schedule(
    fault(FaultKind.ENGINE_LEAVES, 1.0),
    seed=8,
    engines=1,
    load_s=9.5,
    requests_per_s=40.0,
    copy_share=0.0,
)
RESTART_WITHOUT_STORE = schedule(
    fault(FaultKind.STORE_DOWN, 0.5, 9.0), fault(FaultKind.KILL_NODE, 2.0, 0.3)
)
RESTART_ALL_WITHOUT_STORE = schedule(
    fault(FaultKind.STORE_DOWN, 0.5, 9.0),
    fault(FaultKind.RESTART_ALL_NODES, 2.0, 0.3),
    nodes=4,
    agents=1,
    requests_per_s=16.0,
)
PAUSED_NODE = schedule(
    fault(FaultKind.FREEZE_NODE, 2.0, 5.0),
    fault(FaultKind.ENGINE_LEAVES, 2.2),
    nodes=1,
    engines=2,
    requests_per_s=16.0,
)
PAUSED_AGENT = schedule(
    fault(FaultKind.FREEZE_AGENT, 2.0, 5.0),
    fault(FaultKind.ENGINE_LEAVES, 2.2),
    seed=2,
    nodes=2,
    agents=1,
    engines=1,
    load_s=4.0,
    requests_per_s=80.0,
    copy_share=0.0,
)
RUNNERS_RESTARTED = schedule(
    *(fault(FaultKind.CRASH_ENGINE, 1.0 + 0.35 * index, 0.3, index) for index in range(18)),
    seed=1,
    nodes=4,
    agents=2,
    engines=4,
    requests_per_s=60.0,
    copy_share=0.0,
)
NODES_RESTARTED = schedule(
    fault(FaultKind.RESTART_ALL_NODES, 2.8842861076872714, 5.0, 547),
    fault(FaultKind.FREEZE_ENGINE, 3.282518932346762, 0.3, 243),
    fault(FaultKind.CUT_CONNECTIONS, 2.9975614068653877, 1.5, 527),
    fault(FaultKind.CUT_NETWORK, 5.0535837432115, 1.5, 483),
    fault(FaultKind.CRASH_ENGINE, 3.783243103856903, 8.0, 206),
    seed=272,
    nodes=2,
    agents=3,
    engines=2,
    load_s=7.512159991545346,
    requests_per_s=9.454497896720301,
)
AGENTS_RESTARTED = schedule(
    *(fault(FaultKind.KILL_NODE, 1.0, 8.0, index) for index in range(3)),
    *(fault(FaultKind.KILL_AGENT, 2.0 + 1.6 * index, 0.3, index % 2) for index in range(4)),
    nodes=4,
    agents=2,
    requests_per_s=32.0,
)
REGIONS_CUT = schedule(
    fault(FaultKind.CUT_REGIONS, 1.0, 6.0),
    *(fault(FaultKind.RACE_OPERATORS, 1.2 + 0.5 * index) for index in range(12)),
    seed=6,
    nodes=4,
    agents=4,
    engines=4,
    zones=4,
    load_s=3.0,
    requests_per_s=160.0,
    copy_share=0.0,
)
ZONE_LOST = schedule(
    *(fault(FaultKind.LOSE_ZONE, 1.0 + 2.0 * index, 1.5, index) for index in range(4)),
    nodes=4,
    agents=4,
    engines=4,
    zones=4,
    requests_per_s=16.0,
    copy_share=0.0,
)
LEAVING_UNSEEN = schedule(
    fault(FaultKind.MACHINES_LATE, 0.5, 0.3),
    fault(FaultKind.ENGINE_LEAVES, 0.6),
    fault(FaultKind.MACHINES_DOWN, 2.0, 0.3),
    nodes=2,
    zones=2,
    load_s=9.5,
    requests_per_s=16.0,
)
FEEDS_LOST = schedule(
    *(fault(FaultKind.CRASH_ENGINE, 1.0 + index, 0.3, index) for index in range(8)),
    *(fault(FaultKind.LOSE_CACHE_EVENTS, 0.5 + 2.0 * index, 1.5, index) for index in range(4)),
    requests_per_s=16.0,
)
ROLL = schedule(
    fault(FaultKind.ROLL_WEIGHTS, 1.0),
    *(fault(FaultKind.CUT_CONNECTIONS, 0.8 + 0.25 * index, 0.0, index) for index in range(36)),
    engines=4,
    load_s=10.0,
    requests_per_s=40.0,
    copy_share=0.0,
)
ROLL_OF_TWO = schedule(fault(FaultKind.ROLL_WEIGHTS, 1.0), engines=2, load_s=2.0)
HOLDER_PAUSED = schedule(
    fault(FaultKind.PAUSE_PERMIT_HOLDER, 1.0, HOLDER_PAUSE_S),
    fault(FaultKind.STORE_DOWN, 5.0, 5.0),
    engines=4,
    load_s=4.0,
)
STOPS = schedule(
    *(fault(FaultKind.STOP_NODE, 1.0 + 4.0 * index, 5.0, index) for index in range(2)),
    *(fault(FaultKind.STOP_AGENT, 0.8 + 1.5 * index, 0.3, index) for index in range(6)),
    nodes=3,
    agents=3,
    requests_per_s=32.0,
)
STOP_AT_START = schedule(
    fault(FaultKind.KILL_NODE, 1.0, 0.3),
    fault(FaultKind.STOP_NODE, 1.32, 8.0),
    agents=1,
    load_s=4.0,
    seed=20,
)
LATE_MESSAGES = schedule(
    fault(FaultKind.LOSE_MESSAGES, 0.5, 9.0, target=1),
    *(fault(FaultKind.RACE_OPERATORS, 1.0 + 0.2 * index) for index in range(30)),
)


def found(run, promise):
    return [violation for violation in run_schedule(run).violations if violation.promise == promise]


def share_cache_between_tenants(monkeypatch):
    with_salt = CallerRequest.engine_body

    def without_salt(self, *arguments):
        question = dataclasses.replace(self.question, tenant="same")
        return with_salt(dataclasses.replace(self, question=question), *arguments)

    monkeypatch.setattr(CallerRequest, "engine_body", without_salt)


def take_broken_streams_as_whole(monkeypatch):
    classified = RequestsLogic._classified

    def classify(self, request, now):
        is_broken = request.result.outcome is AttemptOutcome.BROKEN
        return "completed" if is_broken else classified(self, request, now)

    monkeypatch.setattr(RequestsLogic, "_classified", classify)


def never_time_out(monkeypatch):
    monkeypatch.setattr(RequestsLogic, "_check_times", lambda self, now: [])


def call_unknown_outcomes_not_run(monkeypatch):
    def told(self, error):
        error.ran = Ran.NO
        return error

    monkeypatch.setattr(ActiveRequest, "told", told)


def repeat_what_may_have_run(monkeypatch):
    monkeypatch.setattr(RequestsLogic, "_may_run_again", staticmethod(lambda request: True))


def clear_without_a_claim(monkeypatch):
    def asked(self, peer, question, now):
        return [Tell(QuestionCleared(peer, question))]

    monkeypatch.setattr(ClaimsLogic, "_asked", asked)


def use_leaving_runners(monkeypatch):
    monkeypatch.setattr(Machine, "is_leaving", property(lambda self: False))


def take_older_updates(monkeypatch):
    apply = ConfigurationState.apply

    def apply_any(self, update):
        self.revision = min(self.revision, update.from_revision)
        self._objects.clear()
        return apply(self, update)

    monkeypatch.setattr(ConfigurationState, "apply", apply_any)


def take_no_configuration_from_peers(monkeypatch):
    handle = NodeConfigurationLogic._handle

    def handle_no_update(self, event, now):
        is_update = isinstance(event, PeerMessage) and isinstance(
            event.message, ConfigurationUpdate
        )
        return [] if is_update else handle(self, event, now)

    monkeypatch.setattr(NodeConfigurationLogic, "_handle", handle_no_update)


def hold_no_request(monkeypatch):
    monkeypatch.setattr(processes, "longest_hold_s", lambda deadline_s: 0.0)


def ask_one_node_and_hold_no_request(monkeypatch):
    hold_no_request(monkeypatch)
    monkeypatch.setattr(agent_configuration, "FIRST_FANOUT", 1)


def ask_no_agent_before_it_asks(monkeypatch):
    # A request that is held for the first copy would outlast the wait for the agent's question.
    hold_no_request(monkeypatch)
    monkeypatch.setattr(NodeConfigurationLogic, "_may_have_copy", lambda self, peer: False)
    monkeypatch.setattr(AgentConfigurationLogic, "_offer", lambda self, peer, query, now: [])


def trust_an_old_machine_list(monkeypatch):
    monkeypatch.setattr(MachineListAge, "is_trusted", lambda self, now: True)


def use_grants_from_before_a_pause(monkeypatch):
    monkeypatch.setattr(RequestsLogic, "_ask_anew", lambda self, now: [])


def credit_the_run_before(monkeypatch):
    monkeypatch.setattr(RunnerChoice, "granted_at", lambda choice, *_identity: choice)


def leave_without_a_word(monkeypatch):
    monkeypatch.setattr(MemberTable, "leave", lambda self, now: None)


def leave_before_joining(monkeypatch):
    # The setting of this attribute at each tick is what the guard rests on.
    always = property(lambda self: True, lambda self, value: None)
    monkeypatch.setattr(GossipMembership, "_knows_members", always, raising=False)


def stop_without_waiting_for_streams(monkeypatch):
    monkeypatch.setattr(SimulatedProcess, "drain_steps", lambda self: [DrainStep(bool, 0.0)])


def keep_beliefs_about_an_incarnation_that_ended(monkeypatch):
    identify = BeliefBook.identify
    known = weakref.WeakKeyDictionary()

    def identify_once(self, runner, incarnation, weights_version):
        runs = known.setdefault(self, {})
        if incarnation and runner not in runs:
            runs[runner] = identify(self, runner, incarnation, weights_version)
        return runs.get(runner) or identify(self, runner, incarnation, weights_version)

    monkeypatch.setattr(BeliefBook, "identify", identify_once)


def ignore_the_fence(monkeypatch):
    def check(self, order):
        self.fence = max(self.fence, order.fence)
        return order != self._accepted

    monkeypatch.setattr(FenceGuard, "check", check)


def load_any_number_at_a_time(monkeypatch):
    granted = permits.granted

    def grant(table, wish, holder, expired, serving, _maximum_loads):
        return granted(table, wish, holder, expired, serving, 99)

    monkeypatch.setattr(permits, "granted", grant)


def keep_no_floor(monkeypatch):
    monkeypatch.setattr(permits, "_keeps_floor", lambda table, wish, serving: True)


def go_on_with_other_weights(monkeypatch):
    monkeypatch.setattr(ActiveRequest, "weights_differ", lambda self, grant: False)


GUARDS = [
    ("weights", ignore_the_fence, HOLDER_PAUSED),
    ("weights", load_any_number_at_a_time, ROLL),
    ("weights", keep_no_floor, ROLL_OF_TWO),
    ("weights", go_on_with_other_weights, ROLL),
    ("cache_use", keep_beliefs_about_an_incarnation_that_ended, FEEDS_LOST),
    ("planned_stop", leave_without_a_word, STOPS),
    ("planned_stop", leave_before_joining, STOP_AT_START),
    ("planned_stop", stop_without_waiting_for_streams, STOPS),
    ("cache_use", credit_the_run_before, RUNNERS_RESTARTED),
    ("leaving", trust_an_old_machine_list, PAUSED_NODE),
    ("leaving", use_grants_from_before_a_pause, PAUSED_AGENT),
    ("restart", ask_no_agent_before_it_asks, RESTART_ALL_WITHOUT_STORE),
    ("restart", ask_one_node_and_hold_no_request, AGENTS_RESTARTED),
    ("restart", take_no_configuration_from_peers, RESTART_WITHOUT_STORE),
    ("cache_use", share_cache_between_tenants, schedule()),
    ("streams", take_broken_streams_as_whole, CRASHES),
    ("own_answer", never_time_out, LATE_MESSAGES),
    ("not_run", call_unknown_outcomes_not_run, CUTS),
    ("at_most_once", repeat_what_may_have_run, CUTS),
    ("at_most_once", clear_without_a_claim, schedule(requests_per_s=16.0)),
    ("leaving", use_leaving_runners, LEAVING),
    ("planned_stop", use_leaving_runners, BUSY_LEAVING),
    ("configuration", take_older_updates, LATE_MESSAGES),
    ("at_most_once", repeat_what_may_have_run, REGIONS_CUT),
    ("configuration", take_older_updates, REGIONS_CUT),
    ("streams", take_broken_streams_as_whole, ZONE_LOST),
    ("leaving", use_leaving_runners, LEAVING_UNSEEN),
]


@pytest.mark.parametrize(("promise", "remove_guard", "run"), GUARDS)
def test_the_checker_finds_the_violation_only_without_the_guard(
    promise, remove_guard, run, monkeypatch
):
    assert found(run, promise) == []
    remove_guard(monkeypatch)
    assert found(run, promise)


def test_the_same_schedule_gives_the_same_outcome():
    run = draw_schedule(3)
    assert msgspec.json.encode(run_schedule(run)) == msgspec.json.encode(run_schedule(run))


FAULTS = st.builds(
    Fault,
    kind=st.sampled_from(list(FaultKind)),
    at_s=st.floats(0.5, 6.0),
    duration_s=st.sampled_from((0.3, 1.5, 5.0)),
    target=st.integers(0, 100),
)
SCHEDULES = st.builds(
    Schedule,
    seed=st.integers(0, 1_000),
    nodes=st.integers(1, 4),
    agents=st.integers(1, 2),
    engines=st.integers(1, 4),
    zones=st.integers(1, 4),
    load_s=st.just(6.0),
    faults=st.lists(FAULTS, max_size=4).map(tuple),
)


@settings(derandomize=True, deadline=None, max_examples=12)
@given(SCHEDULES)
def test_no_promise_is_broken_whatever_fails(run):
    assert run_schedule(run).violations == []


def test_restarted_nodes_refuse_nothing_while_an_engine_answers():
    assert found(NODES_RESTARTED, "restart") == []


def test_the_only_runner_left_serves_with_the_weights_it_has():
    # The floor keeps the pool's only engine from loading the weights that are published.
    history = World(schedule(fault(FaultKind.ROLL_WEIGHTS, 0.5), engines=1, load_s=3.0)).run()
    codes = {answer.code for answer in history.of(RequestAnswered)}
    assert codes <= {"", "duplicate_request"}
    assert {run.weights_version for run in history.of(Executed)} == {"v1"}


def test_a_refusal_for_want_of_a_runner_counts_unless_every_engine_is_out():
    both_out = msgspec.structs.replace(
        NODES_RESTARTED,
        faults=(*NODES_RESTARTED.faults, fault(FaultKind.FREEZE_ENGINE, 7.07, 5.0, 837)),
    )
    history = World(both_out).run()
    listed = [record for record in history.records if not isinstance(record, EngineListed)]
    assert check_restart(history) == []
    details = {found.detail for found in check_restart(History(listed, history.end_s))}
    assert details == {"refused with no_runner"}


def test_a_killed_nodes_runners_serve_again_before_its_death_is_certain():
    killed = fault(FaultKind.KILL_NODE, 6.0, 10.0)
    run = schedule(killed, seed=1, load_s=12.0, requests_per_s=100.0, copy_share=0.0)
    history = World(run).run()
    started = {item.request_id: item.time_s for item in reversed(history.of(Executed))}
    waits = [
        started[asked.request_id] - asked.time_s
        for asked in history.of(RequestInvoked)
        if asked.request_id in started and 13.0 < asked.time_s < 15.0
    ]
    assert len(waits) > 100
    assert sorted(waits)[int(0.95 * len(waits))] < 0.2
