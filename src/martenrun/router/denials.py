"""Rechecks requests that would be denied, against recent state, before it denies them."""

from collections.abc import Callable

from martenrun.net.exchange import Exchange
from martenrun.net.http import HttpResponse
from martenrun.net.periodic import call_safely, record_failure
from martenrun.router.admission import Admission, Refusal, send_refusal
from martenrun.router.messages import AdmittedRequest, Call, Dataset, StoredObject
from martenrun.router.request_services import RequestServices
from martenrun.router.store.client import StoreClient
from martenrun.router.store.feed import StoreStateFeed
from martenrun.router.store.state import decode_or_log

MAX_DENIAL_AGE_S = 2.6
"""Age above which the configuration must be reread before a request is denied, in seconds."""

DENIAL_WAIT_S = 0.06
"""How long a denial waits for updates that may be in transit, in seconds."""

CONFIRM_TIMEOUT_S = 0.8
"""Timeout for the complete reread of the configuration, in seconds."""


class DenialRecheck:
    """Decides requests again that would be denied.

    Only requests that arrive before a read has failed wait for one.  While the store does not
    respond, others are refused at once, and reads continue in the background.

    Args:
        forward: forwards a request that is admitted after all.
    """

    def __init__(
        self,
        world: RequestServices,
        admission: Admission,
        store: StoreClient,
        feed: StoreStateFeed,
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

    def recheck(self, exchange: Exchange, call: Call) -> None:
        """Decide a request again shortly, after a new read if the configuration is old."""
        self._world.loop.call_later(DENIAL_WAIT_S, lambda: self._decide_or_read(exchange, call))

    def _decide_or_read(self, exchange: Exchange, call: Call) -> None:
        if exchange.is_over:
            return
        if self._world.configuration.age_s(self._world.loop.now()) <= MAX_DENIAL_AGE_S:
            self._decide(exchange, call)
        elif self._has_failed_since_confirmed():
            send_refusal(exchange, Refusal(503, "not_confirmed"), call)
            self._read()
        else:
            self._waiting.append((exchange, call))
            self._read()

    def _has_failed_since_confirmed(self) -> bool:
        """Return whether the last read failed and nothing has confirmed the configuration since."""
        confirmed_at = self._world.configuration.confirmed_at
        if self._failed_at is None:
            return False
        return confirmed_at is None or confirmed_at < self._failed_at

    def _read(self) -> None:
        """Read the configuration, unless a read is pending: one serves all waiting requests."""
        if self._is_reading:
            return
        self._is_reading = True
        sent_at = self._world.loop.now()
        self._store.call(
            self._world.adapter.read_object(Dataset.CONFIGURATION, "main"),
            CONFIRM_TIMEOUT_S,
            lambda response: self._on_read(response, sent_at),
            max_response_s=CONFIRM_TIMEOUT_S,
        )

    def _on_read(self, response: HttpResponse | None, sent_at: float) -> None:
        self._is_reading = False
        is_confirmed = False
        try:
            is_confirmed = self._is_confirmed(response, sent_at)
        except Exception as exc:
            # Requests wait for the end of this read.
            record_failure("confirm_configuration", exc)
        self._failed_at = None if is_confirmed else self._world.loop.now()
        waiting, self._waiting = self._waiting, []
        for exchange, call in waiting:
            if exchange.is_over:
                continue
            if is_confirmed:
                call_safely("decide_again", self._decide, exchange, call)
            else:
                send_refusal(exchange, Refusal(503, "not_confirmed"), call)

    def _is_confirmed(self, response: HttpResponse | None, sent_at: float) -> bool:
        """Apply a read configuration; return whether it is the one in force on this router."""
        if response is None or response.status != 200:
            return False
        stored = self._decode(response.body)
        if stored is None:
            return False
        self._feed.put_configuration(stored)
        return self._feed.is_in_force(stored) and self._world.configuration.confirm(sent_at)

    def _decode(self, body: bytes) -> StoredObject | None:
        read_stored = self._world.adapter.read_stored
        return decode_or_log(body, lambda data: read_stored(data, self._store.era))

    def _decide(self, exchange: Exchange, call: Call) -> None:
        decision = self._admission.admit(exchange, call)
        if isinstance(decision, AdmittedRequest):
            self._forward(exchange, decision)
        else:
            send_refusal(exchange, decision, call)
