"""Keeping this node's load permits by compare-and-swap of the permits' object.

Pure: calls of the object API go out as instructions and come back as StoreAnswered.  One call
is in progress at a time.  After a conflict or a lost answer the object is read back, and the
identity of each grant tells whether it took effect.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from martenrun.events import Instruction, StoreAnswered, StoreOutcome, StoreRead, StoreWrite
from martenrun.orders import permits
from martenrun.orders.permits import LeaseObserver, Permit, PermitTable, PermitWish, ServingCount

CALL_TIMEOUT_S = 30.0
"""A call of the object API unanswered for so long counts as lost, in seconds."""

FIRST_BACK_OFF_S = 0.5
MAXIMUM_BACK_OFF_S = 10.0

SettledTest = Callable[[Permit], bool]
"""Tells whether a lapsed permit protects nothing any more."""


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit this node holds.

    Attributes:
        token: fencing token for orders.
        valid_until: the holder may give orders until then, on its own clock.
    """

    permit: Permit
    token: int
    valid_until: float


@dataclass(frozen=True, slots=True)
class _Call:
    call_id: str
    sent_at: float
    desired: PermitTable | None = None
    new_permits: tuple[Permit, ...] = ()


class PermitKeeper:
    """Acquires, renews and releases permits for one run of a node.

    Args:
        holder: identity of this run of the node; another run holds nothing of this one.
        rng: for jitter.
        serving: counts a pool's serving runners.
        is_settled: whether a lapsed permit protects nothing any more: its runner has gone or
            has done what was ordered.
        maximum_loads: runners that may load from one store at a time, over all nodes.
    """

    def __init__(
        self,
        holder: str,
        rng: random.Random,
        serving: ServingCount,
        is_settled: SettledTest,
        maximum_loads: int = permits.MAXIMUM_LOADS,
    ) -> None:
        self.held: dict[str, HeldPermit] = {}
        self._holder = holder
        self._rng = rng
        self._serving = serving
        self._is_settled = is_settled
        self._maximum_loads = maximum_loads
        self._wishes: dict[str, PermitWish] = {}
        self._table = PermitTable()
        self._version = 0
        self._is_known = False
        self._observer = LeaseObserver()
        self._call: _Call | None = None
        self._calls = 0
        self._next_call = 0.0
        self._back_off_s = FIRST_BACK_OFF_S
        self._renewed_at = 0.0
        self._sent_at: dict[Permit, float] = {}

    def wish(self, wish: PermitWish) -> None:
        """Want a permit until :meth:`withdraw`; a new ``change`` asks for a new grant."""
        held = self.held.get(wish.runner)
        if held is not None and held.permit.change != wish.change:
            del self.held[wish.runner]
        self._wishes[wish.runner] = wish
        self._is_known = False

    def withdraw(self, runner: str) -> None:
        """Want no permit for a runner any more, and release one that is held."""
        self._wishes.pop(runner, None)
        if self.held.pop(runner, None) is not None:
            self._next_call = 0.0

    def may_order(self, runner: str, now: float) -> HeldPermit | None:
        """Return the permit under which an order may be given now, or None."""
        held = self.held.get(runner)
        return held if held is not None and now < held.valid_until else None

    def keeps_floor(self, runner: str) -> bool:
        """Return whether a wish, granted or not, leaves its pool the floor as things are now."""
        wish = self._wishes.get(runner)
        return wish is None or permits.still_keeps_floor(self._table, wish, self._serving)

    def lapsed_runners(self, now: float) -> set[str]:
        """Return the runners whose permit has lapsed, as far as the last read shows."""
        expired = self._observer.expired(now)
        return {permit.runner for permit in self._table.permits if permit.change in expired}

    def tick(self, now: float) -> list[Instruction]:
        """Start the next call of the object API if one is due."""
        if self._call is not None:
            if now - self._call.sent_at < CALL_TIMEOUT_S:
                return []
            self._call = None
            self._is_known = False
        if now < self._next_call or not self._has_work():
            return []
        if not self._is_known:
            return self._read(now)
        return self._write(now)

    def handle(self, answer: StoreAnswered, now: float) -> list[Instruction]:
        """Take in the answer to a call of this keeper; others are ignored."""
        call = self._call
        if call is None or call.call_id != answer.call_id:
            return []
        self._call = None
        if call.desired is not None:
            return self._written(call, call.desired, answer, now)
        if answer.outcome is StoreOutcome.UNKNOWN:
            self._wait(now)
            return []
        self._take_table(answer)
        self._observer.observe(self._table, now)
        self._match_held()
        return self._write(now)

    def _has_work(self) -> bool:
        return bool(self._wishes or self._own_changes())

    def _own_changes(self) -> set[str]:
        return {permit.change for permit in self._table.permits if permit.holder == self._holder}

    def _wanted_changes(self) -> set[str]:
        return {wish.change for wish in self._wishes.values()}

    def _next_call_id(self) -> str:
        self._calls += 1
        return f"{permits.PERMITS_KIND}/{self._holder}/{self._calls}"

    def _read(self, now: float) -> list[Instruction]:
        self._call = _Call(self._next_call_id(), now)
        return [StoreRead(self._call.call_id, permits.PERMITS_KIND, permits.PERMITS_NAME)]

    def _write(self, now: float) -> list[Instruction]:
        desired = self._desired(now)
        if desired == self._table:
            if len(self.held) < len(self._wishes):
                # A wish must wait for others; look again later.
                self._is_known = False
                self._wait(now)
            return []
        new_permits = self._note_sent(desired, now)
        self._call = _Call(self._next_call_id(), now, desired, new_permits)
        document = msgspec.json.encode(desired)
        return [
            StoreWrite(
                self._call.call_id,
                permits.PERMITS_KIND,
                permits.PERMITS_NAME,
                self._version,
                document,
            )
        ]

    def _desired(self, now: float) -> PermitTable:
        expired = self._observer.expired(now)
        settled = {
            permit.change
            for permit in self._table.permits
            if permit.change in expired and self._is_settled(permit)
        }
        unwanted = self._own_changes() - self._wanted_changes()
        kept_runners = {wish.runner for wish in self._wishes.values()}
        unwanted -= {p.change for p in self._table.permits if p.runner in kept_runners}
        table = permits.without(self._table, settled | unwanted)
        if self._is_renewal_due(now):
            table = permits.renewed(table, self._own_changes())
        for _runner, wish in sorted(self._wishes.items()):
            table = permits.granted(
                table, wish, self._holder, expired, self._serving, self._maximum_loads
            )
        return table

    def _is_renewal_due(self, now: float) -> bool:
        has_lapsed = any(now >= held.valid_until for held in self.held.values())
        return has_lapsed or now - self._renewed_at >= permits.RENEWAL_INTERVAL_S

    def _written(
        self, call: _Call, desired: PermitTable, answer: StoreAnswered, now: float
    ) -> list[Instruction]:
        if answer.outcome is StoreOutcome.DONE:
            self._table = desired
            self._version = answer.version
            self._observer.observe(desired, now)
            self._renewed_at = call.sent_at
            self._back_off_s = FIRST_BACK_OFF_S
            self._match_held()
            return []
        self._is_known = False
        if answer.outcome is StoreOutcome.UNKNOWN:
            self._wait(now)
            return []
        # A conflict is certain: nothing that was new in this write has taken effect.
        for permit in call.new_permits:
            self._sent_at.pop(permit, None)
        self._next_call = now + self._rng.random() * FIRST_BACK_OFF_S
        return []

    def _take_table(self, answer: StoreAnswered) -> None:
        self._is_known = True
        self._version = answer.version
        self._table = PermitTable()
        if answer.found is not None and not answer.found.deleted:
            self._table = msgspec.json.decode(answer.found.document, type=PermitTable)

    def _match_held(self) -> None:
        """Bring ``held`` in line with the table.

        A permit is valid from before the first write that could have put it there was sent.
        """
        held: dict[str, HeldPermit] = {}
        for permit in self._table.permits:
            sent_at = self._sent_at.get(permit)
            if sent_at is None or permit.change not in self._wanted_changes():
                continue
            known = self.held.get(permit.runner)
            token = known.token if known is not None else self._version
            valid_until = sent_at + permits.HOLDER_LEASE_S
            held[permit.runner] = HeldPermit(permit, token, valid_until)
        self.held = held

    def _note_sent(self, desired: PermitTable, now: float) -> tuple[Permit, ...]:
        """Note when own permits were first sent; returns those that were not before."""
        wanted = self._wanted_changes()
        kept = {p: time for p, time in self._sent_at.items() if p.change in wanted}
        new = tuple(p for p in desired.permits if p.change in wanted and p not in kept)
        self._sent_at = kept | dict.fromkeys(new, now)
        return new

    def _wait(self, now: float) -> None:
        longest_s = permits.RENEWAL_INTERVAL_S / 2 if self.held else MAXIMUM_BACK_OFF_S
        pause_s = min(self._back_off_s, longest_s)
        self._next_call = now + pause_s * (0.5 + self._rng.random())
        self._back_off_s = min(2 * self._back_off_s, MAXIMUM_BACK_OFF_S)
