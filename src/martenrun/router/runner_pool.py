"""States of the listed runners, and a pool of idle connections to them."""

import random

import attrs

from martenrun.net.client import ClientConnection, ResponseReader
from martenrun.net.loop import Loop
from martenrun.router.log import log_event
from martenrun.router.messages import Runner
from martenrun.router.runner_state import RunnerState

DEFAULT_IDLE_LIMIT_S = 4.0
"""Maximum idle time for reusing a connection if the runner advertises no keep-alive time."""

SAFE_IDLE_LIMIT_S = 3.0
"""Maximum idle time for requests that must not run twice, in seconds.

The runner must not be about to close the connection.
"""

SUSPECT_IDLE_LIMIT_S = 0.8
"""Maximum idle time for such requests while a stale connection was seen recently, in seconds."""

STALE_MEMORY_S = 10.0
"""How long a stale connection lowers the maximum idle time of others, in seconds."""

IDLE_LIMIT_MARGIN_S = 0.6
"""Connections are not reused this many seconds before the advertised keep-alive time ends."""

UNLISTED_RETENTION_S = 60.0
"""How long the state of an unlisted runner is kept at least, in seconds.

Entries of live runners expire while the store is unavailable.
"""

MAX_IDLE_CONNECTIONS = 32
"""Maximum number of idle connections per runner."""


@attrs.define
class _PooledRunner:
    state: RunnerState
    idle: list[ClientConnection] = attrs.field(factory=list)


