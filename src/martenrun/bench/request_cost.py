"""``martenrun bench request``: what one request costs its home node and its runner's owner.

One real home node of the target size and one real owner, in virtual time: the home knows every
node and runner, ranks, reserves, is granted, answers, hears the report and gives the slot back.
Every message is really encoded and decoded.  The owner side of all runners is one node's logic,
so an owner's work on each clock tick and the usage exchange are not part of it.

A process that is alone on its core keeps its data in the caches from one message to the next; one
that shares it does not.  ``--swept-mb`` reads that much memory before each message is decoded, so
that a run tells the other extreme.

See also: :mod:`martenrun.bench.usage_exchange`, :mod:`martenrun.bench.scale`.
"""

import gc
import heapq
import itertools
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import click
import msgspec
import numpy

from martenrun.bench.scale.platform import MODELS, VERSION, make_runners, model_name
from martenrun.cli.collector import collect_seldom
from martenrun.configuration.objects import Document, Kind, Pool, Route, Tenant
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import DEFAULT_BLOCK_BYTES, TICK_INTERVAL_S
from martenrun.events import (
    Event,
    Instruction,
    MachinesListed,
    PeerMessage,
    RunnerDescribed,
    Send,
    Tick,
)
from martenrun.limits.admission import AdmissionLimits
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.home import HomeLogic
from martenrun.ownership.owner import OwnerLogic
from martenrun.ownership.owners import OwnerMap
from martenrun.routing.beliefs import FED_RUNNERS, BeliefBook
from martenrun.routing.prefix_aware import PrefixAwarePolicy
from martenrun.sharing.meter import ExchangeMeter
from martenrun.sharing.usage import UsageExchange
from martenrun.wire.codec import decode, encode
from martenrun.wire.messages import AttemptReport, DecideRequest, Grant, Message

ZONES = 6
TENANTS = 5_100
SERVICE_S = 2.0
SHARED_BLOCKS = 56
OWN_BLOCKS = 4
"""Blocks of a prompt that other prompts of its prefix have too, and blocks that none has."""

_FED_BLOCKS = 10_000
_HOME = "10.0.0.0:7000"
_OWNER = "10.9.9.9:7000"
_AGENT = "agent/1"
_US_PER_S = 1e6
_FLOATS_PER_MB = 1_000_000 // 8
_EMPTY = numpy.empty(0, dtype="<i8")


@dataclass(frozen=True)
class MessageCost:
    """What one kind of message or the clock cost, by request of the run."""

    role: str
    event: str
    calls: float
    cpu_us: float
    sent_bytes: float


@dataclass(frozen=True)
class RequestCost:
    """Cost of one request; ``codec_us`` is for messages to or from a node, at both its ends.

    ``node_sent_bytes`` are without frames.  ``known_share`` is the part of the granted requests of
    which the home believed any block to be cached.
    """

    nodes: int
    runners: int
    prefixes: int
    swept_mb: int
    seed: int
    requests: int
    granted: int
    known_share: float
    cpu_us: float
    codec_us: float
    node_sent_bytes: float
    node_sent_messages: float
    agent_sent_bytes: float
    parts: list[MessageCost]


@dataclass
class _Total:
    calls: int = 0
    cpu_s: float = 0.0
    sent_bytes: int = 0


Logic = Callable[[Event, float], list[Instruction]]


