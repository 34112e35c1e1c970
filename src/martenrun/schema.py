"""Checking of records that people write: every fault is told, not only the first.

msgspec decodes and checks quickly but stops at the first fault.  What it refuses is checked
again here, field by field.

See also: :mod:`martenrun.settings.load`, :mod:`martenrun.configuration.objects`.
"""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TypeVar, get_args

import msgspec

Record = TypeVar("Record", bound=msgspec.Struct)


class FaultKind(enum.Enum):
    """What is wrong with a field."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``field`` is a path with dots, empty for the record as a whole."""

    field: str
    kind: FaultKind
    message: str


def description_of(model: type[msgspec.Struct], field: str) -> str:
    """Return the description in a field's annotation, empty if there is none."""
    found = next((each for each in msgspec.structs.fields(model) if each.name == field), None)
    notes = get_args(found.type) if found is not None else ()
    texts = [note.description for note in notes if isinstance(note, msgspec.Meta)]
    return next((text for text in texts if text), "")


def field_owner(model: type[msgspec.Struct], path: str) -> tuple[type[msgspec.Struct], str]:
    """Return the record in a record that has the field of a path with dots, and its name."""
    outer, _, rest = path.partition(".")
    for field in msgspec.structs.fields(model):
        inner = _record_type(field.type)
        if rest and field.name == outer and inner is not None:
            return field_owner(inner, rest)
    return model, outer


def faults_of(model: type[msgspec.Struct], values: object, path: str = "") -> list[Fault]:
    """Return every fault of a record of plain values; none if it fits.

    Args:
        model: the record's type, which forbids unknown fields.
        values: what was read, a mapping by field name if it is right.
        path: path of the record in the one that holds it, with a dot at the end.
    """
    if not isinstance(values, Mapping):
        return [Fault(path.rstrip("."), FaultKind.INVALID, "a table of fields is expected")]
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    faults = [
        Fault(f"{path}{name}", FaultKind.UNKNOWN, "this field is not known")
        for name in values
        if name not in fields
    ]
    for name, field in fields.items():
        if name in values:
            faults += _field_faults(field.type, values[name], f"{path}{name}")
        elif field.required:
            faults.append(Fault(f"{path}{name}", FaultKind.MISSING, "this field is required"))
    return faults


def _field_faults(annotation: object, value: object, path: str) -> list[Fault]:
    record = _record_type(annotation)
    if record is not None:
        return faults_of(record, value, f"{path}.")
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        title = next(_titles(annotation), "")
        is_pattern = title and "regex" in str(error)
        message = f"expected {title}" if is_pattern else str(error)
        return [Fault(path, FaultKind.INVALID, message)]
    return []


def _titles(annotation: object) -> Iterator[str]:
    """Yield the titles in an annotation; they tell people what a pattern means."""
    for part in get_args(annotation):
        if isinstance(part, msgspec.Meta):
            if part.title:
                yield part.title
        else:
            yield from _titles(part)


def _record_type(annotation: object) -> type[msgspec.Struct] | None:
    """Return the record's type if an annotation is one, with or without notes."""
    for candidate in (annotation, *get_args(annotation)[:1]):
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None
