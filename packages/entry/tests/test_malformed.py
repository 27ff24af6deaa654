"""Malformed input: each is a typed error that names the field, never a traceback."""

import socket
import subprocess
import sys
from urllib.parse import quote

import httpx
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import IdempotencyKey
from tanagercourse.testing.faulty_upstream import FaultyUpstream
from tanagercourse.web.asgi import MAX_BODY_BYTES
from tanagercourse.wire.headers import (
    RequestMetadata,
    read_request_metadata,
    write_request_metadata,
)

ORDERS = "/v1/services/orders/"
READS = "/v1/services/reads/"
FLAGS = [
    "--instance",
    "e1",
    "--zone",
    "split-a",
    "--platform-url",
    "http://127.0.0.1:9",
]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("path", "headers", "field"),
    [
        (ORDERS, {"x-request-deadline-ms": "soon"}, "x-request-deadline-ms"),
        (ORDERS, {"x-request-deadline-ms": "-1"}, "x-request-deadline-ms"),
        (ORDERS, {"x-request-deadline-ms": "nan"}, "x-request-deadline-ms"),
        (ORDERS, {"x-request-deadline-ms": "1e9"}, "x-request-deadline-ms"),
        (ORDERS, {"idempotency-key": "k" * 129}, "idempotency-key"),
        (ORDERS, {"x-request-id": ""}, "x-request-id"),
        (ORDERS, {"x-request-id": "a\tb"}, "x-request-id"),
        ("/v1/lookup", {}, "client"),
        ("/v1/lookup?client=10.0.0.300", {}, "client"),
        ("/v1/elsewhere", {}, "path"),
    ],
)
async def test_malformed_request_is_refused_by_its_field(
    http: httpx.AsyncClient,
    entry_url: str,
    broken: FaultyUpstream,
    path: str,
    headers: dict[str, str],
    field: str,
) -> None:
    refused = await http.get(entry_url + path, headers=headers)
    assert 400 <= refused.status_code < 500
    assert refused.json()["field"] == field
    assert refused.headers["x-execution"] == "not_run"
    assert broken.runs.total() == 0


@pytest.mark.anyio
async def test_body_over_the_limit_is_refused(
    http: httpx.AsyncClient, entry_url: str, broken: FaultyUpstream
) -> None:
    body = b"x" * (MAX_BODY_BYTES + 1)
    refused = await http.post(entry_url + ORDERS, content=body)
    assert refused.status_code == httpx.codes.REQUEST_ENTITY_TOO_LARGE
    assert refused.json()["field"] == "body"
    assert broken.runs.total() == 0


@pytest.mark.anyio
async def test_unknown_service_is_refused_not_run(
    http: httpx.AsyncClient, entry_url: str
) -> None:
    refused = await http.get(entry_url + "/v1/services/nothing/")
    assert refused.status_code == httpx.codes.NOT_FOUND
    assert refused.headers["x-execution"] == "not_run"


@pytest.mark.anyio
@settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    path=st.text(st.characters(codec="utf-8"), max_size=30),
    value=st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20),
)
async def test_no_input_ends_in_an_error_of_the_server(
    http: httpx.AsyncClient, entry_url: str, path: str, value: str
) -> None:
    headers = {"x-request-deadline-ms": value, "idempotency-key": value}
    url = f"{entry_url}/{quote(path)}?client={quote(value)}"
    answered = await http.get(url, headers=headers)
    assert answered.status_code < 500
    looked_up = await http.get(entry_url + "/v1/lookup", params={"client": value})
    assert looked_up.status_code in (200, 400)


@settings(derandomize=True, max_examples=50)
@given(
    st.text(
        st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=99
    ),
    st.integers(1, 600_000),
)
def test_facts_survive_their_headers(key: str, deadline_ms: int) -> None:
    facts = RequestMetadata(None, float(deadline_ms), IdempotencyKey(key))
    assert read_request_metadata(write_request_metadata(facts)).unwrap() == facts


@pytest.mark.parametrize(
    ("flags", "named"),
    [
        (["--host", "here"], "--host"),
        (["--zone", "split a"], "--zone"),
        (["--platform-url", "ftp://x"], "--platform-url"),
        (["--port", "70000"], "--port"),
        (["--stop-timeout-s", "0"], "--stop-timeout-s"),
        (["--log-format", "xml"], "--log-format"),
    ],
)
def test_start_with_a_wrong_flag_names_it(flags: list[str], named: str) -> None:
    ended = start(*flags)
    assert ended.returncode == 2
    assert named in ended.stderr
    assert "Traceback" not in ended.stderr


@pytest.mark.parametrize("flag", ["--port", "--peer-port"])
def test_start_on_a_port_in_use_says_so(flag: str) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        other = "--peer-port" if flag == "--port" else "--port"
        ended = start(flag, str(taken.getsockname()[1]), other, "0")
    assert ended.returncode == 3
    assert f" {flag} " in ended.stderr
    assert "Traceback" not in ended.stderr


def start(*flags: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "tanagercourse.entry.main", *FLAGS, *flags]
    return subprocess.run(command, capture_output=True, text=True, timeout=20)
