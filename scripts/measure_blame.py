"""What it costs to know which requests end runners, and how often others are held back for it.

    scripts/measure_blame.py chance     requests that end no runner, in virtual time
    scripts/measure_blame.py parts      parts of prompts that end no runner, in virtual time
    scripts/measure_blame.py costs      processor time for each request

One table stands for all routers, as if every router heard of everything at once.  Runners end at
random and are back after some seconds; each end is told of under all that ran there.  A request of
many bodies is run up to four times until it runs whole; one of few bodies comes again and again.
"""

import heapq
import random
import time
from collections.abc import Callable
from functools import partial

import click

from martenrun.identity.rendezvous import weight
from martenrun.net.http import HttpRequest
from martenrun.net.loop import Loop
from martenrun.router.crashes.detector import RunnerView
from martenrun.router.crashes.features import RequestFeatures, part_key
from martenrun.router.crashes.fingerprint import request_fingerprint
from martenrun.router.crashes.table import CrashTable
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.log import EVENT_LOG
from martenrun.router.messages import (
    AdmittedRequest,
    Call,
    Route,
    RouteKind,
    RunnerReport,
    Tenant,
    WeightedService,
)
from martenrun.router.runner_state import RunnerState

AWAY_S = 2.0
"""How long a runner is away, in seconds."""

RUNS_OF_ONE = 4
"""Most runs of one body out of many: two attempts of a caller, two runners each."""


class ChanceWorld:
    """Runners, requests in flight, and the blame of them."""

    def __init__(self, seed: int, runners: int, ends_per_s: float, run_s: float) -> None:
        self.rng = random.Random(seed)
        self.table = CrashTable()
        self.table.runners = runners
        self.now = 0.0
        self.lives = [0] * runners
        self.back_at = [0.0] * runners
        self.running: list[dict[int, bytes]] = [{} for _ in range(runners)]
        self.events: list[tuple[float, int, int, int]] = []
        self.ends_per_s = ends_per_s
        self.run_s = run_s
        self.shut_out: set[bytes] = set()
        self.requests = self.served = self.runs = self.ends = 0
        self.tries: dict[bytes, int] = {}

    def key(self, number: int) -> bytes:
        """Return the fingerprint of a body."""
        return (number % 64).to_bytes(4) + number.to_bytes(4) + number.to_bytes(16)

    def living(self) -> list[int]:
        """Return the runners that are up."""
        return [n for n, at in enumerate(self.back_at) if at <= self.now]

    def send(self, key: bytes) -> None:
        """Run a request at a runner, unless it is held back."""
        if self.table.blocked_for_s(key, self.now) > 0:
            self.shut_out.add(key)
            return
        living = self.living()
        if not living:
            return
        if self.table.crash_count(key):
            chosen = max(living, key=lambda n: weight(key, f"{n}"))
        else:
            chosen = self.rng.choice(living)
        self.runs += 1
        self.running[chosen][self.runs] = key
        due = self.now + self.rng.expovariate(1 / self.run_s)
        heapq.heappush(self.events, (due, self.runs, chosen, self.lives[chosen]))

    def end_runs(self, until: float) -> None:
        """Let runs come to their ends."""
        while self.events and self.events[0][0] <= until:
            at, run, chosen, life = heapq.heappop(self.events)
            if life == self.lives[chosen]:
                key = self.running[chosen].pop(run)
                self.table.record_completion(key, at)
                self.tries.pop(key, None)
                self.served += 1

    def crash_one(self) -> tuple[str, dict[int, bytes]]:
        """Let a runner end by chance; return its start and what ran there, if one is up."""
        living = self.living()
        if not living:
            return "", {}
        chosen = self.rng.choice(living)
        self.ends += 1
        start = f"{chosen}#{self.lives[chosen]}"
        self.lives[chosen] += 1
        self.back_at[chosen] = self.now + AWAY_S
        lost, self.running[chosen] = self.running[chosen], {}
        return start, lost

    def end_runner(self, again: bool) -> None:
        """Let a runner end by chance; what ran there is sent again."""
        start, lost = self.crash_one()
        for key in lost.values():
            self.table.record_crash(key, start, self.now)
        for key in lost.values():
            self.tries[key] = self.tries.get(key, 1) + 1
            if again and self.tries[key] <= RUNS_OF_ONE:
                self.send(key)

    def play(self, requests: int, rate: float, bodies: int | None) -> None:
        """Let requests come at a rate a second, each with a body of its own or one of some."""
        while self.requests < requests:
            to_request = self.rng.expovariate(rate)
            to_end = self.rng.expovariate(self.ends_per_s)
            is_request = to_request < to_end
            self.now += min(to_request, to_end)
            self.end_runs(self.now)
            if not is_request:
                self.end_runner(bodies is None)
                continue
            self.requests += 1
            number = self.requests if bodies is None else self.rng.randrange(bodies)
            self.send(self.key(number))
            if self.requests % 2_000 == 0:
                self.table.drop_expired(self.now)


