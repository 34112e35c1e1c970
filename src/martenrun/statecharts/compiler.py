"""Compiling a state chart file into a transition table.

A chart file names its initial state, its final states and one ``[[transition]]`` table for
each (state, event) pair; its ``[ignored]`` table lists, for each state, the events that have none
there.  Compiling checks that every state can be reached, that nothing leaves a final state, and
that no event is left unhandled: each has a transition in every other state, or is ignored there.
"""

import tomllib
from dataclasses import dataclass
from importlib import resources

import msgspec


class ChartError(ValueError):
    """A chart file that contradicts itself."""


class TransitionRow(msgspec.Struct, forbid_unknown_fields=True):
    """One ``[[transition]]`` of a chart file."""

    state: str
    event: str
    next: str
    actions: list[str] = msgspec.field(default_factory=list)


class ChartFile(msgspec.Struct, forbid_unknown_fields=True):
    """Content of a chart file."""

    initial: str
    final: list[str]
    transition: list[TransitionRow]
    ignored: dict[str, list[str]] = msgspec.field(default_factory=dict)


@dataclass(frozen=True)
class Transition:
    """Where an event leads and which actions it causes, in order."""

    next_state: str
    actions: tuple[str, ...]


@dataclass(frozen=True)
class Chart:
    """A compiled chart: one dictionary look-up per event."""

    name: str
    initial: str
    final: frozenset[str]
    table: dict[tuple[str, str], Transition]

    def step(self, state: str, event: str) -> Transition | None:
        """Return the transition of an event, or None if the state does not expect it."""
        return self.table.get((state, event))

    @property
    def actions(self) -> frozenset[str]:
        """Every action the chart names."""
        return frozenset(name for entry in self.table.values() for name in entry.actions)


def load_chart(name: str) -> Chart:
    """Compile the chart file ``NAME.toml`` of this package; raises ChartError."""
    text = resources.files(__package__).joinpath(f"{name}.toml").read_text(encoding="utf-8")
    return compile_chart(name, text)


def compile_chart(name: str, text: str) -> Chart:
    """Compile a chart from its text; raises ChartError."""
    source = msgspec.convert(tomllib.loads(text), type=ChartFile)
    table: dict[tuple[str, str], Transition] = {}
    for row in source.transition:
        if (row.state, row.event) in table:
            raise ChartError(f"{name}: {row.state}/{row.event} stands twice")
        if row.state in source.final:
            raise ChartError(f"{name}: final state {row.state} has a transition")
        table[(row.state, row.event)] = Transition(row.next, tuple(row.actions))
    _check_reachable(name, source)
    _check_handled(name, source)
    return Chart(name, source.initial, frozenset(source.final), table)


def _check_reachable(name: str, source: ChartFile) -> None:
    reached = {source.initial}
    while True:
        found = {row.next for row in source.transition if row.state in reached}
        if found <= reached:
            break
        reached |= found
    named = {row.state for row in source.transition} | set(source.final)
    if named - reached:
        raise ChartError(f"{name}: unreachable states {sorted(named - reached)}")
    leaving = {row.state for row in source.transition} | set(source.final)
    if reached - leaving:
        raise ChartError(f"{name}: states without a way out {sorted(reached - leaving)}")


def _check_handled(name: str, source: ChartFile) -> None:
    handled = {(row.state, row.event) for row in source.transition}
    states, events = ({pair[index] for pair in handled} for index in (0, 1))
    ignored = {(state, event) for state, found in source.ignored.items() for event in found}
    pairs = {(state, event) for state in states for event in events}
    if unhandled := pairs - handled - ignored:
        raise ChartError(f"{name}: unhandled events {sorted(unhandled)}")
    if needless := (ignored & handled) | (ignored - pairs):
        raise ChartError(f"{name}: ignored events that are handled or unknown {sorted(needless)}")
