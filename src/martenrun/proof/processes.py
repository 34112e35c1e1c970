"""Simulated node and agent processes over all their runs.

Each run builds its decision logic with the same factory as the real process.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, NoReturn

import msgspec
from werkzeug.datastructures import Headers
from werkzeug.test import Client

from martenrun.admin.application import AdminApplication
from martenrun.agent.parts import AgentParts, agent_parts
from martenrun.backends.engine_orders import OrderOutcome
from martenrun.edge.first_copy import LOOK_INTERVAL_S, longest_hold_s
from martenrun.edge.request import deadline_s, parse_request
from martenrun.errors import MartenrunError, NodeUnavailableError, StoppingError
from martenrun.events import (
    CacheEventsRead,
    Event,
    Finish,
    LeaveRequested,
    MachinesListed,
    OrderAnswered,
    RunAttempt,
    RunnerDescribed,
    SendOrder,
)
from martenrun.node.parts import NodeParts, node_parts
from martenrun.node.process import LATE_QUESTIONS_S, LEAVE_SPREAD_LIMIT_S
from martenrun.process import Carrier
from martenrun.proof.drain import Drain, DrainStep
from martenrun.proof.edges import SimulatedEdge
from martenrun.proof.object_api import SimulatedObjectApi
from martenrun.proof.recorder import Recorder
from martenrun.settings.model import AgentSettings, NodeSettings
from martenrun.simulation.engine import SimulatedEngine
from martenrun.simulation.feed import SimulatedFeedReader
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.machines import SimulatedMachines
from martenrun.simulation.network import SimulatedNetwork
from martenrun.simulation.places import PLATFORM, Place, Places
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore

PLATFORM_POLL_S = 0.5
CACHE_EVENTS_POLL_S = 0.2
PLATFORM_DELAY_S = 0.005
COMPLETION_PATH = "/v1/completions"


class Surroundings(msgspec.Struct, frozen=True):
    """What all simulated processes share; ``engines`` are by address."""

    scheduler: Scheduler
    network: SimulatedNetwork
    places: Places
    store: SimulatedStore
    machines: SimulatedMachines
    engines: Mapping[str, SimulatedEngine]
    recorder: Recorder
    rng: random.Random


class SimulatedProcess:
    """A node or an agent: starts, serves callers, freezes, dies and starts again.

    Attributes:
        name: name in histories.
        peer: name on the internal network.
        place: where its machine stands.
        is_draining: whether it is in a planned stop.
    """

    parts: NodeParts | AgentParts
    settings: NodeSettings | AgentSettings

    def __init__(self, name: str, peer: str, place: Place, around: Surroundings) -> None:
        self.name = name
        self.peer = peer
        self.place = place
        around.places.put(place, name, peer)
        self._around = around
        self._runs = 0
        self._waiting: list[Callable[[], None]] = []
        self._held = 0
        self.start()

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.hollow.is_alive and not self.hollow.is_frozen

    @property
    def incarnation(self) -> str:
        """Identity of the present run."""
        return f"{self.name}.{self._runs}"

    def build_parts(self, rng: random.Random) -> NodeParts | AgentParts:
        """Build the decision logic of one run."""
        raise NotImplementedError

    def own_carriers(self) -> dict[type[Any], Carrier]:
        """Return the carriers of instructions that only this kind of process has."""
        return {}

    def start(self) -> None:
        """Start a run with nothing kept from the one before."""
        self._runs += 1
        self.is_draining = False
        around = self._around
        self.parts = self.build_parts(random.Random(around.rng.randrange(1 << 30)))
        self.edge = SimulatedEdge(
            around.scheduler,
            around.recorder,
            around.engines,
            lambda event: self.hollow.tell(event),
            self.settings.token_gap_timeout_s,
            self.is_cut_from,
        )
        hollow = HollowProcess(
            self.peer,
            self.parts.in_order(),
            around.scheduler,
            around.network,
            {
                RunAttempt: self.edge.run_attempt,
                Finish: self.edge.finish,
                **self.own_carriers(),
                **around.store.carriers(self.name, lambda event: hollow.tell(event)),
            },
            observe=lambda receiver, message: around.recorder.sent(self.name, receiver, message),
        )
        self.hollow = hollow

    def is_cut_from(self, other: str) -> bool:
        """Return whether this process and another machine cannot reach each other."""
        return self._around.places.are_cut(self.peer, other)

    def kill(self) -> None:
        """End the process at once."""
        self.is_draining = False
        self.hollow.kill()
        self.edge.break_off()
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def drain(self, ended: Callable[[], None]) -> None:
        """Begin a planned stop; ``ended`` is called when the process has ended by it."""
        run = self._runs
        self.is_draining = True

        def stop() -> None:
            self.kill()
            ended()

        Drain(
            self._around.scheduler,
            self.drain_steps(),
            lambda: self.hollow.is_frozen,
            lambda: run != self._runs or not self.hollow.is_alive,
            stop,
        )

    def drain_steps(self) -> list[DrainStep]:
        """Return what a planned stop waits for: the streams that are running."""
        return [DrainStep(self._has_requests, self.settings.drain_timeout_s)]

    def _has_requests(self) -> bool:
        return self.edge.active_count + self._held > 0

    def freeze(self) -> None:
        """Pause the process."""
        if self.is_serving:
            self.hollow.freeze()

    def thaw(self) -> None:
        """Continue after a pause."""
        if self.hollow.is_alive and self.hollow.is_frozen:
            self.hollow.thaw()
            waiting, self._waiting = self._waiting, []
            for call in waiting:
                call()

    def request(self, headers: Mapping[str, str], body: bytes) -> None:
        """Serve a caller's request on the process's edge."""
        if not self.hollow.is_alive:
            self.edge.lose(headers["X-Request-Id"], [])
        elif self.hollow.is_frozen:
            self._waiting.append(lambda: self.request(headers, body))
        elif self.is_draining:
            error = StoppingError("this process is being stopped")
            self.edge.answer(headers["X-Request-Id"], None, error)
        else:
            self._serve(headers, body)

    def _serve(self, headers: Mapping[str, str], body: bytes, held_s: float = 0.0) -> None:
        fields = Headers(dict(headers))
        view = self.parts.view()
        try:
            if view.revision == 0 and held_s < longest_hold_s(deadline_s(fields)):
                self._hold(headers, body, held_s)
                return
            parsed = parse_request(COMPLETION_PATH, fields, body, view, self.place.zone)
        except MartenrunError as error:
            self.edge.answer(headers["X-Request-Id"], None, error)
            return
        # Ids are drawn at random in the product; here they are the callers', for repeatability.
        parsed.question.request_id = headers["X-Request-Id"]
        parsed.question.deadline_s -= held_s
        self.edge.begin(parsed)

    def _hold(self, headers: Mapping[str, str], body: bytes, held_s: float) -> None:
        """Look again later whether the configuration has come, as the product's edge does."""
        run = self._runs
        self._held += 1

        def look_again() -> None:
            self._held -= 1
            if run != self._runs or not self.hollow.is_alive:
                self.edge.lose(headers["X-Request-Id"], [])
            elif self.hollow.is_frozen:
                self._waiting.append(lambda: self.request(headers, body))
            else:
                self._serve(headers, body, held_s + LOOK_INTERVAL_S)

        self._around.scheduler.after(LOOK_INTERVAL_S, look_again)


