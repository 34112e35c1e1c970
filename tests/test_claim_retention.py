"""Claims are removed once they are old: never too early, never held ones, and at last all."""

import random
from dataclasses import dataclass, field

import msgspec
import pytest

from martenrun.claims import retention as retention_module
from martenrun.claims.age_keeper import AGES_KIND, AGES_NAME, FIRST_CALL_S, AgeKeeper
from martenrun.claims.ages import (
    MARKS_PER_RETENTION,
    AgeMark,
    AgeMarks,
    advanced,
    old_revision,
)
from martenrun.claims.record import ClaimState
from martenrun.claims.retention import ClaimRetentionLogic, retention_of
from martenrun.configuration.objects import Kind, Retention, parse_document
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import CLAIM_KIND
from martenrun.errors import InvalidObjectError
from martenrun.events import StoreAnswered, StoreList, StoreOutcome, StoreRead, StoreWrite, Tick
from martenrun.standins.object_store import ObjectStore
from martenrun.wire.messages import ConfigurationObject

RETENTION = Retention(seconds=3_600, removals_per_s=5)
STEP_S = 10.0
HOURS = 5
KEYS = 30
KEYS_NEVER_ENDED = 5


def converted(item):
    document = msgspec.json.encode(item.document)
    return ConfigurationObject(item.kind, item.name, item.version, item.deleted, document)


@dataclass
class Node:
    """A node whose clock has its own zero; paused, it neither hears nor ticks."""

    logic: ClaimRetentionLogic
    clock_offset_s: float
    paused_until: float = 0.0
    answers: list = field(default_factory=list)


class Fleet:
    """Three nodes that all may clean, an object API that loses answers, and claims in use."""

    def __init__(self, seed, keeper=AgeKeeper, checks_version=True):
        self.rng = random.Random(seed)
        self.keeper = keeper
        self.checks_version = checks_version
        self.store = ObjectStore()
        self.now = 0.0
        self.revision_at = {}
        self.calls = []
        self.faults = []
        self.removed = 0
        self.nodes = [self.new_node(index) for index in range(3)]

    def new_node(self, index):
        name = f"node-{index}/{self.rng.random()}"
        logic = ClaimRetentionLogic(name, lambda: True, lambda: RETENTION)
        logic._keeper = self.keeper(f"{name}/")
        return Node(logic, self.rng.uniform(0, 1e6))

    def write(self, kind, name, expected, document):
        written, version = self.store.write(kind, name, expected, document)
        if written:
            self.revision_at[version] = self.now
        return written, version

    def use_claims(self):
        """Make, end, take over and use again the claims of a few keys."""
        key = self.rng.randrange(KEYS)
        name = f"key-{key}"
        found = self.store.get(CLAIM_KIND, name)
        if found is None or found.deleted:
            state, version = "held", 0
        elif found.document["state"] == "held":
            if key < KEYS_NEVER_ENDED:
                return
            state, version = self.rng.choice(["held", "done", "released"]), found.version
        elif found.document["state"] == "released" and self.rng.random() < 0.2:
            state, version = "held", found.version
        else:
            return
        self.write(CLAIM_KIND, name, version, {"holder": str(self.rng.random()), "state": state})

    def carry(self, call):
        if isinstance(call, StoreRead):
            found = self.store.get(call.kind, call.name)
            if found is None or found.deleted:
                return StoreAnswered(call.call_id, StoreOutcome.NOT_FOUND)
            item = converted(found)
            return StoreAnswered(call.call_id, StoreOutcome.DONE, item.revision, item)
        if isinstance(call, StoreList):
            page = self.store.list_page(call.kind, call.after_name, call.limit)
            listed = tuple(converted(item) for item in page.objects)
            return StoreAnswered(call.call_id, StoreOutcome.DONE, listed=listed)
        return self.carry_write(call)

    def carry_write(self, call):
        expected = call.expected
        present = self.store.get(call.kind, call.name)
        is_removal = call.kind == CLAIM_KIND
        if is_removal and not self.checks_version and present and not present.deleted:
            expected = present.version
        document = None if is_removal else msgspec.json.decode(call.document)
        written, version = self.write(call.kind, call.name, expected, document)
        if written and is_removal:
            self.judge_removal(present)
        elif written:
            self.judge_marks(msgspec.convert(document, AgeMarks))
        outcome = StoreOutcome.DONE if written else StoreOutcome.CONFLICT
        return StoreAnswered(call.call_id, outcome, version)

    def judge_removal(self, claim):
        self.removed += 1
        if claim.document["state"] == ClaimState.HELD:
            self.faults.append("removed a held claim")
        if self.now - self.revision_at[claim.version] < RETENTION.seconds:
            self.faults.append("removed a young claim")

    def judge_marks(self, ages):
        for mark in ages.marks:
            if mark.age_s > self.now - self.revision_at[mark.revision] + 1e-6:
                self.faults.append("a mark tells too great an age")

    def step(self, is_calm=False):
        self.now += STEP_S
        self.use_claims()
        for index, node in enumerate(self.nodes):
            if not is_calm:
                self.disturb(index, node)
            if self.now >= node.paused_until:
                self.run(node, is_calm)
        for call in [call for call in self.calls if call[0] <= self.now]:
            self.calls.remove(call)
            self.answer(*call[1:], is_calm)

    def disturb(self, index, node):
        if self.rng.random() < 0.002:
            self.nodes[index] = self.new_node(index)
        elif self.rng.random() < 0.004:
            node.paused_until = self.now + self.rng.choice([60, 300, 6_000])

    def run(self, node, is_calm):
        own_now = self.now + node.clock_offset_s
        for answer in node.answers:
            node.logic.handle(answer, own_now)
        node.answers.clear()
        for call in node.logic.handle(Tick(), own_now):
            delay_s = 0 if is_calm else self.rng.choice([0, 0, 0, 20, 400])
            self.calls.append((self.now + delay_s, node, call))

    def answer(self, node, call, is_calm):
        fate = "done" if is_calm else self.rng.choice(["done"] * 8 + ["lost", "down"])
        answer = StoreAnswered(call.call_id, StoreOutcome.UNKNOWN)
        if fate != "down":
            done = self.carry(call)
            answer = answer if fate == "lost" else done
        node.answers.append(answer)

    def ended_claims(self):
        claims = self.store.list_all(frozenset({CLAIM_KIND})).objects
        return [claim for claim in claims if claim.document["state"] != "held"]


