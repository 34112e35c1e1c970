"""What all routers together have given each runner to do.

Loads travel in the routers' records.  Prompts are read in a fraction of the time between two
records, so a router that gives a runner much to read tells all others at once: else two long
prompts meet at one runner, and the streams that run there pause.
"""

from collections.abc import Iterable

from martenrun.router.peer_messages import RouterRecord, RunnerLoad
from martenrun.router.peers import Peers
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_state import RunnerState

TOLD_AT_ONCE_TOKENS = 1_000
"""Change of the tokens to be read at a runner that all other routers are told at once."""


class LoadExchange:
    """Tells other routers of this one's loads, and takes in theirs."""

    def __init__(self, pool: RunnerPool, peers: Peers) -> None:
        self._pool = pool
        self._peers = peers
        self._outdated: set[str] = set()

    def own_loads(self) -> dict[str, RunnerLoad]:
        """Return what this router has given each runner to do."""
        return {
            state.runner.instance: _own_load(state)
            for state in self._pool.all_states()
            if state.in_flight
        }

    def note_reading(self, state: RunnerState) -> None:
        """Take in that this router's tokens to be read at a runner have changed."""
        if abs(state.reading - state.reading_told) < TOLD_AT_ONCE_TOKENS:
            return
        state.reading_told = state.reading
        self._peers.tell_reading(state.runner.instance, _own_load(state))

    def take_records(self) -> None:
        """Take in the loads of all live routers."""
        self._outdated.clear()
        records = self._peers.live()
        for state in self._pool.all_states():
            _add_up(state, records)

    def take_reading(self, instance: str) -> None:
        """Take in that another router's load at one runner has changed.

        Sums are made anew by :meth:`refresh`: among many routers far more is told than placed.
        """
        self._outdated.add(instance)

    def refresh(self) -> None:
        """Make the sums current; called before a request is placed."""
        if not self._outdated:
            return
        records = self._peers.live()
        for instance in self._outdated:
            state = self._pool.state(instance)
            if state is not None:
                _add_up(state, records)
        self._outdated.clear()


def _own_load(state: RunnerState) -> RunnerLoad:
    return RunnerLoad(state.in_flight, int(state.reading), state.held)


def _add_up(state: RunnerState, records: Iterable[RouterRecord]) -> None:
    """Set what a runner does for other routers to the sum of what these tell."""
    requests = reading = held = 0
    for record in records:
        load = record.loads.get(state.runner.instance)
        if load is not None:
            requests += load.requests
            reading += load.tokens_to_read
            held += load.tokens_held
    state.elsewhere = requests
    state.reading_elsewhere = reading
    state.held_elsewhere = held
