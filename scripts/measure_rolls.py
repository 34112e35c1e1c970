"""Measure in virtual time how long rolls take with one weight store and with several.

The nodes, engines and faults are those of ``tests/rolls_world.py``; a load takes 20 s.
"""

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from rolls_world import LOAD_S, World


def measure(seed: int, engines: int, stores: int, nodes: int) -> str:
    """Roll all engines once; returns a line of figures."""
    world = World(seed, engines=engines, nodes=nodes, stores=stores)
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"), limit_s=20_000.0)
    least_s = LOAD_S * engines / (2 * max(1, stores))
    return (
        f"{engines} runners, {max(1, stores)} stores, {nodes} nodes: "
        f"{world.clock.now:.0f} s (least {least_s:.0f}), "
        f"{world.most_loads_of_a_store} loads of a store at most, {world.most_loads} in all, "
        f"{world.calls / world.clock.now:.1f} store calls/s, {world.version} writes"
    )


def main() -> None:
    """Print one line for each combination."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=3)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--runners", type=int, nargs="+", default=[24, 120])
    parser.add_argument("--stores", type=int, nargs="+", default=[0, 3], help="0: one for all")
    arguments = parser.parse_args()
    for engines in arguments.runners:
        for stores in arguments.stores:
            print(measure(arguments.seed, engines, stores, arguments.nodes), flush=True)


if __name__ == "__main__":
    main()
