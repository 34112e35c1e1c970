"""A soak of real routers under faults: callers ask, faults strike, the promises are checked.

    scripts/soak.py --minutes 5 --seed 7

Starts routers as processes on loopback before stand-ins of the platform, ends only what it has
started, by id, also on Ctrl-C. Exit status 1 means that a promise was broken; the seed and the
logs' folder are printed then.
"""

import random
import shutil
import signal
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import urllib3
from platform_deployment import KEY, MODEL, PlatformDeployment, RouterRun

from martenrun.platform.standins.runner import Fault, RunnerStandin
from martenrun.proof.router_checkers import (
    CallRecord,
    Departure,
    OrderRecord,
    Revocation,
    RouterHistory,
    RunRecord,
    check_all,
)

CALLERS = 12
PAUSE_S = 0.05
"""Callers and the pause of each between two requests, in seconds."""

FAULT_PAUSE_S = 1.5
"""Mean pause between two faults, in seconds."""

KINDS = {"ask": "/ask/x", "once": "/once/x", "pay": "/pay/x", "slip": "/slip/x"}
REVOKE_S = 5.0
DRAIN_S = 2.0
QUIET_S = 3.5
SPARE_KEY = "key-2"


class Soak:
    """One run: callers, faults, and what was seen."""

    def __init__(self, deployment: PlatformDeployment, seed: int) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._calls: list[CallRecord] = []
        self._revocations: list[Revocation] = []
        self._departures: list[Departure] = []
        self._unquiet: list[tuple[float, float]] = []
        self._version = 1
        self._weights = 1
        self._keys: tuple[str, ...] = (KEY,)
        self._number = 0
        self._lock = threading.Lock()
        self._retired: list[RunnerStandin] = []
        self._is_over = threading.Event()
        self.faults: list[str] = []

    def run(self, seconds: float) -> RouterHistory:
        """Play for some seconds and return what was seen."""
        end = time.monotonic() + seconds
        with ThreadPoolExecutor(CALLERS) as callers:
            for number in range(CALLERS):
                callers.submit(self._call_on, random.Random(self._rng.random() + number))
            try:
                self._strike_until(end)
            finally:
                self._is_over.set()
        return self._history()

    def _call_on(self, rng: random.Random) -> None:
        while not self._is_over.wait(PAUSE_S * rng.uniform(0.5, 1.5)):
            with self._lock:
                self._number += 1
                request_id = f"s{self._number:06d}"
            kind = rng.choice(list(KINDS))
            key = rng.choice((KEY, SPARE_KEY))
            router = rng.choice(self._deployment.routers)
            self._call(request_id, kind, key, router)

    def _call(self, request_id: str, kind: str, key: str, router: RouterRun) -> None:
        sent_at = time.monotonic()
        status: int | None = None
        body = b""
        try:
            answer = self._deployment.ask(KINDS[kind], request_id, router, key)
            status, body = answer.status, answer.data
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        self._calls.append(CallRecord(request_id, kind, key, sent_at, status, body))

    def _strike_until(self, end: float) -> None:
        faults: list[Callable[[], None]] = [
            self._kill_router,
            self._pause_router,
            self._stop_router,
            self._break_store,
            self._forget_history,
            self._spoil_runners,
            self._replace_runner,
            self._change_keys,
            self._name_weights,
        ]
        while time.monotonic() < end:
            fault = self._rng.choice(faults)
            self.faults.append(fault.__name__)
            began = time.monotonic()
            fault()
            if fault not in (self._change_keys, self._name_weights, self._replace_runner):
                self._unquiet.append((began, time.monotonic()))
            time.sleep(FAULT_PAUSE_S * self._rng.uniform(0.3, 1.7))

    def _kill_router(self) -> None:
        router = self._rng.choice(self._deployment.routers)
        self._deployment.stop(router, signal.SIGKILL)
        self._restart(router)

    def _stop_router(self) -> None:
        router = self._rng.choice(self._deployment.routers)
        self._deployment.stop(router, signal.SIGTERM)
        self._restart(router)

    def _restart(self, router: RouterRun) -> None:
        assert router.process is not None
        router.process.wait(timeout=20)
        self._deployment.start(router)
        self._deployment.wait(lambda: self._deployment.is_ready(router), 30)

    def _pause_router(self) -> None:
        router = self._rng.choice(self._deployment.routers)
        self._deployment.stop(router, signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.5, 4.0))
        self._deployment.stop(router, signal.SIGCONT)

    def _break_store(self) -> None:
        store = self._deployment.store
        name = self._rng.choice(("is_down", "is_silent", "loses"))
        setattr(store, name, True)
        time.sleep(self._rng.uniform(0.5, 7.0))
        setattr(store, name, False)

    def _forget_history(self) -> None:
        self._deployment.store.forget_history()

    def _spoil_runners(self) -> None:
        fault = self._rng.choice([fault for fault in Fault if fault is not Fault.NONE])
        share = self._rng.uniform(0.05, 0.5)
        rng = random.Random(self._rng.random())
        runners = self._deployment.runners
        for runner in runners:
            runner.fault = lambda: fault if rng.random() < share else Fault.NONE
        time.sleep(self._rng.uniform(0.5, 3.0))
        for runner in runners:
            runner.fault = lambda: Fault.NONE

    def _replace_runner(self) -> None:
        deployment = self._deployment
        old = self._rng.choice(deployment.runners)
        new = RunnerStandin(old.service, old.model)
        new.weights = old.weights
        deployment.runners.append(new)
        deployment.list_runner(new)
        old.is_draining = True
        deployment.list_runner(old)
        self._departures.append(Departure(old.instance, time.monotonic()))
        deployment.runners.remove(old)
        self._retired.append(old)

    def _change_keys(self) -> None:
        self._version += self._rng.randint(1, 3)
        had = self._keys
        self._keys = (KEY,) if SPARE_KEY in had else (KEY, SPARE_KEY)
        self._deployment.publish(self._version, self._keys)
        now = time.monotonic()
        if SPARE_KEY in had:
            self._revocations.append(Revocation(SPARE_KEY, now))
        time.sleep(REVOKE_S * 1.5)

    def _name_weights(self) -> None:
        self._weights += 1
        spec = {"model": MODEL, "version": self._weights}
        self._deployment.store.put("versions", MODEL, spec)

    def _history(self) -> RouterHistory:
        runners = [*self._deployment.runners, *self._retired]
        return RouterHistory(
            calls=self._calls,
            runs=[
                RunRecord(run.request_id, run.instance, run.at, run.tenant)
                for runner in runners
                for run in runner.runs
            ],
            orders=[
                OrderRecord(
                    runner.instance,
                    str(order["holder"]),
                    int(str(order["fence_token"])),
                    float(str(order["taken_at"])),
                )
                for runner in runners
                for order in runner.orders
            ],
            revocations=_until_returned(self._revocations),
            departures=self._departures,
            unquiet=self._unquiet,
            events_of_stream=runners[0].events,
        )