class PartsWorld(ChanceWorld):
    """The same with prompts of two shared parts: a few common first ones, and many second ones."""

    def __init__(
        self, seed: int, runners: int, ends_per_s: float, run_s: float, seconds: int
    ) -> None:
        super().__init__(seed, runners, ends_per_s, run_s)
        self.tracker = CrashTracker(
            VirtualLoop(self), _no_runners(), lambda _news: None, _request_no_report
        )
        self.table = self.tracker.table
        self.table.runners = runners
        self.second_parts = seconds
        self.parts: dict[int, tuple[bytes, bytes]] = {}
        self.asked_parts = 0
        self.held_parts: set[bytes] = set()
        self.held_requests = 0

    def send(self, key: bytes) -> None:
        """Run a request with drawn parts at a runner, unless one of them is held back."""
        first = part_key(b"f%d" % min(4, int(self.rng.expovariate(0.9))))
        parts = (first, part_key(b"s%d" % self.rng.randrange(self.second_parts)))
        self.asked_parts += len(parts)
        if len(self.table):
            held = [part for part in parts if self.table.blocked_for_s(part, self.now) > 0]
            if any(not self.table.is_ambiguous(part, parts) for part in held):
                self.held_parts.update(held)
                self.held_requests += 1
                return
        living = self.living()
        if living:
            chosen = self.rng.choice(living)
            self.runs += 1
            self.running[chosen][self.runs] = key
            self.parts[self.runs] = parts
            due = self.now + self.rng.expovariate(1 / self.run_s)
            heapq.heappush(self.events, (due, self.runs, chosen, self.lives[chosen]))

    def end_runs(self, until: float) -> None:
        """Let runs come to their ends."""
        while self.events and self.events[0][0] <= until:
            at, run, chosen, life = heapq.heappop(self.events)
            parts = self.parts.pop(run)
            if life == self.lives[chosen]:
                del self.running[chosen][run]
                now, self.now = self.now, at
                self.tracker.record_part_completions(parts)
                self.now = now
                self.served += 1

    def end_runner(self, again: bool) -> None:
        """Let a runner end by chance."""
        start, lost = self.crash_one()
        requests = [RequestFeatures(key, self.parts[run]) for run, key in lost.items()]
        self.tracker._record_crashes(start, requests)


class VirtualLoop:
    """The clock of a world."""

    def __init__(self, world: ChanceWorld) -> None:
        self._world = world

    def now(self) -> float:
        """Return the world's time, in seconds."""
        return self._world.now

    def call_later(self, _delay_s: float, _call: Callable[[], None]) -> None:
        """Ignore the call: nothing that is measured waits."""


@click.group()
def main() -> None:
    """Measure the blame of requests."""


