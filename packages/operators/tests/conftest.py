"""Fixtures for the tests of the command line."""

import pytest

from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.settings.check import encode
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.commands import RunCommand, command_runner


@pytest.fixture
def run(platform_url: str) -> RunCommand:
    """Return a function that runs `tanagercourse` for team preljev."""
    return command_runner(platform_url, "preljev")


@pytest.fixture
def service() -> ServiceSettings:
    """Return valid settings of service motritelj with one upstream."""
    upstream = UpstreamSettings("m-1", "10.0.0.1", 8080, "split-a")
    return ServiceSettings(
        "motritelj", Rank.MOST_URGENT, Idempotency.IDEMPOTENT, (upstream,)
    )


@pytest.fixture
def service_file(
    tmp_path_factory: pytest.TempPathFactory, service: ServiceSettings
) -> str:
    """Write the service's settings to a file and return its path."""
    file = tmp_path_factory.mktemp("settings") / "motritelj.json"
    file.write_bytes(encode(service))
    return str(file)
