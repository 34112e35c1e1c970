"""Runs the command line with the addresses of peers translated, as a translating router does.

The first argument is a JSON object: addresses to connect to in place of others.  A trial gives
an agent the addresses of relays, so that its links to nodes can be cut.
"""

import functools
import json
import sys
from collections.abc import Callable, Mapping

from martenrun.cli.main import main
from martenrun.wire import limits


def translated(
    parse: Callable[[str], tuple[str, int]], relays: Mapping[str, str], text: str
) -> tuple[str, int]:
    """Parse the address that stands in for another one, or the address itself."""
    return parse(relays.get(text, text))


if __name__ == "__main__":
    relays = json.loads(sys.argv.pop(1))
    limits.parse_address = functools.partial(translated, limits.parse_address, relays)
    main()
