"""What strikes runners, and what the operator does, in a soak; and the record of both.

Nothing here waits: what lasts is ended later, by whoever calls what has become due.
"""

import collections
import heapq
import itertools
import random
import time
from collections.abc import Callable

import attrs
from faulty_relay import FaultyRelay
from platform_deployment import KEY, MODEL, PlatformDeployment
from soak_callers import DEADLY_PART, SPARE_KEY, is_deadly, pause_of
from soak_crashes import CRASH_WAYS, set_deadly_parts

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.platform.standins.runner_records import Fault
from martenrun.proof.router_records import Departure, Revocation, SoftwareSpan, Trouble
from martenrun.proof.soak_schedule import Step

SERVES_ON_S = 2.6
"""How long a leaving runner serves on, in seconds: the drain time of the settings and a little."""

ANSWERS_OVER_S = 5.0
"""How long a harmed link to a runner counts as harmed at the least: requests on it take as long."""

RUNNER_RESTART_S = 0.3
"""Pause between a runner's end and its next start under the same id, in seconds."""

CRASHED_AWAY_S = 2.0
"""The same for one that a request has ended."""

ADVERTISED_LIMITS = ("1", "0.5", "2.5", "0", "1.1")
"""Rate limits that runners advertise, in requests per second."""

BACKOFFS_S = ("3", "1.5", "0.9", "4", "3")
"""Backoffs that refusing runners request, in seconds."""

ANNOUNCED_S = 3.0
"""How much longer than its step a runner announces its drain before it restarts, in seconds."""

LAPSED_S = 1.0
"""How long entries of runners are missing, in seconds."""

SOFTWARE = ("v1", "v1.1", "v1.2")
"""Software versions between which runners change, in both directions."""

SETTLED_S = 1.0
"""How long a router that was started anew counts as in trouble once it says that it is ready."""


