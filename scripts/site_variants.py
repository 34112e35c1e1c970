"""Writes changed copies of a deployment's file: deployments of the same kind that nobody has shown.

    scripts/site_variants.py SITE FOLDER [--only NAME]

SITE is a deployment's file of the users' bench; each variant is written into FOLDER under the
variant's name, beside a copy of the file that SITE names for its messages.  The bench's ``score``
and ``hunt`` play the copies like any deployment.
"""

import copy
import shutil
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import tomli_w

Site = dict[str, Any]
"""A deployment as the bench's file holds it."""

SECOND_REGION = "second-region"


def one_zone(site: Site) -> None:
    """Everything lies in the first zone."""
    zone = site["zones"][0]["name"]
    site["zones"] = site["zones"][:1]
    for table in _tables(site):
        if "zone" in table:
            table["zone"] = zone
    _merge_machines(site)


def two_regions(site: Site) -> None:
    """The last zone lies in another region, 20 ms away."""
    site["zones"][-1]["region"] = SECOND_REGION


def small_machines(site: Site) -> None:
    """A quarter of a core, 133 MB, 1,000 descriptors, 5 Mbit/s."""
    for machine in site["machines"]:
        machine |= {"cpu_share": 0.26, "cores": 1, "memory_mb": 133, "fds": 1000, "link_mbps": 5.0}


def three_machines(site: Site) -> None:
    """One machine in each of at most three zones."""
    site["machines"] = site["machines"][:3]
    for machine in site["machines"]:
        machine["count"] = 1


def many_machines(site: Site) -> None:
    """Four times as many machines for the same traffic."""
    for machine in site["machines"]:
        machine["count"] *= 4


def few_runners(site: Site) -> None:
    """Each service has a third of its runners, at least one; a third of the traffic."""
    for service in site["services"]:
        for place in service["servers"]:
            place["count"] = max(1, place["count"] // 3)
    _scale_traffic(site, 1 / 3)


def heavy_traffic(site: Site) -> None:
    """Twice the traffic: more than the runners can serve."""
    _scale_traffic(site, 2.0)


def no_kept_cache(site: Site) -> None:
    """No store of kept cache."""
    names = {service["name"] for service in site["services"] if service.get("model") == "kvstore"}
    site["services"] = [item for item in site["services"] if item["name"] not in names]
    _drop_troubles_of(site, names)


def walls_without_resumption(site: Site) -> None:
    """No tenant shares parts of prompts; no stream may be resumed."""
    site["tenants"]["walled"] = 1.0
    for kind in site["classes"]:
        if "stream" in kind:
            kind["stream"]["resume"] = False


def many_tenants(site: Site) -> None:
    """Sixty tenants."""
    site["tenants"]["count"] = 60


def tight_bounds(site: Site) -> None:
    """Half the time for drains and configuration, a shorter grace period, less room for retries."""
    site["bounds"] |= {"drain_ms": 1200, "config_ms": 1200, "grace_s": 6.0, "budget_slack": 20.0}
    site["timing"] |= {"version_ms": 7000, "version_all_ms": 10000.0}


def loose_bounds(site: Site) -> None:
    """Fencing tokens are not checked, revocation is not strict."""
    site["bounds"] |= {"closed": False, "fenced": False}


def weak_network(site: Site) -> None:
    """Ten times the delays between zones."""
    site["net"] |= {"in_zone_ms": 0.5, "cross_zone_ms": 12.0, "client_ms": 8.0}


VARIANTS: tuple[Callable[[Site], None], ...] = (
    one_zone,
    two_regions,
    small_machines,
    three_machines,
    many_machines,
    few_runners,
    heavy_traffic,
    no_kept_cache,
    walls_without_resumption,
    many_tenants,
    tight_bounds,
    loose_bounds,
    weak_network,
)
"""Every variant; its function's name is its own."""


def _tables(site: Site) -> list[dict[str, Any]]:
    """Return every table that may name a zone."""
    tables = [*site["machines"], *site["traffic"], *site.get("troubles", [])]
    for service in site["services"]:
        tables += service["servers"]
    for day in site["day"]:
        tables += [*day.get("traffic", []), *day.get("plan", []), *day.get("faults", [])]
    return tables


def _merge_machines(site: Site) -> None:
    first, *others = site["machines"]
    for machine in others:
        first["count"] += machine["count"]
        first["spare"] = first.get("spare", 0) + machine.get("spare", 0)
    site["machines"] = [first]


def _scale_traffic(site: Site, factor: float) -> None:
    for traffic in [*site["traffic"], *(part for day in site["day"] for part in day["traffic"])]:
        traffic["per_s"] *= factor


def _drop_troubles_of(site: Site, services: set[str]) -> None:
    for owner in [site, *site["day"]]:
        for key in ("troubles", "plan", "faults"):
            if key in owner:
                owner[key] = [item for item in owner[key] if item.get("service") not in services]


def varied(site: Site, vary: Callable[[Site], None]) -> Site:
    """Return a changed copy of a deployment; its name tells the variant."""
    changed = copy.deepcopy(site)
    vary(changed)
    changed["name"] = f"{site['name']}-{variant_name(vary)}"
    return changed


def variant_name(vary: Callable[[Site], None]) -> str:
    """Return a variant's name on the command line and in files."""
    return vary.__name__.replace("_", "-")


@click.command()
@click.argument("site", type=click.Path(exists=True, path_type=Path))
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.option("--only", multiple=True, help="name of a variant; may be repeated")
def main(site: Path, folder: Path, only: tuple[str, ...]) -> None:
    """Write the variants of a deployment's file into a folder; prints their paths."""
    known = {variant_name(vary): vary for vary in VARIANTS}
    unknown = set(only) - known.keys()
    if unknown:
        raise click.BadParameter(f"{', '.join(sorted(unknown))}: choose from {', '.join(known)}")
    loaded = tomllib.loads(site.read_text())
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(site.parent / loaded["wire"], folder)
    for name in only or known:
        changed = varied(loaded, known[name])
        path = folder / f"{changed['name']}.toml"
        path.write_text(tomli_w.dumps(changed))
        click.echo(path)


if __name__ == "__main__":
    main()
