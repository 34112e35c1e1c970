"""Parses the requests of an HTTP/1.1 connection; offers to change the protocol are ignored."""

from typing import Any, Protocol

import httptools

from martenrun.net.http import Headers

METHOD_CONNECT = b"CONNECT"
"""Method that requests a tunnel: what follows it on its connection is not HTTP."""


class RequestListener(Protocol):
    """Callbacks for the parts of the requests, in the order received."""

    def on_message_begin(self) -> None:
        """Handle the start of a request; repeated for a head that is parsed again."""

    def on_headers_complete(self) -> None:
        """Handle a complete head."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the decoded body."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class RequestParser:
    """Parser of the requests of one connection.

    A request that offers another protocol is parsed like any other, as is what follows it: a server
    may ignore the offer (RFC 9110, section 7.8).

    Attributes:
        target: the request target received so far.
        headers: the header fields received so far, without an ignored offer.  Trailer fields are
            dropped, as RFC 9110, section 6.5.1, allows.
    """

    def __init__(self, listener: RequestListener) -> None:
        self._listener = listener
        self._parser: Any = httptools.HttpRequestParser(self)
        self._is_at_tunnel = False
        self._is_in_head = True
        self.target = b""
        self.headers: Headers = []

    @property
    def method(self) -> bytes:
        """The method of the current request."""
        return bytes(self._parser.get_method())

    @property
    def keeps_alive(self) -> bool:
        """Whether other requests may follow the current one."""
        return self.method != METHOD_CONNECT and bool(self._parser.should_keep_alive())

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises httptools.HttpParserError if they are invalid."""
        while not self._is_at_tunnel:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                if self.method == METHOD_CONNECT:
                    self._is_at_tunnel = True
                    return
                data = self._head_without_offer() + data[exc.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def drop_fields(self) -> None:
        """Drop the header fields of a request that is rejected."""
        self.headers = []

    def content_length(self) -> int:
        """Return the announced size of the body in bytes, or 0."""
        for name, value in self.headers:
            if name.lower() == b"content-length":
                return int(value)
        return 0

    def _head_without_offer(self) -> bytes:
        """Return the head of a request whose body the parser has skipped because of an offer."""
        version = self._parser.get_http_version().encode()
        lines = [self.method + b" " + self.target + b" HTTP/" + version]
        lines += [
            name + b": " + value for name, value in self.headers if name.lower() != b"upgrade"
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _skips_message(self) -> bool:
        """Return whether the message will be parsed again without its offer."""
        return bool(self._parser.should_upgrade()) and self.method != METHOD_CONNECT

    # Events of httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._is_in_head = True
        self.target = b""
        self.headers = []
        self._listener.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, unless it is a trailer field."""
        if self._is_in_head:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass on the end of the head."""
        self._is_in_head = False
        if not self._skips_message():
            self._listener.on_headers_complete()

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._listener.on_body(data)

    def on_message_complete(self) -> None:
        """Pass on the end of the request."""
        if not self._skips_message():
            self._listener.on_message_complete()
