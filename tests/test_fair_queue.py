"""The fair queue: shares, priorities, deadlines, weight changes."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.sharing.fair_queue import FairQueue, QueueEntry


def entry(
    number: int, tenant: str = "a", priority: int = 0, cost: float = 100.0, deadline: float = 1e9
) -> QueueEntry:
    return QueueEntry(f"r{number}", 1, tenant, priority, cost, deadline)


def fill(queue: FairQueue, tenant: str, count: int, first: int, cost: float = 100.0) -> None:
    for number in range(first, first + count):
        queue.push(entry(number, tenant, cost=cost), 0.0)


def served(queue: FairQueue, pops: int, now: float = 0.0) -> Counter[str]:
    tokens: Counter[str] = Counter()
    for _ in range(pops):
        popped = queue.pop(now)
        assert popped is not None
        tokens[popped.tenant] += int(popped.cost_tokens)
    return tokens


def test_service_follows_weights_not_request_counts_or_sizes():
    queue = FairQueue()
    queue.set_weights({"a": 1.0, "b": 3.0})
    fill(queue, "a", 1_000, 0, cost=400)
    fill(queue, "b", 1_000, 1_000, cost=100)
    tokens = served(queue, 500)
    assert tokens["b"] / tokens["a"] == pytest.approx(3.0, rel=0.05)


def test_weight_change_holds_from_the_next_pop():
    queue = FairQueue()
    fill(queue, "a", 1_000, 0)
    fill(queue, "b", 1_000, 1_000)
    assert served(queue, 100)["a"] == pytest.approx(5_000, abs=100)
    queue.set_weights({"a": 4.0, "b": 1.0})
    assert served(queue, 100)["a"] == pytest.approx(8_000, abs=200)


def test_idle_time_earns_no_credit_and_borrowing_leaves_no_debt():
    queue = FairQueue()
    fill(queue, "a", 600, 0)
    served(queue, 500)
    fill(queue, "b", 600, 1_000)
    assert served(queue, 100)["a"] == pytest.approx(5_000, abs=100)


def test_priorities_order_a_tenants_own_entries_only():
    queue = FairQueue()
    queue.push(entry(1, "a"), 0.0)
    queue.push(entry(2, "a", priority=9), 0.0)
    queue.push(entry(3, "b"), 0.0)
    order = [queue.pop(0.0) for _ in range(3)]
    assert [item.request_id for item in order if item] == ["r2", "r3", "r1"]


def test_zero_weight_is_served_and_bad_weights_are_refused():
    queue = FairQueue()
    queue.set_weights({"a": 0.0})
    queue.push(entry(1), 0.0)
    assert queue.pop(0.0) is not None
    for bad in (float("nan"), float("inf"), -1.0):
        with pytest.raises(ValueError):
            queue.set_weights({"a": bad})


def test_expired_entries_are_not_popped_and_are_returned_once():
    queue = FairQueue()
    queue.push(entry(1, deadline=5.0), 0.0)
    queue.push(entry(2, deadline=50.0), 0.0)
    popped = queue.pop(6.0)
    assert popped is not None and popped.request_id == "r2"
    assert queue.pop(6.0) is None
    assert [item.request_id for item in queue.expire(6.0)] == ["r1"]
    assert queue.expire(6.0) == [] and len(queue) == 0
    queue.push(entry(3), 6.0)
    assert queue.pop(6.0) is not None


def test_a_tenant_whose_entries_have_all_expired_is_served_when_a_new_one_comes():
    queue = FairQueue()
    queue.push(entry(1, deadline=5.0), 0.0)
    assert queue.pop(6.0) is None
    queue.push(entry(2), 6.0)
    popped = queue.pop(6.0)
    assert popped is not None and popped.request_id == "r2"
    assert [item.request_id for item in queue.expire(6.0)] == ["r1"]


def test_expected_wait_follows_the_measured_drain_and_the_tenants_share():
    queue = FairQueue()
    fill(queue, "a", 200, 0)
    fill(queue, "b", 20, 1_000)
    for step in range(20):
        queue.pop(0.1 * (step + 1))
    assert queue.expected_wait_s(2.0) == pytest.approx(20.0, rel=0.05)
    assert queue.expected_wait_s(2.0, "b") == pytest.approx(2.0, rel=0.1)
    assert queue.expected_wait_s(2.0, "new") == 0.0
    assert queue.expected_wait_s(12.0) > 40.0, "a queue that stands still is seen as slower"


def test_given_back_and_extra_tokens_change_the_order():
    queue = FairQueue()
    fill(queue, "a", 100, 0)
    fill(queue, "b", 100, 1_000)
    served(queue, 20)
    queue.charge("a", 1_000)
    assert served(queue, 10)["b"] == 1_000


operations = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "remove", "expire"]),
        st.integers(0, 40),
        st.sampled_from("abc"),
        st.integers(0, 2),
        st.integers(1, 500),
    ),
    max_size=80,
)


@settings(derandomize=True, deadline=None)
@given(operations)
def test_every_entry_leaves_exactly_once_and_order_holds(steps):
    queue, waiting, now = FairQueue(), {}, 0.0
    for name, number, tenant, priority, cost in steps:
        now += 1.0
        if name == "push":
            item = entry(number, tenant, priority, cost, deadline=now + cost / 10)
            assert queue.push(item, now) is (item.key not in waiting)
            waiting.setdefault(item.key, item)
        elif name == "remove":
            assert queue.remove(f"r{number}", 1) is (
                waiting.pop((f"r{number}", 1), None) is not None
            )
        elif name == "expire":
            gone = queue.expire(now)
            assert {item.key for item in gone} == {
                key for key, item in waiting.items() if item.deadline <= now
            }
            for item in gone:
                del waiting[item.key]
        else:
            popped = queue.pop(now)
            usable = [item for item in waiting.values() if item.deadline > now]
            assert (popped is None) is (not usable)
            if popped is not None:
                same = [item.priority for item in usable if item.tenant == popped.tenant]
                assert popped.priority == max(same)
                del waiting[popped.key]
        assert len(queue) == len(waiting)
        assert set(queue.backlogged()) == {item.tenant for item in waiting.values()}


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcd"), st.floats(0.1, 10), min_size=2),
    st.lists(st.tuples(st.sampled_from("abcd"), st.integers(1, 300)), min_size=20, max_size=120),
)
def test_backlogged_tenants_stay_within_one_request_of_their_share(weights, work):
    queue = FairQueue()
    queue.set_weights(weights)
    tenants = sorted(weights)
    for number, (_tenant, cost) in enumerate(work):
        for tenant in tenants:
            queue.push(entry(number * 4 + tenants.index(tenant), tenant, cost=cost), 0.0)
    tokens = dict.fromkeys(tenants, 0.0)
    for _ in range(len(work)):
        popped = queue.pop(0.0)
        assert popped is not None
        tokens[popped.tenant] += popped.cost_tokens
        if not all(queue.waiting(tenant) for tenant in tenants):
            break
        for one in tenants:
            for other in tenants:
                gap = tokens[one] / weights[one] - tokens[other] / weights[other]
                assert gap <= 300 / weights[one] + 300 / weights[other] + 1e-6
