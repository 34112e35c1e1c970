"""Measures what the machine list costs its readers and the nodes that ask them.

One reader and one asker run the real decision logic and encode every message.  Processor time
is that of the thread, without sockets.

See also: :mod:`martenrun.ownership.machine_feed`, docs/CAPACITY.md.
"""

import functools
import random
import statistics
import time
from collections.abc import Callable

import click
import msgspec

from martenrun.backends.machine_list import Machine
from martenrun.bench.node_state import list_of_machines, node_address
from martenrun.events import Event, MachinesListed, PeerMessage, Send, Tell, Tick
from martenrun.membership.view import Member, StaticMemberView
from martenrun.ownership.machine_feed import MachineFeed
from martenrun.wire.codec import decode, encode

PULL_S = 5.0
"""Virtual time between two questions, longer than any wait between them, in seconds."""

US_PER_S = 1_000_000


class PullCost(msgspec.Struct, frozen=True):
    """One question and its answer, on average.

    Attributes:
        reader_us: processor time of the reader: decoding, answering, encoding.
        asker_us: processor time of the asker, until its list is current.
        question_bytes, answer_bytes: encoded, without frames.
    """

    reader_us: float
    asker_us: float
    question_bytes: int
    answer_bytes: int


class MachineListResult(msgspec.Struct, frozen=True):
    """Costs of the machine list.

    Attributes:
        poll_unchanged_us, poll_changed_us: of a reader that gets the list from the platform,
            without decoding the platform's answer.
        first_whole: the first node that asks for the whole list of a digest.
        whole: each other node that knows no list, as after its restart.
        change: a node that lacks one change.
        unchanged: a node that knows the present list.
    """

    machines: int
    repeats: int
    poll_unchanged_us: float
    poll_changed_us: float
    first_whole: PullCost
    whole: PullCost
    change: PullCost
    unchanged: PullCost


class _Asker:
    """A node that asks one reader, over messages that are really encoded."""

    def __init__(self, reader: MachineFeed) -> None:
        own, other = (Member(node_address(number)) for number in (1, 0))
        self._reader = reader
        self._own, self._reader_address = own.address, other.address
        self._feed = MachineFeed(StaticMemberView(own, [other]), random.Random(1))
        self._now = 0.0

    def pull(self) -> PullCost:
        """Ask once and take in the answer."""
        self._now += PULL_S
        began = time.thread_time()
        (question,) = _sent(self._feed, Tick(), self._now)
        asked = time.thread_time()
        (answer,) = _sent(self._reader, PeerMessage(self._own, decode(question)), self._now)
        answered = time.thread_time()
        for told in self._feed.handle(PeerMessage(self._reader_address, decode(answer)), self._now):
            assert isinstance(told, Tell)
            self._feed.handle(told.event, self._now)
        ended = time.thread_time()
        asker_s = (asked - began) + (ended - answered)
        return PullCost(
            (answered - asked) * US_PER_S, asker_s * US_PER_S, len(question), len(answer)
        )


def _sent(feed: MachineFeed, event: Event, now: float) -> list[bytes]:
    sent = (each for each in feed.handle(event, now) if isinstance(each, Send))
    return [encode(each.message) for each in sent]


def _mean(costs: list[PullCost]) -> PullCost:
    return PullCost(
        round(statistics.fmean(cost.reader_us for cost in costs), 1),
        round(statistics.fmean(cost.asker_us for cost in costs), 1),
        round(statistics.fmean(cost.question_bytes for cost in costs)),
        round(statistics.fmean(cost.answer_bytes for cost in costs)),
    )


def _mean_us(action: Callable[[int], object], repeats: int) -> float:
    began = time.thread_time()
    for number in range(repeats):
        action(number)
    return round((time.thread_time() - began) / repeats * US_PER_S, 1)


def _listed(reader: MachineFeed, event: MachinesListed, _number: int) -> None:
    reader.handle(event, 0.0)


def _changed(machines: list[Machine], number: int) -> list[Machine]:
    """Return the list with one machine that starts or stops leaving."""
    machine = machines[number]
    state = "live" if machine.is_leaving else "leaving"
    changed = Machine(
        machine.name, machine.role, machine.address, machine.zone, machine.pool, state
    )
    return [*machines[:number], changed, *machines[number + 1 :]]


def run(runners: int, nodes: int, repeats: int) -> MachineListResult:
    """Let one reader serve askers that know nothing, one change less, or all."""
    machines = list_of_machines(runners, nodes)
    own = Member(node_address(0))
    reader = MachineFeed(StaticMemberView(own, [own]), random.Random(2))
    reader.handle(MachinesListed(machines), 0.0)
    askers = [_Asker(reader) for _ in range(repeats + 1)]
    first_whole, *whole = [asker.pull() for asker in askers]
    unchanged = [asker.pull() for asker in askers]
    changes: list[PullCost] = []
    changed_us: list[float] = []
    for number in range(repeats):
        machines = _changed(machines, number)
        listed = MachinesListed(machines)
        changed_us.append(_mean_us(functools.partial(_listed, reader, listed), 1))
        changes.append(askers[0].pull())
    return MachineListResult(
        len(machines),
        repeats,
        _mean_us(lambda _number: reader.handle(MachinesListed(machines), 0.0), repeats),
        round(statistics.fmean(changed_us), 1),
        _mean([first_whole]),
        _mean(whole),
        _mean(changes),
        _mean(unchanged),
    )


@click.command("machine-list")
@click.option("--runners", default=12_000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--nodes", default=370, show_default=True, type=click.IntRange(2, 10_000))
@click.option("--repeats", default=20, show_default=True, type=click.IntRange(1, 1_000))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def machine_list(runners: int, nodes: int, repeats: int, as_json: bool) -> None:
    """Measure what the machine list costs its readers and those that ask them."""
    encoded = msgspec.json.encode(run(runners, nodes, repeats))
    click.echo((encoded if as_json else msgspec.json.format(encoded)).decode())