class RunnerFaults:
    """Faults of runners and changes by the operator; what is due, and the troubles so far."""

    def __init__(self, deployment: PlatformDeployment) -> None:
        self._deployment = deployment
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._version = 1
        self._weights = 1
        self._keys: tuple[str, ...] = (KEY,)
        self.troubles: list[Trouble] = []
        self.harmed_links: list[Trouble] = []
        self.departures: list[Departure] = []
        self.revocations: list[Revocation] = []
        self.retired: list[RunnerStandin] = []
        self.send_deadly: Callable[[], None] = lambda: None
        self.send_deadly_part: Callable[[str], None] = lambda _part: None
        self._deadly_parts: frozenset[str] = frozenset()
        self._crash_way = CRASH_WAYS[0]
        self.crashed_at = 0.0
        self._crashed: collections.deque[RunnerStandin] = collections.deque()
        self._software_spans: dict[str, SoftwareSpan] = {}
        self._past_software: list[SoftwareSpan] = []
        for runner in deployment.runners:
            self._prepare(runner)
            self._begin_software(runner)

    def _prepare(self, runner: RunnerStandin) -> None:
        runner.event_pause_of = pause_of
        runner.crashes_on = is_deadly
        runner.on_crash = self._on_crash
        set_deadly_parts(runner, self._deadly_parts, self._crash_way)

    def _begin_software(self, runner: RunnerStandin) -> None:
        now = time.monotonic()
        self._end_software(runner)
        self._software_spans[runner.instance] = SoftwareSpan(runner.software, now)

    def _end_software(self, runner: RunnerStandin) -> None:
        span = self._software_spans.pop(runner.instance, None)
        if span is not None:
            self._past_software.append(attrs.evolve(span, end=time.monotonic()))

    def software_spans(self) -> list[SoftwareSpan]:
        """Return which software versions runners had, and when."""
        return [*self._past_software, *self._software_spans.values()]

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time.monotonic() + delay_s, next(self._numbers), call))

    def _note(self, place: str | None, begin: float, end: float) -> None:
        self.troubles.append(Trouble(place, begin, end))

    # Runners

    def _runners(self, step: Step) -> list[RunnerStandin]:
        runners = self._deployment.runners
        return [runners[number] for number in sorted({t % len(runners) for t in step.targets})]

    def _joined(self, old: RunnerStandin, software: str | None = None) -> None:
        """Let a new runner join for one that leaves."""
        new = RunnerStandin(old.service, old.model)
        new.software = software or old.software
        self._prepare(new)
        self._begin_software(new)
        self._end_software(old)
        new.weights_version = old.weights_version
        self._deployment.runners.append(new)
        self._deployment.list_runner(new)
        self._deployment.runners.remove(old)
        self.retired.append(old)

    def _replace_runner(self, step: Step) -> None:
        for old in self._runners(step):
            self._replace(old)

    def _replace(self, old: RunnerStandin, software: str | None = None) -> None:
        self._joined(old, software)
        old.is_draining = True
        self._deployment.list_runner(old)
        self.departures.append(Departure(old.instance, time.monotonic()))
        self._later(SERVES_ON_S, lambda: self._unlist(old))

    def _model_runners(self, step: Step) -> list[RunnerStandin]:
        runners = [runner for runner in self._deployment.runners if runner.model is not None]
        return [runners[number] for number in sorted({t % len(runners) for t in step.targets})]

    def _roll_software(self, step: Step) -> None:
        """A runner is replaced by one of another software version, or returns with it."""
        for runner in self._model_runners(step):
            software = SOFTWARE[step.targets[0] // 2 % len(SOFTWARE)]
            if step.targets[0] % 4:
                self._replace(runner, software)
            else:
                self._kill_runner(runner, software)

    def _cut_streams(self, step: Step) -> None:
        for runner in self._model_runners(step):
            runner.cut_streams()

    def _vanish_runner(self, step: Step) -> None:
        """A runner's entry goes without a word; it serves on for as long as another."""
        for old in self._runners(step):
            self._joined(old)
            self._unlist(old)
            self.departures.append(Departure(old.instance, time.monotonic()))

    def _restart_runner(self, step: Step) -> None:
        """A runner starts again under its id: killed, behind silent connections, or in a drain."""
        ways = (self._kill_runner, self._kill_behind_cut, self._restart_in_drain)
        way = ways[step.targets[0] // len(self._deployment.runners) % len(ways)]
        for runner in self._runners(step):
            way(runner)

    def _start_again(self, runner: RunnerStandin, began_at: float) -> None:
        runner.start_new_instance()
        if runner in self._deployment.runners:
            self._deployment.list_runner(runner)
        self._note(runner.instance, began_at, time.monotonic() + ANSWERS_OVER_S)

    def _kill_runner(self, runner: RunnerStandin, software: str | None = None) -> None:
        began_at = time.monotonic()
        relay = self._deployment.relays[runner.instance]
        relay.cut()

        def start() -> None:
            relay.restore()
            runner.software = software or runner.software
            if runner in self._deployment.runners:
                self._begin_software(runner)
            self._start_again(runner, began_at)

        self._later(RUNNER_RESTART_S, start)

    def _on_crash(self, runner: RunnerStandin) -> None:
        """Refuse connections to a runner that has ended; comes on the runner's own thread."""
        self._deployment.relays[runner.instance].refuse()
        self._crashed.append(runner)

    def take_crashes(self) -> None:
        """Let runners that have ended under a request start again in a while."""
        while self._crashed:
            runner = self._crashed.popleft()
            began_at = self.crashed_at = time.monotonic()

            def start(runner: RunnerStandin = runner, began_at: float = began_at) -> None:
                runner.restart_after_crash(keeps_id=True)
                self._deployment.relays[runner.instance].restore()
                self._start_again(runner, began_at)

            self._later(CRASHED_AWAY_S, start)

    def _deadly_request(self, _step: Step) -> None:
        self.send_deadly()

    def _deadly_part(self, step: Step) -> None:
        """Requests with a part of their prompts that ends runners come until the end."""
        part = f"{DEADLY_PART}{len(self._deadly_parts)}"
        self._deadly_parts |= {part}
        self._crash_way = CRASH_WAYS[step.targets[0] % len(CRASH_WAYS)]
        for runner in self._deployment.runners:
            set_deadly_parts(runner, self._deadly_parts, self._crash_way)
        self.send_deadly_part(part)

    def _kill_behind_cut(self, runner: RunnerStandin) -> None:
        self._deployment.relays[runner.instance].silence_open()
        self._start_again(runner, time.monotonic())

    def _restart_in_drain(self, runner: RunnerStandin) -> None:
        runner.is_draining = True
        self._deployment.list_runner(runner)
        began_at = time.monotonic()
        self.departures.append(Departure(runner.instance, began_at))

        def start() -> None:
            self._depart_until(runner, began_at)
            self._start_again(runner, time.monotonic())

        self._later(SERVES_ON_S, start)

    def _depart_until(self, runner: RunnerStandin, began_at: float) -> None:
        """Note that a runner whose entry was no good has a good one from now on."""
        now = time.monotonic()
        self.departures = [
            attrs.evolve(gone, until=now)
            if (gone.instance, gone.at) == (runner.instance, began_at)
            else gone
            for gone in self.departures
        ]

    def _break_entries(self, step: Step) -> None:
        """Another writer puts something else in the place of some entries."""
        for number, runner in enumerate(self._runners(step)):
            if runner.instance in self._deployment.broken_entries:
                continue
            broken = _broken(runner.entry(), step.targets[0] + number)
            self._deployment.broken_entries[runner.instance] = broken
            self._deployment.list_runner(runner)
            began_at = time.monotonic()
            self.departures.append(Departure(runner.instance, began_at))

            def mend(runner: RunnerStandin = runner, began_at: float = began_at) -> None:
                del self._deployment.broken_entries[runner.instance]
                if runner in self._deployment.runners:
                    self._depart_until(runner, began_at)
                    self._deployment.list_runner(runner)

            self._later(step.lasts_s, mend)

    def _unlist(self, runner: RunnerStandin) -> None:
        self._deployment.store.remove("servers", runner.instance)

    def _spoil_runners(self, step: Step) -> None:
        fault = [fault for fault in Fault if fault is not Fault.NONE][step.targets[0] % 6]
        rng = random.Random(step.targets[0])
        share = rng.uniform(0.05, 0.5)
        runners = list(self._deployment.runners)
        for runner in runners:
            runner.fault = lambda: fault if rng.random() < share else Fault.NONE
        self._later(step.lasts_s, lambda: _heal(runners))

    def _limit_runners(self, step: Step) -> None:
        """Make one model runner advertise a rate limit, or all of them in one case of three."""
        runners = [runner for runner in self._deployment.runners if runner.model is not None]
        number = step.targets[0]
        limited = runners if number % 3 == 0 else [runners[number % len(runners)]]
        for runner in limited:
            runner.limit = ADVERTISED_LIMITS[number % len(ADVERTISED_LIMITS)]
        self._later(step.lasts_s, lambda: _clear_limits(limited))

    def _announce_drain(self, step: Step) -> None:
        """A runner announces a drain by responses while its entry stays as it is, and restarts."""
        for runner in self._runners(step):
            if runner.announces_drain:
                continue
            runner.announces_drain = True

            def restart(runner: RunnerStandin = runner) -> None:
                self._kill_runner(runner)

            self._later(step.lasts_s + ANNOUNCED_S, restart)

    def _request_backoff(self, step: Step) -> None:
        """Some runners refuse all requests and request a backoff, all of a kind at times."""
        runners = self._runners(step)
        if step.targets[0] % 4 == 0:
            runners = [runner for runner in self._deployment.runners if runner.model is not None]
        for runner in runners:
            runner.retry_after = BACKOFFS_S[step.targets[0] % len(BACKOFFS_S)]

        def end() -> None:
            for runner in runners:
                runner.retry_after = None

        self._later(step.lasts_s, end)

    def _lapse_entries(self, step: Step) -> None:
        """Entries of live runners are missing for a moment."""
        lapsed = self._runners(step)
        for runner in lapsed:
            self._unlist(runner)

        def list_again() -> None:
            for runner in lapsed:
                if runner in self._deployment.runners:
                    self._deployment.list_runner(runner)

        self._later(LAPSED_S, list_again)

    def _harm_runner_link(self, step: Step, harm: Callable[[FaultyRelay], None]) -> None:
        for runner in self._runners(step):
            began_at = time.monotonic()
            relay = self._deployment.relays[runner.instance]
            harm(relay)

            def end(
                runner: RunnerStandin = runner,
                relay: FaultyRelay = relay,
                began_at: float = began_at,
            ) -> None:
                relay.is_mute = False
                self.harmed_links.append(Trouble(runner.instance, began_at, time.monotonic()))
                self._note(runner.instance, began_at, time.monotonic() + SETTLED_S)

            self._later(max(step.lasts_s, ANSWERS_OVER_S), end)

    def _mute_runner(self, step: Step) -> None:
        self._harm_runner_link(step, mute)

    def _silence_runner(self, step: Step) -> None:
        self._harm_runner_link(step, lambda relay: relay.silence_open())

    # The operator

    def _publish(self) -> None:
        self._version += 1
        self._deployment.publish(self._version, self._keys)

    def _configure(self, _step: Step) -> None:
        self._publish()

    def _change_keys(self, _step: Step) -> None:
        had = self._keys
        now = time.monotonic()
        if SPARE_KEY in had:
            self._keys = (KEY,)
            self._publish()
            self.revocations.append(Revocation(SPARE_KEY, time.monotonic()))
        else:
            self._keys = (KEY, SPARE_KEY)
            if self.revocations:
                self.revocations[-1] = attrs.evolve(self.revocations[-1], until=now)
            self._publish()

    def has_old_weights(self) -> bool:
        """Whether a runner still has weights of before the newest that were named."""
        runners = self._deployment.runners
        return any(r.model is not None and r.weights_version < self._weights for r in runners)

    def _name_weights(self, _step: Step) -> None:
        self._weights += 1
        spec = {"model": MODEL, "version": self._weights}
        self._deployment.store.put("versions", MODEL, spec)


def _broken(entry: dict[str, object], number: int) -> object:
    """Return what another writer leaves of an entry."""
    fields = sorted(set(entry) - {"models", "born"})
    field = fields[number % len(fields)]
    without = {name: value for name, value in entry.items() if name != field}
    ways: list[object] = [without, {**entry, field: None}, {**entry, "slots": "8"}, "text", None]
    return ways[number // len(fields) % len(ways)]


def _clear_limits(runners: list[RunnerStandin]) -> None:
    for runner in runners:
        runner.limit = None


def mute(relay: FaultyRelay) -> None:
    """Hold back what comes from the far end, until it is restored."""
    relay.is_mute = True


def _heal(runners: list[RunnerStandin]) -> None:
    for runner in runners:
        runner.fault = lambda: Fault.NONE
