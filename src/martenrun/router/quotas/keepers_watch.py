"""Whether the other keepers of accounts are still there, by their answers.  Pure."""

SEEN_AGAIN_S = 0.125
"""How often a keeper answers another that passes uses on, in seconds."""

LOST_AFTER_S = 0.5
"""Time without an answer until another keeper may be cut off and grant by itself, in seconds."""


class KeepersWatch:
    """Notes what was passed on to other keepers and when they answered."""

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def note_passed_on(self, keeper: str, now: float) -> None:
        """Something was passed on to a keeper."""
        if now - self._seen_at.get(keeper, -SEEN_AGAIN_S) >= SEEN_AGAIN_S:
            self._unanswered_since.setdefault(keeper, now)

    def note_seen(self, keeper: str, now: float) -> None:
        """A keeper has answered."""
        self._seen_at[keeper] = now
        self._unanswered_since.pop(keeper, None)

    def is_lost(self, keeper: str, now: float) -> bool:
        """Whether a keeper has not answered for long enough to be cut off."""
        since = self._unanswered_since.get(keeper)
        return since is not None and now - since > LOST_AFTER_S

    def answers(self, teller: str, now: float) -> bool:
        """Whether one that passes something on is to be answered now."""
        if now - self._answered_at.get(teller, -SEEN_AGAIN_S) < SEEN_AGAIN_S:
            return False
        self._answered_at[teller] = now
        return True

    def forget_old(self, now: float, after_s: float) -> None:
        """Drop what was noted of routers that have long had nothing to do with accounts here."""
        for times in (self._seen_at, self._unanswered_since, self._answered_at):
            for keeper in [name for name, at in times.items() if now - at > after_s]:
                del times[keeper]
