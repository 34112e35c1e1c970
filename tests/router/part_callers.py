"""Callers whose prompts share parts, some of which crash each runner that serves them."""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3

SOUND_CALLERS = 12
SOUND_PAUSE_S = 0.08
FIRST_PART = "f1"
FIRST_PART_SHARE = 0.6
OTHER_PARTS = ("e1", "e2", "e3", "e4")
SHARED_PARTS = tuple(f"{number:02d}ab" for number in range(20))

CONTACT_S = 3.0
"""How soon all routers must know what they are told, in seconds."""

CRASHES_ALLOWED = 5
ARRIVALS_ALLOWED = 3
"""Crashes by one part, and arrivals later than CONTACT_S after the last of them."""


@attrs.frozen
class Response:
    """The status of one request, 0 if it has none, and the parts of its prompt."""

    at: float
    parts: tuple[str, ...]
    status: int
    body: bytes


class PartCallers:
    """Callers of one tenant at random routers; each request has its own body and last part.

    Args:
        crashing: returns the shared parts of the next crash-causing prompt.
        rate: crash-causing requests per second.
        path: of all requests.
        sound: returns the shared parts of the next sound prompt.
        begins_after_s: when the crash-causing requests begin, in seconds.
    """

    def __init__(
        self, deployment, seed, crashing, rate=4.0, path="/ask/x", sound=None, begins_after_s=0.0
    ):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._path = path
        self._sound = sound or self.sound_parts
        self.responses = {"sound": [], "crashing": []}
        self._pool = ThreadPoolExecutor(SOUND_CALLERS + 8)
        for _ in range(SOUND_CALLERS):
            self._pool.submit(self._call_repeatedly, self._sound, SOUND_PAUSE_S)
        self._pool.submit(self._send_crashing, crashing, rate, begins_after_s)

    def sound_parts(self):
        """Return the shared parts of a sound prompt, six of ten with the same first part."""
        rng = self._rng
        first = FIRST_PART if rng.random() < FIRST_PART_SHARE else rng.choice(OTHER_PARTS)
        return (first, rng.choice(SHARED_PARTS))

    def _call_repeatedly(self, parts_of, pause_s):
        while not self._stopped.wait(pause_s):
            self._send("sound", parts_of())

    def _send_crashing(self, parts_of, rate, begins_after_s):
        self._stopped.wait(begins_after_s)
        while not self._stopped.wait(self._rng.expovariate(rate)):
            self._pool.submit(self._send, "crashing", parts_of())

    def _send(self, kind, shared):
        with self._lock:
            number = next(self._numbers)
            router = self._rng.choice(self._deployment.routers)
        parts = (*shared, f"{number:08x}")
        prompt = ",".join(f"{part}:{100}" for part in parts)
        at = time.monotonic()
        status, body = 0, b""
        try:
            response = self._deployment.ask(
                self._path, f"{kind}-{number}", router, X_Prefix_Hash=prompt
            )
            status, body = response.status, response.data
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        self.responses[kind].append(Response(at, parts, status, body))

    def stop(self):
        """Stop all callers and wait for their last responses."""
        self._stopped.set()
        self._pool.shutdown()

    def served_share(self, since, is_counted=lambda parts: True):
        """Return the share of sound requests that were served, and their number."""
        statuses = [
            response.status
            for response in list(self.responses["sound"])
            if response.at > since and is_counted(response.parts)
        ]
        return sum(status == 200 for status in statuses) / max(1, len(statuses)), len(statuses)

    def sent_since(self, kind, since):
        """Return how many requests of a kind were sent after a time and have ended."""
        return sum(response.at > since for response in list(self.responses[kind]))


def crash_times(deployment, part):
    """Return when runners crashed while serving requests with a part, in order."""
    with_part = {
        run.request_id
        for runner in deployment.runners
        for run in list(runner.runs)
        if part in run.parts[:-1]
    }
    return sorted(
        crash.at
        for runner in deployment.runners
        for crash in list(runner.crashes)
        if crash.request_id in with_part
    )


def late_arrivals(deployment, part):
    """Return how long after the fifth crash requests with a part arrived too late, in seconds."""
    crashes = crash_times(deployment, part)
    if len(crashes) < CRASHES_ALLOWED:
        return []
    fifth_at = crashes[CRASHES_ALLOWED - 1]
    arrivals = [
        run.at
        for runner in deployment.runners
        for run in list(runner.runs)
        if part in run.parts[:-1] and run.at > fifth_at + CONTACT_S
    ]
    return [round(at - fifth_at, 2) for at in sorted(arrivals)]
