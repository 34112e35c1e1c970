"""Requests carried by one process: their bounded number, and how a stream ends.

See also: :mod:`martenrun.edge.application`.
"""

import threading
from collections.abc import Iterator
from typing import Any

from absl import logging

from martenrun.edge.forward import CallerLeft
from martenrun.edge.responses import error_body
from martenrun.errors import EdgeFullError, MartenrunError, StoppingError
from martenrun.observability.requests import RequestObservation

RETRY_AFTER_S = 1.0
"""When a caller refused for want of a slot should come back, in seconds."""


class StreamSlots:
    """Slots of the requests that a process carries at a time; thread-safe."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._taken = 0
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether new requests are refused because the process is being stopped."""
        return self._closed

    def close(self) -> None:
        """Refuse new requests from now on; those carried go on."""
        with self._lock:
            self._closed = True

    @property
    def taken(self) -> int:
        """Requests carried now."""
        return self._taken

    def take(self) -> "StreamSlot":
        """Take a slot; raises EdgeFullError or StoppingError at once if there is none."""
        with self._lock:
            if self._closed:
                raise StoppingError("this process is being stopped", retry_after_s=RETRY_AFTER_S)
            if self._taken >= self._limit:
                message = f"this process carries {self._limit} requests already"
                raise EdgeFullError(message, retry_after_s=RETRY_AFTER_S)
            self._taken += 1
        return StreamSlot(self)

    def _give_back(self) -> None:
        with self._lock:
            self._taken -= 1


class StreamSlot:
    """One request's slot; ``slots`` is None if none was taken."""

    def __init__(self, slots: StreamSlots | None) -> None:
        self._slots = slots

    def give_back(self) -> None:
        """Give the slot back; later calls do nothing."""
        slots, self._slots = self._slots, None
        if slots is not None:
            slots._give_back()


class PieceStream:
    """Iterator over a request's output that ends a broken stream with a typed error event.

    Closing it before its end counts as the caller's leaving.
    """

    def __init__(
        self,
        first: bytes,
        rest: Iterator[bytes],
        slot: StreamSlot,
        observation: RequestObservation,
    ) -> None:
        self._pieces: Any = self._chained(first, rest)
        self._rest: Any = rest
        self._observation = observation
        self._slot = slot

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        """Stop the request; called by the HTTP server also when the caller has gone."""
        try:
            self._pieces.close()
            self._rest.close()
        finally:
            self._observation.caller_gone()
            self._slot.give_back()

    def _chained(self, first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
        yield first
        try:
            yield from rest
        except CallerLeft:
            return
        except MartenrunError as error:
            yield self._error_event(error)
        except Exception:
            # A fault of our own must not end a stream silently either.
            logging.exception("carrying a stream failed")
            yield self._error_event(MartenrunError("the router failed"))
        else:
            self._observation.whole()

    def _error_event(self, error: MartenrunError) -> bytes:
        self._observation.failed(error)
        return b"event: error\ndata: " + error_body(error) + b"\n\n"
