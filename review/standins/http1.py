"""A small HTTP/1.1 server for the stand-ins, on asyncio streams."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """One request as it was read from a connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Return a header field; ``name`` is in lower case."""
        return self.headers.get(name, default)


@dataclass
class Connection:
    """An accepted connection, with room for what a stand-in remembers of it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    notes: dict[str, bytes] = field(default_factory=dict)
    closes: bool = False

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until they are handed to the kernel or buffered."""
        self.writer.write(data)
        await self.writer.drain()


Handler = Callable[[Connection, Request], Awaitable[None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, header fields and body of a message with a length or chunks."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def head_bytes(first_line: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a message's head."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_bytes(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a whole response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    return head_bytes(f"HTTP/1.1 {status} Status", fields) + body


async def serve(handler: Handler, host: str = "127.0.0.1") -> tuple[asyncio.Server, str]:
    """Serve requests one after the other on each connection; return the server and address."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        with contextlib.suppress(ConnectionError, EOFError, asyncio.CancelledError):
            while not connection.closes:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                await handler(connection, Request(method, target, headers, body))
        writer.close()

    server = await asyncio.start_server(on_connection, host, 0, limit=1 << 20)
    port = server.sockets[0].getsockname()[1]
    return server, f"{host}:{port}"
