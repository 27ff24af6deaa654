"""Tests that malformed input gives an error that names the field, not a traceback."""

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
REQUIRED_FLAGS = [
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
async def test_refusal_of_malformed_request_names_the_field(
    http: httpx.AsyncClient,
    entry_url: str,
    faulty_upstream: FaultyUpstream,
    path: str,
    headers: dict[str, str],
    field: str,
) -> None:
    response = await http.get(entry_url + path, headers=headers)
    assert 400 <= response.status_code < 500
    assert response.json()["field"] == field
    assert response.headers["x-execution"] == "not_run"
    assert faulty_upstream.runs.total() == 0


@pytest.mark.anyio
async def test_body_over_the_limit_is_refused(
    http: httpx.AsyncClient, entry_url: str, faulty_upstream: FaultyUpstream
) -> None:
    body = b"x" * (MAX_BODY_BYTES + 1)
    response = await http.post(entry_url + ORDERS, content=body)
    assert response.status_code == httpx.codes.REQUEST_ENTITY_TOO_LARGE
    assert response.json()["field"] == "body"
    assert faulty_upstream.runs.total() == 0


@pytest.mark.anyio
async def test_request_for_unknown_service_is_refused_without_being_run(
    http: httpx.AsyncClient, entry_url: str
) -> None:
    response = await http.get(entry_url + "/v1/services/nothing/")
    assert response.status_code == httpx.codes.NOT_FOUND
    assert response.headers["x-execution"] == "not_run"


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
async def test_no_input_causes_a_server_error(
    http: httpx.AsyncClient, entry_url: str, path: str, value: str
) -> None:
    headers = {"x-request-deadline-ms": value, "idempotency-key": value}
    url = f"{entry_url}/{quote(path)}?client={quote(value)}"
    response = await http.get(url, headers=headers)
    assert response.status_code < 500
    lookup_response = await http.get(entry_url + "/v1/lookup", params={"client": value})
    assert lookup_response.status_code in (200, 400)


@settings(derandomize=True, max_examples=50)
@given(
    st.text(
        st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=99
    ),
    st.integers(1, 600_000),
)
def test_request_metadata_survives_encoding_in_headers(
    key: str, deadline_ms: int
) -> None:
    metadata = RequestMetadata(None, float(deadline_ms), IdempotencyKey(key))
    assert read_request_metadata(write_request_metadata(metadata)).unwrap() == metadata


@pytest.mark.parametrize(
    ("flags", "expected_flag"),
    [
        (["--host", "here"], "--host"),
        (["--zone", "split a"], "--zone"),
        (["--platform-url", "ftp://x"], "--platform-url"),
        (["--port", "70000"], "--port"),
        (["--stop-timeout-s", "0"], "--stop-timeout-s"),
        (["--log-format", "xml"], "--log-format"),
    ],
)
def test_start_with_invalid_flag_names_the_flag(
    flags: list[str], expected_flag: str
) -> None:
    process = run_entry(*flags)
    assert process.returncode == 2
    assert expected_flag in process.stderr
    assert "Traceback" not in process.stderr


@pytest.mark.parametrize("flag", ["--port", "--peer-port"])
def test_start_on_a_port_in_use_names_the_flag(flag: str) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        other_flag = "--peer-port" if flag == "--port" else "--port"
        process = run_entry(flag, str(listener.getsockname()[1]), other_flag, "0")
    assert process.returncode == 3
    assert f" {flag} " in process.stderr
    assert "Traceback" not in process.stderr


def run_entry(*flags: str) -> subprocess.CompletedProcess[str]:
    command = [
        sys.executable,
        "-m",
        "tanagercourse.entry.main",
        *REQUIRED_FLAGS,
        *flags,
    ]
    return subprocess.run(command, capture_output=True, text=True, timeout=20)
