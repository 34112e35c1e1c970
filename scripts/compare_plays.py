"""Plays the same days with two or more versions of the router and compares them in pairs.

    scripts/compare_plays.py BENCH --site SITE --arm base=FOLDER --arm change=FOLDER --why TEXT

BENCH is the bench's program, SITE a deployment's file, FOLDER a checkout of the router; the first
arm is the base.  Every arm plays every day with the same seeds, all arms of one day and seed next
to each other, so that a busy machine strikes them alike.  Days of one seed differ by 0.03 to 0.06
from play to play: only the mean difference beside its standard error tells something.  Exit status
1 means that a rule was broken or a day could not be played.
"""

import json
import math
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs
import click

LEAST_SHOWN_PRICE = 0.003
"""Difference of a price, in worth, from which it is shown."""

FIRST_SEED = 1_000


@attrs.frozen
class Play:
    """One play to be made: an arm's checkout, a site, one of its days, and a seed."""

    arm: str
    folder: Path
    site: Path
    day: str
    seed: int


@attrs.frozen
class Result:
    """What the bench reported of a play.

    Attributes:
        worth: the day's worth, prices taken off.
        unserved: share of the requests that were not served.
        late: share of the requests that were served late.
        unserved_by: the same share by how the last try ended.
        parts: the shares that the worth is made of, by name.
        prices: what was taken off, in worth, by name.
        broken: rules that were broken with what the bench saw first, or why it does not count.
    """

    play: Play
    worth: float
    unserved: float
    late: float
    unserved_by: dict[str, float]
    parts: dict[str, float]
    prices: dict[str, float]
    broken: str


def read_result(play: Play, report: dict[str, Any]) -> Result:
    """Return a play's result from the bench's report."""
    broken = ""
    if report["breaks"]:
        broken = f"{', '.join(report['breaks'])}: {report['first']}"
    if report["fault"]:
        broken = "fault"
    if not broken and report["short"]:
        broken = "floor"
    owed = max(1, report["all"]["n"] - report["all"]["not_owed"])
    return Result(
        play=play,
        worth=report["G"],
        unserved=report["unserved"],
        late=report["all"]["late"] / owed,
        unserved_by={end: count / owed for end, count, *_ in report["unserved_by"]},
        parts={name: share for name, _weight, share in report["parts"]},
        prices={name: cost for name, _amount, cost in report["prices"]},
        broken=broken,
    )


def make_play(play: Play, bench: str, why: str) -> Result:
    """Play one day; raises RuntimeError if the bench gives no report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        command = [bench, "run", str(play.site), play.day, "--seed", str(play.seed)]
        command += ["--report", file.name, "--why", f"{why} [{play.arm}]"]
        done = subprocess.run(command, cwd=play.folder, capture_output=True, text=True, check=False)
        text = Path(file.name).read_text()
    if not text:
        raise RuntimeError(f"{play}: no report; the bench said: {done.stderr.strip()[-300:]}")
    return read_result(play, json.loads(text))


def mean_and_error(values: Sequence[float]) -> tuple[float, float]:
    """Return the mean and its standard error; the error of a single value is infinite."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.inf
    variance = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def differences(base: Iterable[Result], change: Iterable[Result]) -> list[float]:
    """Return the differences of worth of plays of the same site, day and seed."""
    by_key = {(item.play.site, item.play.day, item.play.seed): item.worth for item in base}
    return [item.worth - by_key[item.play.site, item.play.day, item.play.seed] for item in change]


def mean_shares(results: Sequence[Result]) -> list[tuple[str, float]]:
    """Return the mean share of requests unserved by how their last try ended, the largest first."""
    ends = {end for item in results for end in item.unserved_by}
    means = [
        (end, sum(item.unserved_by.get(end, 0.0) for item in results) / len(results))
        for end in sorted(ends)
    ]
    return sorted(means, key=lambda item: -item[1])


def moved_prices(base: Sequence[Result], change: Sequence[Result]) -> list[tuple[str, float]]:
    """Return the prices that differ in the mean, the largest change first."""
    names = {name for item in [*base, *change] for name in item.prices}
    moved = [(name, _mean_price(change, name) - _mean_price(base, name)) for name in sorted(names)]
    shown = [item for item in moved if abs(item[1]) >= LEAST_SHOWN_PRICE]
    return sorted(shown, key=lambda item: -abs(item[1]))


