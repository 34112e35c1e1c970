"""Callers that find routers by their directory, and record how their first attempts end."""

import http.client
import itertools
import json
import random
import threading
import time

import attrs
from platform_deployment import HOST, KEY, MODEL

ADDRESSES_TTL_S = 1.0
REUSE_SHARE = 0.6
"""Share of requests sent on the connection of the one before, if that is still open."""

ATTEMPT_TIMEOUT_S = 6.0
KINDS = {"ask": "/ask/x", "once": "/once/x", "pay": "/pay/x", "slip": "/slip/x"}
UNSAFE_KINDS = ("once", "pay")


@attrs.frozen
class Attempt:
    """The first attempt of one request; status 0: no response."""

    request_id: str
    kind: str
    router: str
    sent_at: float
    status: int
    duration_s: float
    body: bytes
    retry_after: str | None = None


class DirectoryCallers:
    """Callers on threads.

    Args:
        is_sticky: whether each caller stays with the router that it found first.
    """

    def __init__(self, deployment, count, pause_s, is_sticky=False, seed=1):
        self._deployment = deployment
        self._pause_s = pause_s
        self._is_sticky = is_sticky
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self.attempts = []
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed * 1000 + n),), daemon=True)
            for n in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng):
        known, known_until, router, connection = [], 0.0, None, None
        while not self._stopped.wait(rng.expovariate(1.0 / self._pause_s)):
            now = time.monotonic()
            if not known or (now > known_until and not self._is_sticky):
                asked = rng.choice(self._deployment.routers)
                known = self._deployment.addresses(asked) or known
                known_until = now + ADDRESSES_TTL_S
            if not known:
                continue
            if connection is None or router not in known or rng.random() > REUSE_SHARE:
                if connection is not None:
                    connection.close()
                router = router if self._is_sticky and router else rng.choice(known)
                connection = http.client.HTTPConnection(router, timeout=ATTEMPT_TIMEOUT_S)
            is_open = self._send(rng, router, connection)
            if not is_open:
                connection = None

    def _send(self, rng, router, connection):
        """Send one request; return whether the connection stays open."""
        kind = rng.choice(list(KINDS))
        request_id = f"p-{next(self._numbers)}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "4000", "X-Key": KEY}
        if kind in ("ask", "once"):
            headers |= {
                "X-Model-Id": MODEL,
                "X-Token-Usage": "1000,20",
                "X-Prefix-Hash": "aa:600,bb:300,cc:100",
            }
        method, body = ("GET", None) if kind == "slip" else ("POST", request_id.encode())
        sent_at = time.monotonic()
        status, content, retry_after, is_open = 0, b"", None, False
        try:
            connection.request(method, KINDS[kind], body, headers)
            response = connection.getresponse()
            content = response.read()
            status = response.status
            retry_after = response.getheader("Retry-After")
            is_open = not response.will_close
        except (OSError, http.client.HTTPException):
            pass
        if not is_open:
            connection.close()
        duration_s = time.monotonic() - sent_at
        self.attempts.append(
            Attempt(request_id, kind, router, sent_at, status, duration_s, content, retry_after)
        )
        return is_open


def summary(attempts):
    """Return a short text of how attempts ended."""
    counts = {}
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    return json.dumps(counts, sort_keys=True)
