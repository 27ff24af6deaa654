"""Short soaks of real processes; each seed that ever failed is kept in SEEDS."""

from pathlib import Path

import pytest

from tanagercourse.soak.checks import Invariant
from tanagercourse.soak.main import soak

pytestmark = pytest.mark.anyio

LENGTH_S = 6.0
SEEDS = (1,)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("seed", SEEDS)
async def test_every_invariant_holds(seed: int, tmp_path: Path) -> None:
    result = await soak(seed, LENGTH_S, tmp_path)
    assert result.checks.violations == [] and result.has_recovered
    assert result.injected and result.checks.outcome_counts["200"] >= 200
    assert set(result.checks.check_counts) == set(Invariant)
