"""Denies a request only by recent knowledge, after news had time to come."""

from collections.abc import Callable

from martenrun.net.http import HttpResponse
from martenrun.net.server import Exchange
from martenrun.router.admission import Admission, Refusal, send_refusal
from martenrun.router.knowledge import decoded
from martenrun.router.knowledge_feed import KnowledgeFeed
from martenrun.router.messages import AdmittedRequest, Call, Dataset
from martenrun.router.request_services import RequestServices
from martenrun.router.store_client import HttpCaller

DENIAL_AGE_S = 2.6
"""Age from which configuration is too old to deny anything by it without a new read."""

DENIAL_WAIT_S = 0.06
"""How long a denial waits for news that may be under way, in seconds."""

CONFIRM_TIMEOUT_S = 0.8
"""How long a denial waits for a new read of the configuration to be whole, in seconds."""


class Denials:
    """Looks again at requests that would be denied.

    Only requests that come before a read has failed wait for one: while the store does not answer,
    others are refused at once, and reads go on behind them.

    Args:
        forward: takes up a request that may be served after all.
    """

    def __init__(
        self,
        world: RequestServices,
        admission: Admission,
        store: HttpCaller,
        feed: KnowledgeFeed,
        forward: Callable[[Exchange, AdmittedRequest], None],
    ) -> None:
        self._world = world
        self._admission = admission
        self._store = store
        self._feed = feed
        self._forward = forward
        self._waiting: list[tuple[Exchange, Call]] = []
        self._is_reading = False
        self._failed_at: float | None = None

    def look_again(self, exchange: Exchange, call: Call) -> None:
        """Decide a request anew in a moment, by a new read where what is known is old."""
        self._world.loop.call_later(DENIAL_WAIT_S, lambda: self._decide_or_read(exchange, call))

    def _decide_or_read(self, exchange: Exchange, call: Call) -> None:
        if exchange.is_over:
            return
        if self._world.configuration.age_s(self._world.loop.now()) <= DENIAL_AGE_S:
            self._decide(exchange, call)
        elif self._has_failed_since_confirmed():
            send_refusal(exchange, Refusal(503, "not_confirmed"), call)
            self._read()
        else:
            self._waiting.append((exchange, call))
            self._read()

    def _has_failed_since_confirmed(self) -> bool:
        """Whether the last read failed, and nothing has confirmed the configuration since."""
        confirmed_at = self._world.configuration.confirmed_at
        if self._failed_at is None:
            return False
        return confirmed_at is None or confirmed_at < self._failed_at

    def _read(self) -> None:
        """Read the configuration, unless a read is under way: one serves all that wait."""
        if self._is_reading:
            return
        self._is_reading = True
        asked_at = self._world.loop.now()
        self._store.call(
            self._world.adapter.read_object(Dataset.CONFIGURATION, "main"),
            CONFIRM_TIMEOUT_S,
            lambda answer: self._on_read(answer, asked_at),
            longest_s=CONFIRM_TIMEOUT_S,
        )

    def _on_read(self, answer: HttpResponse | None, asked_at: float) -> None:
        self._is_reading = False
        is_confirmed = self._is_confirmed(answer, asked_at)
        self._failed_at = None if is_confirmed else self._world.loop.now()
        waiting, self._waiting = self._waiting, []
        for exchange, call in waiting:
            if exchange.is_over:
                continue
            if is_confirmed:
                self._decide(exchange, call)
            else:
                send_refusal(exchange, Refusal(503, "not_confirmed"), call)

    def _is_confirmed(self, answer: HttpResponse | None, asked_at: float) -> bool:
        """Take a read of the configuration in; return whether that is what is in force here."""
        if answer is None or answer.status != 200:
            return False
        stored = decoded(answer.body, self._world.adapter.read_stored)
        if stored is None:
            return False
        self._feed.put_configuration(stored)
        return self._world.configuration.confirm(asked_at)

    def _decide(self, exchange: Exchange, call: Call) -> None:
        decision = self._admission.admit(exchange, call)
        if isinstance(decision, AdmittedRequest):
            self._forward(exchange, decision)
        else:
            send_refusal(exchange, decision, call)
