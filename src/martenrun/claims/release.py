"""Recording how the request that holds a claim ended.

An agent that has given a keyed request its final answer reports it once.  From then on it
uses no grant for that request, so a claim whose request did not run may be released.  The
record is best effort: a claim that stays held refuses its key with ``ran: unknown``, which
is inconvenient but never wrong.

See also: :mod:`martenrun.claims.logic`.
"""

from collections.abc import Callable
from dataclasses import dataclass

from martenrun.claims.record import (
    ClaimRecord,
    ClaimState,
    claim_name,
    decode_claim,
    encode_claim,
)
from martenrun.constants import CLAIM_KIND
from martenrun.events import Instruction, StoreAnswered, StoreOutcome, StoreRead, StoreWrite
from martenrun.wire.messages import ClaimReport

MAXIMUM_TRIES = 5
"""Times an end is tried to be recorded before it is left."""

PAUSE_S = 0.5
"""First pause after a call whose outcome is unknown, in seconds; it doubles."""

MAXIMUM_ENDS = 1_024
"""Ends waiting to be recorded; further ones are left."""


@dataclass(slots=True, eq=False)
class ClaimEnd:
    """A reported end that is not recorded yet."""

    name: str
    holder: str
    state: ClaimState
    tries: int = 0
    resume_at: float | None = None
    pause_s: float = PAUSE_S


class ClaimEnds:
    """Ends of claims on their way to the object API.

    Args:
        start_call: registers a call of an end and returns its id.
    """

    def __init__(self, start_call: Callable[[ClaimEnd], str]) -> None:
        self._start_call = start_call
        self._waiting: dict[str, ClaimEnd] = {}
        self._paused: list[ClaimEnd] = []

    def reported(self, report: ClaimReport, calls_outstanding: int) -> list[Instruction]:
        """Take in an agent's report; claiming calls of the same request come first."""
        try:
            state = ClaimState(report.state)
        except ValueError:
            return []
        if len(self._waiting) + len(self._paused) >= MAXIMUM_ENDS:
            return []
        name = claim_name(report.tenant, report.idempotency_key)
        end = ClaimEnd(name, report.request_id, state)
        if calls_outstanding:
            self._waiting[end.holder] = end
            return []
        return self._read(end)

    def calls_settled(self, holder: str, calls_outstanding: int) -> list[Instruction]:
        """A claiming call has been answered; an end that waited for the last one goes on."""
        if calls_outstanding or holder not in self._waiting:
            return []
        return self._read(self._waiting.pop(holder))

    def answered(self, end: ClaimEnd, event: StoreAnswered) -> list[Instruction]:
        """Take in the object API's answer to a call of an end."""
        if event.outcome is StoreOutcome.DONE and event.found is not None:
            return self._replace(end, decode_claim(event.found.document), event.version)
        if event.outcome is StoreOutcome.CONFLICT:
            return self._read(end)
        if event.outcome is StoreOutcome.UNKNOWN and end.tries < MAXIMUM_TRIES:
            self._paused.append(end)
        return []

    def resume(self, now: float) -> list[Instruction]:
        """Try paused ends again."""
        instructions: list[Instruction] = []
        paused, self._paused = self._paused, []
        for end in paused:
            if end.resume_at is None:
                end.resume_at = now + end.pause_s
                end.pause_s *= 2
            if now < end.resume_at:
                self._paused.append(end)
                continue
            end.resume_at = None
            instructions += self._read(end)
        return instructions

    def _read(self, end: ClaimEnd) -> list[Instruction]:
        end.tries += 1
        if end.tries > MAXIMUM_TRIES:
            return []
        return [StoreRead(self._start_call(end), CLAIM_KIND, end.name)]

    def _replace(self, end: ClaimEnd, record: ClaimRecord, version: int) -> list[Instruction]:
        if record != ClaimRecord(end.holder, ClaimState.HELD):
            return []
        document = encode_claim(ClaimRecord(end.holder, end.state))
        return [StoreWrite(self._start_call(end), CLAIM_KIND, end.name, version, document)]
