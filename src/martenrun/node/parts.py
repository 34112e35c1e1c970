"""The decision logic of a node, built in one place for real and for hollow processes.

See also: :mod:`martenrun.node.process`, :mod:`martenrun.proof.world`.
"""

import random
from dataclasses import dataclass

from martenrun.agent.requests import RequestsLogic
from martenrun.claims.logic import ClaimsLogic
from martenrun.claims.retention import ClaimRetentionLogic, retention_of
from martenrun.configuration.objects import DrainRole, Kind, Pool
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import NotReadyError
from martenrun.events import DecisionLogic
from martenrun.kvcache.counts import CountsByPool
from martenrun.kvcache.home import KvCacheHome
from martenrun.kvcache.limits import StoreLimits
from martenrun.kvcache.owner import KvCacheOwner
from martenrun.limits.admission import AdmissionLimits
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.view import Member
from martenrun.node.cache_events import CacheEventsLogic
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.node.drain import NodeDrainLogic
from martenrun.node.question_gate import QuestionGate, readiness_fault
from martenrun.node.runners import RunnerTable
from martenrun.node.status import StatusLogic
from martenrun.orders.rolls import RollsLogic
from martenrun.ownership.home import HomeLogic
from martenrun.ownership.logic import OwnershipLogic
from martenrun.ownership.machine_feed import MachineFeed
from martenrun.ownership.owner import OwnerLogic
from martenrun.ownership.owners import OwnerMap
from martenrun.routing.beliefs import BeliefBook
from martenrun.routing.prefix_aware import PrefixAwarePolicy
from martenrun.routing.served_prefixes import ServedPrefixes, ServedPrefixesLogic
from martenrun.scaling.arrivals import ArrivalsLogic
from martenrun.scaling.decider import ScalingLogic
from martenrun.scaling.demand import DemandExchange
from martenrun.settings.model import NodeSettings
from martenrun.sharing.logic import SharingLogic
from martenrun.sharing.meter import ExchangeMeter
from martenrun.sharing.usage import UsageExchange


@dataclass(frozen=True)
class NodeParts:
    """Every part of a node's decision logic."""

    membership: GossipMembership
    configuration: NodeConfigurationLogic
    status: StatusLogic
    drain: NodeDrainLogic
    runners: RunnerTable
    machine_feed: MachineFeed
    ownership: OwnershipLogic
    claims: ClaimsLogic
    claim_retention: ClaimRetentionLogic
    requests: RequestsLogic
    rolls: RollsLogic
    arrivals: ArrivalsLogic
    demand: DemandExchange
    scaling: ScalingLogic
    sharing: SharingLogic
    limits: AdmissionLimits
    cache_events: CacheEventsLogic
    served_prefixes: ServedPrefixesLogic
    kv_cache_home: KvCacheHome
    kv_cache_owner: KvCacheOwner
    kept_cache_counts: CountsByPool

    def view(self) -> ConfigurationView:
        """Return the configuration in force."""
        return self.configuration.state.view

    def readiness_fault(self) -> NotReadyError | None:
        """Return why this node can not judge questions yet, or None if it can."""
        return readiness_fault(self.view().revision, self.runners.is_listed)

    def in_order(self) -> list[DecisionLogic]:
        """Return the parts in the order in which they handle an event."""
        return [
            self.membership,
            self.configuration,
            self.status,
            self.drain,
            self.runners,
            self.machine_feed,
            QuestionGate(
                [self.claims, self.kv_cache_home],
                self.membership.own.address,
                lambda: self.membership.own.leaving,
                self.readiness_fault,
            ),
            self.claim_retention,
            self.cache_events,
            self.served_prefixes,
            self.kv_cache_owner,
            self.requests,
            self.sharing,
            self.rolls,
            self.arrivals,
            self.demand,
            self.scaling,
        ]


def node_parts(settings: NodeSettings, incarnation: str, rng: random.Random) -> NodeParts:
    """Build the decision logic of one run of a node.

    Args:
        settings: the node's settings.
        incarnation: identity of this run of the node; changes at every restart.
        rng: source of jitter; seeded in simulations.
    """
    own_address = settings.peer_address
    own = Member(own_address, settings.zone, settings.region)
    members = GossipMembership(own, settings.seed_nodes, settings.membership, rng)
    configuration = NodeConfigurationLogic(own_address, settings.seed_nodes, members, rng)
    runners = RunnerTable(
        lambda: configuration.state.view.drained(DrainRole.RUNNER),
        lambda: configuration.state.view,
    )
    owners = OwnerMap(members, members.suspected)
    exchange = UsageExchange(members, rng)
    meter = ExchangeMeter(exchange)
    limits = AdmissionLimits(meter.limit_share, meter)
    beliefs = BeliefBook()
    policy = PrefixAwarePolicy(beliefs, rng)

    counts = CountsByPool()

    def kept_cache(pool: str) -> StoreLimits | None:
        document = configuration.state.view.documents.get((Kind.POOL, pool))
        return document.kept_cache if isinstance(document, Pool) else None

    served = ServedPrefixes()
    home = HomeLogic(
        owners,
        runners,
        policy,
        lambda: configuration.state.view,
        settings.zone,
        rng,
        limits,
    )
    sharing = SharingLogic(
        exchange,
        meter,
        lambda: owner.pool_queues(),
        lambda: configuration.state.view,
        limits.active,
    )
    owner = OwnerLogic(owners, runners, granted=sharing.granted, served=served)
    ownership = OwnershipLogic(own_address, home, owner)
    claims = ClaimsLogic(f"{own_address}/{incarnation}")
    claim_retention = ClaimRetentionLogic(
        f"{own_address}/{incarnation}",
        lambda: configuration.watching.holds_lease,
        lambda: retention_of(configuration.state.view),
    )
    requests = RequestsLogic(
        lambda: [member.address for member in members.live()], rng, runners.is_leaving
    )
    feed = MachineFeed(members, rng)
    status = StatusLogic(configuration, members)
    drain = NodeDrainLogic(settings.name, lambda: configuration.state.view)
    holder = f"{own_address}/{incarnation}"
    demand = DemandExchange(
        members, runners, lambda: configuration.state.view, lambda: owner.owned, rng
    )
    rolls = RollsLogic(holder, runners.runners, configuration.state, owners.owns, rng)
    return NodeParts(
        members,
        configuration,
        status,
        drain,
        runners,
        feed,
        ownership,
        claims,
        claim_retention,
        requests,
        rolls,
        ArrivalsLogic(holder, runners, configuration.state, owners.owns, rng),
        demand,
        ScalingLogic(holder, demand, runners, configuration.state, rng),
        sharing,
        limits,
        CacheEventsLogic(beliefs, runners, owners.owns),
        ServedPrefixesLogic(
            served,
            policy.placement,
            lambda: [node.address for node in members.live() if node.address != own_address],
        ),
        KvCacheHome(
            ownership, runners.runners, kept_cache, policy.block_prefill_s, owners.owner, counts
        ),
        KvCacheOwner(runners.runners, owners.owns, kept_cache, counts),
        counts,
    )
