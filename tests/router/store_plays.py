"""Drills in which the store returns from an older copy, and the checks of what callers saw.

A drill is played before real routers: runners write their entries each second, an operator writes
a configuration a second whose own key no other one has.
"""

import itertools
import threading
import time

import attrs
import urllib3
from platform_deployment import KEY

from .notice_plays import SteadyCallers

HEARTBEAT_S = 1.0
"""How often a runner writes its entry, in seconds."""

REWRITTEN_S = 0.1
"""How long after the store's return the operator writes its newest objects again, in seconds."""

BACKGROUND_WRITES_PER_S = 20

APPLY_S = 2.0
"""Bound on the time until a configuration is in force, in seconds."""

DRAIN_S = 2.0
"""Bound on the time until a runner that leaves receives no requests, in seconds."""

NEVER = float("inf")


def own_key(version):
    """Return the key that only this version of the configuration contains."""
    return f"key-of-{version}"


@attrs.define
class Published:
    """A configuration and when the store took it."""

    version: int
    sent_at: float
    acknowledged_at: float


@attrs.define
class KeyedCall:
    """A request with the key of one configuration."""

    version: int
    sent_at: float
    ended_at: float
    status: int | None


class Writers:
    """The operator and the runners, which write again what the store has lost."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.published = [Published(1, 0.0, 0.0)]
        self.left_at = {}
        self.gone = set()
        self.newest_weights = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._write_entries, daemon=True),
            threading.Thread(target=self._write_others, daemon=True),
        ]
        self.writes_others = True
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _is_available(self):
        return self.deployment.store.is_available

    def _write_entries(self):
        """Write each runner's entry once per heartbeat, spread over it."""
        last = {}
        while not self._stopped.wait(0.02):
            now = time.monotonic()
            for number, runner in enumerate(list(self.deployment.runners)):
                offset = (number % 8) * HEARTBEAT_S / 8
                turn = int((now + offset) / HEARTBEAT_S)
                if last.get(runner.instance) != turn and self._is_available():
                    last[runner.instance] = turn
                    if runner.instance not in self.gone:
                        self.deployment.list_runner(runner)

    def _write_others(self):
        """Let the revision rise by writes that concern nobody here."""
        numbers = itertools.count()
        while not self._stopped.wait(1.0 / BACKGROUND_WRITES_PER_S):
            if self.writes_others and self._is_available():
                self.deployment.store.put("others", "main", {"number": next(numbers)})

    def publish(self):
        """Write the next configuration, with a key of its own."""
        with self._lock:
            version = self.published[-1].version + 1
            sent_at = time.monotonic()
            self.deployment.publish(version, (KEY, own_key(version)))
            self.published.append(Published(version, sent_at, time.monotonic()))

    def name_weights(self, version):
        """Name a version of the model's weights."""
        self.newest_weights = {"model": "m", "version": version}
        self.deployment.store.put("versions", "m", self.newest_weights)

    def rewrite(self):
        """Write the operator's newest objects again."""
        with self._lock:
            version = self.published[-1].version
            self.deployment.publish(version, (KEY, own_key(version)))
            if self.newest_weights:
                self.deployment.store.put("versions", "m", self.newest_weights)

    def leave(self, runner):
        """Let a runner say that it leaves; it goes on serving."""
        runner.is_draining = True
        self.deployment.list_runner(runner)
        self.left_at[runner.instance] = time.monotonic()

    def remove(self, runner):
        """Remove the entry of a runner, which serves on without writing it."""
        self.gone.add(runner.instance)
        self.deployment.store.remove("servers", runner.instance)
        self.left_at.setdefault(runner.instance, time.monotonic())


