"""Bodies, paths and headers of the administration API, for nodes and for their clients.

They import little, so that an operator's command starts quickly.
"""

import msgspec

from martenrun.sharing.policy_status import PolicyStatus

ADMIN_PREFIX = "/admin/v1/"

NEXT_AFTER_HEADER = "X-Next-After"
"""Header of a page that is not the last: the name after which the next one begins."""

MAXIMUM_PAGE_OBJECTS = 1_000
"""Most objects read for one page."""


class NamedObject(msgspec.Struct):
    """One object as the administration API shows it."""

    kind: str
    name: str
    version: int
    document: msgspec.Raw


class Accepted(msgspec.Struct):
    """Answer to a change that is committed; in force everywhere within seconds."""

    version: int


class Checked(msgspec.Struct):
    """Answer to a dry run that nothing speaks against; nothing was changed.

    Attributes:
        replaces: version that the change would replace, 0 if it would create the object.
    """

    replaces: int
    dry_run: bool = True


class InForce(msgspec.Struct):
    """A node or agent and the revision it has in force."""

    name: str
    revision: int


class Watcher(msgspec.Struct):
    """A node that reads the object API for the others, and its lease."""

    node: str
    lease: str


class Move(msgspec.Struct):
    """A runner on its way to another pool; without ``pool``, back to the machine list's."""

    runner: str
    pool: str | None
    left_pool: str | None
    made_by: str
    reason: str


class Status(msgspec.Struct):
    """What an operator sees of the configuration.

    Attributes:
        node: the node that answered.
        revision: in force on that node.
        newest_revision, slowest_revision: over all nodes and agents that answered.
        nodes, agents: slowest first.
        silent_nodes: members that did not answer in time.
        faults: objects whose newest document is not in force because it is faulty.
        drains: runners and nodes that operators drain.
        moves: assigned runners that do not serve their new pool yet.
        policies: sharing policies of the pools whose runners the answering node owns.
    """

    node: str
    revision: int
    newest_revision: int
    slowest_revision: int
    nodes: list[InForce]
    agents: list[InForce]
    silent_nodes: list[str]
    watchers: list[Watcher]
    faults: list[str]
    drains: list[str]
    policies: list[PolicyStatus] = []
    moves: list[Move] = []