def dearest_prices(results: Sequence[Result]) -> list[tuple[str, float]]:
    """Return the mean prices, the dearest first."""
    names = {name for item in results for name in item.prices}
    means = [(name, _mean_price(results, name)) for name in sorted(names)]
    dear = [item for item in means if item[1] >= LEAST_SHOWN_PRICE]
    return sorted(dear, key=lambda item: -item[1])


def _mean_price(results: Sequence[Result], name: str) -> float:
    return sum(item.prices.get(name, 0.0) for item in results) / len(results)


def table(site: Path, arms: Sequence[str], results: Sequence[Result]) -> list[str]:
    """Return the lines of one site's comparison."""
    here = [item for item in results if item.play.site == site]
    base = [item for item in here if item.play.arm == arms[0]]
    prices = ", ".join(f"{name} {cost:.3f}" for name, cost in dearest_prices(base))
    lines = [f"{site.stem}: {len(base)} plays an arm; prices of {arms[0]}: {prices}"]
    for arm in arms:
        mine = [item for item in here if item.play.arm == arm]
        worth, error = mean_and_error([item.worth for item in mine])
        unserved, _ = mean_and_error([item.unserved for item in mine])
        broken = [f"{r.play.day}/{r.play.seed} {r.broken}" for r in mine if r.broken]
        lines.append(
            f"  {arm:<14} worth {worth:.4f} +- {error:.4f} unserved {unserved:.4f}"
            f" {_parts(mine)}{'  BROKEN ' + '; '.join(broken) if broken else ''}"
        )
        if arm != arms[0]:
            change, change_error = mean_and_error(differences(base, mine))
            lines.append(f"  {'':<14} change {change:+.4f} +- {change_error:.4f}")
            moved = ", ".join(f"{name} {by:+.3f}" for name, by in moved_prices(base, mine))
            lines.append(f"  {'':<14} prices {moved or 'as before'}")
        late, _ = mean_and_error([item.late for item in mine])
        ends = ", ".join(f"{end} {share:.4f}" for end, share in mean_shares(mine))
        lines.append(f"  {'':<14} late {late:.4f}; unserved by: {ends}")
        lines.append(f"  {'':<14} {_by_day(mine)}")
    return lines


def _parts(results: Sequence[Result]) -> str:
    names = list(results[0].parts)
    means = [mean_and_error([item.parts[name] for item in results])[0] for name in names]
    return " ".join(f"{name} {mean:.3f}" for name, mean in zip(names, means, strict=True))


def _by_day(results: Sequence[Result]) -> str:
    days = list(dict.fromkeys(item.play.day for item in results))
    means = [
        mean_and_error([item.worth for item in results if item.play.day == day])[0] for day in days
    ]
    return " ".join(f"{day} {mean:.3f}" for day, mean in zip(days, means, strict=True))


def day_names(site: Path) -> list[str]:
    """Return the names of a site's standard days."""
    return [day["name"] for day in tomllib.loads(site.read_text())["day"]]


def _read_arms(texts: Sequence[str]) -> dict[str, Path]:
    arms = {}
    for text in texts:
        name, separator, folder = text.partition("=")
        if not separator or not Path(folder).is_dir():
            raise click.BadParameter(f"{text}: give NAME=FOLDER, a checkout of the router")
        arms[name] = Path(folder).resolve()
    return arms


@click.command()
@click.argument("bench", type=click.Path(exists=True, resolve_path=True))
@click.option("--site", "sites", multiple=True, required=True, type=click.Path(exists=True))
@click.option("--arm", "arm_texts", multiple=True, required=True, help="NAME=FOLDER; base first")
@click.option("--day", "days", multiple=True, help="only these days")
@click.option("--seeds", default=4, help="seeds a day")
@click.option("--first-seed", default=FIRST_SEED, help="the first of them")
@click.option("--jobs", default=6, help="plays at the same time")
@click.option("--why", required=True, help="a line for the journal")
def main(
    bench: str,
    sites: tuple[str, ...],
    arm_texts: tuple[str, ...],
    days: tuple[str, ...],
    seeds: int,
    first_seed: int,
    jobs: int,
    why: str,
) -> None:
    """Compare versions of the router on the same days."""
    arms = _read_arms(arm_texts)
    paths = [Path(site).resolve() for site in sites]
    plays = [
        Play(arm, folder, site, day, first_seed + number)
        for site in paths
        for number in range(seeds)
        for day in days or day_names(site)
        for arm, folder in arms.items()
    ]
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda play: make_play(play, bench, why), plays))
    for site in paths:
        click.echo("\n".join(table(site, list(arms), results)))
    sys.exit(1 if any(item.broken for item in results) else 0)


if __name__ == "__main__":
    main()
