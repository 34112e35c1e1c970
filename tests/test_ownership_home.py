"""One home and the owners that it asks: grants, waits, repetitions; in virtual time."""

from martenrun.events import PeerDisconnected, PeerMessage
from martenrun.ownership.home import HomeLogic
from martenrun.ownership.pool_ids import incarnation_id
from martenrun.ownership.questions import OpenQuestion
from martenrun.ownership.reasons import Reason
from martenrun.routing.policy import RunnerChoice, RunnerState
from martenrun.simulation.ownership_cluster import MODEL, TENANT, VERSION, OwnershipCluster
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import (
    DecideRequest,
    Grant,
    ReleaseSlots,
    ReserveSlot,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
)


def test_every_action_of_the_reservation_chart_is_implemented():
    node = next(iter(OwnershipCluster(nodes=1, runners=1, seed=8).nodes.values()))
    home: HomeLogic = node.ownership.home
    assert load_chart("reservation").actions == home.actions


def test_a_grant_that_nobody_waits_for_is_given_back():
    node = next(iter(OwnershipCluster(nodes=1, runners=1, seed=8).nodes.values()))
    (sent,) = node.ownership.home.handle(PeerMessage("owner", SlotGranted(77)), 1.0)
    assert (sent.peer, sent.message) == ("owner", ReleaseSlots([77]))


class Home:
    """A node as the home of one question; the test answers for the owners."""

    def __init__(self):
        cluster = OwnershipCluster(nodes=1, runners=2, seed=8)
        cluster.scheduler.run_until(1.0)
        self.node = next(iter(cluster.nodes.values()))
        self.runners = self.node.table.runners

    def tell(self, peer, message):
        return self.node.ownership.home.handle(PeerMessage(peer, message), 1.0)

    def ask(self, attempt=1, excluded=()):
        question = DecideRequest("r", TENANT, MODEL, VERSION, b"0" * 8, attempt=attempt)
        question.deadline_s, question.excluded_runners = 10.0, list(excluded)
        return self.tell("agent", question)

    def grant(self, reserved):
        return self.tell(reserved.peer, SlotGranted(reserved.message.reservation_id, "i", VERSION))

    def refuse(self, reserved):
        refused = SlotRefused(reserved.message.reservation_id, Reason.UNKNOWN_RUNNER.value)
        return self.tell(reserved.peer, refused)


def test_a_question_waits_for_its_prefix_unless_computing_it_anew_is_faster():
    prompt = RunnerState("near", "", "a", "p", slots=4), RunnerState("far", "", "a", "p", slots=4)
    for wait_s, reason, expected in [
        (0.1, Reason.FULL, ("near", True)),
        (2.0, Reason.FULL, ("far", False)),
        (0.0, Reason.STALE_VERSION, ("far", False)),
    ]:
        choices = [RunnerChoice(prompt[0], 9, 0.01), RunnerChoice(prompt[1], 0, 1.0)]
        question = OpenQuestion(DecideRequest("r"), "agent", "p", "reserving", 10.0, choices)
        first, _ = question.next_choice(lambda name: True)
        assert first.runner.name == "near"
        question.refused_by_owner("near", reason)
        question.waits_s["near"] = wait_s
        question.hinted(RunnerState("told", "", "a", "p", slots=4))
        choice, may_queue = question.next_choice(lambda name: True)
        name = "far" if choice.runner.name == "told" else choice.runner.name  # Equally slow.
        assert (name, may_queue) == expected


def test_a_home_learns_how_many_wait_for_a_runner_from_every_answer():
    home = Home()
    (reserved,) = home.ask()
    runner, identity = home.runners[reserved.message.runner], reserved.message.reservation_id
    home.tell(reserved.peer, SlotsQueued([identity], [100], [-3]))
    assert runner.free_slots == -3
    home.tell(reserved.peer, SlotsQueued([identity], [100]))  # of an older node
    assert runner.free_slots == 0
    home.tell(reserved.peer, SlotRefused(identity, Reason.FULL.value, free_slots=-5))
    assert runner.free_slots == -5


def test_a_home_gives_back_the_slot_of_a_runner_that_leaves_by_its_own_list():
    home = Home()
    (reserved,) = home.ask()
    home.runners[reserved.message.runner].leaving = True
    released, other = home.grant(reserved)
    assert released.message == ReleaseSlots([reserved.message.reservation_id])
    assert other.message.runner not in ("", reserved.message.runner)


def test_a_grant_leaves_out_what_the_home_knew_when_it_asked():
    home = Home()
    (reserved,) = home.ask()
    asked, runner = reserved.message, home.runners[reserved.message.runner]
    known = runner.incarnation
    assert asked.known_incarnation == incarnation_id(known) != 0
    runner.incarnation = "told by another grant meanwhile"
    (granted,) = home.tell(reserved.peer, SlotGranted(asked.reservation_id))
    assert (granted.message.incarnation, granted.message.weights_version) == (known, VERSION)
    owner = home.node.ownership.owner
    for number, (hashed, version, told) in enumerate(
        [
            (incarnation_id(known), VERSION, ("", "")),
            (incarnation_id("before"), VERSION, (known, "")),
            (0, "", (known, VERSION)),
        ]
    ):
        asked = ReserveSlot(number, runner.name, weights_version=version, known_incarnation=hashed)
        for _repeated in range(2):
            (sent,) = owner.handle(PeerMessage("home", asked), 1.0)
            assert (sent.message.incarnation, sent.message.weights_version) == told


def test_what_was_asked_over_an_ended_connection_is_asked_anew_and_leases_stay():
    home = Home()
    (reserved,) = home.ask()
    owner = home.node.ownership.home
    released, other = owner.handle(PeerDisconnected(reserved.peer), 1.0)
    assert released.message == ReleaseSlots([reserved.message.reservation_id])
    assert other.message.reservation_id != reserved.message.reservation_id
    (late,) = home.grant(reserved)
    assert late.message == ReleaseSlots([reserved.message.reservation_id])
    (answer,) = home.grant(other)
    assert isinstance(answer.message, Grant)
    assert owner.handle(PeerDisconnected(other.peer), 1.0) == []
    assert owner.open_count == 1


def test_a_repeated_question_gets_the_grant_that_it_has_got():
    home = Home()
    (reserved,) = home.ask()
    assert home.ask() == []
    (granted,) = home.grant(reserved)
    home.runners[granted.message.runner].weights_version = ""  # It loads others by now.
    assert home.ask() == [granted]
    home.runners[granted.message.runner].leaving = True
    assert home.ask() == []


def test_an_excluded_runner_is_asked_again_once_no_other_takes_work():
    home = Home()
    excluded, _ = home.runners
    (reserved,) = home.ask(excluded=[excluded])
    while reserved.message.runner != excluded:
        (reserved,) = home.refuse(reserved)
    (granted,) = home.grant(reserved)
    assert granted.message.runner == excluded
    _, reserved = home.ask(2, excluded=home.runners)
    assert reserved.message.runner in home.runners
