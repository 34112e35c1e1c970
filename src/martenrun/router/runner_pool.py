"""States of the listed runners, and a pool of idle connections to them."""

import attrs

from martenrun.net.client import AnswerReader, ClientConnection
from martenrun.net.loop import Loop
from martenrun.router.messages import Runner
from martenrun.router.runner_state import RunnerState

DEFAULT_REST_S = 4.0
"""Maximum idle time for reusing a connection if the runner advertises no keep-alive time."""

SAFE_REST_S = 3.0
"""Maximum idle time for requests that must not run twice, in seconds.

The runner must not be about to close the connection.  With 0.8 s half of these requests opened a
new connection although idle ones were available: 0.650 -> 0.660 of worth.
"""

SUSPECT_REST_S = 0.8
"""Maximum idle time for such requests while a stale connection was seen recently, in seconds."""

FORGETFUL_S = 10.0
"""How long a stale connection lowers the maximum idle time of others, in seconds."""

REST_MARGIN_S = 0.6
"""Connections are not reused this many seconds before the advertised keep-alive time ends."""

KEPT_CONNECTIONS = 32
"""Maximum number of idle connections per runner."""


@attrs.define
class _Entry:
    state: RunnerState
    idle: list[ClientConnection] = attrs.field(factory=list)


class RunnerPool:
    """States of the listed runners and idle connections to them."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, list[RunnerState]] = {}
        self._forgotten_at = -FORGETFUL_S

    def update(self, runners: dict[str, Runner]) -> None:
        """Replace the listed runners, keeping the state of those listed before."""
        for instance in list(self._entries):
            if instance not in runners:
                self._drop(instance)
        for instance, runner in runners.items():
            entry = self._entries.get(instance)
            if entry is None:
                self._entries[instance] = _Entry(RunnerState(runner))
            else:
                entry.state.runner = runner
                if runner.is_draining:
                    self._close_idle(entry)
        self._by_service = {}
        for entry in self._entries.values():
            self._by_service.setdefault(entry.state.runner.service, []).append(entry.state)

    def states(self, service: str) -> list[RunnerState]:
        """Return the states of a service's runners."""
        return self._by_service.get(service, [])

    def all_states(self) -> list[RunnerState]:
        """Return the states of all runners."""
        return [entry.state for entry in self._entries.values()]

    def state(self, instance: str) -> RunnerState | None:
        """Return the state of a listed runner instance, or None."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.state

    def has_kept(self, instance: str) -> bool:
        """Return whether an idle connection to a runner is still open."""
        entry = self._entries.get(instance)
        return entry is not None and any(connection.is_open for connection in entry.idle)

    def send(
        self,
        state: RunnerState,
        request: bytes,
        reader: AnswerReader,
        expected_id: tuple[bytes, bytes],
        may_repeat: bool,
    ) -> ClientConnection:
        """Send a request to a runner; raises OSError if no connection can be opened."""
        entry = self._entries.get(state.runner.instance)
        connection = None if entry is None else self._rested(entry, may_repeat)
        if connection is None:
            connection = ClientConnection(
                self._loop, state.runner.address, self._keeper(entry), self._forgetter(entry)
            )
        connection.send(request, reader, expected_id)
        return connection

    def _rested(self, entry: _Entry, may_repeat: bool) -> ClientConnection | None:
        now = self._loop.now()
        while entry.idle:
            connection = entry.idle[-1]
            limit_s = (connection.keep_alive_s or DEFAULT_REST_S + REST_MARGIN_S) - REST_MARGIN_S
            rested_s = now - connection.idle_since
            if rested_s < limit_s and connection.is_open:
                if not may_repeat and rested_s > self._safe_rest_s(now):
                    return None
                return entry.idle.pop()
            self._close_idle(entry)
        return None

    def note_broken(self, connection: ClientConnection) -> None:
        """Record a connection that broke before any response; a reused one was stale."""
        if connection.was_kept:
            self._forgotten_at = self._loop.now()

    def _safe_rest_s(self, now: float) -> float:
        is_suspect = now - self._forgotten_at < FORGETFUL_S
        return SUSPECT_REST_S if is_suspect else SAFE_REST_S

    def _keeper(self, entry: _Entry | None):  # type: ignore[no-untyped-def]
        def keep(connection: ClientConnection) -> None:
            if entry is None or entry.state.runner.is_draining:
                connection.close()
            elif self._entries.get(entry.state.runner.instance) is not entry:
                # The runner was removed during the request, so its idle list is never closed.
                connection.close()
            elif len(entry.idle) < KEPT_CONNECTIONS:
                entry.idle.append(connection)
            else:
                connection.close()

        return keep

    @staticmethod
    def _forgetter(entry: _Entry | None):  # type: ignore[no-untyped-def]
        def forget(connection: ClientConnection) -> None:
            if entry is not None and connection in entry.idle:
                entry.idle.remove(connection)

        return forget

    @staticmethod
    def _close_idle(entry: _Entry) -> None:
        idle, entry.idle = entry.idle, []
        for connection in idle:
            connection.close()

    def _drop(self, instance: str) -> None:
        self._close_idle(self._entries.pop(instance))
