"""Carries the steps of a soak's schedule out on a deployment, several at a time.

Nothing here waits: what lasts is ended, and what has ended is started again, by :meth:`go_on`.
"""

import heapq
import math
import os
import random
import signal
import subprocess
import time
from collections.abc import Callable

import attrs
from faulty_relay import FaultyRelay
from platform_deployment import PlatformDeployment
from router_run import RouterRun
from soak_partitions import PartitionFaults
from soak_runner_faults import SETTLED_S, mute

from martenrun.proof.router_records import RouterLife, Trouble
from martenrun.proof.soak_schedule import HERD_SHARE, Step

RESTART_S = 0.2
"""Pause between the end of a process and its next start, in seconds."""

JOIN_S = 1.0
"""Pause between a router's leaving for good and the start of one at another address."""

LEAST_ROUTERS = 2
"""Routers that are never sent away for good."""

START_HANG_UP_S = 0.1
"""Longest time between a router's start and the SIGHUP sent to it as it starts, in seconds."""

REWRITTEN_S = 0.1
HEARTBEAT_S = 1.0
"""How long after the store's return the operator and runners write again what it lost, at most."""

REMOVED_S = 3.0
"""How long after that entries of runners that have gone are removed, in seconds."""

COPY_AGES_S = 0.5
OLDEST_COPIES = 16
"""Step of the ages of the store's copies, in seconds, and how many there are."""

REGAINED_S = 1.5
"""How long after the store's return entries that lapsed are back, in seconds."""