def run(seed, **variants):
    fleet = Fleet(seed, **variants)
    for _ in range(int(HOURS * 3_600 / STEP_S)):
        fleet.step()
    return fleet


def test_no_claim_is_removed_early_or_held_whatever_nodes_and_answers_do():
    fleets = [run(seed) for seed in range(8)]
    assert [fleet.faults for fleet in fleets] == [[]] * 8
    assert sum(fleet.removed for fleet in fleets) > 100


def test_every_ended_claim_goes_in_the_end():
    fleet = run(3)
    fleet.use_claims = lambda: None
    for _ in range(int(3 * RETENTION.seconds / STEP_S)):
        fleet.step(is_calm=True)
    assert fleet.ended_claims() == []
    assert fleet.faults == []


class CountsIntervalsTwice(AgeKeeper):
    """Adds the time since the first version it ever knew to whatever it finds."""

    def _known(self, version, now):
        first = self._known_at or now
        super()._known(version, now)
        self._known_at = first


def test_the_run_finds_ages_that_are_counted_twice():
    assert {"a mark tells too great an age", "removed a young claim"} <= set(
        run(1, keeper=CountsIntervalsTwice).faults
    )


def test_the_run_finds_removals_without_compare_and_swap():
    faults = [fault for seed in range(8) for fault in run(seed, checks_version=False).faults]
    assert "removed a young claim" in faults


def test_the_run_finds_the_removal_of_held_claims(monkeypatch):
    monkeypatch.setattr(retention_module, "_ENDED", frozenset(ClaimState))
    assert "removed a held claim" in run(1).faults


def test_removals_keep_to_their_rate_and_start_after_the_retention_time():
    fleet = Fleet(1)
    for index in range(200):
        fleet.write(CLAIM_KIND, f"{index:03}", 0, {"holder": "a", "state": "done"})
    node = fleet.nodes[0]
    removed = []
    for second in range(5_000):
        fleet.now = float(second)
        for call in node.logic.handle(Tick(), fleet.now):
            if isinstance(call, StoreWrite) and call.kind == CLAIM_KIND:
                removed.append(second)
            node.logic.handle(fleet.carry(call), fleet.now)
    assert len(removed) == 200
    assert removed[0] >= RETENTION.seconds
    assert removed[-1] - removed[0] >= 200 / RETENTION.removals_per_s
    assert node.logic.removed == 200


def test_a_node_that_does_not_watch_calls_nothing():
    logic = ClaimRetentionLogic("node", lambda: False, lambda: RETENTION)
    assert logic.handle(Tick(), 1.0) == []


def test_marks_are_bounded_and_old_enough():
    ages = AgeMarks()
    for step in range(1, 2_000):
        ages = advanced(ages, step, 10.0, 3_600.0)
    assert len(ages.marks) < 1.25 * MARKS_PER_RETENTION
    assert 3_600 <= ages.marks[0].age_s < 3_600 * 1.05
    assert old_revision(ages, 3_600.0) == ages.marks[0].revision
    assert old_revision(AgeMarks((AgeMark(7, 3_599.0),)), 3_600.0) == 0


def test_unreadable_marks_tell_no_age():
    fleet = Fleet(1)
    fleet.store.write(AGES_KIND, AGES_NAME, 0, {"marks": "nonsense"})
    keeper = AgeKeeper("k/")
    assert keeper.tick(0.0, 3_600.0) == []
    (read,) = keeper.tick(FIRST_CALL_S, 3_600.0)
    keeper.answered(fleet.carry(read), FIRST_CALL_S)
    assert keeper.ages == AgeMarks()


def test_the_published_retention_is_in_force_and_has_a_floor():
    document = parse_document(Kind.RETENTION, b'{"seconds": 7200}')
    view = ConfigurationView.build(1, {(Kind.RETENTION, "claims"): document})
    assert retention_of(view).seconds == 7_200
    assert retention_of(ConfigurationView()).seconds == 7 * 86_400
    with pytest.raises(InvalidObjectError):
        parse_document(Kind.RETENTION, b'{"seconds": 60}')
