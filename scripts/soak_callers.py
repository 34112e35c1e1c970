"""The callers of a soak, and those who look at the routers from outside.

Callers keep connections until the process behind them is gone; some leave before their answer.
"""

import contextlib
import http.client
import json
import random
import threading
import time
from collections.abc import Callable

from platform_deployment import HOST, KEY, MODEL, PlatformDeployment
from router_run import RouterRun

from martenrun.proof.router_records import GREEDY_KIND, CallRecord, ConnectionTry, DirectoryAnswer

PAUSE_S = 0.06
"""Mean pause of a caller between two requests, in seconds."""

ANSWER_TIMEOUT_S = 6.0
LOOK_TIMEOUT_S = 0.5
LOOK_PAUSE_S = 0.3
"""Time-out and pause of those who look at the routers, in seconds."""

KINDS = {"ask": "/ask/x", "once": "/once/x", "pay": "/pay/x", "slip": "/slip/x"}

SPARE_KEY = "key-2"
"""The key that is taken away and given again."""

SPARE_KEY_SHARE = 0.2
"""Share of requests with that key."""

CHANGE_SHARE = 0.02
"""Share of requests before which a caller goes to another router of its own accord."""

LEAVE_SHARE = 0.08
"""Share of streams whose callers leave before the end."""

SLOW_MARK = "w"
"""Ends the ids of requests whose streams take long."""

SLOW_PAUSE_S = 0.25
"""Pause between two events of such a stream, in seconds."""


LEFT_MARK = "l"
"""Last character of the id of a request whose stream lasts long enough to be left."""

LEFT_PAUSE_S = 0.04
"""Pause between two events of such a stream, in seconds."""


def pause_of(request_id: str) -> float:
    """Return a runner's pause between two events of a request's stream."""
    return {SLOW_MARK: SLOW_PAUSE_S, LEFT_MARK: LEFT_PAUSE_S}.get(request_id[-1:], 0.005)


PROMPT_UNITS = 1_020
"""What a request counts for by the tokens that it tells of."""

GREEDY = "greedy"
GREEDY_KEY = "key-greedy"
GREEDY_RATE = 5 * PROMPT_UNITS
GREEDY_PAUSE_S = 0.05
"""A tenant that asks for four times its rate, in tokens a second, and its pause, in seconds."""

GREEDY_TENANT = {
    "name": GREEDY,
    "api_keys": [GREEDY_KEY],
    "rate_per_s": GREEDY_RATE,
    "burst": GREEDY_RATE,
    "unit": "token_count",
    "plain_tokens": 200,
}

DEADLY_PAUSE_S = 0.3
"""Pause between two comings of one deadly request, in seconds."""

DEADLY_PART = "dead"
"""Begins the ids of parts of prompts under which runners end."""

SHARED_PARTS = ("aa", "bb")
"""Parts of the prompts of sound requests."""

DEADLY = b"deadly "
"""Begins the bodies under which runners end."""


def is_deadly(body: bytes) -> bool:
    """Whether runners end under a body."""
    return body.startswith(DEADLY)


