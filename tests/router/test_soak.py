"""A short, fixed soak of real routers: faults strike and every promise holds."""

import pytest
from click.testing import CliRunner
from soak import soak


@pytest.mark.parametrize("seed", [3, 5])
def test_promises_hold_under_faults(seed, tmp_path):
    options = ["--minutes", "0.15", "--seed", str(seed), "--keep-logs", str(tmp_path / "logs")]
    result = CliRunner().invoke(soak, options)
    assert result.exit_code == 0, result.output
    assert " 0 violations" in result.output
