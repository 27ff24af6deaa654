"""Fixtures for log lines of instances."""

import json
from collections.abc import Callable

import pytest

# Accepts the keys of a log line.
MakeLine = Callable[..., str]


@pytest.fixture
def make_line() -> MakeLine:
    def make(event: str, at: float, **keys: object) -> str:
        return json.dumps({"at": at, "instance": "entry-1", "event": event, **keys})

    return make


@pytest.fixture
def make_attempt_line(make_line: MakeLine) -> MakeLine:
    def make(at: float, **changes: object) -> str:
        keys = {
            "request_id": "r1",
            "route": "reads",
            "upstream": "u1",
            "zone": "a1",
            "attempt": 1,
            "load": 2.5,
            "load_age_ms": 300,
            "warm": True,
            "expected_ms": 150,
            "outcome": "200",
            "took_ms": 200,
        }
        return make_line("sent", at, **{**keys, **changes})

    return make


@pytest.fixture
def make_refusal_line(make_line: MakeLine) -> MakeLine:
    def make(at: float, **changes: object) -> str:
        keys = {
            "request_id": "r1",
            "route": "reads",
            "service": "stock",
            "status": 503,
            "reason": "overloaded",
            "execution": "not_run",
            "sends": 0,
            "came_back": False,
            "waiting": 3,
            "took_ms": 250,
        }
        return make_line("refused", at, **{**keys, **changes})

    return make
