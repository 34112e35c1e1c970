"""Checks many simulated histories on a few cores: ``make prove``.

The product's processes start no others; this script does, through a process pool.
"""

import argparse
import multiprocessing
import time

from martenrun.cli.prove import show
from martenrun.proof.campaign import Summary, run_seed

MAXIMUM_WORKERS = 4
CHUNK = 5


def main() -> None:
    """Run histories until their number or the time is reached, and print the summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=2_000)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--limit-s", type=float, default=240.0)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    until = time.monotonic() + arguments.limit_s
    summary = Summary(arguments.seed)
    seeds = range(arguments.seed, arguments.seed + arguments.histories)
    with multiprocessing.Pool(min(arguments.workers, MAXIMUM_WORKERS)) as pool:
        outcomes = pool.imap(run_seed, seeds, chunksize=CHUNK)
        for seed, outcome in zip(seeds, outcomes, strict=False):
            summary.add(seed, outcome)
            if time.monotonic() > until:
                break
    show(summary, arguments.json)


if __name__ == "__main__":
    main()