class RunnerPool:
    """States of the listed runners and idle connections to them."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._entries: dict[str, _PooledRunner] = {}
        self._unlisted: dict[str, tuple[RunnerState, float]] = {}
        self._by_service: dict[str, list[RunnerState]] = {}
        self._stale_seen_at = -STALE_MEMORY_S

    def update(self, runners: dict[str, Runner]) -> None:
        """Replace the listed runners, keeping the state of those listed before."""
        for instance in list(self._entries):
            if instance not in runners:
                self._remove(instance)
        for instance, runner in runners.items():
            entry = self._entries.get(instance)
            if entry is None:
                state, _ = self._unlisted.pop(instance, (RunnerState(runner), 0.0))
                self._take_over_backoffs(state)
                entry = self._entries[instance] = _PooledRunner(state)
            entry.state.runner = runner
            if runner.is_draining:
                self.record_draining(entry.state, "entry")
        self._forget_unlisted()
        self._by_service = {}
        for entry in self._entries.values():
            self._by_service.setdefault(entry.state.runner.service, []).append(entry.state)

    def _take_over_backoffs(self, state: RunnerState) -> None:
        """Keep the backoffs requested by other starts of a runner under the same id.

        The start that requested one may be the new one, whose entry was read later.
        """
        now = self._loop.now()
        for other, _ in self._unlisted.values():
            if other.runner.name == state.runner.name and other.is_backing_off(now):
                state.record_backoff(other.backoff_until)

    def record_draining(self, state: RunnerState, source: str) -> None:
        """Record that a runner announces that it will stop, and close idle connections to it.

        Args:
            source: where that became known, for the log.
        """
        if not state.record_draining(self._loop.now()):
            return
        log_event("runner_draining", instance=state.runner.instance, source=source)
        entry = self._entries.get(state.runner.instance)
        if entry is not None:
            self._close_idle(entry)

    def services(self) -> list[str]:
        """Return the services that have listed runners."""
        return list(self._by_service)

    def states(self, service: str) -> list[RunnerState]:
        """Return the states of a service's runners."""
        return self._by_service.get(service, [])

    def all_states(self) -> list[RunnerState]:
        """Return the states of all runners."""
        return [entry.state for entry in self._entries.values()]

    def other_addresses(self, instance: str) -> list[str]:
        """Return the addresses of runners other than an instance, in random order."""
        addresses = [
            state.runner.address
            for state in self.all_states()
            if state.runner.instance != instance and not state.is_draining
        ]
        random.shuffle(addresses)
        return addresses

    def state(self, instance: str) -> RunnerState | None:
        """Return the state of a listed runner instance, or None."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.state

    def recent_state(self, instance: str) -> RunnerState | None:
        """Return the state of a runner instance that is listed or was so lately, or None."""
        if instance in self._unlisted:
            return self._unlisted[instance][0]
        return self.state(instance)

    def has_idle_connection(self, instance: str) -> bool:
        """Return whether an idle connection to a runner is still open."""
        entry = self._entries.get(instance)
        return entry is not None and any(connection.is_open for connection in entry.idle)

    def send(
        self,
        state: RunnerState,
        request: bytes,
        reader: ResponseReader,
        expected_id: tuple[bytes, bytes],
        may_repeat: bool,
        body: bytes | bytearray = b"",
    ) -> ClientConnection:
        """Send a request and its body to a runner; raises OSError if no connection can be opened.

        Repeats use connections on which the request was not sent yet, so that a late copy of an
        earlier response is not taken for theirs.
        """
        entry = self._entries.get(state.runner.instance)
        connection = None
        if entry is not None:
            connection = self._take_idle_connection(entry, may_repeat, expected_id[1])
        if connection is None:
            connection = ClientConnection(
                self._loop,
                state.runner.address,
                self._reuse_handler(entry),
                self._idle_close_handler(entry),
            )
        connection.send(request, reader, expected_id, body)
        return connection

    def _take_idle_connection(
        self, entry: _PooledRunner, may_repeat: bool, request_id: bytes
    ) -> ClientConnection | None:
        """Return the connection used last that may carry the request, or None."""
        if entry.idle and not self._is_fresh(entry.idle[-1]):
            # The others have been idle for longer still.
            self._close_idle(entry)
        for connection in reversed(entry.idle):
            if not self._is_fresh(connection):
                return None
            if not connection.has_carried(request_id):
                idle_s = self._loop.now() - connection.idle_since
                if not may_repeat and idle_s > self._safe_idle_limit_s(self._loop.now()):
                    return None
                entry.idle.remove(connection)
                return connection
        return None

    def _is_fresh(self, connection: ClientConnection) -> bool:
        """Return whether the runner is not about to close an idle connection."""
        limit_s = (
            connection.keep_alive_s or DEFAULT_IDLE_LIMIT_S + IDLE_LIMIT_MARGIN_S
        ) - IDLE_LIMIT_MARGIN_S
        return connection.is_open and self._loop.now() - connection.idle_since < limit_s

    def record_broken_connection(self, connection: ClientConnection) -> None:
        """Record a connection that broke before any response; a reused one was stale."""
        if connection.was_kept_alive:
            self._stale_seen_at = self._loop.now()

    def _safe_idle_limit_s(self, now: float) -> float:
        is_suspect = now - self._stale_seen_at < STALE_MEMORY_S
        return SUSPECT_IDLE_LIMIT_S if is_suspect else SAFE_IDLE_LIMIT_S

    def _reuse_handler(self, entry: _PooledRunner | None):  # type: ignore[no-untyped-def]
        def on_reusable(connection: ClientConnection) -> None:
            if entry is None or entry.state.is_draining:
                connection.close()
            elif self._entries.get(entry.state.runner.instance) is not entry:
                # The runner was removed during the request, so its idle list is never closed.
                connection.close()
            elif len(entry.idle) < MAX_IDLE_CONNECTIONS:
                entry.idle.append(connection)
            else:
                connection.close()

        return on_reusable

    @staticmethod
    def _idle_close_handler(entry: _PooledRunner | None):  # type: ignore[no-untyped-def]
        def on_idle_close(connection: ClientConnection) -> None:
            if entry is not None and connection in entry.idle:
                entry.idle.remove(connection)

        return on_idle_close

    @staticmethod
    def _close_idle(entry: _PooledRunner) -> None:
        idle, entry.idle = entry.idle, []
        for connection in idle:
            connection.close()

    def _remove(self, instance: str) -> None:
        entry = self._entries.pop(instance)
        self._close_idle(entry)
        self._unlisted[instance] = entry.state, self._loop.now()

    def _forget_unlisted(self) -> None:
        now = self._loop.now()
        for instance, (state, removed_at) in list(self._unlisted.items()):
            if now - removed_at > UNLISTED_RETENTION_S and not state.is_backing_off(now):
                del self._unlisted[instance]
