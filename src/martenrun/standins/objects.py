"""Stand-in for the platform's object API: versions, compare-and-swap, watches, faults.

Protocol (also in docs/PROTOCOL.md):

* ``GET /v1/objects`` -- every object that exists.
* ``GET /v1/objects?after=R&wait_s=S&kinds=A,B`` -- changes after revision R, removals
  included; 410 when R was compacted: list again.
* ``GET /v1/objects?kinds=A&after_name=N&limit=L`` -- the first objects of a kind whose names
  come after N, in order.
* ``GET /v1/objects/KIND/NAME`` -- one object; 404 tells a removal's change if it is known.
* ``PUT /v1/objects/KIND/NAME?expected=V&change=ID`` -- create (V=0) or replace; 409 on mismatch.
* ``DELETE /v1/objects/KIND/NAME?expected=V&change=ID`` -- remove; 409 on mismatch.
* ``POST /faults`` -- replace the faults in force, see :class:`Faults`.
* ``POST /compact`` -- forget every removal and refuse watches from before now.

See also: :mod:`martenrun.standins.object_store`.
"""

import random
import threading
import time

import msgspec
from werkzeug.wrappers import Request, Response

from martenrun.standins.object_store import CompactedError, ObjectStore, StoredObject


class Faults(msgspec.Struct):
    """Faults set by flags or by ``POST /faults``; probabilities are drawn per call.

    Attributes:
        down: every call fails and has no effect.
        delay_s: added to every call, before its effect.
        slow_probability, slow_s: how often a call takes ``slow_s`` longer.
        lose_answers: count of coming writes whose answer is lost after they took effect.
        lose_write_probability: how often a write's answer is lost after it took effect.
        lose_read_probability: how often a read's answer is lost.
        seed: of the draws; setting faults starts them again.
    """

    down: bool = False
    delay_s: float = 0.0
    slow_probability: float = 0.0
    slow_s: float = 1.0
    lose_answers: int = 0
    lose_write_probability: float = 0.0
    lose_read_probability: float = 0.0
    seed: int = 0


class ObjectApiApplication:
    """WSGI application of the object API."""

    def __init__(self, faults: Faults | None = None, retained_changes: int = 10_000) -> None:
        self.store = ObjectStore(retained_changes)
        self._faults_lock = threading.Lock()
        self._set_faults(faults or Faults())

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        request = Request(environ)
        return self._serve(request)(environ, start_response)  # type: ignore[arg-type]

    def _set_faults(self, faults: Faults) -> None:
        with self._faults_lock:
            self.faults = faults
            self._rng = random.Random(faults.seed)

    def _draw(self, probability: float) -> bool:
        with self._faults_lock:
            return probability > 0 and self._rng.random() < probability

    def _serve(self, request: Request) -> Response:
        if request.path == "/faults":
            self._set_faults(msgspec.json.decode(request.get_data(), type=Faults))
            return _json({})
        if request.path == "/compact":
            self.store.compact()
            return _json({})
        if self.faults.down:
            return _json({"error": "down"}, 503)
        time.sleep(self.faults.delay_s)
        if self._draw(self.faults.slow_probability):
            time.sleep(self.faults.slow_s)
        response = self._route(request)
        # An outage that starts while a call is in progress swallows its answer.
        if self.faults.down or self._loses_answer(request.method == "GET"):
            return _json({"error": "answer lost"}, 503)
        return response

    def _loses_answer(self, is_read: bool) -> bool:
        if is_read:
            return self._draw(self.faults.lose_read_probability)
        with self._faults_lock:
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return True
        return self._draw(self.faults.lose_write_probability)

    def _route(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if parts == ["v1", "objects"]:
            return self._list(request)
        if len(parts) != 4 or parts[:2] != ["v1", "objects"]:
            return _json({"error": "not found"}, 404)
        kind, name = parts[2:]
        if request.method == "GET":
            return self._get(kind, name)
        expected = int(request.args.get("expected", "0"))
        document = None if request.method == "DELETE" else msgspec.json.decode(request.get_data())
        change = request.args.get("change", "")
        written, version = self.store.write(kind, name, expected, document, change)
        return _json({"version": version}, 200 if written else 409)

    def _list(self, request: Request) -> Response:
        after = request.args.get("after")
        kinds = frozenset(filter(None, request.args.get("kinds", "").split(",")))
        limit = request.args.get("limit")
        if limit is not None:
            after_name = request.args.get("after_name", "")
            return _json(self.store.list_page(request.args["kinds"], after_name, int(limit)))
        if after is None:
            return _json(self.store.list_all(kinds))
        try:
            wait_s = float(request.args.get("wait_s", "0"))
            return _json(self.store.changes(int(after), wait_s, kinds))
        except CompactedError as error:
            return _json({"error": "compacted", "compacted": error.compacted}, 410)

    def _get(self, kind: str, name: str) -> Response:
        found = self.store.get(kind, name)
        if found is None:
            found = StoredObject(kind, name, 0, True, {}, "")
        return _json(found, 404 if found.deleted else 200)


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")
