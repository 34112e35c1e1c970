"""Changed copies of a deployment's file."""

import copy
import tomllib

import pytest
import tomli_w
from click.testing import CliRunner
from site_variants import VARIANTS, main, variant_name, varied

TRAFFIC = [{"zone": "b", "per_s": 9.0}]
SITE = {
    "name": "site",
    "wire": "wire.json",
    "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
    "machines": [{"zone": "a", "count": 3, "spare": 1}, {"zone": "b", "count": 2}],
    "services": [
        {"name": "models", "model": "llm", "servers": [{"zone": "b", "count": 6}]},
        {"name": "kept", "model": "kvstore", "servers": [{"zone": "a", "count": 1}]},
    ],
    "classes": [{"name": "ask", "stream": {"resume": True}}],
    "traffic": TRAFFIC,
    "troubles": [{"kind": "srv_crash", "service": "kept"}, {"kind": "lossy", "zone": "b"}],
    "tenants": {"count": 8, "walled": 0.3},
    "bounds": {"drain_ms": 2000},
    "timing": {"version_ms": 8000},
    "net": {"cross_zone_ms": 1.4},
    "day": [
        {"name": "d", "traffic": TRAFFIC, "faults": [{"kind": "srv_crash", "service": "kept"}]}
    ],
}


@pytest.mark.parametrize("vary", VARIANTS)
def test_a_variant_differs_by_more_than_its_name_and_leaves_the_original(vary):
    before = copy.deepcopy(SITE)
    changed = varied(SITE, vary)
    assert before == SITE
    assert changed["name"] == f"site-{variant_name(vary)}"
    assert {**changed, "name": "site"} != SITE


def by_name(name):
    return varied(SITE, next(vary for vary in VARIANTS if variant_name(vary) == name))


def test_in_one_zone_nothing_names_another():
    changed = by_name("one-zone")
    assert changed["machines"] == [{"zone": "a", "count": 5, "spare": 1}]
    assert "b" not in {item.get("zone") for item in changed["traffic"] + changed["troubles"]}


def test_without_kept_cache_no_trouble_strikes_it():
    changed = by_name("no-kept-cache")
    assert [item["name"] for item in changed["services"]] == ["models"]
    assert changed["troubles"] == [{"kind": "lossy", "zone": "b"}]
    assert changed["day"][0]["faults"] == []


def test_variants_are_written_as_files_and_unknown_ones_named(tmp_path):
    site = tmp_path / "site.toml"
    site.write_text(tomli_w.dumps(SITE))
    (tmp_path / "wire.json").write_text("{}")
    folder = tmp_path / "variants"
    result = CliRunner().invoke(main, [str(site), str(folder), "--only", "many-tenants"])
    assert result.exit_code == 0
    written = tomllib.loads((folder / "site-many-tenants.toml").read_text())
    assert written["tenants"]["count"] == 60
    assert (folder / "wire.json").exists()
    result = CliRunner().invoke(main, [str(site), str(folder), "--only", "other"])
    assert result.exit_code != 0
    assert "many-tenants" in result.output
