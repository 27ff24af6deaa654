"""Tests of `tanagercourse report burn`, run as a process."""

import json
import time
from pathlib import Path

import pytest

from tanagercourse.burn.paths import burn_path, select_tier
from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.burn.series import Outcome, encode_series
from tanagercourse.burn.tiers import TIERS, latest_settled_s
from tanagercourse.core.ids import (
    NO_VERSION,
    InstanceId,
    ObjectPath,
    ServiceId,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import Rank
from tanagercourse.operators.measurements import reconcile_with_listed_instances
from tanagercourse.operators.output import ExitCode
from tanagercourse.platform.store import Machine, Presence, Update
from tanagercourse.settings.check import encode
from tanagercourse.settings.schema import ServiceSettings
from tanagercourse.testing.commands import RunCommand
from tanagercourse.testing.platform import FakePlatform

pytestmark = pytest.mark.anyio

MOTRITELJ = ObjectPath("/teams/preljev/services/motritelj")
ZONE = ZoneId("split-a")


def list_instance(platform: FakePlatform, name: str) -> None:
    machine = Machine(InstanceId(name), "127.0.0.1", 1, ZONE, Presence.LIVE)
    platform.objects.machines[name] = machine


@pytest.fixture(autouse=True)
def published_series(platform: FakePlatform, service: ServiceSettings) -> None:
    """Publish ten minutes of measurements with one of 100 requests refused."""

    def put(path: ObjectPath, value: bytes) -> None:
        platform.objects.write(Update(path, NO_VERSION, value, WriterId("test")))

    put(MOTRITELJ, encode(service))
    list_instance(platform, "entry-1")
    now_s = latest_settled_s(time.time())
    recorder = BurnRecorder("entry-1", ZONE, now_s - 600.0)
    for step in range(100):
        outcome = Outcome.ANSWERED if step else Outcome.REFUSED
        at_s = now_s - 600.0 + 6.0 * step
        recorder.record(ServiceId("motritelj"), Rank.MOST_URGENT, outcome, 0.02, at_s)
    series = recorder.series(now_s)
    for tier in TIERS:
        put(burn_path("entry-1", tier), encode_series(select_tier(series, tier)))


async def test_report_is_written_as_json_and_as_an_html_page(
    run: RunCommand, tmp_path: Path
) -> None:
    page = tmp_path / "burn.html"
    reported = await run("report", "burn", "--output", "json", "--html", str(page))
    assert (reported.code, reported.err) == (ExitCode.DONE, "")
    row = json.loads(reported.out)["rows"][0]
    assert row["attained"] == 0.99
    assert row["budget_left"] == pytest.approx(-9.0)
    assert row["latency"]["p99_ms"] == pytest.approx(20.0, rel=0.01)
    assert "<svg" in page.read_text()


async def test_silent_instance_and_damaged_series_are_reported(
    run: RunCommand, platform: FakePlatform
) -> None:
    list_instance(platform, "entry-2")
    path = burn_path("entry-3", TIERS[0])
    platform.objects.write(Update(path, NO_VERSION, b"{", WriterId("test")))
    reported = await run("report", "burn", "--over-min", "5")
    assert reported.code == ExitCode.DONE
    assert f"{path}: the measurements cannot be decoded" in reported.err
    assert "% measured)" in reported.out
    assert "page" in reported.out


def test_time_after_an_instance_is_unlisted_is_not_a_gap() -> None:
    recorder = BurnRecorder("entry-9", ZONE, 600.0)
    recorder.tick(610.0)
    unlisted = recorder.series(615.0)
    assert reconcile_with_listed_instances((unlisted,), [])[0].stopped_at_s == 615.0