class Callers:
    """Callers on threads, and all that they saw."""

    def __init__(self, deployment: PlatformDeployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._lock = threading.Lock()
        self._number = 0
        self._is_over = threading.Event()
        self._threads: list[threading.Thread] = []
        self.calls: list[CallRecord] = []
        self.served_at: list[float] = []

    def start(self, count: int) -> None:
        """Let so many callers begin."""
        for _ in range(count):
            self._begin(self._call_on)

    def start_greedy(self) -> None:
        """Let a tenant come with more than its rate, at any router, until the end."""
        self._begin(self._send_on, GREEDY_KIND, GREEDY_KEY, GREEDY_PAUSE_S, None)

    def send_deadly(self) -> None:
        """Let one more deadly request come again and again, at any router, until the end."""
        body = DEADLY + b"%d" % len(self._threads)
        self._begin(self._send_on, "once", KEY, DEADLY_PAUSE_S, body)

    def send_deadly_part(self, part: str) -> None:
        """Let requests with a deadly part come at any router until the end, no two alike."""
        self._begin(self._send_on, "ask", KEY, DEADLY_PAUSE_S, None, (SHARED_PARTS[0], part))

    def _begin(self, call: Callable[..., None], *arguments: object) -> None:
        rng = random.Random(f"{self._seed} {len(self._threads)}")
        thread = threading.Thread(target=call, args=(rng, *arguments), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _send_on(
        self,
        rng: random.Random,
        kind: str,
        key: str,
        pause_s: float,
        body: bytes | None,
        parts: tuple[str, ...] = SHARED_PARTS,
    ) -> None:
        """Send requests, each on a connection of its own."""
        while not self._is_over.wait(pause_s * rng.uniform(0.5, 1.5)):
            router = rng.choice(list(self._deployment.routers)).front
            host, _, port = router.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_S)
            with self._lock:
                self._number += 1
                request_id = f"s{self._number:06d}d"
            sent_at = time.monotonic()
            status, received = None, b""
            try:
                route = "ask" if kind == "ask" else "once"
                self._send(connection, route, request_id, key, body, parts)
                answer = connection.getresponse()
                received = answer.read()
                status = answer.status
            except (http.client.HTTPException, OSError):
                pass
            connection.close()
            self.calls.append(CallRecord(request_id, kind, key, sent_at, status, received, router))

    def stop(self) -> None:
        """Let the callers end what they do, and wait for that."""
        self._is_over.set()
        for thread in self._threads:
            thread.join(2 * ANSWER_TIMEOUT_S)

    def _call_on(self, rng: random.Random) -> None:
        connection: http.client.HTTPConnection | None = None
        router = ""
        while not self._is_over.wait(PAUSE_S * rng.uniform(0.5, 1.5)):
            if connection is None or rng.random() < CHANGE_SHARE:
                if connection is not None:
                    connection.close()
                router = self._choose(rng)
                host, _, port = router.rpartition(":")
                connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_S)
            if not self._call(connection, router, rng):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _choose(self, rng: random.Random) -> str:
        """Return a router's address, half of the time as a directory names it."""
        routers = list(self._deployment.routers)
        asked = rng.choice(routers)
        if rng.random() < 0.5:
            named = self._deployment.addresses(asked)
            if named:
                return rng.choice(named)
        return asked.front

    def _call(
        self, connection: http.client.HTTPConnection, router: str, rng: random.Random
    ) -> bool:
        """Ask once; return whether the connection can be used again."""
        kind = rng.choice(list(KINDS))
        key = SPARE_KEY if rng.random() < SPARE_KEY_SHARE else KEY
        leaves = kind in ("ask", "once") and rng.random() < LEAVE_SHARE
        is_slow = leaves or (kind in ("ask", "once") and rng.random() < 0.05)
        with self._lock:
            self._number += 1
            request_id = f"s{self._number:06d}{SLOW_MARK if is_slow else 'n'}"
        sent_at = time.monotonic()
        status, body, left_at, is_kept, noticed_at = None, b"", None, False, None
        try:
            self._send(connection, kind, request_id, key)
            if leaves:
                time.sleep(rng.uniform(0.05, 0.8))
                connection.close()
                left_at = time.monotonic()
            else:
                answer = connection.getresponse()
                if answer.getheader("Server-Leaving") == "1":
                    noticed_at = time.monotonic()
                body = answer.read()
                status = answer.status
                is_kept = not answer.will_close
        except (http.client.HTTPException, OSError):
            pass
        call = CallRecord(request_id, kind, key, sent_at, status, body, router, left_at, noticed_at)
        self.calls.append(call)
        if status == 200:
            self.served_at.append(time.monotonic())
        return is_kept

    @staticmethod
    def _send(
        connection: http.client.HTTPConnection,
        kind: str,
        request_id: str,
        key: str,
        body: bytes | None = None,
        parts: tuple[str, ...] = SHARED_PARTS,
    ) -> None:
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "X-Key": key,
        }
        if kind in ("ask", "once"):
            headers["X-Model-Id"] = MODEL
            headers["X-Token-Usage"] = "1000,20"
            own = "cc" if parts == SHARED_PARTS else request_id
            headers["X-Prefix-Hash"] = f"{parts[0]}:600,{parts[1]}:300,{own}:100"
        method = "GET" if kind == "slip" else "POST"
        if body is None and method != "GET":
            body = b"body of " + request_id.encode()
        connection.request(method, KINDS[kind], body, headers)


class Lookers:
    """Look at each router in turn: is it ready, does it take a connection, whom does it name."""

    def __init__(self, deployment: PlatformDeployment) -> None:
        self._deployment = deployment
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._look_on, args=(part,), daemon=True) for part in range(2)
        ]
        self.answers: list[DirectoryAnswer] = []
        self.tries: list[ConnectionTry] = []

    def start(self) -> None:
        """Begin to look."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End, and wait for that."""
        self._is_over.set()
        for thread in self._threads:
            thread.join(10.0)

    def _look_on(self, part: int) -> None:
        while not self._is_over.wait(LOOK_PAUSE_S):
            for router in list(self._deployment.routers)[part :: len(self._threads)]:
                self._look(router)

    def _look(self, router: RouterRun) -> None:
        asked_at = time.monotonic()
        named = _ask(router, "directory", "/martenrun/resolve?name=a&region=r&zone=z1")
        if named is not None and named[0] == 200:
            addresses = json.loads(named[1])["addresses"]
            self.answers.append(DirectoryAnswer(router.front, asked_at, addresses))
        ready = _ask(router, "ready", "/martenrun/readyz")
        at = time.monotonic()
        taken = _ask(router, "front", "/no/such/route")
        is_ready = ready is not None and ready[0] == 200
        self.tries.append(ConnectionTry(router.front, at, is_ready, taken is not None))


def _ask(router: RouterRun, port: str, target: str) -> tuple[int, bytes] | None:
    """Ask on a new connection; return status and body, or None."""
    connection = http.client.HTTPConnection(router.ip, router.ports[port], timeout=LOOK_TIMEOUT_S)
    with contextlib.closing(connection):
        try:
            connection.request("GET", target, headers={"Host": HOST, "X-Request-Id": "look"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (http.client.HTTPException, OSError):
            return None


class DelayMeter:
    """Measures how late a thread of this process runs: what the machine could not keep up with."""

    STEP_S = 0.02

    def __init__(self) -> None:
        self._delays: list[float] = []
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._measure, daemon=True)

    def start(self) -> None:
        """Begin to measure."""
        self._thread.start()

    def stop(self) -> None:
        """End."""
        self._is_over.set()
        self._thread.join()

    def text(self) -> str:
        """Return the longest delay and the one that one in a hundred exceeds."""
        ordered = sorted(self._delays) or [0.0]
        high = ordered[int(len(ordered) * 0.99)]
        return f"scheduling delay: longest {ordered[-1]:.3f} s, one in a hundred {high:.3f} s"

    def _measure(self) -> None:
        while not self._is_over.is_set():
            began = time.monotonic()
            time.sleep(self.STEP_S)
            self._delays.append(max(0.0, time.monotonic() - began - self.STEP_S))
