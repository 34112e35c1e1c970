"""Stand-in for the platform's store: revisions, lists, watches and conditional writes by kind.

Faults are injected by attributes: ``is_down`` responds 503, ``is_silent`` withholds every response,
``drops_connections`` closes connections without a response, ``loses`` applies writes but drops
their responses, ``delays_writes`` also applies them only later.  ``forget_history`` makes watches
start over; ``return_from_copy`` restores an older state in a new era.
"""

import threading
import time
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from martenrun.platform.standins.http_server import QuietServer
from martenrun.platform.standins.store_history import StoreHistory, Write

ROOT = "/martenrun/objects/"

NO_METADATA: Mapping[str, object] = {}

WRITTEN_BY_OTHERS = ("config", "versions", "servers")
"""Kinds that the operator and runners write, the operator's first."""


class StoreStandin:
    """The store; serves on threads until it is closed.

    Attributes:
        era: rises each time the store returns from a copy.
        era_text: what responses name as the era instead, or None; empty if they name none.
        write_calls: each write of the system as (monotonic time, kind, name, body).
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._oldest_revision = 0
        self.revision = 0
        self.era = 1
        self.era_text: str | None = None
        self.calls = 0
        self.write_calls: list[tuple[float, str, str, dict[str, Any]]] = []
        self.is_down = False
        self.is_silent = False
        self.drops_connections = False
        self.loses = False
        self.delays_writes = False
        self._delayed: list[tuple[str, str, dict[str, Any], bool]] = []
        self._history = StoreHistory()
        self._newest: dict[tuple[str, str], object] = {}
        handler = type("Handler", (_Handler,), {"store": self})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(
        self, kind: str, name: str, spec: object, metadata: Mapping[str, object] = NO_METADATA
    ) -> int:
        """Write an object as the operator or a runner would; return its revision.

        Args:
            spec: any value; the bytes of a ``msgspec.Raw`` are served as they are.
            metadata: fields beside those that the store sets.
        """
        with self._changed:
            if kind in WRITTEN_BY_OTHERS:
                self._newest[(kind, name)] = spec
            self.revision += 1
            item = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "finalizers": [],
                    **metadata,
                },
                "spec": spec,
            }
            self._objects[(kind, name)] = item
            self._history.record(self.revision, (kind, name), item)
            self._events.append((self.revision, kind, {"gone": False, "object": item}))
            self._changed.notify_all()
            return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        with self._changed:
            self._newest.pop((kind, name), None)
            item = self._objects.pop((kind, name), None)
            if item is None:
                return
            self.revision += 1
            self._history.record(self.revision, (kind, name), None)
            self._events.append((self.revision, kind, {"gone": True, "object": item}))
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Discard all changes; a watch from an earlier revision gets 410."""
        with self._changed:
            self._oldest_revision = self.revision + 1
            self._events.clear()
            self._changed.notify_all()

    def return_from_copy(self, age_s: float, next_revision: int | None = None) -> list[Write]:
        """Restore the state of ``age_s`` seconds ago in a new era; return the writes that it lacks.

        Args:
            next_revision: revision of the next change; by default the one after the copy's last.
        """
        with self._changed:
            lost = self._history.return_to(time.monotonic() - age_s)
            self._objects = self._history.objects()
            self.revision = self._history.revision if next_revision is None else next_revision - 1
            self._events = [event for event in self._events if event[0] <= self._history.revision]
            self.era += 1
            self._changed.notify_all()
            return lost

    def lost(self, kind: str) -> list[str]:
        """Return the names of a kind whose newest content is not in the store any more."""
        with self._changed:
            names = {name for of, name in [*self._newest, *self._objects] if of == kind}
            return sorted(name for name in names if self._is_lost(kind, name))

    def write_again(self, kind: str, name: str) -> None:
        """Repeat the newest write or removal of an object, if the store has lost it."""
        with self._changed:
            if not self._is_lost(kind, name):
                return
            if (kind, name) in self._newest:
                self.put(kind, name, self._newest[(kind, name)])
            else:
                self.remove(kind, name)

    def _is_lost(self, kind: str, name: str) -> bool:
        item = self._objects.get((kind, name))
        newest = self._newest.get((kind, name), item if item is None else None)
        return (None if item is None else item["spec"]) != newest

    def apply_delayed_writes(self) -> None:
        """Apply the writes that ``delays_writes`` held back, if their conditions still hold."""
        with self._changed:
            delayed, self._delayed = self._delayed, []
            for kind, name, body, creates in delayed:
                self.write(kind, name, body, creates)

    def read(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None if it does not exist."""
        with self._changed:
            return self._objects.get((kind, name))

    def list(self, kind: str) -> dict[str, Any]:
        """Return the response to a list request."""
        with self._changed:
            items = [
                item for (item_kind, _), item in sorted(self._objects.items()) if item_kind == kind
            ]
            return {"items": items, "more": False, "at": self.revision}

    def watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Return the response to a watch, or None if the changes after ``after`` are discarded."""
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                if after + 1 < self._oldest_revision or after > self.revision:
                    return None
                events = [
                    event
                    for revision, item_kind, event in self._events
                    if item_kind == kind and revision > after
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0 or not self.is_available:
                    return {"events": events, "at": self.revision}
                self._changed.wait(remaining_s)

    @property
    def is_available(self) -> bool:
        """Whether the store responds."""
        return not (self.is_down or self.is_silent or self.drops_connections)

    def delay_write(self, kind: str, name: str, body: dict[str, Any], creates: bool) -> None:
        """Hold a write back until :meth:`apply_delayed_writes`."""
        with self._changed:
            self._delayed.append((kind, name, body, creates))

    def write(self, kind: str, name: str, body: dict[str, Any], creates: bool) -> tuple[int, Any]:
        """Apply a conditional write; return its status and the object."""
        with self._changed:
            existing = self._objects.get((kind, name))
            if creates and existing is not None:
                return 409, existing
            if not creates and existing is None:
                return 404, {}
            expected = body["metadata"].get("revision")
            if existing is not None and expected not in (None, existing["metadata"]["revision"]):
                return 409, existing
            if existing is None or existing["spec"] != body["spec"]:
                self.put(kind, name, body["spec"])
            return 200, self._objects[(kind, name)]


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store: StoreStandin

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the access log."""

    def do_GET(self) -> None:
        """List, watch or read objects."""
        url = urlsplit(self.path)
        query = parse_qs(url.query)
        kind, _, name = url.path.removeprefix(ROOT).partition("/")
        if not self._is_serving():
            return
        if name:
            item = self.store.read(kind, name)
            self._respond(404 if item is None else 200, item or {})
        elif "watch" in query:
            wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000.0
            response = self.store.watch(kind, int(query["watch"][0]), wait_s)
            if self._is_serving():
                self._respond(410 if response is None else 200, response or {})
        else:
            self._respond(200, self.store.list(kind))

    def do_POST(self) -> None:
        """Create an object."""
        self._write(True)

    def do_PUT(self) -> None:
        """Replace an object."""
        self._write(False)

    def _write(self, creates: bool) -> None:
        body = msgspec.json.decode(self.rfile.read(int(self.headers["Content-Length"])))
        if not self._is_serving():
            return
        kind = urlsplit(self.path).path.removeprefix(ROOT).partition("/")[0]
        name = body["metadata"]["name"]
        self.store.write_calls.append((time.monotonic(), kind, name, body))
        if self.store.delays_writes:
            self.store.delay_write(kind, name, body, creates)
            self.close_connection = True
            return
        status, item = self.store.write(kind, name, body, creates)
        if self.store.loses:
            self.close_connection = True
            return
        self._respond(status, item)

    def _is_serving(self) -> bool:
        self.store.calls += 1
        if self.store.is_silent:
            self.close_connection = True
            while self.store.is_silent:
                time.sleep(0.02)
            return False
        if self.store.drops_connections:
            self.close_connection = True
            return False
        if self.store.is_down:
            self._respond(503, {})
            return False
        return True

    def _respond(self, status: int, body: object) -> None:
        data = msgspec.json.encode(body)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        era = str(self.store.era) if self.store.era_text is None else self.store.era_text
        if era:
            self.send_header("Store-Era", era)
        self.end_headers()
        self.wfile.write(data)
