"""Callers that break streams off and resume them at any router."""

import http.client
import itertools
import random
import re
import threading
import time

from platform_deployment import HOST, KEY, MODEL, PlatformDeployment

from martenrun.proof.router_records import CallRecord, StreamRecord, StreamTry

PAUSE_S = 0.08
"""Mean pause of a caller between two streams, in seconds."""

DEADLINE_S = 5.0
MAXIMUM_TRIES = 8
BREAK_SHARE = 0.3
"""Share of attempts that callers break off after some events."""

EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ by ([^\n]*)\n\n")


def event_lines(data: bytes) -> list[tuple[int, str]]:
    """Return id and software version of the complete events in a stream."""
    return [(int(number), software.decode()) for number, software in EVENT.findall(data)]


class ResumingCallers:
    """Callers on threads, each with one stream at a time.

    Args:
        breaks_off: whether callers also break streams off themselves.
        suffix: ends the ids of their requests.
        failure_pause_s: how long they wait after an attempt without a response, in seconds.

    Attributes:
        streams: the streams that have ended.
        calls: their attempts.
    """

    def __init__(
        self,
        deployment: PlatformDeployment,
        count: int,
        seed: int = 1,
        breaks_off: bool = True,
        suffix: str = "",
        failure_pause_s: float = 0.0,
    ) -> None:
        self._deployment = deployment
        self._breaks_off = breaks_off
        self._suffix = suffix
        self._failure_pause_s = failure_pause_s
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self.streams: list[StreamRecord] = []
        self.calls: list[CallRecord] = []
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed} {n}"),), daemon=True)
            for n in range(count)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let the callers end their streams, and wait for that."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * DEADLINE_S)

    def choose_router(self, rng: random.Random, is_resumption: bool) -> str:
        """Return the address of the router for the next attempt: any, whatever its kind is."""
        return rng.choice(list(self._deployment.routers)).front

    def prompt_parts(self, _stream_id: str) -> str:
        """Return ids and lengths of the parts of a stream's prompt: all streams share them."""
        return "aa:600,bb:300,cc:100"

    def break_share(self) -> float:
        """Return the share of attempts that callers break off after some events."""
        return BREAK_SHARE if self._breaks_off else 0.0

    def _run(self, rng: random.Random) -> None:
        while not self._stopped.wait(rng.expovariate(1.0 / PAUSE_S)):
            tries = self._stream(rng)
            if tries:
                self.streams.append(StreamRecord(tries))

    def _stream(self, rng: random.Random) -> list[StreamTry]:
        ends_at = time.monotonic() + DEADLINE_S
        tries: list[StreamTry] = []
        first_id = None
        last_event_id = 0
        for _ in range(MAXIMUM_TRIES):
            left_s = ends_at - time.monotonic()
            if left_s < 0.1:
                break
            request_id = f"u{next(self._numbers):06d}{self._suffix}"
            headers = {
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(int(left_s * 1000)),
                "X-Prefix-Hash": self.prompt_parts(first_id or request_id),
            }
            if first_id is not None:
                headers |= {"Resumes": first_id, "Last-Event-Id": str(last_event_id)}
            router = self.choose_router(rng, first_id is not None)
            sent_at = time.monotonic()
            most = rng.randint(1, 9) if rng.random() < self.break_share() else None
            status, retry_after_s, data, is_whole = self._attempt(router, headers, left_s, most)
            events = event_lines(data)
            # The stream may be part of one, so that its body is not to be checked as a whole.
            self.calls.append(
                CallRecord(request_id, "ask", KEY, sent_at, None, b"", router, time.monotonic())
            )
            is_resumption = first_id is not None
            tries.append(
                StreamTry(request_id, router, sent_at, status, events, is_whole, is_resumption)
            )
            if events:
                first_id = first_id or request_id
                last_event_id = events[-1][0]
            if is_whole:
                break
            if status is None:
                self._stopped.wait(self._failure_pause_s)
            if status == 503:
                self._stopped.wait(min(retry_after_s, (ends_at - time.monotonic()) / 3))
        return tries

    @staticmethod
    def _attempt(
        router: str, headers: dict[str, str], left_s: float, most_events: int | None
    ) -> tuple[int | None, float, bytes, bool]:
        """Return status, Retry-After, the events received, and whether the stream is whole."""
        host, _, port = router.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=min(2.0, left_s))
        fixed = {
            "Host": HOST,
            "X-Key": KEY,
            "X-Model-Id": MODEL,
            "X-Token-Usage": "1000,20",
        }
        status, retry_after_s, data = None, 0.0, bytearray()
        try:
            connection.request("POST", "/ask/x", b"b", fixed | headers)
            response = connection.getresponse()
            status = response.status
            retry_after_s = float(response.getheader("Retry-After") or 0.0)
            if status != 200:
                response.read()
                return status, retry_after_s, b"", False
            while True:
                part = response.read1(65536)
                if not part:
                    return status, retry_after_s, bytes(data), True
                data += part
                if most_events is not None and len(event_lines(data)) >= most_events:
                    return status, retry_after_s, bytes(data), False
        except (OSError, http.client.HTTPException):
            return status, retry_after_s, bytes(data), False
        finally:
            connection.close()
