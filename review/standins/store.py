"""A stand-in for the platform's store: objects by kind, watches and conditional writes."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins.http1 import Connection, Request, response_bytes, serve

ROOT = "/martenrun/objects/"
PAGE = 500


class Store:
    """The store; linearizable, keeps everything, answers at once."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 0
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Begin to serve."""
        self._server, self.address = await serve(self._handle)

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or a runner does; return its revision."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": self.revision if known is None else known["metadata"]["created"],
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = item
        await self._tell(kind, {"gone": False, "object": item})
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            await self._tell(kind, {"gone": True, "object": item})

    async def _tell(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, connection: Connection, request: Request) -> None:
        url = urlsplit(request.target)
        kind, _, name = url.path.removeprefix(ROOT).partition("/")
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if request.method == "GET" and name:
            item = self._objects.get((kind, name))
            status, body = (200, item) if item else (404, {})
        elif request.method == "GET" and "watch" in query:
            status, body = 200, await self._watch(kind, query)
        elif request.method == "GET":
            status, body = 200, self._list(kind, query.get("after", ""))
        else:
            status, body = await self._write(request, kind, name)
        fields = {"Content-Type": "application/json"}
        await connection.send(response_bytes(status, fields, json.dumps(body).encode()))

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(name for of, name in self._objects if of == kind and name > after)
        items = [self._objects[kind, name] for name in names[:PAGE]]
        return {"items": items, "more": len(names) > PAGE, "at": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> dict:
        after = int(query["watch"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            events = [event for at, of, event in self._events if of == kind and at > after]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self.revision}
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    async def _write(self, request: Request, kind: str, name: str) -> tuple[int, dict]:
        if request.method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        body = json.loads(request.body)
        metadata = body.get("metadata", {})
        is_new = request.method == "POST"
        name = metadata["name"] if is_new else name
        known = self._objects.get((kind, name))
        if is_new and known is not None:
            return 409, known
        if not is_new and known is None:
            return 404, {}
        expected = metadata.get("revision")
        if known is not None and expected not in (None, known["metadata"]["revision"]):
            return 409, known
        await self.put(kind, name, body.get("spec"))
        return 200, self._objects[kind, name]
