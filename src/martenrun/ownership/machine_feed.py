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
from collections.abc import Iterable, Sequence

from martenrun.backends.machine_list import Machine, shared_machine
from martenrun.events import Event, Instruction, MachinesListed, PeerMessage, Send, Tell, Tick
from martenrun.identity.hashing import name_hash, name_hashes, top_columns
from martenrun.membership.view import Member, MemberView
from martenrun.ownership.packed_machines import PackedListError, packed, unpacked
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
        # Only the list is kept, which others keep too: a dictionary is made when it changes.
        self._known: list[Machine] = []
        self._digest = 0
        self._packed = b""
        self._taken: list[Machine] = []
        self._taken_digest = 0
        self._sequence = 0
        self._log: collections.deque[tuple[int, MachineEntry]] = collections.deque(
            maxlen=LOG_CHANGES
        )
        self._states: dict[int, int] = {0: 0}
        self._unanswered = 0
        self._pulls_since_answer = 0
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
        return self.is_reader() or self._pulls_since_answer >= CUT_OFF_PULLS

    def is_reader(self) -> bool:
        """Return whether this node is one of the readers."""
        return self._members.own.address in self.readers()

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case MachinesListed(machines) if machines is not self._known:
                self._note(machines)
            case PeerMessage(peer, MachinesQuery() as query):
                return [Send(peer, self._changes(query))]
            case PeerMessage(_, MachinesUpdate() as update):
                if self._unanswered:
                    interval_s = PULL_INTERVAL_S if update.digest else FIRST_PULL_INTERVAL_S
                    self._next_pull = now + self._jittered(interval_s)
                return self._take(update)
            case Tick() if now >= self._next_pull:
                pulls = self._pull()
                # A node that has just started asks as soon as it has met somebody to ask.
                if pulls or self._known:
                    self._next_pull = now + self._jittered(ANSWER_TIMEOUT_S)
                return pulls
        return []

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.9, 1.1)

    def _note(self, machines: list[Machine]) -> None:
        """Log what differs from the list known before, and name the new state."""
        if not self._known:
            # Whoever knows nothing is sent the whole list: it needs no log.
            self._log.clear()
            self._sequence += 1
            is_taken = machines is self._taken
            digest = self._taken_digest if is_taken else _digest(_by_name(machines).values())
        else:
            digest = self._digest ^ self._log_differences(_by_name(machines))
        self._taken = []
        self._known = machines
        if digest != self._digest:
            self._name_state(digest)

    def _log_differences(self, listed: dict[str, Machine]) -> int:
        """Log what a list changes; return by what the digest differs."""
        difference = 0
        known = _by_name(self._known)
        for name in known.keys() - listed.keys():
            difference ^= _fingerprint(known[name])
            self._append(known[name], REMOVED)
        for name, machine in listed.items():
            before = known.get(name)
            if before is not machine and before != machine:
                difference ^= _fingerprint(machine)
                difference ^= 0 if before is None else _fingerprint(before)
                self._append(machine, machine.state)
        return difference

    def _name_state(self, digest: int) -> None:
        self._digest = digest
        self._packed = b""
        self._states.pop(self._digest, None)
        self._states[self._digest] = self._sequence
        if len(self._states) > LOG_CHANGES:
            del self._states[next(iter(self._states))]

    def _append(self, machine: Machine, state: str) -> None:
        self._sequence += 1
        self._log.append((self._sequence, _entry(machine, state)))

    def _changes(self, query: MachinesQuery) -> MachinesUpdate:
        if query.known_digest == self._digest:
            return MachinesUpdate(self._digest)
        since = self._states.get(query.known_digest)
        if since is None or since < self._sequence - len(self._log):
            return self._whole(query.takes_packed)
        changes = {entry.name: entry for sequence, entry in self._log if sequence > since}
        return MachinesUpdate(self._digest, False, list(changes.values()))

    def _whole(self, takes_packed: bool) -> MachinesUpdate:
        if not takes_packed:
            entries = [_entry(machine, machine.state) for machine in self._known]
            return MachinesUpdate(self._digest, True, entries)
        if not self._packed:
            self._packed = packed(self._known)
        return MachinesUpdate(self._digest, True, [], self._packed)

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
        self._pulls_since_answer += 1
        reader = readers[(self._turn + name_hash(own.encode())) % len(readers)]
        is_lost = self._mismatches >= MISMATCHES
        query = MachinesQuery(ASK_FOR_ALL if is_lost else self._digest, True)
        # A cut may have left one of them: its answer must not wait for the others' silence.
        return [Send(asked, query) for asked in (readers if is_silent else [reader])]

    def _take(self, update: MachinesUpdate) -> list[Instruction]:
        self._unanswered = self._pulls_since_answer = 0
        if update.digest in (0, self._digest):
            # A reader that has not seen the list yet knows nothing better.
            return []
        try:
            machines, digest = self._whole_of(update) if update.complete else self._with(update)
        except PackedListError:
            self._mismatches = MISMATCHES
            return []
        if digest != update.digest:
            self._mismatches += 1
            return []
        self._mismatches = 0
        self._taken, self._taken_digest = list(machines.values()), digest
        return [Tell(MachinesListed(self._taken))]

    def _whole_of(self, update: MachinesUpdate) -> tuple[dict[str, Machine], int]:
        """Return the machines of a whole list and its digest; raises PackedListError."""
        listed = unpacked(update.packed) if update.packed else map(_machine, update.machines)
        known = _by_name(self._known)
        machines = {each.name: shared_machine(each, known.get(each.name)) for each in listed}
        return machines, _digest(machines.values())

    def _with(self, update: MachinesUpdate) -> tuple[dict[str, Machine], int]:
        """Return the known machines after some changes, and their digest."""
        machines, digest = _by_name(self._known), self._digest
        for entry in update.machines:
            before = machines.pop(entry.name, None)
            digest ^= 0 if before is None else _fingerprint(before)
            if entry.state != REMOVED:
                machine = shared_machine(_machine(entry), before)
                machines[machine.name] = machine
                digest ^= _fingerprint(machine)
        return machines, digest


def _by_name(machines: Iterable[Machine]) -> dict[str, Machine]:
    return {machine.name: machine for machine in machines}


def _digest(machines: Iterable[Machine]) -> int:
    """Return the digest of a list, whatever its order."""
    digest = 0
    for machine in machines:
        digest ^= _fingerprint(machine)
    return digest


def _fingerprint(machine: Machine) -> int:
    fields = (machine.name, machine.role, machine.address, machine.zone, machine.pool)
    return name_hash("\0".join((*fields, machine.state)).encode()) & _DIGEST_MASK


def _entry(machine: Machine, state: str) -> MachineEntry:
    return MachineEntry(
        machine.name, machine.role, machine.address, machine.zone, machine.pool, state
    )


def _machine(entry: MachineEntry) -> Machine:
    return Machine(entry.name, entry.role, entry.address, entry.zone, entry.pool, entry.state)
