"""Callers at a steady rate, and the record of what runners announced to whom."""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3

from martenrun.proof.notice_checker import (
    announced_drains_are_respected,
    requested_backoffs_are_respected,
)
from martenrun.proof.router_records import (
    CallRecord,
    NoticeArrival,
    PromiseBounds,
    RouterHistory,
)

PATHS = ("/ask/x", "/once/x", "/slip/x", "/pay/x")
DRAIN_S = 2.0
BOUNDS = PromiseBounds(
    revoke_s=5.0, drain_s=DRAIN_S, quiet_s=3.0, named_s=5.0, closed_s=1.0, contact_s=3.0
)


class SteadyCallers:
    """Sends calls at a steady rate, each to a random router.

    Attributes:
        calls: their records; the status is None if no response arrived.
        refusals: for each refused call when it was sent, the seconds that the refusal took, and
            its Retry-After.
    """

    def __init__(self, deployment, per_s, paths=PATHS, seed=11):
        self._deployment = deployment
        self._paths = paths
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(64)
        self.calls = []
        self.refusals = []
        self._thread = threading.Thread(target=self._send_calls, args=(per_s,), daemon=True)
        self._thread.start()

    def _send_calls(self, per_s):
        due_at = time.monotonic()
        while not self._stopped.wait(max(0.0, due_at - time.monotonic())):
            due_at += 1.0 / per_s
            router = self._rng.choice(self._deployment.routers)
            path = self._rng.choice(self._paths)
            self._pool.submit(self._call, router, path, f"n{next(self._numbers)}")

    def _call(self, router, path, request_id):
        sent_at = time.monotonic()
        status, body, noticed_at = None, b"", None
        try:
            response = self._deployment.ask(path, request_id, router)
            status, body = response.status, response.data
            ended_at = time.monotonic()
            if response.headers.get("Server-Leaving") == "1":
                noticed_at = ended_at
            if status == 503:
                retry_after = float(response.headers["Retry-After"])
                self.refusals.append((sent_at, ended_at - sent_at, retry_after))
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        kind = path.split("/")[1]
        self.calls.append(
            CallRecord(request_id, kind, "k", sent_at, status, body, router.front, None, noticed_at)
        )

    def run_for(self, seconds):
        """Let callers go on for some seconds."""
        until = time.monotonic() + seconds
        self._deployment.wait(lambda: time.monotonic() > until, limit_s=seconds + 5)

    def stop(self):
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown()

    def served_share(self, since, until=float("inf")):
        """Return the share of the calls sent in a span that were served."""
        calls = [call for call in self.calls if since <= call.sent_at < until]
        return sum(call.status == 200 for call in calls) / len(calls)


def play_history(callers, runners):
    """Return the history of a play in which no router was restarted or cut off.

    Requests are not forwarded between routers then, so the router of a call sends it.
    """
    routers = {call.request_id: call.router for call in callers.calls}
    arrivals = [
        NoticeArrival(
            item.request_id,
            routers.get(item.request_id, ""),
            item.instance,
            item.born_ms,
            item.at,
            item.announces_drain,
            None if item.retry_after is None else float(item.retry_after),
        )
        for runner in runners
        for item in runner.arrivals
    ]
    return RouterHistory(callers.calls, [], [], [], [], [], 6, notice_arrivals=arrivals)


def late_requests(callers, runners):
    """Return the requests that reached runners in spite of announced drains."""
    return announced_drains_are_respected(play_history(callers, runners), BOUNDS)


def broken_backoffs(callers, runners):
    """Return the backoffs in which runners received too many requests."""
    return requested_backoffs_are_respected(play_history(callers, runners))
