"""The configuration in force, between nodes and agents.

See also: :mod:`martenrun.configuration.replica`, :mod:`martenrun.node.status`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ConfigurationQuery:
    """Send me what is newer than ``known_revision``; also tells what the sender has in force.

    ``page_after`` asks for the page after that revision of an update that continues.
    ``nodes_digest`` stands for the live nodes that an agent knows; another digest is answered
    with the nodes, zero with none.
    """

    known_revision: int = 0
    page_after: int = 0
    nodes_digest: int = 0


@dataclass(slots=True)
class ConfigurationObject:
    """One configuration object or its removal; ``document`` is JSON."""

    kind: str = ""
    name: str = ""
    revision: int = 0
    deleted: bool = False
    document: bytes = b""


@dataclass(slots=True)
class ConfigurationUpdate:
    """Changes after ``from_revision`` up to ``to_revision``, by rising revision.

    ``complete`` marks a full copy: objects it does not list do not exist.  ``nodes`` are the
    addresses of live nodes.  ``continues`` marks a page that another one follows.
    """

    from_revision: int = 0
    to_revision: int = 0
    objects: list[ConfigurationObject] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    complete: bool = False
    continues: bool = False
    page_after: int = 0


@dataclass(slots=True)
class StatusQuery:
    """Node to node: which configuration is in force with you?"""

    query_id: str = ""


@dataclass(slots=True)
class AgentRevision:
    """The revision that an agent had in force when it was heard last."""

    agent: str = ""
    revision: int = 0


@dataclass(slots=True)
class NodeStatus:
    """Node to node: what is in force here, and with the agents heard lately.

    ``watcher_lease`` names the lease held, or is empty; ``faults`` names objects whose newest
    document does not fit its schema.
    """

    query_id: str = ""
    revision: int = 0
    watcher_lease: str = ""
    faults: list[str] = field(default_factory=list)
    agents: list[AgentRevision] = field(default_factory=list)
