"""Guards of the product, each taken out by a function of its own."""

import dataclasses
import weakref

from martenrun.agent import configuration as agent_configuration
from martenrun.agent.active import ActiveRequest
from martenrun.agent.configuration import AgentConfigurationLogic
from martenrun.agent.requests import RequestsLogic
from martenrun.backends.engine import AttemptOutcome
from martenrun.backends.machine_list import Machine
from martenrun.claims.logic import ClaimsLogic
from martenrun.configuration.state import ConfigurationState
from martenrun.configuration.watching import StoreWatching
from martenrun.edge.request import CallerRequest
from martenrun.errors import Ran
from martenrun.events import PeerMessage, QuestionCleared, Tell
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.table import MemberTable
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.orders import permits
from martenrun.ownership.stall import MachineListAge
from martenrun.proof import processes
from martenrun.proof.drain import DrainStep
from martenrun.proof.processes import SimulatedProcess
from martenrun.routing.beliefs import BeliefBook
from martenrun.routing.policy import RunnerChoice
from martenrun.standins.engine.orders import FenceGuard
from martenrun.wire.messages import ConfigurationUpdate


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
    monkeypatch.setattr(ActiveRequest, "may_run_again", lambda self: True)


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
    monkeypatch.setattr(AgentConfigurationLogic, "_not_asked", lambda self, nodes: sorted(nodes))


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


def wait_for_every_lease_to_lapse(monkeypatch):
    monkeypatch.setattr(StoreWatching, "_is_lost", lambda self, slot, now: False)


def learn_nothing_from_late_answers(monkeypatch):
    monkeypatch.setattr(ActiveRequest, "note_late", lambda self, node, attempt: None)
