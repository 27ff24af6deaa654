"""Short soaks of real processes; each seed that ever failed is kept in SEEDS."""

from pathlib import Path

import pytest

from tanagercourse.soak.checks import Invariant
from tanagercourse.soak.main import run_seed

LENGTH_S = 6.0
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_invariant_holds(seed: int, tmp_path: Path) -> None:
    result = run_seed(seed, LENGTH_S, tmp_path)
    assert result is not None
    assert result.checks.violations == [] and result.has_recovered
    assert result.injected and result.checks.outcome_counts["200"] >= 200
    assert set(result.checks.check_counts) == set(Invariant)