class KeyedCallers:
    """Asks with the keys of old and new configurations, each time at another router."""

    def __init__(self, deployment, writers):
        self._deployment = deployment
        self._writers = writers
        self._stopped = threading.Event()
        self.calls = []
        self._threads = [
            threading.Thread(target=self._ask, args=(number,), daemon=True) for number in range(4)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _ask(self, number):
        for turn in itertools.count(number, 4):
            if self._stopped.wait(0.02):
                return
            routers = self._deployment.routers
            router = routers[turn % len(routers)]
            published = self._writers.published
            if len(published) == 1:
                continue
            behind = (0, 0, 1, 2, 3, 4)[(turn // len(routers)) % 6]
            version = published[max(1, len(published) - 1 - behind)].version
            sent_at = time.monotonic()
            status = None
            try:
                response = self._deployment.ask("/slip/x", f"k{turn}", router, key=own_key(version))
                status = response.status
            except (urllib3.exceptions.HTTPError, OSError):
                pass
            self.calls.append(KeyedCall(version, sent_at, time.monotonic(), status))


def run_by_revoked_keys(callers, writers):
    """Return (version, seconds past the bound) of calls served by a key revoked for too long."""
    found = []
    for call in callers.calls:
        newer = [item for item in writers.published if item.version > call.version]
        revoked_at = min((item.acknowledged_at for item in newer), default=NEVER)
        late_s = call.sent_at - revoked_at - APPLY_S
        if call.status == 200 and late_s > 0:
            found.append((call.version, round(late_s, 2)))
    return found


def refused_newest_keys(callers, writers):
    """Return (version, seconds past the bound) of calls refused with the newest key for long."""
    found = []
    for call in callers.calls:
        [own] = [item for item in writers.published if item.version == call.version] or [None]
        newer = [item for item in writers.published if item.version > call.version]
        replaced_at = min((item.sent_at for item in newer), default=NEVER)
        late_s = call.sent_at - own.acknowledged_at - APPLY_S
        if call.status in (401, 403, 404) and late_s > 0 and call.ended_at < replaced_at:
            found.append((call.version, round(late_s, 2)))
    return found


def late_arrivals(deployment, writers):
    """Return (instance, seconds past the bound) of requests that reached runners that left."""
    return [
        (runner.instance, round(item.at - left_at - DRAIN_S, 2))
        for runner in deployment.runners
        if (left_at := writers.left_at.get(runner.instance)) is not None
        for item in runner.arrivals
        if item.at - left_at > DRAIN_S
    ]


def own_calls_per_s(deployment, seconds):
    """Return how many calls a second the routers make to the store."""
    before, began_at = deployment.store.calls, time.monotonic()
    until = began_at + seconds
    deployment.wait(lambda: time.monotonic() > until, seconds + 5)
    return (deployment.store.calls - before) / (time.monotonic() - began_at)


class DrillPlay:
    """Routers, callers and writers, and the drills that the store goes through."""

    def __init__(self, deployment, calls_per_s=60):
        self.deployment = deployment
        self.store = deployment.store
        self.writers = Writers(deployment)
        self.callers = SteadyCallers(deployment, calls_per_s)
        self.keyed = KeyedCallers(deployment, self.writers)

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self.stop()

    def stop(self):
        self.keyed.stop()
        self.callers.stop()
        self.writers.stop()

    def run_for(self, seconds, publish_every_s=None):
        """Let time pass; the operator writes a configuration at each interval."""
        until = time.monotonic() + seconds
        while (left_s := until - time.monotonic()) > 0:
            step_s = min(left_s, publish_every_s or left_s)
            self.callers.run_for(step_s)
            if publish_every_s and step_s == publish_every_s:
                self.writers.publish()

    def drill(
        self,
        age_s,
        away_s=0.5,
        how="is_down",
        is_beyond=False,
        rewritten_s=REWRITTEN_S,
        on_return=lambda: None,
    ):
        """Let the store be away and return from a copy.

        The writes that concern nobody end, so that the revision stays below the old one for long.

        Args:
            age_s: age of the copy when the store goes away.
            is_beyond: whether the revision passes the old one before routers are answered, and a
                new configuration is among the writes until then; nothing is written again later.
        """
        self.writers.writes_others = False
        setattr(self.store, how, True)
        self.callers.run_for(away_s)
        revision = self.store.revision
        self.store.return_from_copy(age_s + away_s)
        if is_beyond:
            self.writers.publish()
            while self.store.revision < revision + 5:
                self.store.put("others", "main", {})
        setattr(self.store, how, False)
        on_return()
        self.callers.run_for(rewritten_s)
        if not is_beyond:
            self.writers.rewrite()

    def served_share(self, since):
        return self.callers.served_share(since)

    def violations(self):
        """Return what was broken, by rule."""
        found = {
            "revoked key": run_by_revoked_keys(self.keyed, self.writers),
            "newest key": refused_newest_keys(self.keyed, self.writers),
            "left": late_arrivals(self.deployment, self.writers),
        }
        return {rule: [*cases[:5], len(cases)] for rule, cases in found.items() if cases}
