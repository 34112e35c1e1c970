"""How old a revision of the object API is at least, told without comparing clocks.

One object holds marks: a revision and the time that has certainly passed since the object API
had it.  Whoever replaces the object adds the time, on the own clock, since it learnt of the
version that it replaces.  Compare-and-swap lets nobody count an interval a second time, so
ages are lower bounds, whoever counted; time that nobody counted is left out.

See also: :mod:`martenrun.claims.retention`, ``docs/design/claims.md``.
"""

import msgspec

MARKS_PER_RETENTION = 64
"""Marks kept within the retention time; a claim lives up to 1/64 longer."""


class AgeMark(msgspec.Struct, frozen=True):
    """Objects of this version or an older one have been unchanged for ``age_s`` or longer."""

    revision: int
    age_s: float


class AgeMarks(msgspec.Struct, frozen=True):
    """Content of the object, the oldest mark first."""

    marks: tuple[AgeMark, ...] = ()


def advanced(ages: AgeMarks, version: int, elapsed_s: float, retention_s: float) -> AgeMarks:
    """Return the marks after some time, with a new one if the youngest is far back.

    Args:
        version: version of the object that held ``ages``; 0 if there was none.
        elapsed_s: time since that version was known to exist, on one clock.
        retention_s: age from which on a mark serves its purpose.
    """
    marks = [AgeMark(mark.revision, mark.age_s + elapsed_s) for mark in ages.marks]
    is_far = not marks or marks[-1].age_s >= retention_s / MARKS_PER_RETENTION
    if version > 0 and is_far:
        marks.append(AgeMark(version, elapsed_s))
    old = [mark for mark in marks if mark.age_s >= retention_s]
    # The youngest of the old ones covers the others.
    return AgeMarks((*old[-1:], *(mark for mark in marks if mark.age_s < retention_s)))


def old_revision(ages: AgeMarks, retention_s: float) -> int:
    """Return the newest revision that is certainly as old as that, 0 if there is none."""
    return max((mark.revision for mark in ages.marks if mark.age_s >= retention_s), default=0)
