"""A simulated home node of the routing benchmark: a policy and what it is told of runners."""

from dataclasses import dataclass, field

from martenrun.bench.routing_engine import SimulatedEngine
from martenrun.events import PeerMessage
from martenrun.identity.chain import BlockHashes
from martenrun.routing.policy import RankingPolicy, RunnerState
from martenrun.routing.prefix_aware import PrefixAwarePolicy
from martenrun.routing.served_prefixes import ServedPrefixes, ServedPrefixesLogic
from martenrun.wire.messages import PrefixesServed

WEIGHTS_VERSION = "v1"


@dataclass(frozen=True, slots=True, eq=False)
class FeedBatch:
    """What one cache event tells; ``gap`` if an event before it was lost."""

    engine: str
    incarnation: str
    stored: BlockHashes
    removed: BlockHashes
    gap: bool


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """One node; a restart makes a new one under the same name."""

    name: str
    zone: str
    policy: RankingPolicy
    is_live: bool = True
    has_asked: bool = False
    started_at: float = 0.0
    runners: dict[str, RunnerState] = field(default_factory=dict)
    served: ServedPrefixes = field(default_factory=ServedPrefixes)

    @property
    def is_product(self) -> bool:
        """Whether the node routes as the product does: it learns loads from owners' answers."""
        return isinstance(self.policy, PrefixAwarePolicy)

    def learn_of(self, engines: list[SimulatedEngine]) -> None:
        """Take in engines as they are."""
        for engine in engines:
            self.runners[engine.name] = RunnerState(
                engine.name,
                "",
                engine.zone,
                engine.pool.model,
                incarnation_of(engine),
                WEIGHTS_VERSION,
                engine.pool.slots,
            )

    def usable(self, model: str, excluded: set[str]) -> list[RunnerState]:
        """Return the runners of a model that are believed to be up."""
        return [
            runner
            for runner in self.runners.values()
            if runner.pool == model and runner.is_usable and runner.name not in excluded
        ]

    def told_served(self, message: PrefixesServed, now: float) -> None:
        """Take in which prefixes an owner's runner served."""
        if isinstance(self.policy, PrefixAwarePolicy):
            logic = ServedPrefixesLogic(self.served, self.policy.placement, list)
            logic.handle(PeerMessage("", message), now)

    def take_load(self, runner_name: str, running: int, now: float) -> None:
        """Take in a runner's load."""
        runner = self.runners[runner_name]
        runner.reported_running = running
        runner.reported_at = now
        runner.in_flight_at_report = runner.in_flight

    def take_feed(self, batch: FeedBatch, now: float) -> None:
        """Take in a cache event if the policy knows what to do with it."""
        if not isinstance(self.policy, PrefixAwarePolicy):
            return
        if self.runners[batch.engine].incarnation != batch.incarnation:
            return
        beliefs = self.policy.beliefs
        beliefs.identify(batch.engine, batch.incarnation, WEIGHTS_VERSION)
        if batch.gap:
            beliefs.feed_gap(batch.engine, now)
        beliefs.feed(batch.engine, batch.stored, batch.removed)


def incarnation_of(engine: SimulatedEngine) -> str:
    """Return the name of an engine's present run, empty while it is down."""
    return str(engine.incarnation) if engine.is_up else ""
