"""Plays the days of ``tests/days`` on deployments of the users' bench and prints a table.

    scripts/play_days.py BENCH SITE [SITE...] --kept-cache NAME

BENCH is the bench's program, SITE a deployment's file, NAME its kept-cache service. Exit status 1
means that a day broke a rule or could not be played.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

import click

DAYS = Path(__file__).resolve().parent.parent / "tests" / "days"
KEPT_CACHE = '"KV"'
"""What stands for the kept-cache service in the days' files."""

RESULT = re.compile(r"^(?P<name>\S+)\s+\d+/\d+\s+(?P<figures>.*)$", re.MULTILINE)


def play(bench: str, site: str, day: Path, kept_cache: str) -> str:
    """Play one day; return its line of the bench's table, or what it said instead."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(day.read_text().replace(KEPT_CACHE, f'"{kept_cache}"'))
        file.flush()
        command = [bench, "run", site, file.name, "--why", f"own day {day.stem}"]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
    found = RESULT.search(done.stdout)
    return found["figures"] if found else f"not played: {done.stderr.strip()[-200:]}"


@click.command()
@click.argument("bench", type=click.Path(exists=True))
@click.argument("sites", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--kept-cache", default="KV", help="name of the kept-cache service")
def main(bench: str, sites: tuple[str, ...], kept_cache: str) -> None:
    """Play every own day on every site."""
    is_good = True
    for site in sites:
        for day in sorted(DAYS.glob("*.toml")):
            figures = play(bench, site, day, kept_cache)
            is_good = is_good and "BROKEN" not in figures and "not played" not in figures
            click.echo(f"{Path(site).stem:<16}{day.stem:<32}{figures}")
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    main()
