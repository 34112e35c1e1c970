"""Stand-in for the platform's object API: versions, compare-and-swap, watches.

Protocol (also in docs/PROTOCOL.md):

* ``GET /v1/objects?after=R&wait_s=S`` -- changes after revision R; 410 when compacted.
* ``GET /v1/objects/KIND/NAME`` -- one object.
* ``PUT /v1/objects/KIND/NAME?expected=V`` -- create (V=0) or replace; 409 on mismatch.
* ``DELETE /v1/objects/KIND/NAME?expected=V`` -- remove; 409 on mismatch.
* ``POST /faults`` -- set ``down``, ``delay_s``, ``lose_answers`` (a count).

The revision is one counter over all objects; an object's version is the revision that last
wrote it.  Only the latest change of each object is kept, removals included.
"""

import threading
import time
from dataclasses import dataclass

import msgspec
from werkzeug.wrappers import Request, Response


class StoredObject(msgspec.Struct):
    """One object as the API shows it."""

    kind: str
    name: str
    version: int
    deleted: bool
    document: dict[str, object]


class ObjectList(msgspec.Struct):
    """Answer to a list: objects changed after the asked revision, and the present one."""

    revision: int
    objects: list[StoredObject]


@dataclass
class Faults:
    """Faults set by ``POST /faults``."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class ObjectStore:
    """The stored objects and their revision counter; thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._revision = 0

    def changes(self, after: int, wait_s: float) -> ObjectList:
        """Return changes after a revision, waiting up to ``wait_s`` for one."""
        with self._changed:
            self._changed.wait_for(lambda: self._revision > after, timeout=wait_s)
            found = [item for item in self._objects.values() if item.version > after]
            found.sort(key=lambda item: item.version)
            return ObjectList(self._revision, found)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None."""
        with self._changed:
            found = self._objects.get((kind, name))
            return None if found is None or found.deleted else found

    def write(
        self, kind: str, name: str, expected: int, document: dict[str, object] | None
    ) -> tuple[bool, int]:
        """Compare-and-swap; a document of None removes.

        Returns:
            Whether it was written, and the object's version now (0 if it does not exist).
        """
        with self._changed:
            present = self._objects.get((kind, name))
            version = 0 if present is None or present.deleted else present.version
            if version != expected:
                return False, version
            self._revision += 1
            deleted = document is None
            item = StoredObject(kind, name, self._revision, deleted, document or {})
            self._objects[(kind, name)] = item
            self._changed.notify_all()
            return True, self._revision


class ObjectApiApplication:
    """WSGI application of the object API."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = Faults()

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        request = Request(environ)
        return self._serve(request)(environ, start_response)  # type: ignore[arg-type]

    def _serve(self, request: Request) -> Response:
        if request.path == "/faults":
            self.faults = msgspec.json.decode(request.get_data(), type=Faults)
            return _json({})
        if self.faults.down:
            return _json({"error": "down"}, 503)
        time.sleep(self.faults.delay_s)
        response = self._route(request)
        if self.faults.lose_answers > 0 and request.method != "GET":
            self.faults.lose_answers -= 1
            return _json({"error": "answer lost"}, 503)
        return response

    def _route(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if parts == ["v1", "objects"]:
            after = int(request.args.get("after", "0"))
            return _json(self.store.changes(after, float(request.args.get("wait_s", "0"))))
        if len(parts) != 4 or parts[:2] != ["v1", "objects"]:
            return _json({"error": "not found"}, 404)
        kind, name = parts[2:]
        if request.method == "GET":
            found = self.store.get(kind, name)
            return _json({"error": "not found"}, 404) if found is None else _json(found)
        expected = int(request.args.get("expected", "0"))
        document = None if request.method == "DELETE" else msgspec.json.decode(request.get_data())
        written, version = self.store.write(kind, name, expected, document)
        return _json({"version": version}, 200 if written else 409)


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")
