"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

HEADER_LIMIT = 65_536


class Request:
    """A complete request: method, target, header fields with names in lower case, and body."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Connection:
    """A server's side of one connection.

    Attributes:
        is_gone: whether the peer has closed or reset the connection.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.is_gone = False
        self._is_framed = True

    async def respond(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a complete response."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode("latin-1") + body)
        await self.writer.drain()

    async def start(self, status: int, headers: dict[str, str], is_framed: bool = True) -> None:
        """Send the head of a response whose body follows in chunks, or ends the connection."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Transfer-Encoding: chunked" if is_framed else "Connection: close", "", ""]
        self._is_framed = is_framed
        self.writer.write("\r\n".join(lines).encode("latin-1"))
        await self.writer.drain()

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_framed else data)
        await self.writer.drain()

    async def end(self) -> None:
        """End the body."""
        if self._is_framed:
            self.writer.write(b"0\r\n\r\n")
            await self.writer.drain()
        else:
            self.is_gone = True


Handler = Callable[[Connection, Request], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its header fields, names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body; raises IncompleteReadError if it is cut."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body that a head announces; raises IncompleteReadError if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        return Request(method, target, headers, await read_body(reader, headers))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


async def serve_requests(connection: Connection, handler: Handler) -> None:
    """Serve the requests of one connection, one after the other, until either side closes it."""
    try:
        while (request := await _read_request(connection.reader)) is not None:
            await handler(connection, request)
            if connection.is_gone or request.headers.get("connection", "").lower() == "close":
                break
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        connection.is_gone = True
        connection.writer.close()


async def serve(
    host: str,
    handler: Handler,
    port: int = 0,
    tasks: set[asyncio.Task[None]] | None = None,
) -> asyncio.Server:
    """Start a server; port 0 takes a free one.

    Args:
        tasks: gets the task of each connection while that is open.
    """

    async def on_connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if tasks is not None:
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await serve_requests(Connection(reader, writer), handler)

    return await asyncio.start_server(on_connected, host, port, limit=HEADER_LIMIT)


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Response:
    """A response as its client saw it; ``is_whole`` is false if its end is missing."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, is_whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Response | None:
    """Send a request on a connection of its own; return its response, or None without a head."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] if body or method != "GET" else []
    message = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=HEADER_LIMIT)
            try:
                writer.write(message)
                await writer.drain()
                return await _read_response(reader)
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


async def _read_response(reader: asyncio.StreamReader) -> Response:
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    try:
        return Response(status, headers, await read_body(reader, headers), True)
    except asyncio.IncompleteReadError as exc:
        return Response(status, headers, exc.partial, False)
