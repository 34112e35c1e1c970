"""``martenrun explain``: a request's way through the logs of several routers."""

import json
from collections.abc import Iterable
from pathlib import Path

import attrs
import click

HIDDEN = frozenset({"at", "steady", "node", "event", "request"})
"""Fields that stand in front of each line or in its heading."""


@attrs.frozen
class LogLine:
    """One line of a router's log about the request."""

    at: float
    steady: float
    node: str
    event: str
    details: str


def read_lines(lines: Iterable[str], request: str) -> list[LogLine]:
    """Return the lines about a request; text around them, and other lines, are passed over."""
    found = []
    for line in lines:
        start = line.find('{"at"')
        if start < 0 or request not in line:
            continue
        try:
            record = json.loads(line[start:])
        except json.JSONDecodeError:
            continue
        if record.get("request") != request:
            continue
        details = " ".join(
            f"{name}={value}" for name, value in record.items() if name not in HIDDEN
        )
        found.append(
            LogLine(record["at"], record["steady"], record["node"], record["event"], details)
        )
    return found


def explanation(lines: list[LogLine]) -> list[str]:
    """Return the request's way in order; within a node by its steady clock."""
    first: dict[str, float] = {}
    for line in lines:
        first[line.node] = min(line.at, first.get(line.node, line.at))
    ordered = sorted(lines, key=lambda line: (first[line.node], line.node, line.steady))
    began = {line.node: line.steady for line in reversed(ordered)}
    return [
        f"{line.node} +{(line.steady - began[line.node]) * 1000:.1f} ms {line.event} {line.details}"
        for line in ordered
    ]


@click.command("explain")
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def explain(request: str, logs: tuple[str, ...]) -> None:
    """Print the way of REQUEST (its id) over the routers whose LOGS are given.

    Each line tells what a router did, what it believed, and how old that was.
    """
    lines = []
    for path in logs:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            lines += read_lines(file, request)
    if not lines:
        raise click.ClickException(
            f"no line about {request} in the logs given; served requests are logged up to a "
            "number a second only, failed ones always: look at the other routers' logs"
        )
    for text in explanation(lines):
        click.echo(text)
