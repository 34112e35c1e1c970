"""Stand-in for a runner: serves requests and streams, accepts orders, and records what it served.

Faults are injected by :attr:`RunnerStandin.fault`, which is called for each request.
"""

import itertools
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler

import msgspec

from martenrun.platform.standins.http_server import QuietServer
from martenrun.platform.standins.runner_records import (
    FAILURE_STATUSES,
    Arrival,
    Crash,
    CrashPoint,
    Fault,
    Run,
    RunEnd,
)

_INSTANCES = itertools.count(1)


class RunnerStandin:
    """A runner of one service.

    Attributes:
        slots: number of requests that it serves at a time; further ones wait.
        queue: number of requests that may wait; further ones are turned away.
        work_s: time that a request without a stream occupies a slot, in seconds.
        brittleness: the rejections per second that it tolerates, as its responses advertise, or
            None; it crashes on more.
        rejected_at: times at which it turned requests away for want of room.
        limit: rate limit that its responses advertise, in requests per second, or None.
        announces_drain: whether its responses announce that it will stop, whatever its entry says.
        retry_after: if set, it refuses all requests and requests this backoff, in seconds.
        control_arrivals: orders and requests for its report, with the time of each.
        events: number of events in a stream.
        event_pause_of: returns the pause between two events of a request, in seconds.
        listed_address: address in the runner's entry, if others reach it by a relay.
        software: version of its software; its entry and each of its events tell it.
        stream_cuts: how often it has cut all streams in progress.
        crashes_on: whether a request with a given body crashes the runner before it responds.
        crashing_parts: ids of parts of a prompt, never the last one, that crash the runner.
        crash_point: how far the response to a crash-causing request gets.
        crash_delay_s: how long such a request runs before that, in seconds.
        front_lead_s: how long before it crashes its front closes all connections, in seconds; it
            accepts new ones until the crash.
        crashes_by_reset: whether its connections are reset when it crashes, or closed.
        ends_by_connection: whether the response to a request has neither a length nor chunks and
            ends with its connection.
        on_crash: called when the runner crashes.
        padding_of: returns by how many bytes the response to a request without a stream is longer.
    """

    def __init__(self, service: str, model: str | None, events: int = 6) -> None:
        self.instance = f"i-{next(_INSTANCES):04d}"
        self.service = service
        self.model = model
        self.weights_version = 1
        self.events = events
        self.event_pause_s = 0.005
        self.event_pause_of: Callable[[str], float] = lambda _request_id: self.event_pause_s
        self.listed_address: str | None = None
        self.software = "v1"
        self.stream_cuts = 0
        self.is_draining = False
        self.born_ms = int(time.time() * 1000)
        self.orders: list[dict[str, object]] = []
        self.previous_orders: list[dict[str, object]] = []
        self.slots = 8
        self.queue = 1_000
        self.work_s = 0.0
        self.brittleness: str | None = None
        self.rejected_at: list[float] = []
        self._free_slots = threading.Condition()
        self._in_service = 0
        self._waiting = 0
        self.limit: str | None = None
        self.announces_drain = False
        self.retry_after: str | None = None
        self.control_arrivals: list[Arrival] = []
        self.arrivals: list[Arrival] = []
        self.runs: list[Run] = []
        self.ends: list[RunEnd] = []
        self.fault: Callable[[], Fault] = lambda: Fault.NONE
        self.crashes_on: Callable[[bytes], bool] = lambda _body: False
        self.crashing_parts: frozenset[str] = frozenset()
        self.crash_point = CrashPoint.BEFORE_HEAD
        self.crash_delay_s = 0.0
        self.front_lead_s = 0.0
        self.crashes_by_reset = True
        self.ends_by_connection: Callable[[str], bool] = lambda _request_id: False
        self.on_crash: Callable[[RunnerStandin], None] = lambda _runner: None
        self.padding_of: Callable[[str], int] = lambda _request_id: 0
        self.crashes: list[Crash] = []
        self._crash_lock = threading.Lock()
        self._reserved_port: socket.socket | None = None
        self._handler = type("Handler", (_Handler,), {"runner": self})
        self._server = QuietServer(("127.0.0.1", 0), self._handler)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        """Stop serving: connections are refused from now on."""
        self._server.shutdown()
        self._server.server_close()
        if self._reserved_port is not None:
            self._reserved_port.close()

    def crash(self, request_id: str) -> None:
        """Crash while serving a request; :meth:`restart_after_crash` starts the runner again."""
        with self._crash_lock:
            self.crashes.append(Crash(request_id, self.instance, time.monotonic()))
            if self._reserved_port is None:
                self.on_crash(self)
                self._reserved_port = self._server.crash(self.crashes_by_reset)

    def close_connections(self) -> None:
        """Close all connections and accept new ones, as a front in the same process does."""
        self._server.close_connections()

    def occupy_slot(self) -> bool:
        """Wait for a slot and occupy it; return False if too many requests wait already."""
        with self._free_slots:
            if self._in_service >= self.slots and self._waiting >= self.queue:
                self.rejected_at.append(time.monotonic())
                return False
            self._waiting += 1
            self._free_slots.wait_for(lambda: self._in_service < self.slots)
            self._waiting -= 1
            self._in_service += 1
            return True

    def free_slot(self) -> None:
        """Free a slot for the next request that waits."""
        with self._free_slots:
            self._in_service -= 1
            self._free_slots.notify()

    def is_overwhelmed(self) -> bool:
        """Return whether it has turned away more requests within a second than it tolerates."""
        if self.brittleness is None:
            return False
        now = time.monotonic()
        recent = sum(now - at <= 1.0 for at in self.rejected_at)
        return recent > float(self.brittleness)

    def restart_after_crash(self, keeps_id: bool) -> None:
        """Restart at the same address after a crash, with a new id or the same one."""
        assert self._reserved_port is not None
        if not keeps_id:
            self.instance = f"i-{next(_INSTANCES):04d}"
        self.start_new_instance()
        self._server = QuietServer.on_reserved_port(self._reserved_port, self._handler)
        self._reserved_port = None
        self._server.start()

    def start_new_instance(self) -> None:
        """Start a new instance under the same id: streams in progress break, orders are reset."""
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.previous_orders += self.orders
        self.orders = []
        self.is_draining = False
        self.announces_drain = False
        self.retry_after = None

    def cut_streams(self) -> None:
        """Break all streams in progress off, each partway through its next event."""
        self.stream_cuts += 1

    def entry(self) -> dict[str, object]:
        """Return the runner's entry in the store."""
        return {
            "service": self.service,
            "address": self.listed_address or self.address,
            "zone": "z1",
            "version": self.software,
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "born": self.born_ms,
            "models": self._models(),
            "call_seq": len(self.orders),
        }

    def report(self) -> dict[str, object]:
        """Return the runner's report."""
        return {
            "models": self._models(),
            "busy": False,
            "call_seq": len(self.orders),
            "active": 0,
            "born": self.born_ms,
        }

    def _models(self) -> list[dict[str, object]]:
        return [] if self.model is None else [{"name": self.model, "version": self.weights_version}]


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    runner: RunnerStandin
    _limit: str | None = None
    _announces_drain = False
    _is_chunked = True
    _software = ""

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the access log."""

    def do_GET(self) -> None:
        """Return the report, or execute a request."""
        self._announces_drain = self.runner.announces_drain
        if self.path == "/martenrun/report":
            self.runner.control_arrivals.append(self._new_arrival(None))
            self._send(200, msgspec.json.encode(self.runner.report()), {})
        else:
            self._run(b"")

    def do_POST(self) -> None:
        """Accept an order, or execute a request."""
        self._announces_drain = self.runner.announces_drain
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path == "/martenrun/order":
            self._order(msgspec.json.decode(body))
        else:
            self._run(body)

    def _order(self, order: dict[str, object]) -> None:
        self.runner.control_arrivals.append(self._new_arrival(None))
        if self.headers.get("X-Expect-Instance") != self.runner.instance:
            self._send(421, b"", {})
            return
        tokens = [int(str(taken["fence_token"])) for taken in self.runner.orders]
        if tokens and int(str(order["fence_token"])) < max(tokens):
            self._send(412, b"", {})
            return
        self.runner.orders.append({**order, "taken_at": time.monotonic()})
        self.runner.weights_version = int(str(order["version"]))
        self._send(202, b"", {})

    def _run(self, body: bytes) -> None:
        runner = self.runner
        self._limit = runner.limit
        is_expected = self._matches_expectations()
        retry_after = runner.retry_after if is_expected else None
        runner.arrivals.append(self._new_arrival(retry_after))
        if not is_expected:
            self._send(421, b"", {"X-Instance-Id": self.runner.instance})
            return
        if retry_after is not None:
            self._send(503, b"", {"X-Not-Executed": "1", "Retry-After": retry_after})
            return
        if not runner.occupy_slot():
            self._send(503, b"", {"X-Not-Executed": "1"})
            if runner.is_overwhelmed():
                runner.crash(self._request_id())
                self.close_connection = True
            return
        try:
            self._execute(body)
        finally:
            runner.free_slot()

    def _new_arrival(self, retry_after: str | None) -> Arrival:
        return Arrival(
            self._request_id(),
            self.runner.instance,
            self.runner.born_ms,
            time.monotonic(),
            self._limit,
            self.client_address[0],
            self._announces_drain,
            retry_after,
        )

    def _execute(self, body: bytes) -> None:
        fault = self.runner.fault()
        if fault is Fault.FULL:
            self._send(503, b"", {"X-Not-Executed": "1"})
            return
        self.runner.runs.append(self._new_run(body))
        if self.runner.crashes_on(body) or self._has_crashing_part():
            self._crash()
        elif fault is Fault.LOST_ANSWER:
            self.close_connection = True
        elif fault is Fault.SILENT:
            self.close_connection = True
            time.sleep(2.0)
        elif fault in FAILURE_STATUSES:
            self._send(FAILURE_STATUSES[fault], b"failed", self._signature())
        elif "X-Prefix-Hash" in self.headers:
            is_complete = False
            try:
                is_complete = self._stream(fault)
            finally:
                end = RunEnd(self._request_id(), time.monotonic(), is_complete)
                self.runner.ends.append(end)
        elif fault is Fault.NO_SIGNATURE:
            self._send(200, b"forged", {})
        else:
            time.sleep(self.runner.work_s)
            padding = bytes(self.runner.padding_of(self._request_id()))
            body = b"answer to " + self._request_id().encode() + padding
            self._send(200, body, self._signature())

    def _matches_expectations(self) -> bool:
        if self.headers.get("X-Expect-Instance", self.runner.instance) != self.runner.instance:
            return False
        return self.headers.get("X-Expect-Version", str(self.runner.weights_version)) == str(
            self.runner.weights_version
        )

    def _new_run(self, body: bytes) -> Run:
        return Run(
            self._request_id(),
            self.runner.instance,
            self.command,
            self.path,
            body,
            self.headers.get("X-Tenant-Id"),
            "X-Key" in self.headers,
            self.headers.get("X-Cache-Salt"),
            self.runner.weights_version,
            time.monotonic(),
            self._parts(),
        )

    def _parts(self) -> tuple[str, ...]:
        """Return the ids of the parts of the prompt, the last one not shared."""
        value = self.headers.get("X-Prefix-Hash", "")
        return tuple(part.partition(":")[0] for part in value.split(",") if part)

    def _has_crashing_part(self) -> bool:
        return not self.runner.crashing_parts.isdisjoint(self._parts()[:-1])

    def _crash(self) -> None:
        """Crash, possibly after the response has begun."""
        runner = self.runner
        time.sleep(runner.crash_delay_s)
        if runner.crash_point is not CrashPoint.BEFORE_HEAD:
            self._begin_stream()
        if runner.crash_point is CrashPoint.AFTER_EVENT:
            self._write_part(self._event(int(self.headers.get("Last-Event-Id") or 0) + 1))
        if runner.front_lead_s:
            runner.close_connections()
            time.sleep(runner.front_lead_s)
        runner.crash(self._request_id())
        self.close_connection = True

    def _stream(self, fault: Fault) -> bool:
        """Write a stream; return whether it is complete."""
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        born_ms = self.runner.born_ms
        cuts = self.runner.stream_cuts
        self._begin_stream()
        for number in range(first, self.runner.events + 1):
            data = self._event(number)
            if self.runner.born_ms != born_ms:
                self.close_connection = True
                return False
            is_cut = self.runner.stream_cuts != cuts
            if is_cut or (fault is Fault.CUT_MIDWAY and number == first + 2):
                self._write_part(data, 5)
                self.close_connection = True
                return False
            self._write_part(data)
            time.sleep(self.runner.event_pause_of(self._request_id()))
        if self._is_chunked:
            self.wfile.write(b"0\r\n\r\n")
        return True

    def _begin_stream(self) -> None:
        """Send the head of a stream."""
        self._is_chunked = not self.runner.ends_by_connection(self._request_id())
        self._software = self.runner.software
        self._send_head(200, self._signature())
        self.send_header("Content-Type", "text/event-stream")
        if self._is_chunked:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self._close_with_response()
        self.end_headers()

    def _event(self, number: int) -> bytes:
        return b"id: %d\ndata: piece %d by %b\n\n" % (number, number, self._software.encode())

    def _write_part(self, data: bytes, limit: int | None = None) -> None:
        """Write an event, or only its first bytes."""
        if self._is_chunked:
            end = b"\r\n" if limit is None else b""
            data, limit = b"%x\r\n%b%b" % (len(data), data[:limit], end), None
        self.wfile.write(data[:limit])
        self.wfile.flush()

    def _close_with_response(self) -> None:
        """Let the close of the connection be the end of the response."""
        self.send_header("Connection", "close")
        self.close_connection = True

    def _send_head(self, status: int, headers: dict[str, str]) -> None:
        self.send_response(status)
        self.send_header("X-Request-Id", self._request_id())
        for name, value in (headers | self._notices()).items():
            self.send_header(name, value)

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self._send_head(status, headers)
        if status == 200 and self.runner.ends_by_connection(self._request_id()):
            self._close_with_response()
        else:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _request_id(self) -> str:
        return str(self.headers.get("X-Request-Id", ""))

    def _notices(self) -> dict[str, str]:
        """Return the header fields that say something about the runner itself."""
        fields = {
            "Server-Limit": self._limit,
            "Server-Brittle": self.runner.brittleness,
            "Server-Leaving": "1" if self._announces_drain else None,
        }
        return {name: value for name, value in fields.items() if value is not None}

    def _signature(self) -> dict[str, str]:
        return {"X-Response-Stamp": self.runner.instance}
