"""Draws hit rate and tail time to the first token against load from result files.

Usage: ``plot_routing.py``; reads ``docs/measurements/routing-load-*.json`` and writes
``docs/plots/routing-load-*.svg``.  Needs the ``bench`` extra.
"""

import collections
from pathlib import Path

import matplotlib
import msgspec

matplotlib.use("svg")
from matplotlib import pyplot

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "docs" / "measurements"
PLOTS = ROOT / "docs" / "plots"
PREFIX = "routing-load-"
COLOURS = {
    "round_robin": "#999999",
    "least_loaded": "#cc9900",
    "consistent_hash": "#3366cc",
    "prefix_aware": "#cc3333",
    "oracle": "#339966",
}


class Line(msgspec.Struct):
    """What a plot needs of one run."""

    policy: str
    load: float
    hit_rate: float
    ttft_p95_s: float


Points = dict[str, dict[float, list[Line]]]


def read(path: Path) -> Points:
    """Return the runs of a result file by policy and load."""
    points: Points = collections.defaultdict(lambda: collections.defaultdict(list))
    for text in path.read_bytes().splitlines():
        line = msgspec.json.decode(text, type=Line)
        points[line.policy][line.load].append(line)
    return points


def draw(points: Points, name: str, field: str, axes: "pyplot.Axes") -> None:
    """Draw one figure's means over the seeds, with the range, against load."""
    for policy, colour in COLOURS.items():
        loads = sorted(points[policy])
        values = [[getattr(line, field) for line in points[policy][load]] for load in loads]
        means = [sum(each) / len(each) for each in values]
        axes.plot(loads, means, marker="o", color=colour, label=policy.replace("_", " "))
        lowest, highest = [min(each) for each in values], [max(each) for each in values]
        axes.fill_between(loads, lowest, highest, color=colour, alpha=0.12, linewidth=0)
    axes.set_xlabel("factor on the request rates")
    axes.set_ylabel(name)
    axes.grid(alpha=0.3)


def plot(path: Path) -> None:
    """Draw one deployment's page."""
    points = read(path)
    figure, (hits, tail) = pyplot.subplots(1, 2, figsize=(10, 4))
    draw(points, "prefix hit rate", "hit_rate", hits)
    draw(points, "p95 time to first token, s", "ttft_p95_s", tail)
    tail.set_yscale("log")
    hits.legend(fontsize=8)
    figure.suptitle(path.stem.removeprefix(PREFIX))
    figure.tight_layout()
    figure.savefig(PLOTS / f"{path.stem}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main() -> None:
    """Draw every deployment that has been measured."""
    pyplot.rcParams["svg.hashsalt"] = "martenrun"
    PLOTS.mkdir(exist_ok=True)
    for path in sorted(RESULTS.glob(f"{PREFIX}*.json")):
        plot(path)


if __name__ == "__main__":
    main()
