"""Rate limits that runners advertise in their answers.  No I/O; callers pass in the time."""

from collections.abc import Callable, Container

import attrs

from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import AdvertisedLimit

UNLISTED_RETENTION_S = 60.0
"""How long the limit of an unlisted runner is kept after its last confirmation, in seconds.

Entries of live runners expire while the store is unavailable.
"""


@attrs.define
class RunnerLimit:
    """The limit that a runner instance advertised last.

    Attributes:
        requests_per_s: rate that the instance accepts from all routers together.
        advertised_at: monotonic time of the first answer with this rate, in seconds.
        confirmed_at: monotonic time of the latest answer with this rate, in seconds.
    """

    requests_per_s: float
    advertised_at: float
    confirmed_at: float


class RunnerLimits:
    """Limits by runner instance, as advertised in the answers to this router.

    Args:
        count: counts a change or an invalid value, by outcome.
    """

    def __init__(self, count: Callable[[str], None] = lambda _outcome: None) -> None:
        self._count = count
        self._limits: dict[str, RunnerLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def limit(self, instance: str) -> RunnerLimit | None:
        """Return the limit of a runner instance, or None if none is known."""
        return self._limits.get(instance)

    def note_advertised(self, instance: str, advertised: AdvertisedLimit, now: float) -> None:
        """Record the limit that an answer advertises; an invalid one changes nothing."""
        if advertised.requests_per_s is None:
            self._count("unreadable")
            log_trouble("runner_limit_unreadable", instance=instance, value=advertised.text)
            return
        known = self._limits.get(instance)
        if known is not None and known.requests_per_s == advertised.requests_per_s:
            known.confirmed_at = now
            return
        self._limits[instance] = RunnerLimit(advertised.requests_per_s, now, now)
        self._count("named")
        log_event(
            "runner_limit_named",
            instance=instance,
            requests_per_s=advertised.requests_per_s,
            before=None if known is None else known.requests_per_s,
        )

    def note_absent(self, instance: str, sent_at: float, now: float) -> None:
        """Record that an answer advertises no limit.

        Args:
            sent_at: monotonic time at which the request was sent, in seconds.  The answer to a
                request sent before the limit was advertised may predate the limit.
        """
        known = self._limits.get(instance)
        if known is not None and sent_at > known.advertised_at:
            self._drop(instance, "no_longer_named", now)

    def forget_unlisted(self, listed: Container[str], now: float) -> None:
        """Remove limits of unlisted runners not confirmed for ``UNLISTED_RETENTION_S``."""
        for instance, limit in list(self._limits.items()):
            if instance not in listed and now - limit.confirmed_at > UNLISTED_RETENTION_S:
                self._drop(instance, "runner_left", now)

    def _drop(self, instance: str, reason: str, now: float) -> None:
        limit = self._limits.pop(instance)
        self._count("ended")
        log_event(
            "runner_limit_ended",
            instance=instance,
            requests_per_s=limit.requests_per_s,
            reason=reason,
            age_s=round(now - limit.advertised_at, 1),
        )
