"""The figures that decisions depend on: one typed object with unit and origin of each.

It is made once at the start and passed whole; each policy takes its own group.  An operator may
override figures in a file (:func:`load_decisions`); so may a trial, so that what is measured
differs by a value and not by a patch.
"""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from martenrun.errors import SettingsError


def figure(
    default: float, unit: str, origin: str, least: float = 0.0, most: float = math.inf
) -> Any:
    """Return an attribute for a figure.

    Args:
        default: its value unless overridden.
        unit: what it is counted in.
        origin: the reason for it.
        least, most: bounds that an override has to keep.
    """
    return attrs.field(
        default=default,
        converter=type(default),
        validator=[attrs.validators.ge(least), attrs.validators.le(most)],
        metadata={"unit": unit, "origin": origin},
    )


@attrs.frozen
class PlacementFigures:
    """What a runner costs a prompt beside its backlog."""

    fetched_share: float = figure(
        0.35,
        "of a token read",
        "a fetch takes less of a runner than reading, and waits behind others on its link",
        most=1.0,
    )
    other_zone_tokens: float = figure(60, "tokens", "a few milliseconds of reading")
    request_tokens: float = figure(40, "tokens", "each request on a runner shares its steps")
    failure_tokens: float = figure(2_000, "tokens", "a failed try costs about a prompt's reading")
    usable_memory: float = figure(
        0.85, "of a runner's memory", "above it requests are put back", most=1.0
    )
    crowding_factor: float = figure(
        2.0, "tokens for each without room", "reread after being put back"
    )
    old_weights_tokens: float = figure(2_000, "tokens", "answers of old weights are worth less")
    save_again_s: float = figure(
        5.0, "seconds", "stores forget; each saving takes a part of the runner's link"
    )
    other_zone_load: float = figure(0.5, "requests", "where no prompt is read")


@attrs.frozen
class OverloadFigures:
    """When a service is too busy for one more prompt."""

    urgent_share: float = figure(
        1.0,
        "of the route's objective",
        "later than that the first event would be late whatever follows",
    )
    others_share: float = figure(0.4, "of the route's objective", "leaves room for urgent prompts")
    behind_wait_share: float = figure(1.25, "of the route's objective", "so that none starves")
    behind_share: float = figure(0.4, "of the common share", "users' floor is a quarter", most=1.0)
    fading_s: float = figure(4.0, "seconds", "about the length of a herd of loads", least=0.1)
    least_asked: float = figure(3.0, "requests", "fewer prove nothing")


@attrs.frozen
class RollFigures:
    """How runners are brought to new weights."""

    parallel_share: float = figure(
        0.2, "of a model's runners, rounded down", "the others serve meanwhile", most=1.0
    )
    runs_end_s: float = figure(2.6, "seconds", "the longest that runs usually take to end")
    first_turn_s: float = figure(
        2.0, "seconds", "runs end, then weights load; the mean of loads follows"
    )
    turn_weight: float = figure(
        0.3, "of the newest load", "the mean follows in a few loads", most=1.0
    )
    hurry_factor: float = figure(
        1.1, "times the time needed", "loads that fail are tried again", least=1.0
    )


@attrs.frozen
class ForwardingFigures:
    """How long a request waits for a runner, and when a refused one is asked back."""

    waiting_share: float = figure(
        0.2, "of the route's objective", "refusals within a quarter of it are not late", most=1.0
    )
    retry_after_s: float = figure(
        0.25, "seconds", "the soonest that a refused caller is asked back"
    )


@attrs.frozen
class Decisions:
    """The figures of all decisions."""

    placement: PlacementFigures = attrs.field(factory=PlacementFigures)
    overload: OverloadFigures = attrs.field(factory=OverloadFigures)
    roll: RollFigures = attrs.field(factory=RollFigures)
    forwarding: ForwardingFigures = attrs.field(factory=ForwardingFigures)


DEFAULTS = Decisions()
"""What holds where nobody has overridden anything."""


def read_decisions(table: Mapping[str, Any]) -> Decisions:
    """Return the figures with those of a table in place; raises SettingsError naming each fault."""
    faults: list[str] = []
    groups = {}
    for group in attrs.fields(Decisions):
        groups[group.name] = _read_group(group.name, group.type, table.get(group.name, {}), faults)
    faults += [f"{name}: no such group of figures" for name in table if name not in groups]
    if faults:
        raise SettingsError("; ".join(faults), remedy="Correct these figures of decisions.")
    return Decisions(**groups)


def _read_group(name: str, kind: Any, table: Any, faults: list[str]) -> Any:
    if not isinstance(table, Mapping):
        faults.append(f"{name}: is not a table of figures")
        return kind()
    known = {field.name for field in attrs.fields(kind)}
    made = kind()
    for key, value in table.items():
        if key not in known:
            faults.append(f"{name}.{key}: no such figure")
        elif isinstance(value, bool) or not isinstance(value, int | float):
            faults.append(f"{name}.{key}: {value!r} is no number")
        else:
            try:
                made = attrs.evolve(made, **{key: value})
            except ValueError as exc:
                faults.append(f"{name}.{key}: {exc}")
    return made


def load_decisions(path: Path) -> Decisions:
    """Read a file of figures; without one all have their defaults; raises SettingsError."""
    if not path.exists():
        return Decisions()
    try:
        with open(path, "rb") as file:
            return read_decisions(tomllib.load(file))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(
            f"the file of decisions cannot be read: {exc}", remedy=f"Mend or remove {path.name}."
        ) from exc
