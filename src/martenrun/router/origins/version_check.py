"""Confirms that a router has missed no software version of a service.

A router that is cut off or suspended knows the runners of some time ago, and nothing tells it so.
That it has heard of one version is therefore no proof that others do not serve: only a response of
the store to a call that was sent after the question is.  One of the store readers makes the call,
for all questions that wait for it, or this router if none responds.
"""

import itertools
import math
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from martenrun.net.loop import Loop, Timer
from martenrun.router.origins.messages import VersionMessage, VersionsQuery, VersionsResponse
from martenrun.router.origins.store_probe import (
    CALL_TIMEOUT_S,
    FAILURE_MEMORY_S,
    MIN_CALL_INTERVAL_S,
    OnConfirmed,
    ProbedStore,
    StoreProbe,
)
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.software_history import SoftwareHistory

READERS_ASKED = 2
"""Number of store readers that are asked at once."""

RESPONSE_TIMEOUT_S = MIN_CALL_INTERVAL_S + CALL_TIMEOUT_S
"""Time after which this router calls the store itself, in seconds."""

SLOW_STORE_MEMORY_S = 10.0
"""How long after a failure other routers are told not to rely on this one, in seconds."""

NUMBER_BITS = 48
"""Questions are numbered from a random number, so that answers to a former process fit none."""


class CheckPeers(Protocol):
    """The required access to the other routers."""

    @property
    def own(self) -> RouterRecord:
        """This router's record."""

    def live(self) -> list[RouterRecord]:
        """Return the records of the other routers that are alive."""

    def send(self, addresses: list[str], message: VersionMessage) -> None:
        """Send a message to some routers."""


@attrs.define(eq=False)
class PendingCheck:
    """A question to store readers.

    Attributes:
        unanswered: the readers whose responses are awaited.
        sent_at: monotonic time at which they were asked.
    """

    on_confirmed: OnConfirmed
    unanswered: set[str]
    sent_at: float
    timer: Timer | None = None


class VersionCheck:
    """Asks the store, through a reader or directly, whether other software versions serve.

    Versions that are found are added to the history before the result is passed on.

    Args:
        knows_past: returns whether this router knows the versions that served before its start.
        store: the store as it is probed.

    Attributes:
        is_available: whether a router is known that the store has lately responded to in time.
    """

    def __init__(
        self,
        loop: Loop,
        peers: CheckPeers,
        history: SoftwareHistory,
        knows_past: Callable[[], bool],
        store: ProbedStore,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._history = history
        self._knows_past = knows_past
        self._probe = StoreProbe(loop, store, history)
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))
        self._unanswered_at = -math.inf
        self._pending: dict[int, PendingCheck] = {}
        self.is_available = False

    def run_maintenance(self) -> None:
        """Update whether any live router can confirm versions."""
        self.is_available = self._can_confirm or bool(self._readers())

    def update_record(self, own: RouterRecord) -> None:
        """Set what other routers need to know about this router's confirmations."""
        own.confirms_versions = self._can_confirm

    @property
    def _can_confirm(self) -> bool:
        return self._peers.own.reads_store and not self._probe.has_failed_within(
            SLOW_STORE_MEMORY_S
        )

    def confirm(self, on_confirmed: OnConfirmed) -> None:
        """Find out whether all versions that are listed now are known."""
        readers = [] if self._peers.own.reads_store else self._readers()
        if not readers or self._loop.now() - self._unanswered_at < FAILURE_MEMORY_S:
            self._probe.run(on_confirmed)
            return
        asked = random.sample(readers, min(READERS_ASKED, len(readers)))
        number = next(self._numbers)
        check = PendingCheck(on_confirmed, set(asked), self._loop.now())
        check.timer = self._loop.call_later(RESPONSE_TIMEOUT_S, lambda: self._give_up(number))
        self._pending[number] = check
        self._peers.send(asked, VersionsQuery(self._peers.own.address, number))

    def handle_message(self, message: VersionMessage) -> None:
        """Handle a message from another router."""
        if isinstance(message, VersionsQuery):
            self._probe.run(lambda is_confirmed: self._respond(message, is_confirmed))
            return
        check = self._pending.get(message.number)
        if check is None or message.sender not in check.unanswered:
            return
        check.unanswered.discard(message.sender)
        if message.versions is not None:
            self._history.merge(message.versions, check.sent_at)
            self._close(message.number)
            check.on_confirmed(True)
        elif not check.unanswered:
            self._give_up(message.number)

    def _respond(self, query: VersionsQuery, is_confirmed: bool) -> None:
        versions = None
        if is_confirmed and self._knows_past():
            versions = self._history.all_ages(self._loop.now())
        response = VersionsResponse(query.number, self._peers.own.address, versions)
        self._peers.send([query.requester], response)

    def _give_up(self, number: int) -> None:
        check = self._close(number)
        if check is not None:
            self._unanswered_at = self._loop.now()
            self._probe.run(check.on_confirmed)

    def _close(self, number: int) -> PendingCheck | None:
        check = self._pending.pop(number, None)
        if check is not None and check.timer is not None:
            check.timer.cancel()
        return check

    def _readers(self) -> list[str]:
        return [
            record.address
            for record in self._peers.live()
            if record.confirms_versions and not record.is_leaving
        ]
