"""Short runs of the command `tanagercourse demo`."""

import subprocess
import sys

import pytest

TIMEOUT_S = 60


def test_demo_holds_every_invariant() -> None:
    command = [sys.executable, "-m", "tanagercourse.operators.main", "demo"]
    command += ["--customer", "harbor-knot", "--seed", "7", "--load-s", "3"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert result.returncode == 0, result.stdout + result.stderr
    assert "every invariant held" in result.stdout
    for service in ("kitstock", "orderpost", "patternvault"):
        assert service in result.stdout


@pytest.mark.parametrize(
    ("flag", "value"), [("--customer", "nobody"), ("--load-s", "0"), ("--seed", "x")]
)
def test_demo_reports_the_invalid_flag(flag: str, value: str) -> None:
    command = [sys.executable, "-m", "tanagercourse.operators.main", "demo"]
    result = subprocess.run([*command, flag, value], capture_output=True, text=True)
    assert result.returncode == 2
    assert flag in result.stderr
    assert "Traceback" not in result.stderr
