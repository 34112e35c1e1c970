"""Noticing that a process was paused, and how long its machine list may be out of date then.

A pause shows as a gap between two events: a process that is merely busy handles events all the
time, and its clock ticks many times a second.

See also: :mod:`martenrun.ownership.owner`, :mod:`martenrun.agent.requests`.
"""

from martenrun.events import Event, MachinesListed, PeerMessage
from martenrun.wire.messages import MachinesUpdate

STALL_S = 1.0
"""Gap between two events that counts as a pause of the process, in seconds."""

WAITED_S = 0.1
"""News handled so soon after a pause may have waited meanwhile, in seconds."""

HOLD_LIMIT_S = 3.0
"""Longest time without grants after a pause if no machine list arrives, in seconds."""


class StallDetector:
    """Tells whether the process was paused before the present event."""

    def __init__(self) -> None:
        self._last_event_at: float | None = None

    def is_stalled(self, now: float) -> bool:
        """Note an event at ``now``, on the loop's clock; returns whether a pause ended with it."""
        last, self._last_event_at = self._last_event_at, now
        return last is not None and now - last > STALL_S


class MachineListAge:
    """Whether the machine list is known to be from after the last pause of the process."""

    def __init__(self) -> None:
        self._stall = StallDetector()
        self._news_from = 0.0
        self._trusted_at = 0.0

    def note(self, event: Event, now: float) -> None:
        """Take in any event, before it is handled."""
        if self._stall.is_stalled(now):
            self._news_from = now + WAITED_S
            self._trusted_at = now + HOLD_LIMIT_S
        elif now < self._news_from:
            return
        elif isinstance(event, MachinesListed):
            self._trusted_at = min(self._trusted_at, now)
        elif isinstance(event, PeerMessage) and isinstance(event.message, MachinesUpdate):
            # What it changes comes over the loop as MachinesListed.
            self._trusted_at = min(self._trusted_at, now + WAITED_S)

    def is_trusted(self, now: float) -> bool:
        """Whether grants may rely on the list; at the latest some seconds after a pause."""
        return now >= self._trusted_at
