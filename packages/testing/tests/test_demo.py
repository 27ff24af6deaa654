"""The demo through its real binary, shortened."""

import subprocess
import sys

import pytest

TIMEOUT_S = 60


def test_demo_holds_every_promise() -> None:
    command = [sys.executable, "-m", "tanagercourse.operators.main", "demo"]
    command += ["--customer", "harbor-knot", "--seed", "7", "--load-s", "3"]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "every promise was held" in ended.stdout
    for service in ("kitstock", "orderpost", "patternvault"):
        assert service in ended.stdout


@pytest.mark.parametrize(
    ("flag", "value"), [("--customer", "nobody"), ("--load-s", "0"), ("--seed", "x")]
)
def test_demo_names_a_flag_that_is_wrong(flag: str, value: str) -> None:
    command = [sys.executable, "-m", "tanagercourse.operators.main", "demo"]
    ended = subprocess.run([*command, flag, value], capture_output=True, text=True)
    assert ended.returncode == 2
    assert flag in ended.stderr
    assert "Traceback" not in ended.stderr
