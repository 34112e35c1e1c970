"""The node's sharing logic: policies and corrections reach the queues; counts and metrics."""

import random

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from martenrun.configuration.objects import Kind, Policy, Pool, Tenant
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import CapacityError
from martenrun.events import Tick
from martenrun.limits.admission import AdmissionLimits
from martenrun.limits.counts import MAXIMUM_COUNTED_TENANTS, AdmissionCounts
from martenrun.membership.view import Member, StaticMemberView
from martenrun.observability.admission import SharingCollector
from martenrun.sharing.fair_queue import FairQueue, QueueEntry
from martenrun.sharing.logic import PoolQueues, SharingLogic
from martenrun.sharing.meter import ExchangeMeter
from martenrun.sharing.usage import UsageExchange
from martenrun.wire.messages import DecideRequest


class OneNode:
    def __init__(self, expression: str | None = None) -> None:
        own = Member("10.0.0.1:1")
        exchange = UsageExchange(StaticMemberView(own, [own]), random.Random(1))
        self.meter = ExchangeMeter(exchange)
        self.limits = AdmissionLimits(self.meter.limit_share, self.meter)
        self.queue = FairQueue()
        self.revision = 0
        self.documents = {
            (Kind.TENANT, "a"): Tenant(weight=1.0),
            (Kind.TENANT, "b"): Tenant(weight=3.0),
            (Kind.POOL, "readers"): Pool(model="m", weights_version="v", policy="p"),
        }
        self.publish(expression)
        self.logic = SharingLogic(
            exchange,
            self.meter,
            lambda: [PoolQueues("readers", [self.queue], 4, 8)],
            lambda: ConfigurationView.build(self.revision, self.documents),
            self.limits.active,
        )
        for number in range(400):
            tenant = "ab"[number % 2]
            self.queue.push(QueueEntry(f"r{number}", 1, tenant, 0, 100, 1e9), 0.0)

    def publish(self, expression: str | None) -> None:
        self.revision += 1
        if expression is not None:
            self.documents[(Kind.POLICY, "p")] = Policy(expression=expression)

    def served(self, now: float, pops: int = 100) -> int:
        """Return how many of the next pops are of tenant a."""
        self.logic.handle(Tick(), now)
        popped = [self.queue.pop(now) for _ in range(pops)]
        return sum(entry is not None and entry.tenant == "a" for entry in popped)


def test_weights_of_the_tenants_objects_hold_without_a_policy():
    assert OneNode().served(0.0) == pytest.approx(25, abs=1)


def test_a_policy_changes_the_shares_of_what_already_waits():
    node = OneNode()
    node.served(0.0, 20)
    node.publish("tenant == 'a' ? 3.0 : 1.0")
    assert node.served(1.0) == pytest.approx(75, abs=2)
    (status,) = node.logic.statuses
    assert (status.pool, status.name, status.is_failing) == ("readers", "p", False)


def test_a_policy_that_fails_for_one_tenant_is_shown_and_keeps_the_others_served():
    node = OneNode("tenant == 'a' ? weight / 0.0 : weight")
    assert node.served(0.0) == pytest.approx(25, abs=1)
    (status,) = node.logic.statuses
    assert status.is_failing and status.failing_tenants == 1 and "'a'" in status.last_error


def test_usage_of_the_pools_model_reaches_the_policy_and_the_correction():
    node = OneNode("usage_10s > 50.0 ? 0.1 : 1.0")
    node.meter.served("a", "m", 10_000.0, 0.0)
    node.meter.served("b", "another model", 10_000.0, 0.0)
    assert node.served(0.0) < 5


def test_limits_follow_the_demand_seen_elsewhere_and_idle_models_are_forgotten():
    node = OneNode()
    assert node.meter.limit_share("a", 0.0) == 1.0
    node.meter.demanded("a", "m", 100.0, 0.0)
    assert node.meter.limit_share("a", 0.0) == 1.0
    node.meter.forget_idle(500.0)
    assert node.meter._models == {}


def question(number: int, tenant: str) -> DecideRequest:
    return DecideRequest(
        f"r{number}", tenant, "m", prompt_bytes=4_000, maximum_output_tokens=100, deadline_s=9.0
    )


def test_the_owner_counts_a_grant_and_the_home_corrects_it_at_the_end():
    node = OneNode()
    node.limits.check(question(1, "a"), Tenant(), 0.0)
    assert node.meter.usage("a", "m", 0.0).own_demand == pytest.approx(110.0)
    assert node.meter.usage("a", "m", 0.0).own_usage == 0.0
    node.logic.granted("readers", "a", 1_100.0, 0.0)
    assert node.meter.usage("a", "m", 0.0).own_usage == pytest.approx(110.0)
    node.limits.started("r1", 0.0)
    node.limits.ended("r1", 0.0, used_tokens=300.0)
    assert node.meter.usage("a", "m", 0.0).own_usage == pytest.approx(30.0)


def test_a_request_that_was_never_granted_takes_nothing_back():
    node = OneNode()
    node.limits.check(question(1, "a"), Tenant(), 0.0)
    node.limits.ended("r1", 0.0, used_tokens=0.0)
    assert node.meter.usage("a", "m", 0.0).own_usage == 0.0


def test_a_thousand_callers_of_one_tenant_share_its_limits():
    node, tenant = OneNode(), Tenant(requests_per_s=5.0)
    admitted = 0
    for caller in range(1_000):
        try:
            node.limits.check(question(caller, "a"), tenant, 0.0)
            admitted += 1
        except CapacityError:
            continue
    assert admitted == 10


def test_metrics_have_a_bounded_number_of_tenants():
    counts = AdmissionCounts()
    for number in range(3 * MAXIMUM_COUNTED_TENANTS):
        counts.add(f"t{number}", "admitted")
    node = OneNode("weight / usage_10s")
    node.served(0.0)
    registry = CollectorRegistry()
    registry.register(SharingCollector(counts, lambda: node.logic.statuses))
    text = generate_latest(registry).decode()
    assert text.count("martenrun:admissions_total{") == MAXIMUM_COUNTED_TENANTS + 1
    rest = 2 * MAXIMUM_COUNTED_TENANTS
    assert f'outcome="admitted",tenant="_other"}} {float(rest)}' in text
    assert 'martenrun:policy_failing{policy="p",pool="readers"} 1.0' in text