@dataclass
class _Run:
    """A home, an owner and an agent in virtual time."""

    handlers: dict[str, Logic]
    swept: "numpy.ndarray[tuple[int], numpy.dtype[numpy.float64]]"
    now: float = 0.0
    codec_s: float = 0.0
    granted: int = 0
    known: int = 0
    totals: dict[tuple[str, str], _Total] = field(default_factory=lambda: defaultdict(_Total))
    sent: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    _later: list[tuple[float, int, PeerMessage]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def tell(self, receiver: str, event: Event) -> None:
        """Let a node handle an event, and deliver what it sends."""
        kind = type(event.message if isinstance(event, PeerMessage) else event).__name__
        total = self.totals[(receiver, kind)]
        started = time.thread_time()
        instructions = self.handlers[receiver](event, self.now)
        total.cpu_s += time.thread_time() - started
        total.calls += 1
        for instruction in instructions:
            if isinstance(instruction, Send):
                self.send(receiver, instruction.peer, instruction.message)

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Encode, count, decode and deliver a message."""
        started = time.thread_time()
        data = encode(message)
        self.codec_s += time.thread_time() - started
        self.swept.sum()
        started = time.thread_time()
        received = decode(data)
        self.codec_s += time.thread_time() - started
        self.sent[sender] += 1
        self.totals[(sender, type(message).__name__)].sent_bytes += len(data)
        if receiver == _AGENT:
            self._answered(received)
        else:
            self.tell(receiver if receiver == _HOME else _OWNER, PeerMessage(sender, received))

    def run_until(self, until_s: float) -> None:
        """Deliver the reports that are due."""
        while self._later and self._later[0][0] <= until_s:
            self.now, _number, report = heapq.heappop(self._later)
            self.send(_AGENT, _HOME, report.message)
        self.now = until_s

    def _answered(self, message: Message) -> None:
        if not isinstance(message, Grant):
            return
        self.granted += 1
        self.known += message.believed_blocks > 0
        report = AttemptReport(
            message.request_id,
            message.attempt,
            message.runner,
            "complete",
            60_000,
            56_000,
            200,
            0.1,
        )
        due = (self.now + SERVICE_S, next(self._numbers), PeerMessage(_AGENT, report))
        heapq.heappush(self._later, due)


def _view() -> ConfigurationView:
    documents: dict[tuple[Kind, str], Document] = {}
    for index in range(MODELS):
        model = model_name(index)
        documents[(Kind.POOL, model)] = Pool(model=model, weights_version=VERSION)
        documents[(Kind.ROUTE, model)] = Route(model=model, pool=model)
    for index in range(TENANTS):
        documents[(Kind.TENANT, f"tenant-{index}")] = Tenant(
            requests_per_s=1e6, tokens_per_s=1e9, concurrent_streams=10**6, queue_length=10**6
        )
    return ConfigurationView.build(1, documents)


def _members(nodes: int) -> list[Member]:
    return [
        Member(_HOME if i == 0 else f"10.0.{i // 250}.{i % 250}:7000", f"zone-{i % ZONES}")
        for i in range(nodes)
    ]


def _cluster(nodes: int, runners: int, swept_mb: int, seed: int) -> _Run:
    rng = random.Random(seed)
    listed = make_runners(runners)
    machines = [runner.machine for runner in listed.values()]
    members = _members(nodes)
    home_table, owner_table = RunnerTable(), RunnerTable()
    for table in (home_table, owner_table):
        table.handle(MachinesListed(machines), 0.0)
    home_members = StaticMemberView(members[0], members)
    home_owners = OwnerMap(home_members)
    home_owners.refresh(home_table)
    meter = ExchangeMeter(UsageExchange(home_members, rng))
    beliefs = BeliefBook()
    policy = PrefixAwarePolicy(beliefs, rng)
    limits = AdmissionLimits(meter.limit_share, meter)
    view = _view()
    home = HomeLogic(home_owners, home_table, policy, lambda: view, "zone-0", rng, limits)
    for runner in [each for each in listed.values() if home_owners.owns(each.machine.name)][
        :FED_RUNNERS
    ]:
        beliefs.identify(runner.machine.name, runner.incarnation, VERSION)
        stored = numpy.frombuffer(rng.randbytes(8 * _FED_BLOCKS), "<i8")
        beliefs.feed(runner.machine.name, stored, _EMPTY)
    own = Member(_OWNER, "zone-0")
    owner = OwnerLogic(
        OwnerMap(StaticMemberView(own, [own])),
        owner_table,
        granted=lambda pool, tenant, tokens, now: meter.served(tenant, pool, tokens, now),
    )
    owner.handle(Tick(), 0.0)
    for runner in listed.values():
        owner.handle(RunnerDescribed(runner.machine.name, runner.describe()), 0.0)
    swept = numpy.ones(swept_mb * _FLOATS_PER_MB)
    return _Run({_HOME: home.handle, _OWNER: owner.handle}, swept)


@dataclass(frozen=True)
class _Prefix:
    tenant: str
    model: str
    chain: bytes


class _Questions:
    """Questions of prefixes drawn by a Zipf law."""

    def __init__(self, prefixes: int, rng: random.Random) -> None:
        self._rng = rng
        self._prefixes = [
            _Prefix(
                f"tenant-{rng.randrange(TENANTS)}",
                model_name(rng.randrange(MODELS)),
                rng.randbytes(8 * SHARED_BLOCKS),
            )
            for _ in range(prefixes)
        ]
        self._weights = list(itertools.accumulate(1.0 / (1 + rank) for rank in range(prefixes)))

    def next(self) -> DecideRequest:
        """Draw a question."""
        prefix = self._rng.choices(self._prefixes, cum_weights=self._weights)[0]
        return DecideRequest(
            f"{self._rng.getrandbits(64):016x}",
            prefix.tenant,
            prefix.model,
            VERSION,
            prefix.chain + self._rng.randbytes(8 * OWN_BLOCKS),
            (SHARED_BLOCKS + OWN_BLOCKS) * DEFAULT_BLOCK_BYTES,
            200,
            deadline_s=30.0,
            zone="zone-0",
        )


def measure(
    nodes: int,
    runners: int,
    prefixes: int,
    seconds: float,
    requests_per_s: float,
    seed: int,
    swept_mb: int = 0,
) -> RequestCost:
    """Run a warm-up as long as the measured time, then measure."""
    run = _cluster(nodes, runners, swept_mb, seed)
    rng = random.Random(seed)
    questions = _Questions(prefixes, rng)
    gc.collect()  # A node that has run for a while holds its tables as old objects.
    requests = 0
    next_request = next_tick = 0.0
    measured_from = seconds
    while run.now < 2 * seconds:
        if next_tick <= next_request:
            run.run_until(next_tick)
            run.tell(_HOME, Tick())
            next_tick += TICK_INTERVAL_S
        else:
            run.run_until(next_request)
            run.send(_AGENT, _HOME, questions.next())
            requests += 1
            next_request += rng.expovariate(requests_per_s)
        if measured_from and run.now >= measured_from:
            measured_from, requests, run.granted, run.known, run.codec_s = 0.0, 0, 0, 0, 0.0
            run.totals.clear()
            run.sent.clear()
    return _result(run, (nodes, runners, prefixes, swept_mb, seed), requests)


def _result(run: _Run, scenario: tuple[int, int, int, int, int], requests: int) -> RequestCost:
    parts = [
        MessageCost(
            {_HOME: "home", _OWNER: "owner"}.get(role, "agent"),
            event,
            round(total.calls / requests, 2),
            round(total.cpu_s * _US_PER_S / requests, 1),
            round(total.sent_bytes / requests, 1),
        )
        for (role, event), total in sorted(run.totals.items())
    ]
    return RequestCost(
        *scenario,
        requests,
        run.granted,
        round(run.known / max(1, run.granted), 3),
        round(sum(part.cpu_us for part in parts), 1),
        round(run.codec_s * _US_PER_S / requests, 1),
        round(sum(part.sent_bytes for part in parts if part.role != "agent"), 1),
        round((run.sent[_HOME] + run.sent[_OWNER]) / requests, 2),
        round(sum(part.sent_bytes for part in parts if part.role == "agent"), 1),
        parts,
    )


@click.command("request")
@click.option("--nodes", default=370, show_default=True)
@click.option("--runners", default=12_000, show_default=True)
@click.option("--prefixes", default=1_000, show_default=True, help="Prefixes of this home node.")
@click.option("--seconds", default=30.0, show_default=True, help="Measured virtual time.")
@click.option("--requests-per-s", default=62.0, show_default=True)
@click.option("--swept-mb", default=0, show_default=True, help="Read before each message.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def request_command(
    nodes: int,
    runners: int,
    prefixes: int,
    seconds: float,
    requests_per_s: float,
    swept_mb: int,
    seed: int,
    as_json: bool,
) -> None:
    """Measure processor time and bytes of one request at its home and its owner."""
    collect_seldom()  # As a node's process does.
    cost = measure(nodes, runners, prefixes, seconds, requests_per_s, seed, swept_mb)
    encoded = msgspec.json.encode(cost)
    click.echo((encoded if as_json else msgspec.json.format(encoded)).decode())