@main.command()
@click.option("--requests", default=1_000_000, show_default=True, help="Requests for each line.")
@click.option("--rate", default=100.0, show_default=True, help="Requests a second.")
@click.option("--run-s", default=0.3, show_default=True, help="Mean length of a run, in seconds.")
@click.option("--seed", default=1, show_default=True, help="Seed of the draws.")
def chance(requests: int, rate: float, run_s: float, seed: int) -> None:
    """Print a table: how many requests were ever held back."""
    click.echo("| runners | ends a second | bodies | ends | held back | of requests | served |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for runners, ends_per_s in ((8, 0.1), (8, 1.0), (8, 5.0), (59, 5.0)):
        for bodies in (5, None):
            world = ChanceWorld(seed, runners, ends_per_s, run_s)
            world.play(requests, rate, bodies)
            named = "each its own" if bodies is None else str(bodies)
            click.echo(
                f"| {runners} | {ends_per_s} | {named} | {world.ends} | {len(world.shut_out)} "
                f"| {world.requests} | {world.served / world.requests:.3f} |"
            )


@main.command()
@click.option("--requests", default=1_000_000, show_default=True, help="Requests for each line.")
@click.option("--rate", default=100.0, show_default=True, help="Requests a second.")
@click.option("--run-s", default=0.3, show_default=True, help="Mean length of a run, in seconds.")
@click.option("--seed", default=1, show_default=True, help="Seed of the draws.")
def parts(requests: int, rate: float, run_s: float, seed: int) -> None:
    """Print a table: how many sound parts were ever held back, and requests for it."""
    EVENT_LOG.mute()
    click.echo(
        "| runners | ends a second | second parts | ends | held back | of parts | requests |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for runners, ends_per_s in ((8, 0.1), (8, 1.0), (8, 5.0), (59, 5.0)):
        for seconds in (50, 1_000_000):
            world = PartsWorld(seed, runners, ends_per_s, run_s, seconds)
            world.play(requests, rate, None)
            click.echo(
                f"| {runners} | {ends_per_s} | {seconds} | {world.ends} | {len(world.held_parts)} "
                f"| {world.asked_parts} | {world.held_requests} of {requests} |"
            )


@main.command()
@click.option("--body-bytes", default=74_000, show_default=True, help="Length of the body.")
@click.option("--rounds", default=2_000, show_default=True, help="Requests for each line.")
def costs(body_bytes: int, rounds: int) -> None:
    """Print the time that looking a request up takes, by how many are known."""
    admitted = _admitted()
    one = HttpRequest(b"POST", b"/a/x", [], b"x" * body_bytes, 0.0)
    other = HttpRequest(b"POST", b"/a/x", [], b"y" * body_bytes, 0.0)
    click.echo("| known requests | of another outline, us | of its outline: digest made, us |")
    click.echo("| --- | --- | --- |")
    for known in (0, 10, 500):
        suspects = CrashTracker(Loop(), _no_runners(), lambda _news: None, _request_no_report)
        for number in range(known):
            key = number.to_bytes(8) + number.to_bytes(16)
            suspects.table.record_crash(key, f"i-{number}", 0.0)
        without_us = _each_us(partial(suspects.known_fingerprint, one, admitted), rounds)
        suspects.table.record_crash(request_fingerprint(other, admitted), "i", 0.0)
        with_us = _each_us(partial(suspects.known_fingerprint, one, admitted), rounds)
        click.echo(f"| {known} | {without_us:.1f} | {with_us:.1f} |")


def _each_us(call: Callable[[], object], rounds: int) -> float:
    began_at = time.process_time()
    for _ in range(rounds):
        call()
    return (time.process_time() - began_at) / rounds * 1e6


def _no_runners() -> RunnerView:
    return RunnerView(
        is_listed=lambda _state: True,
        has_restarted=lambda _runner: False,
        instances_at=lambda _address: [],
        has_connection=lambda _instance: False,
        count=lambda: 8,
        has_other_data=lambda _instance, _since: True,
        other_addresses=lambda _instance: [],
    )


def _request_no_report(
    _state: RunnerState, on_report: Callable[[RunnerReport | None], None]
) -> None:
    on_report(None)


def _admitted() -> AdmittedRequest:
    call = Call(b"r", "a.example", "/a/x", b"k", 3.0, None, (), 0, 0)
    split = (WeightedService("s", 1.0),)
    route = Route("r", "a.example", "/a/", RouteKind.SAFE, 2.0, 0.3, 0, split, 2, False, False)
    return AdmittedRequest(call, route, Tenant("t", 1, False), "s", 103.0, 102.0)


if __name__ == "__main__":
    main()