def _until_returned(revocations: list[Revocation]) -> list[Revocation]:
    """Return the last revocation only: earlier ones ended when the key was given again."""
    return revocations[-1:]


@click.command()
@click.option("--minutes", default=1.0, show_default=True, help="how long faults strike")
@click.option("--seed", default=1, show_default=True, help="choice of faults and requests")
@click.option("--routers", default=3, show_default=True, help="router processes")
@click.option("--keep-logs", type=click.Path(path_type=Path), help="folder for logs of a violation")
def soak(minutes: float, seed: int, routers: int, keep_logs: Path | None) -> None:
    """Play faults against real routers and check the promises."""
    with PlatformDeployment(routers, model_runners=3, plain_runners=3) as deployment:
        run = Soak(deployment, seed)
        history = run.run(minutes * 60)
        violations = check_all(history, REVOKE_S, DRAIN_S, QUIET_S)
        served = sum(call.status == 200 for call in history.calls)
        click.echo(
            f"seed {seed}: {len(history.calls)} requests, {served} served, "
            f"{len(run.faults)} faults, {len(violations)} violations"
        )
        for text in violations:
            click.echo(f"  {text}")
        if violations and keep_logs is not None:
            shutil.copytree(deployment.folder.name, keep_logs, dirs_exist_ok=True)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    soak()
