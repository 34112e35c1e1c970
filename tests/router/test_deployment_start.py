"""A test deployment that fails to start keeps its logs."""

from pathlib import Path

import pytest
from platform_deployment import PlatformDeployment


def test_logs_are_kept_if_the_deployment_fails_to_start(monkeypatch, tmp_path):
    """Guards against removing the logs that are needed to diagnose a failed start."""
    program = tmp_path / "router.py"
    program.write_text("print('no router')\n")
    monkeypatch.setattr("platform_deployment.LIMIT_S", 1.0)
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    with pytest.raises(TimeoutError) as caught, PlatformDeployment(1, program=program):
        pass
    description, note = caught.value.__notes__
    assert description == "r0: exit status 0, last log line ['no router']"
    folder = Path(note.split(" copied to ")[1].rstrip("."))
    assert "no router" in (folder / "r0.log").read_text()
