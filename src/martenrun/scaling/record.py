"""The latest decision, in one object of the object API that is replaced by compare-and-swap.

A decision is recorded before its assignment is written, so two nodes that decide at the same
time cannot both act: one of them finds the other's record.  Whoever records the next decision
first makes sure that the one before has been carried out or never will be.

See also: :mod:`martenrun.scaling.decider`.
"""

import msgspec

from martenrun.configuration.objects import Assignment, AssignmentOrigin

RECORD_KIND = "scaling"
"""Kind of the record in the object API; nodes keep no copy of it."""

RECORD_NAME = "decision"
"""Name of the record in the object API."""

AS_LISTED = Assignment(made_by=AssignmentOrigin.SCALING, arrived=True)
"""An assignment that changes nothing for a runner that had none."""


class Decision(msgspec.Struct, frozen=True):
    """One decision.

    Attributes:
        change: identity of the decision, never used again.
        expected: version of the runner's assignment that it replaces, 0 for none.
        before, after: that assignment, and the one that replaces it.
    """

    change: str
    runner: str
    expected: int
    before: Assignment
    after: Assignment
