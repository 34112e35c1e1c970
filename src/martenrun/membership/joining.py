"""Whether a node has joined, and knows enough members to own anything.

A node that has just started knows only itself, and would take every runner for its own.  It
therefore owns nothing until a member has answered it and the members it knows have stopped to
change, each for a bounded time: a node whose seeds do not answer goes on by itself.  A member that
remembers an earlier run of the node has been up for longer and knows the others: that is enough.

See also: :mod:`martenrun.membership.gossip`, :mod:`martenrun.ownership.owners`.
"""

import math

JOIN_WAIT_S = 0.5
"""Time from the start after which a node without any answer goes on alone, in seconds."""

QUIET_S = 0.25
"""Time without a change of members after which a joined node counts them as known, in seconds."""

SETTLE_LIMIT_S = 2.0
"""Time after the join from which it counts them as known whatever changes, in seconds."""


class Joining:
    """The join of one run of a node.

    Args:
        has_seeds: whether there are nodes to join through.
    """

    def __init__(self, has_seeds: bool) -> None:
        self.has_joined = not has_seeds
        self.is_settled = not has_seeds
        self._alone_from = math.inf
        self._settled_from = math.inf

    def answered(self, is_remembered: bool, now: float) -> None:
        """Take in that a member has answered with the members it knows.

        Args:
            is_remembered: whether it knew an earlier run of this node.
            now: the present time.
        """
        if not self.has_joined:
            self.has_joined = True
            self._settled_from = now + SETTLE_LIMIT_S
        if is_remembered:
            self._settled_from = now

    def update(self, members_changed_at: float, now: float) -> None:
        """Look at the time; ``members_changed_at`` is when the known members last changed."""
        if self.is_settled:
            return
        if not self.has_joined:
            self._alone_from = min(self._alone_from, now + JOIN_WAIT_S)
            self.is_settled = now >= self._alone_from
        else:
            is_quiet = now >= members_changed_at + QUIET_S
            self.is_settled = is_quiet or now >= self._settled_from
