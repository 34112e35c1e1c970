"""A stand-in for a runner, run as a process of its own: ``runner.py OPTIONS`` (JSON).

It prints its address, then a line for each step of a request.  Lines on its standard input are
commands: ``drain`` (its entry says so), ``faulty 1`` and ``faulty 0``.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.http1 import Connection, Request, head_bytes, response_bytes, serve

HEARTBEAT_S = 1.2


@dataclass
class Options:
    """What a runner is told at its start.

    ``unframed_every``: each so many-th stream has neither length nor chunks and ends with its
    connection.  The shares count while the runner is faulty.  ``copied_share``: refusals, as a
    share of its answers, that are followed by a second copy, which arrives at the place where the
    next answer is due.  ``failed_share``: runs that end with a 503 of its own, without
    ``X-Not-Executed``.  ``spoiled_share``: streams with wrong bytes in one event.
    ``events_at_once``: events in one write.
    """

    instance: str
    service: str
    store: str
    slots: int = 6
    queue: int = 24
    work_ms: float = 45.0
    model: str | None = None
    events: int = 13
    pause_ms: float = 20.0
    unframed_every: int = 0
    copied_share: float = 0.0
    failed_share: float = 0.0
    spoiled_share: float = 0.0
    events_at_once: int = 1
    zone: str = "z1"


@dataclass
class Counts:
    """Counts of answers since the runner became faulty, and of streams."""

    answers: int = 0
    copies: int = 0
    runs: int = 0
    failures: int = 0
    begun: int = 0
    spoiled: int = 0
    streams: int = 0
    running: int = 0
    waiting: int = 0
    orders: int = 0
    free: asyncio.Condition = field(default_factory=asyncio.Condition)


class Runner:
    """Serves the requests of one service."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.counts = Counts()
        self.address = ""
        self.is_draining = False
        self.is_faulty = False
        self.version = 1

    async def run(self) -> None:
        """Serve until the process is killed."""
        self._server, self.address = await serve(self._handle)
        self.log("address", "-", address=self.address)
        asyncio.get_running_loop().create_task(self._beat())
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            await self._command(line.decode().split())
        await asyncio.Event().wait()

    def log(self, step: str, request_id: str, **fields: object) -> None:
        """Print one step."""
        line = {"at": time.monotonic(), "who": self.options.instance, "step": step}
        print(json.dumps(line | {"id": request_id} | fields), flush=True)

    async def _command(self, words: list[str]) -> None:
        if words[0] == "drain":
            self.is_draining = True
            await self._write_entry()
            self.log("draining", "-")
        elif words[0] == "faulty":
            self.is_faulty = words[1] == "1"
            self.counts.answers = self.counts.copies = 0
            self.counts.runs = self.counts.failures = 0
            self.counts.begun = self.counts.spoiled = 0

    def _models(self) -> list[dict]:
        name = self.options.model
        return [] if name is None else [{"name": name, "version": self.version, "adapters": []}]

    async def _beat(self) -> None:
        while True:
            await self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self) -> None:
        spec = {
            "service": self.options.service,
            "address": self.address,
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": self._models(),
            "call_seq": self.counts.orders,
        }
        name = self.options.instance
        entry = {"metadata": {"name": name}, "spec": spec}
        path = "/martenrun/objects/servers"
        if await self._store_call("PUT", f"{path}/{name}", entry) == 404:
            await self._store_call("POST", path, entry)

    async def _store_call(self, method: str, path: str, body: dict) -> int:
        host, _, port = self.options.store.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(body).encode()
        fields = {"Host": self.options.store, "Content-Length": str(len(data))}
        writer.write(head_bytes(f"{method} {path} HTTP/1.1", fields) + data)
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    async def _handle(self, connection: Connection, request: Request) -> None:
        if "x-request-id" in request.headers:
            await self._serve(connection, request)
        elif request.target == "/martenrun/report":
            await connection.send(response_bytes(200, {}, json.dumps(self._report()).encode()))
        elif request.target == "/healthz":
            status = 503 if self.is_draining else 200
            fields = {"X-Instance-Id": self.options.instance}
            await connection.send(response_bytes(status, fields))
        else:
            await connection.send(response_bytes(404, {}))

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "call_seq": self.counts.orders,
            "queued": self.counts.waiting,
            "active": self.counts.running,
            "kv_used": 0,
            "kv_total": 100_000,
            "handles": 0,
        }

    async def _serve(self, connection: Connection, request: Request) -> None:
        copy = connection.notes.pop("copy", None)
        request_id = request.header("x-request-id")
        if copy is not None:
            self.log("copy", request_id, of=copy.split(b"\r\n", 1)[0].decode())
            await connection.send(copy)
        self.log("arrives", request_id)
        expected = request.header("x-expect-instance", self.options.instance)
        version = request.header("x-expect-version", str(self.version))
        if expected != self.options.instance or version != str(self.version):
            await self._refuse(connection, request_id, 421)
        elif not await self._take_slot(request):
            await self._refuse(connection, request_id, 503)
        else:
            try:
                await self._run(connection, request, request_id)
            finally:
                await self._free_slot()

    async def _take_slot(self, request: Request) -> bool:
        counts, options = self.counts, self.options
        if counts.running >= options.slots and counts.waiting >= options.queue:
            return False
        counts.waiting += 1
        left_s = float(request.header("x-deadline-ms", "30000")) / 1000.0
        try:
            async with counts.free:
                free = counts.free.wait_for(lambda: counts.running < options.slots)
                await asyncio.wait_for(free, left_s)
                counts.running += 1
        except TimeoutError:
            return False
        finally:
            counts.waiting -= 1
        return True

    async def _free_slot(self) -> None:
        self.counts.running -= 1
        async with self.counts.free:
            self.counts.free.notify()

    async def _refuse(self, connection: Connection, request_id: str, status: int) -> None:
        fields = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        if status == 421:
            fields["X-Instance-Id"] = self.options.instance
        self.log("refuses", request_id, status=status)
        answer = response_bytes(status, fields)
        self._count_answer()
        if self._may_copy():
            self.counts.copies += 1
            connection.notes["copy"] = answer
        await connection.send(answer)

    def _count_answer(self) -> None:
        self.counts.answers += 1

    def _may_copy(self) -> bool:
        allowed = self.options.copied_share * self.counts.answers
        return self.is_faulty and self.counts.copies + 1 <= allowed

    async def _run(self, connection: Connection, request: Request, request_id: str) -> None:
        self.log("runs", request_id, method=request.method, target=request.target)
        fields = {"X-Request-Id": request_id, "X-Response-Stamp": f"s.{self.options.instance}"}
        self._count_answer()
        if "x-prefix-hash" in request.headers:
            await self._stream(connection, request, request_id, fields)
            return
        await asyncio.sleep(self.options.work_ms / 1000.0)
        status = 503 if self._fails() else 200
        body = f"answer to {request_id} by {self.options.instance}".encode()
        self.log("run ends", request_id, status=status)
        await connection.send(response_bytes(status, fields, body))

    def _fails(self) -> bool:
        """Count a run; return whether it fails."""
        counts = self.counts
        counts.runs += 1
        fails = self.is_faulty and counts.failures + 1 <= self.options.failed_share * counts.runs
        counts.failures += fails
        return fails

    async def _stream(
        self, connection: Connection, request: Request, request_id: str, fields: dict[str, str]
    ) -> None:
        self.counts.streams += 1
        every = self.options.unframed_every
        is_unframed = bool(every) and self.counts.streams % every == 0
        framing = {"Connection": "close"} if is_unframed else {"Transfer-Encoding": "chunked"}
        fields = {**fields, "Content-Type": "text/event-stream", **framing}
        connection.closes = is_unframed
        first = int(request.header("last-event-id", "0")) + 1
        spoiled = self._spoiled_event(first)
        self.log("streams", request_id, first=first, is_unframed=is_unframed, spoiled=spoiled)
        await connection.send(head_bytes("HTTP/1.1 200 OK", fields))
        step = self.options.events_at_once
        for start in range(first, self.options.events + 1, step):
            numbers = range(start, min(start + step, self.options.events + 1))
            data = b"".join(_event(number, request_id, number == spoiled) for number in numbers)
            if not is_unframed:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            await connection.send(data)
            await asyncio.sleep(self.options.pause_ms / 1000.0)
        if not is_unframed:
            await connection.send(b"0\r\n\r\n")
        self.log("run ends", request_id, status=200)

    def _spoiled_event(self, first: int) -> int | None:
        """Return the event of this stream that gets wrong bytes, or None."""
        counts = self.counts
        counts.begun += 1
        allowed = self.options.spoiled_share * counts.begun
        if first > 1 or not self.is_faulty or counts.spoiled + 1 > allowed:
            return None
        counts.spoiled += 1
        return self.options.events // 2


def _event(number: int, request_id: str, is_spoiled: bool) -> bytes:
    """Return one event, perhaps with wrong bytes in it."""
    event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
    return event.replace(b"id: ", b"id: \xfe", 1) if is_spoiled else event


if __name__ == "__main__":
    asyncio.run(Runner(Options(**json.loads(sys.argv[1]))).run())
