"""Stand-in for the platform's weight store, which is rate-limited.

Protocol (also in docs/PROTOCOL.md):

* ``PUT /v1/weights/MODEL/NAME`` -- publish weights or an adapter.
* ``HEAD /v1/weights/MODEL/NAME`` -- 200 if it exists, else 404.
* ``GET /v1/weights/MODEL/NAME`` -- the content, paced by how many loads are under way.
* ``GET /v1/loads`` -- how many loads are under way, the most there were, and how many ended.
* ``POST /faults`` -- set ``down``.
"""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from werkzeug.wrappers import Request, Response

CONTENT_CHUNKS = 50
"""Pieces that a load is sent in; the pace may change between them."""

_CHUNK = bytes(1024)


@dataclass(frozen=True)
class LoadPace:
    """How long loads take.

    Attributes:
        load_s: time of a load that is not slowed down, in seconds.
        full_rate_loads: loads at a time that the store serves without slowing down.
        overload_penalty: share of its total rate that the store loses for each load more.
    """

    load_s: float = 2.0
    full_rate_loads: int = 3
    overload_penalty: float = 0.1

    def seconds(self, loads: int) -> float:
        """Return how long a load takes while so many are under way, in seconds."""
        excess = max(0, loads - self.full_rate_loads)
        if not excess:
            return self.load_s
        total_rate = self.full_rate_loads * max(0.1, 1.0 - self.overload_penalty * excess)
        return self.load_s * loads / total_rate


class LoadCounts(msgspec.Struct):
    """Loads under way, the most there were at a time, and how many came to their end."""

    active: int = 0
    most: int = 0
    finished: int = 0


class Faults(msgspec.Struct):
    """Faults set by ``POST /faults``."""

    down: bool = False


class WeightStoreApplication:
    """WSGI application of the weight store.

    Args:
        pace: how long loads take.
        published: ``MODEL/NAME`` of what exists from the start.
    """

    def __init__(self, pace: LoadPace, published: list[str]) -> None:
        self._pace = pace
        self._published = set(published)
        self._lock = threading.Lock()
        self.counts = LoadCounts()
        self._faults = Faults()

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        return self._serve(Request(environ))(environ, start_response)  # type: ignore[arg-type]

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self._faults = faults

    def _serve(self, request: Request) -> Response:
        if request.path == "/faults":
            self.set_faults(msgspec.json.decode(request.get_data(), type=Faults))
            return _json({})
        if self._faults.down:
            return _json({"error": "down"}, 503)
        if request.path == "/v1/loads":
            return _json(self.counts)
        prefix, _, name = request.path.partition("/v1/weights/")
        if prefix or not name:
            return _json({"error": "not found"}, 404)
        return self._weights(request.method, name)

    def _weights(self, method: str, name: str) -> Response:
        if method == "PUT":
            self._published.add(name)
            return _json({})
        if name not in self._published:
            return _json({"error": "not found"}, 404)
        if method == "HEAD":
            return _json({})
        return Response(self._content(), mimetype="application/octet-stream")

    def _content(self) -> Iterator[bytes]:
        with self._lock:
            self.counts.active += 1
            self.counts.most = max(self.counts.most, self.counts.active)
        try:
            for _index in range(CONTENT_CHUNKS):
                time.sleep(self._pace.seconds(self.counts.active) / CONTENT_CHUNKS)
                yield _CHUNK
            with self._lock:
                self.counts.finished += 1
        finally:
            with self._lock:
                self.counts.active -= 1


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")
