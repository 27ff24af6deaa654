"""Short seeded soaks of real processes. Each seed that ever failed stays here."""

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
async def test_every_promise_is_kept(seed: int, tmp_path: Path) -> None:
    result = await soak(seed, LENGTH_S, tmp_path)
    assert result.checks.violations == [] and result.has_recovered
    assert result.injected and result.checks.statuses["200"] >= 200
    assert set(result.checks.checked) == set(Invariant)
