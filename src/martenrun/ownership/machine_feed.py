"""Few nodes read the machine list; the others ask those for changes.

A reader that has just started asks the other readers until it knows a list, because the
platform may not answer it.

The readers are the members of highest rendezvous weight for a fixed key, so every node knows
them without agreement.  A state of the list is named by a digest of its content.  A node pulls
what changed since the digest it knows, from one reader, and from all of them when that is
silent; because digests do not depend on the reader, the next one usually knows
the state and need not send the whole list.

See also: :class:`martenrun.events.MachinesListed`.
"""

import collections
import random
from collections.abc import Sequence

from martenrun.events import Event, Instruction, MachinesListed, PeerMessage, Send, Tell, Tick
from martenrun.identity.hashing import name_hash, name_hashes, top_columns
from martenrun.membership.view import Member, MemberView
from martenrun.platform.machine_list import Machine
from martenrun.wire.messages import MachineEntry, MachinesQuery, MachinesUpdate

READERS = 3
"""Nodes that poll the machine list."""

PULL_INTERVAL_S = 0.75
"""Time from a reader's answer to the next question, in seconds; jittered by a tenth."""

FIRST_PULL_INTERVAL_S = 0.25
"""The same while no list is known: readers that start know none either."""

ANSWER_TIMEOUT_S = 0.375
"""Time after which a question counts as unanswered, in seconds; jittered alike."""

CUT_OFF_PULLS = 24
"""Unanswered pulls in a row after which a node reads the list itself."""

MISMATCHES = 2
"""Updates that lead to another digest than they say, after which the whole list is asked for."""

LOG_CHANGES = 2_000
"""Changes remembered; more than the loss of a zone makes."""

REMOVED = "removed"
"""State of a machine that is no longer listed."""

ASK_FOR_ALL = -1
"""Digest that no list has."""

_READER_KEY = name_hash(b"machine-list-readers")
_DIGEST_MASK = (1 << 63) - 1


class MachineFeed:
    """Reads or pulls the machine list, and gives it to the process as MachinesListed."""

    handles = frozenset({Tick, MachinesListed, MachinesQuery, MachinesUpdate})

    def __init__(self, members: MemberView, rng: random.Random) -> None:
        self._members = members
        self._rng = rng
        self._last_listed: list[Machine] | None = None
        self._known: dict[str, Machine] = {}
        self._digest = 0
        self._sequence = 0
        self._log: collections.deque[tuple[int, MachineEntry]] = collections.deque(
            maxlen=LOG_CHANGES
        )
        self._states: dict[int, int] = {0: 0}
        self._unanswered = 0
        self._unheard = 0
        self._mismatches = 0
        self._turn = 0
        self._next_pull = 0.0
        self._readers_of: Sequence[Member] = ()
        self._readers: list[str] = []

    def readers(self) -> list[str]:
        """Return the addresses of the nodes that read the list."""
        members = self._members.live()
        if members is not self._readers_of:
            live = sorted(member.address for member in members)
            best = top_columns(_READER_KEY, name_hashes(live), READERS)
            self._readers_of = members
            self._readers = [live[index] for index in best]
        return self._readers

    def must_poll(self) -> bool:
        """Return whether to poll the list: as a reader, or because no reader has answered."""
        return self.is_reader() or self._unheard >= CUT_OFF_PULLS

    def is_reader(self) -> bool:
        """Return whether this node is one of the readers."""
        return self._members.own.address in self.readers()

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case MachinesListed(machines) if machines is not self._last_listed:
                self._last_listed = machines
                self._note(machines)
            case PeerMessage(peer, MachinesQuery(known_digest)):
                return [Send(peer, self._changes(known_digest))]
            case PeerMessage(_, MachinesUpdate() as update):
                if self._unanswered:
                    interval_s = PULL_INTERVAL_S if update.digest else FIRST_PULL_INTERVAL_S
                    self._next_pull = now + self._jittered(interval_s)
                return self._take(update)
            case Tick() if now >= self._next_pull:
                self._next_pull = now + self._jittered(ANSWER_TIMEOUT_S)
                return self._pull()
        return []

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.9, 1.1)

    def _note(self, machines: list[Machine]) -> None:
        """Log what differs from the list known before, and name the new state."""
        listed = {machine.name: machine for machine in machines}
        for name in self._known.keys() - listed.keys():
            self._append(self._known[name], REMOVED)
        for machine in listed.values():
            if self._known.get(machine.name) != machine:
                self._append(machine, machine.state)
        if self._known != listed:
            self._known = listed
            self._digest = _digest(listed)
            self._states.pop(self._digest, None)
            self._states[self._digest] = self._sequence
            if len(self._states) > LOG_CHANGES:
                del self._states[next(iter(self._states))]

    def _append(self, machine: Machine, state: str) -> None:
        self._sequence += 1
        self._log.append((self._sequence, _entry(machine, state)))

    def _changes(self, known_digest: int) -> MachinesUpdate:
        if known_digest == self._digest:
            return MachinesUpdate(self._digest)
        since = self._states.get(known_digest)
        if since is None or since < self._sequence - len(self._log):
            entries = [_entry(machine, machine.state) for machine in self._known.values()]
            return MachinesUpdate(self._digest, True, entries)
        changes = {entry.name: entry for sequence, entry in self._log if sequence > since}
        return MachinesUpdate(self._digest, False, list(changes.values()))

    def _pull(self) -> list[Instruction]:
        readers = self.readers()
        own = self._members.own.address
        if own in readers and self._known:
            return []
        readers = [reader for reader in readers if reader != own]
        if not readers:
            return []
        is_silent = self._unanswered > 0
        if is_silent:
            self._turn += 1
        self._unanswered += 1
        self._unheard += 1
        reader = readers[(self._turn + name_hash(own.encode())) % len(readers)]
        is_lost = self._mismatches >= MISMATCHES
        query = MachinesQuery(ASK_FOR_ALL if is_lost else self._digest)
        # A cut may have left one of them: its answer must not wait for the others' silence.
        return [Send(asked, query) for asked in (readers if is_silent else [reader])]

    def _take(self, update: MachinesUpdate) -> list[Instruction]:
        self._unanswered = self._unheard = 0
        if update.digest in (0, self._digest):
            # A reader that has not seen the list yet knows nothing better.
            return []
        machines = {} if update.complete else dict(self._known)
        for entry in update.machines:
            if entry.state == REMOVED:
                machines.pop(entry.name, None)
            else:
                machines[entry.name] = _machine(entry)
        if _digest(machines) != update.digest:
            self._mismatches += 1
            return []
        self._mismatches = 0
        return [Tell(MachinesListed(list(machines.values())))]


def _digest(machines: dict[str, Machine]) -> int:
    """Return the digest of a list, whatever its order."""
    digest = 0
    for machine in machines.values():
        fields = (machine.name, machine.role, machine.address, machine.zone, machine.pool)
        digest ^= name_hash("\0".join((*fields, machine.state)).encode())
    return digest & _DIGEST_MASK


def _entry(machine: Machine, state: str) -> MachineEntry:
    return MachineEntry(
        machine.name, machine.role, machine.address, machine.zone, machine.pool, state
    )


def _machine(entry: MachineEntry) -> Machine:
    return Machine(entry.name, entry.role, entry.address, entry.zone, entry.pool, entry.state)
