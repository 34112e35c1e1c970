"""Adapter of model engines: describing a runner, cancelling a request.

See also: :mod:`martenrun.backends.attempt`, which runs a request.
"""

import contextlib
import enum
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from martenrun.backends.http import connection_pool
from martenrun.constants import ENGINE_READ_TIMEOUT_S

_CONTROL_TIMEOUT_S = 2.0


class AttemptOutcome(enum.StrEnum):
    """How an attempt at an engine ended.

    ``COMPLETE``: the whole answer came, a stream's terminator included.  ``NOT_RUN``: the
    engine certainly did not run it.  ``UNKNOWN``: no output came, but it may have run.
    ``BROKEN``: output came, but not all of it.
    """

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    CALLER_GONE = "caller_gone"


class RunnerServingState(enum.StrEnum):
    """Whether an engine takes requests."""

    SERVING = "serving"
    DRAINING = "draining"
    LOADING = "loading"
    FAILED = "failed"


@dataclass(frozen=True)
class RunnerDescription:
    """What an engine tells about itself; loads lag.

    Attributes:
        weights_version: weights it serves with; empty while it loads others.
        state: ``serving``, or why it takes no requests (see :class:`RunnerServingState`).
        target_version: the weights version last ordered.
        fence: the highest fencing token it has seen in this incarnation.
    """

    incarnation: str
    model: str
    weights_version: str
    running: int
    slots: int
    cached_blocks: int
    waiting: int = 0
    state: str = RunnerServingState.SERVING
    target_version: str = ""
    fence: int = 0
    role: str = ""
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class EngineRequest:
    """One attempt: the caller's path and body with the router's fields added.

    ``first_event_timeout_s`` bounds the silence before the answer begins, or is whole if it is
    not streamed; ``token_gap_timeout_s`` the silence between two events of a stream.  The engine
    refuses the request, without running it, unless its incarnation and, if one is given, its
    weights version are the expected ones.
    """

    path: str
    body: bytes
    incarnation: str
    stream: bool
    first_event_timeout_s: float = ENGINE_READ_TIMEOUT_S
    token_gap_timeout_s: float = ENGINE_READ_TIMEOUT_S
    weights_version: str = ""
    import_header: str = ""


@dataclass
class AttemptResult:
    """Outcome of an attempt and the usage the engine reported.

    Attributes:
        import_held_blocks: blocks the engine held when it began to import.
        imported_blocks: blocks it fetched; below 0 if the store failed or was late.
        import_ms: time that took; 0 if it did not import.
    """

    outcome: AttemptOutcome
    message: str = ""
    body: bytes = b""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    import_held_blocks: int = 0
    imported_blocks: int = 0
    import_ms: int = 0


class EngineConnections:
    """Connection pools to engines, by address; used from driver threads."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def pool(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of one engine."""
        if address not in self._pools:
            self._pools[address] = connection_pool(address, ENGINE_READ_TIMEOUT_S, size=4)
        return self._pools[address]

    def describe(self, address: str) -> RunnerDescription:
        """Ask an engine for its incarnation, version and load; raises HTTPError."""
        response = self.pool(address).request("GET", "/v1/runner", timeout=_CONTROL_TIMEOUT_S)
        if response.status != 200:
            raise HTTPError(f"the engine answered {response.status}")
        return msgspec.json.decode(response.data, type=RunnerDescription)

    def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a stream; failures are ignored, the stream is closed anyway."""
        with contextlib.suppress(HTTPError):
            path = f"/v1/cancel?request_id={request_id}"
            self.pool(address).request("POST", path, timeout=_CONTROL_TIMEOUT_S)
