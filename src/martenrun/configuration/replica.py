"""A copy of the configuration that nodes and agents keep by asking each other.

Part of the decision logic of both.  Taking an update in is harmless whenever it comes: late,
repeated, with a gap, or older than the own copy.
"""

import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

from martenrun.configuration.state import ConfigurationState
from martenrun.events import Instruction, Send
from martenrun.wire.messages import (
    ConfigurationObject,
    ConfigurationQuery,
    ConfigurationUpdate,
)

PAGE_BYTES = 256 * 1024
"""Documents in one message, in bytes; a longer update continues on further pages."""

SETTLE_S = 0.25
"""How long a new process gathers copies before it takes the newest, in seconds."""

ANSWER_TIMEOUT_S = 0.5
"""How long an answer may take before somebody else is asked, in seconds."""

PAGE_TIMEOUT_S = 1.0
"""How long the next page of an update may take before the update is asked for anew."""


def nodes_digest(nodes: Sequence[str]) -> int:
    """Return a number, never zero, that stands for a set of nodes."""
    return 1 + zlib.crc32("\n".join(sorted(nodes)).encode())


@dataclass(frozen=True, slots=True)
class _Offer:
    """A copy, or the first page of one, that a peer has offered."""

    peer: str
    update: ConfigurationUpdate


@dataclass
class _Pages:
    """The pages of one update that have arrived so far."""

    sender: str
    complete: bool
    until: float = 0.0
    last_revision: int = 0
    objects: list[ConfigurationObject] = field(default_factory=list)

    def fits(self, peer: str, page: ConfigurationUpdate) -> bool:
        """Whether a page is the next one of the same copy."""
        is_same_copy = self.sender == peer and self.complete == page.complete
        return is_same_copy and self.last_revision == page.page_after


class ConfigurationReplica:
    """The state in force, and what to answer and ask so that it becomes current."""

    def __init__(self, nodes: Sequence[str], rng: random.Random) -> None:
        self.state = ConfigurationState(nodes=list(nodes))
        self._rng = rng
        self._offers: list[_Offer] = []
        self._settled_at: float | None = None
        self._pages: _Pages | None = None
        self._next_question = 0.0
        self._regular_question = 0.0

    def jittered(self, seconds: float) -> float:
        """Return a time within half of ``seconds``, so that processes do not keep step."""
        return seconds * (0.5 + self._rng.random())

    def is_question_due(self, now: float) -> bool:
        """Whether it is time to ask somebody: regularly, and soon again after silence."""
        return now >= self._next_question and not self._is_paging(now)

    def asked(self, now: float, interval_s: float) -> None:
        """Note that somebody was asked; the next question is due after an answer and a while."""
        self._regular_question = now + self.jittered(interval_s)
        self._next_question = min(self._regular_question, now + ANSWER_TIMEOUT_S)

    def answer(self, peer: str, query: ConfigurationQuery) -> list[Instruction]:
        """Answer a query, and ask back if the other side has a newer copy."""
        if query.known_revision > self.state.revision:
            self._next_question = self._regular_question
            return [Send(peer, ConfigurationQuery(self.state.revision))]
        update = self._page(query)
        # An empty answer tells that there is nothing newer; silence, that it got lost.
        wants_nodes = query.nodes_digest not in (0, nodes_digest(self.state.nodes))
        update.nodes = list(self.state.nodes) if wants_nodes else []
        return [Send(peer, update)]

    def take_in(self, peer: str, update: ConfigurationUpdate, now: float) -> list[Instruction]:
        """Take in an update from a peer; returns questions for what is still missing."""
        self._next_question = self._regular_question
        if update.page_after:
            return self._take_page(peer, update, now)
        if self.state.leaves_gap(update):
            return [Send(peer, ConfigurationQuery(self.state.revision))]
        if self.state.revision == 0 and update.to_revision > 0:
            # Another peer may offer a newer copy; an older one must not be in force before it.
            self._offers.append(_Offer(peer, update))
            if self._settled_at is None:
                self._settled_at = now + SETTLE_S
            return []
        return self._accept(peer, update, now)

    def settle(self, now: float) -> list[Instruction]:
        """Take the newest of the copies gathered since the start, once it is time."""
        if self._settled_at is None or now < self._settled_at:
            return []
        self._settled_at = None
        offers, self._offers = self._offers, []
        newest = max(offers, key=lambda offer: offer.update.to_revision)
        return self._accept(newest.peer, newest.update, now)

    def _accept(self, peer: str, update: ConfigurationUpdate, now: float) -> list[Instruction]:
        if not update.continues:
            self.state.apply(update)
            return []
        if self._is_paging(now):
            return []
        self._pages = _Pages(peer, update.complete)
        return self._add_page(self._pages, update, now)

    def _is_paging(self, now: float) -> bool:
        return self._pages is not None and now <= self._pages.until

    def _page(self, query: ConfigurationQuery) -> ConfigurationUpdate:
        update = self.state.update_since(query.known_revision)
        update.page_after = query.page_after
        objects = [item for item in update.objects if item.revision > query.page_after]
        size = 0
        for count, item in enumerate(objects):
            size += len(item.document)
            if size > PAGE_BYTES and count > 0:
                update.objects = objects[:count]
                update.continues = True
                return update
        update.objects = objects
        return update

    def _take_page(self, peer: str, page: ConfigurationUpdate, now: float) -> list[Instruction]:
        if self._pages is None or not self._pages.fits(peer, page):
            return []
        return self._add_page(self._pages, page, now)

    def _add_page(self, pages: _Pages, page: ConfigurationUpdate, now: float) -> list[Instruction]:
        pages.objects += page.objects
        if page.continues:
            pages.last_revision = page.objects[-1].revision
            pages.until = now + PAGE_TIMEOUT_S
            query = ConfigurationQuery(page.from_revision, pages.last_revision)
            return [Send(pages.sender, query)]
        self._pages = None
        self.state.apply(
            ConfigurationUpdate(
                page.from_revision, page.to_revision, pages.objects, complete=page.complete
            )
        )
        return []
