"""Stand-in of the platform's store: objects by kind and name, one revision counter, watches."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins2.http import Connection, Request, port_of, serve

ROOT = "/martenrun/objects/"
ANSWER_S = 0.004
"""Time that an answer takes, in seconds, as on the sheets of the deployments."""


class Store:
    """The store; ``objects`` maps (kind, name) to each object."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 0
        self.address = ""
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await serve("127.0.0.1", self._handle)
        self.address = f"127.0.0.1:{port_of(self._server)}"

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or a runner does; return its revision."""
        async with self._changed:
            known = self.objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return int(known["metadata"]["revision"])
            self.revision += 1
            metadata = {
                "name": name,
                "revision": self.revision,
                "created": self.revision if known is None else known["metadata"]["created"],
                "finalizers": [],
                "deleting": False,
            }
            item = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[kind, name] = item
            self._events.append((self.revision, kind, {"gone": False, "object": item}))
            self._changed.notify_all()
            return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        async with self._changed:
            item = self.objects.pop((kind, name), None)
            if item is not None:
                self.revision += 1
                self._events.append((self.revision, kind, {"gone": True, "object": item}))
                self._changed.notify_all()

    async def _handle(self, connection: Connection, request: Request) -> None:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(ROOT).partition("/")
        if request.method == "GET":
            status, answer = await self._read(kind, name, query)
        else:
            status, answer = await self._write(request, kind, name)
        await asyncio.sleep(ANSWER_S)
        data = json.dumps(answer).encode()
        await connection.respond(status, {"Content-Type": "application/json"}, data)

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        if name:
            item = self.objects.get((kind, name))
            return (404, {}) if item is None else (200, item)
        if "watch" in query:
            wait_s = int(query.get("wait_ms", "0")) / 1000.0
            return 200, await self._watch(kind, int(query["watch"]), wait_s)
        after = query.get("after", "")
        items = [
            item for key, item in sorted(self.objects.items()) if key[0] == kind and key[1] > after
        ]
        return 200, {"items": items, "more": False, "at": self.revision}

    async def _watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any]:
        def events() -> list[dict[str, Any]]:
            return [event for at, of, event in self._events if at > after and of == kind]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(events)
            except TimeoutError:
                pass
            return {"events": events(), "at": self.revision}

    async def _write(self, request: Request, kind: str, name: str) -> tuple[int, Any]:
        body = json.loads(request.body)
        creates = request.method == "POST"
        name = body["metadata"]["name"] if creates else name
        known = self.objects.get((kind, name))
        if known is None and not creates:
            return 404, {}
        expected = body["metadata"].get("revision")
        if known is not None and (creates or expected not in (None, known["metadata"]["revision"])):
            return 409, known
        await self.put(kind, name, body["spec"])
        return 200, self.objects[kind, name]
