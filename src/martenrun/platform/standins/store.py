"""Stand-in for the platform's store: revisions, lists, watches and conditional writes by kind.

Faults are injected by attributes: ``is_down`` responds 503, ``is_silent`` withholds every response,
``loses`` applies writes but drops their responses.  ``forget_history`` makes watches start over.
"""

import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from martenrun.platform.standins.http_server import QuietServer

ROOT = "/martenrun/objects/"


class StoreStandin:
    """The store; serves on threads until it is closed."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._oldest_revision = 0
        self.revision = 0
        self.calls = 0
        self.is_down = False
        self.is_silent = False
        self.loses = False
        handler = type("Handler", (_Handler,), {"store": self})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or a runner would; return its revision."""
        with self._changed:
            self.revision += 1
            item = {
                "metadata": {"name": name, "revision": self.revision, "finalizers": []},
                "spec": spec,
            }
            self._objects[(kind, name)] = item
            self._events.append((self.revision, kind, {"gone": False, "object": item}))
            self._changed.notify_all()
            return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        with self._changed:
            item = self._objects.pop((kind, name), None)
            if item is None:
                return
            self.revision += 1
            self._events.append((self.revision, kind, {"gone": True, "object": item}))
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Discard all changes; a watch from an earlier revision gets 410."""
        with self._changed:
            self._oldest_revision = self.revision + 1
            self._events.clear()
            self._changed.notify_all()

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
                if after + 1 < self._oldest_revision:
                    return None
                events = [
                    event
                    for revision, item_kind, event in self._events
                    if item_kind == kind and revision > after
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0 or self.is_down or self.is_silent:
                    return {"events": events, "at": self.revision}
                self._changed.wait(remaining_s)

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
        status, item = self.store.write(kind, body["metadata"]["name"], body, creates)
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
        if self.store.is_down:
            self._respond(503, {})
            return False
        return True

    def _respond(self, status: int, body: object) -> None:
        data = msgspec.json.encode(body)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