class SimulatedAgent(SimulatedProcess):
    """An agent."""

    settings: AgentSettings

    def __init__(
        self, name: str, seed_nodes: list[str], place: Place, around: Surroundings
    ) -> None:
        self.settings = AgentSettings(
            name=name,
            zone=place.zone,
            region=place.region,
            cluster_secret="simulated-secret",
            http_address="10.0.0.1:8000",
            seed_nodes=seed_nodes,
        )
        super().__init__(name, f"agent/{name}", place, around)

    def build_parts(self, rng: random.Random) -> AgentParts:
        """Build the decision logic of one run."""
        return agent_parts(self.settings, self.incarnation, rng)


class SimulatedNode(SimulatedProcess):
    """A node, with the pollers that its real process has.

    Attributes:
        on_order: is called whenever the node gives an engine an order.
    """

    parts: NodeParts
    settings: NodeSettings

    def __init__(
        self, name: str, peer: str, seed_nodes: list[str], place: Place, around: Surroundings
    ) -> None:
        self.on_order: Callable[[], None] = _do_nothing
        self.settings = NodeSettings(
            name=name,
            zone=place.zone,
            region=place.region,
            cluster_secret="simulated-secret",
            http_address="10.0.0.1:8000",
            seed_nodes=seed_nodes,
            peer_address=peer,
            object_api="10.0.1.1:8000",
            machine_list="10.0.1.2:8000",
        )
        super().__init__(name, peer, place, around)

    def build_parts(self, rng: random.Random) -> NodeParts:
        """Build the decision logic of one run."""
        return node_parts(self.settings, self.incarnation, rng)

    def own_carriers(self) -> dict[type[Any], Carrier]:
        """Return the carrier of orders to engines."""
        return {SendOrder: self._carry_order}

    def _carry_order(self, instruction: SendOrder) -> None:
        """Send an order; one that a pause of the process catches is sent after the pause."""
        self.on_order()
        run = self._runs

        def send() -> None:
            if run != self._runs or not self.hollow.is_alive:
                return
            if self.hollow.is_frozen:
                self._waiting.append(send)
                return
            outcome = self._sent(instruction)
            self._tell_later(OrderAnswered(instruction.runner, instruction.order, outcome))

        self._around.scheduler.after(PLATFORM_DELAY_S, send)

    def _sent(self, instruction: SendOrder) -> OrderOutcome:
        if self.is_cut_from(instruction.address):
            return OrderOutcome.UNKNOWN
        return self._around.engines[instruction.address].take_order(instruction.order)

    def start(self) -> None:
        """Start a run and its pollers."""
        super().start()
        self._feeds = SimulatedFeedReader()
        run = self._runs
        self._poll(run, PLATFORM_POLL_S, self._list_machines)
        self._poll(run, PLATFORM_POLL_S, self._describe_runners)
        self._poll(run, CACHE_EVENTS_POLL_S, self._read_cache_events)

    def drain_steps(self) -> list[DrainStep]:
        """Tell the others first, let the front's streams end, then refuse late questions."""
        self.hollow.tell(LeaveRequested())
        membership = self.parts.membership
        return [
            DrainStep(lambda: not membership.leave_is_spread, LEAVE_SPREAD_LIMIT_S),
            *super().drain_steps(),
            DrainStep(lambda: not membership.is_alone, LATE_QUESTIONS_S),
        ]

    def administration(self, key_sha256: str) -> Client:
        """Return a client of the node's administration API."""
        store = SimulatedObjectApi(self._around.store, self._around.rng, self.name)
        return Client(AdminApplication(store, self.parts.view, key_sha256, _no_status))

    def _poll(self, run: int, interval_s: float, poll: Callable[[], None]) -> None:
        if run != self._runs or not self.hollow.is_alive:
            return
        if not self.hollow.is_frozen:
            poll()
        self._around.scheduler.after(interval_s, lambda: self._poll(run, interval_s, poll))

    def _list_machines(self) -> None:
        machines = self._around.machines
        is_readable = not machines.is_down and not self.is_cut_from(PLATFORM)
        if is_readable and self.parts.machine_feed.must_poll():
            self._tell_later(MachinesListed(machines.machines()))

    def _describe_runners(self) -> None:
        for name in sorted({*self.parts.ownership.owner.owned, *self.parts.rolls.watched}):
            runner = self.parts.runners.runners.get(name)
            if runner is not None:
                engine = self._around.engines[runner.address]
                is_cut = self.is_cut_from(runner.address)
                description = None if is_cut else engine.describe()
                self._tell_later(RunnerDescribed(runner.name, description))

    def _read_cache_events(self) -> None:
        """Read the feeds of owned runners, as :class:`martenrun.node.polls.NodePolls` does."""
        for name in sorted(self.parts.ownership.owner.owned):
            runner = self.parts.runners.runners.get(name)
            if runner is None:
                continue
            engine = self._around.engines[runner.address]
            if engine.answers and not self.is_cut_from(runner.address):
                events = self._feeds.read(runner.name, engine.incarnation, engine.feed)
                if events is not None:
                    self._tell_later(CacheEventsRead(name, events), engine.feed.answer_delay_s)

    def _tell_later(self, event: Event, delay_s: float = 0.0) -> None:
        hollow = self.hollow
        self._around.scheduler.after(PLATFORM_DELAY_S + delay_s, lambda: hollow.tell(event))


def _do_nothing() -> None:
    pass


def _no_status() -> NoReturn:
    raise NodeUnavailableError("the simulation does not ask for the status")
