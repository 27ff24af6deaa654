"""Fixtures of the model's tests: the fleets of the two users."""

import pytest

from tanagercourse.bench.fleets import make_fleet
from tanagercourse.model.fleet import Fleet
from tanagercourse.testing.deployments import HARBOR_KNOT, KANALIS


@pytest.fixture(params=[KANALIS, HARBOR_KNOT], ids=["kanalis", "harbor-knot"])
def fleet(request: pytest.FixtureRequest) -> Fleet:
    return make_fleet(request.param)
