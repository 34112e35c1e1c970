"""What a caller has received of an engine's stream, so that another engine can go on with it.

Engines resume by two fields of a request: ``resume_from``, the number of output tokens that
exist, and ``resume_text``, their text.  Each event with text is one token in this dialect.

See also: :mod:`martenrun.backends.attempt`.
"""

import msgspec

_DATA = b"data: "


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: msgspec.Raw | None = None


class _Choice(msgspec.Struct):
    index: int = 0
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)


class ResumeFields(msgspec.Struct, frozen=True):
    """Fields that make an engine go on after the output given."""

    resume_from: int
    resume_text: str


class StreamProgress:
    """Events of one request that the caller has, over all attempts.

    Attributes:
        tokens: output tokens passed on.
        has_events: whether anything was passed on.
        can_resume: whether another engine can go on; false for output that is not plain text
            of one choice.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.has_events = False
        self.can_resume = True
        self._texts: list[str] = []
        self._finished = False

    def take(self, event: bytes) -> bool:
        """Count an event; returns False if the caller has it already and must not get it."""
        try:
            chunk = msgspec.json.decode(event.removeprefix(_DATA).strip(), type=_Chunk)
        except msgspec.MsgspecError:
            self.can_resume = False
            return True
        is_finish = any(choice.finish_reason for choice in chunk.choices)
        if is_finish and self._finished:
            return False
        self._finished = self._finished or is_finish
        self.has_events = True
        for choice in chunk.choices:
            self._take_choice(choice)
        return True

    def resume_fields(self) -> ResumeFields | None:
        """Return what a further attempt must carry, or None if the caller has nothing yet."""
        if not self.has_events:
            return None
        return ResumeFields(self.tokens, "".join(self._texts))

    def _take_choice(self, choice: _Choice) -> None:
        delta = choice.delta
        if choice.index != 0 or (delta is not None and delta.tool_calls is not None):
            self.can_resume = False
        text = choice.text or (delta.content if delta is not None else None)
        if text:
            self.tokens += 1
            self._texts.append(text)