class Faults(PartitionFaults):
    """What strikes, and the record of it; routers and the store here, the rest in the base.

    Args:
        start_rng: draws the moment of a SIGHUP for each router that starts; None sends none.
    """

    def __init__(
        self, deployment: PlatformDeployment, start_rng: random.Random | None = None
    ) -> None:
        super().__init__(deployment)
        self._start_rng = start_rng
        self._flags: dict[str, int] = {}
        self._stays: set[str] = {router.name for router in deployment.routers}
        self._still: dict[str, int] = {}
        self._starting: dict[str, float] = {}
        self._ending: dict[str, RouterRun] = {}
        self.lives = {router.name: [self._born(router)] for router in deployment.routers}
        self.done: list[str] = []
        self.own_ends: list[str] = []
        self.suspensions: list[Trouble] = []

    # What is asked from outside

    def strike(self, step: Step) -> None:
        """Carry a step out."""
        self.done.append(step.kind)
        getattr(self, f"_{step.kind}")(step)

    def go_on(self) -> None:
        """Do what has become due, and look after processes that have ended or have started."""
        now = time.monotonic()
        self.take_crashes()
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()
        for name, router in list(self._ending.items()):
            if router.process is not None and router.process.poll() is not None:
                del self._ending[name]
                self._ended(router)
        for router in list(self._deployment.routers):
            self._look_for_end(router)
            began_at = self._starting.get(router.name)
            if began_at is not None and self._deployment.is_ready(router):
                del self._starting[router.name]
                self._note(router.front, began_at, now + SETTLED_S)

    def end_all(self) -> None:
        """End every fault that lasts, and let everything start that should run."""
        while self._due:
            heapq.heappop(self._due)[2]()
        deadline = time.monotonic() + 40.0
        while (self._ending or self._starting or self._due) and time.monotonic() < deadline:
            self.go_on()
            time.sleep(0.02)

    def all_lives(self) -> list[RouterLife]:
        """Return the lives of all routers."""
        return [life for lives in self.lives.values() for life in lives]

    def open_troubles(self) -> list[Trouble]:
        """Return all troubles, those that go on included."""
        going = [
            Trouble(router.front, self._starting[router.name], math.inf)
            for router in self._deployment.routers
            if router.name in self._starting
        ]
        return [*self.troubles, *going]

    # Routers

    def _look_for_end(self, router: RouterRun) -> None:
        """Start a router again that has ended by itself, as the platform does."""
        process = router.process
        if process is None or router.name in self._ending or process.poll() is None:
            return
        if self.lives[router.name][-1].ended_at == math.inf:
            now = time.monotonic()
            self.own_ends.append(f"{router.name} {router.front} ended with {process.returncode}")
            self.lives[router.name][-1] = attrs.evolve(self.lives[router.name][-1], ended_at=now)
            self._starting.pop(router.name, None)
            self._note(router.front, now, now + SETTLED_S)
            self._later(RESTART_S, lambda: self._start(router))

    @staticmethod
    def _born(router: RouterRun) -> RouterLife:
        return RouterLife(router.front, time.monotonic())

    def _running(self) -> list[RouterRun]:
        return [
            router
            for router in self._deployment.routers
            if router.process is not None
            and router.name not in self._ending
            and router.process.poll() is None
        ]

    def _chosen(self, step: Step, share: float = 0.0) -> list[RouterRun]:
        running = self._running()
        if not running:
            return []
        if share:
            first = step.targets[0]
            count = max(1, int(len(running) * share))
            return [running[(first + more) % len(running)] for more in range(count)]
        numbers = {target % len(running) for target in step.targets}
        return [running[number] for number in sorted(numbers)]

    def _end(self, router: RouterRun, number: int, is_for_good: bool) -> None:
        now = time.monotonic()
        if is_for_good:
            self._stays.discard(router.name)
        life = self.lives[router.name][-1]
        if number == signal.SIGTERM:
            self.lives[router.name][-1] = attrs.evolve(life, leaving_at=now)
        self._starting.pop(router.name, None)
        self._note(router.front, now, now + SETTLED_S)
        self._ending[router.name] = router
        self._deployment.stop(router, number)

    def _ended(self, router: RouterRun) -> None:
        now = time.monotonic()
        life = self.lives[router.name][-1]
        self.lives[router.name][-1] = attrs.evolve(life, ended_at=now)
        self._note(router.front, min(now, life.leaving_at), now)
        if router.name in self._stays:
            self._later(RESTART_S, lambda: self._start(router))
        else:
            self._deployment.routers.remove(router)
            self._later(JOIN_S, self._join)

    def _start(self, router: RouterRun) -> None:
        self._starting[router.name] = time.monotonic()
        self.lives.setdefault(router.name, []).append(self._born(router))
        self._still.pop(router.name, None)
        self._deployment.start(router)
        if self._start_rng is not None:
            process = router.process
            delay_s = self._start_rng.uniform(0.0, START_HANG_UP_S)
            self._later(delay_s, lambda: self._hang_up_process(router, process))

    def _hang_up_process(self, router: RouterRun, process: subprocess.Popen[bytes] | None) -> None:
        """Send SIGHUP to a process, unless its router has started another since."""
        if process is not None and router.process is process and process.poll() is None:
            os.utime(router.settings)
            self._deployment.stop(router, signal.SIGHUP)

    def _join(self) -> None:
        router = self._deployment.add_router()
        self._link_joined(router)
        self._stays.add(router.name)
        self._start(router)

    def _terminate(self, step: Step) -> None:
        for router in self._chosen(step):
            self._end(router, signal.SIGTERM, False)

    def _kill(self, step: Step) -> None:
        for router in self._chosen(step):
            self._end(router, signal.SIGKILL, False)

    def _herd(self, step: Step) -> None:
        for router in self._chosen(step, HERD_SHARE):
            self._end(router, signal.SIGKILL, False)

    def _leave(self, step: Step) -> None:
        for router in self._chosen(step):
            if len(self._stays) > LEAST_ROUTERS:
                self._end(router, signal.SIGTERM, True)

    def _vanish(self, step: Step) -> None:
        for router in self._chosen(step):
            if len(self._stays) > LEAST_ROUTERS:
                self._end(router, signal.SIGKILL, True)

    def _hang_up(self, step: Step) -> None:
        for router in self._chosen(step):
            self._hang_up_process(router, router.process)

    def _stand_still(self, step: Step) -> None:
        for router in self._chosen(step):
            process, began_at = router.process, time.monotonic()
            assert process is not None
            self._still[router.name] = self._still.get(router.name, 0) + 1
            process.send_signal(signal.SIGSTOP)

            def go_on(
                router: RouterRun = router,
                process: subprocess.Popen[bytes] = process,
                began_at: float = began_at,
            ) -> None:
                if router.process is process and router.process.poll() is None:
                    self._still[router.name] -= 1
                    if not self._still[router.name]:
                        self._deployment.stop(router, signal.SIGCONT)
                self._note(router.front, began_at, time.monotonic())
                self.suspensions.append(self.troubles[-1])

            self._later(step.lasts_s, go_on)

    # The store and the links to it

    def _flag(self, name: str, lasts_s: float) -> None:
        """Set a fault of the store; several at a time end with the last."""
        began_at = time.monotonic()
        store = self._deployment.store
        self._flags[name] = self._flags.get(name, 0) + 1
        setattr(store, name, True)

        def end() -> None:
            self._flags[name] -= 1
            setattr(store, name, self._flags[name] > 0)
            self._note(None, began_at, time.monotonic())

        self._later(lasts_s, end)

    def _store_down(self, step: Step) -> None:
        self._flag("is_down", step.lasts_s)

    def _store_silent(self, step: Step) -> None:
        self._flag("is_silent", step.lasts_s)

    def _store_loses(self, step: Step) -> None:
        self._flag("loses", step.lasts_s)

    def _store_lapse(self, step: Step) -> None:
        """The store is down, and loses the entries of some runners for a while."""
        runners = self._deployment.runners
        lapsed = runners[:: 1 + step.targets[0] % 3]
        self._flag("is_down", step.lasts_s)

        def lapse() -> None:
            for runner in lapsed:
                self._deployment.store.remove("servers", runner.instance)

        def regain() -> None:
            for runner in lapsed:
                if runner in self._deployment.runners:
                    self._deployment.list_runner(runner)

        self._later(step.lasts_s * 0.8, lapse)
        self._later(step.lasts_s + REGAINED_S, regain)

    def _restore_store(self, step: Step) -> None:
        """The store is away and returns from an older copy; others write again what it lost."""
        number = step.targets[0]
        self._flag("is_silent" if number % 2 else "is_down", step.lasts_s)
        age_s = step.lasts_s + COPY_AGES_S * (1 + number % OLDEST_COPIES)
        self._later(step.lasts_s * 0.9, lambda: self._return_from_copy(age_s, number % 3 == 0))
        self._later(step.lasts_s + REWRITTEN_S, self._write_operators_again)

    def _return_from_copy(self, age_s: float, is_beyond: bool) -> None:
        """Return to an older state; revisions continue those of the copy, or the lost ones."""
        store = self._deployment.store
        store.return_from_copy(age_s, store.revision + 1 if is_beyond else None)

    def _write_operators_again(self) -> None:
        store = self._deployment.store
        for kind in ("config", "versions"):
            for name in store.lost(kind):
                store.write_again(kind, name)
        listed = {runner.instance for runner in self._deployment.runners}
        for number, name in enumerate(store.lost("servers")):
            delay_s = number % 8 * HEARTBEAT_S / 8 if name in listed else REMOVED_S
            self._later(delay_s, lambda name=name: store.write_again("servers", name))

    def _forget_history(self, _step: Step) -> None:
        self._deployment.store.forget_history()
        now = time.monotonic()
        self._note(None, now, now)

    def _harm_link(
        self, step: Step, harm: Callable[[FaultyRelay], None], mend: Callable[[FaultyRelay], None]
    ) -> None:
        for router in self._chosen(step):
            began_at = time.monotonic()
            relay = router.store
            assert relay is not None
            harm(relay)

            def end(
                router: RouterRun = router, relay: FaultyRelay = relay, began_at: float = began_at
            ) -> None:
                mend(relay)
                self._note(router.front, began_at, time.monotonic())

            self._later(step.lasts_s, end)

    def _refuse_store(self, step: Step) -> None:
        self._harm_link(step, lambda relay: relay.cut(), lambda relay: relay.restore())

    def _mute_store(self, step: Step) -> None:
        self._harm_link(step, mute, lambda relay: relay.restore())

    def _silence_store(self, step: Step) -> None:
        self._harm_link(step, lambda relay: relay.silence_open(), lambda _relay: None)
