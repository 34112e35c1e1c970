"""Stand-in of a runner: streams and short answers, reports, orders, and parts that it keeps."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from standins2.http import Connection, Request, port_of, serve
from standins2.store import Store

STEP_S = 0.02
"""Pause between two events of a stream, in seconds."""


class Runner:
    """A runner of one service.

    Args:
        loads_s: time that new weights take, in seconds.
        record: called with a line for each order and each run.
        enforces_fences: whether a lower fencing token is refused.

    Attributes:
        orders: orders as they arrived, as (monotonic time, body, status).
        runs: requests that began to run, as (monotonic time, headers, weights version).
        kept: parts by (salt, id), with the tenant and the version that made them.
        active: number of streams that run.
        sent: number of the last event sent, by request.
        events_of: returns the number of events of a request.
        is_framed: returns whether a response is in chunks, or ends with its connection.
    """

    def __init__(
        self,
        name: str,
        service: str,
        model: str | None,
        store: Store,
        record: Callable[[str], None],
        loads_s: float = 0.76,
        enforces_fences: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.model = model
        self.version = 1
        self.listed_address = ""
        self.orders: list[tuple[float, dict[str, Any], int]] = []
        self.runs: list[tuple[float, dict[str, str], int]] = []
        self.kept: dict[tuple[str, str], tuple[str, int]] = {}
        self.foreign: list[tuple[str, str, str]] = []
        self.active = 0
        self.sent: dict[str, int] = {}
        self.events_of: Callable[[dict[str, str]], int] = lambda _headers: 10
        self._store = store
        self._record = record
        self._loads_s = loads_s
        self._enforces_fences = enforces_fences
        self._highest_token = 0
        self._taken = 0
        self._is_loading = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_framed: Callable[[dict[str, str]], bool] = lambda _headers: True
        self.address: tuple[str, int] = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await serve("127.0.0.1", self._handle, 0, self._tasks)
        self.address = ("127.0.0.1", port_of(self._server))
        self.listed_address = f"127.0.0.1:{self.address[1]}"

    async def crash(self) -> None:
        """End as a process does that is killed: connections are closed, new ones are refused."""
        assert self._server is not None
        self._record(f"{self.name} crashes")
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def start_again(self, name: str) -> None:
        """Start again at the same address, with a new id, after a crash."""
        self.name = name
        self._taken = 0
        self._highest_token = 0
        self.kept.clear()
        self._server = await serve("127.0.0.1", self._handle, self.address[1], self._tasks)
        self._record(f"the runner has started again as {name}")
        await self.list_entry()

    async def list_entry(self) -> None:
        """Write the entry in the store."""
        entry = {
            "service": self.service,
            "address": self.listed_address,
            "zone": "makati-a",
            "version": "v1",
            "slots": 64 if self.model else 6,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": self._models(),
            "call_seq": self._taken,
        }
        await self._store.put("servers", self.name, entry)

    def _models(self) -> list[dict[str, Any]]:
        if self.model is None:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def _handle(self, connection: Connection, request: Request) -> None:
        if request.target == "/martenrun/report":
            await connection.respond(200, {}, json.dumps(self._report()).encode())
        elif request.target == "/healthz":
            await connection.respond(200, {"X-Instance-Id": self.name})
        elif request.target == "/martenrun/order":
            await connection.respond(self._order(request), {"X-Instance-Id": self.name})
        else:
            await self._serve(connection, request)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self._models(),
            "busy": self._is_loading,
            "call_seq": self._taken,
            "queued": 0,
            "active": self.active,
            "kv_used": 0,
            "kv_total": 99_487,
            "handles": 0,
        }

    def _order(self, request: Request) -> int:
        body = json.loads(request.body)
        status = self._take_order(request, body)
        self.orders.append((time.monotonic(), body, status))
        self._record(f"order at {self.name}: {json.dumps(body)} -> {status}")
        return status

    def _take_order(self, request: Request, body: dict[str, Any]) -> int:
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return 421
        if self._enforces_fences and body["fence_token"] < self._highest_token:
            return 412
        self._highest_token = max(self._highest_token, body["fence_token"])
        if body["version"] == self.version:
            return 200
        if self._is_loading or body.get("expected_rev", self._taken) != self._taken:
            return 409
        self._taken += 1
        self._is_loading = True
        self.kept.clear()
        self._task = asyncio.create_task(self._load(body["version"]))
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self._loads_s)
        self.version = version
        self._is_loading = False
        await self.list_entry()

    async def _serve(self, connection: Connection, request: Request) -> None:
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await connection.respond(421, {**headers, "X-Instance-Id": self.name})
            return
        if request.headers.get("x-expect-version", str(self.version)) != str(self.version):
            await connection.respond(421, {**headers, "X-Instance-Id": self.name})
            return
        if self._is_loading:
            await connection.respond(503, {**headers, "X-Not-Executed": "1"})
            return
        self.runs.append((time.monotonic(), request.headers, self.version))
        headers["X-Response-Stamp"] = f"{self.name}.{len(self.runs)}"
        if self.model is None:
            await connection.respond(200, headers, b"done")
            return
        self._use_parts(request.headers)
        await self._stream(connection, request, headers)

    def _use_parts(self, headers: dict[str, str]) -> None:
        """Read a prompt: take parts that are kept under the request's salt, keep the others."""
        salt = headers.get("x-cache-salt", "")
        tenant = headers.get("x-tenant-id", "")
        is_prefix = True
        for part in headers.get("x-prefix-hash", "").split(","):
            part_id = part.partition(":")[0]
            made_by = self.kept.get((salt, part_id))
            if is_prefix and made_by is not None:
                self.foreign += [(headers["x-request-id"], tenant, made_by[0])]
            else:
                is_prefix = False
                self.kept[salt, part_id] = (tenant, self.version)

    async def _stream(
        self, connection: Connection, request: Request, headers: dict[str, str]
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        headers |= {"Content-Type": "text/event-stream", "X-Weight-Versions": str(self.version)}
        self.active += 1
        self._record(f"run at {self.name}: {request.headers.get('x-request-id')}")
        try:
            await connection.start(200, headers, self.is_framed(request.headers))
            for number in range(first, self.events_of(request.headers) + 1):
                await connection.send(b"id: %d\ndata: piece %d\n\n" % (number, number))
                self.sent[headers["X-Request-Id"]] = number
                await asyncio.sleep(STEP_S)
            await connection.end()
        finally:
            self.active -= 1
