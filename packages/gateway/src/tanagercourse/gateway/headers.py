"""Names and parsing of the headers between callers, this system and upstreams."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from tanagercourse.core.ids import AffinityKey, ApiKey

Headers = tuple[tuple[bytes, bytes], ...]

# Longest time that a header may state, in milliseconds: one day.
MAX_STATED_MS = 86_400_000
MAX_STATED_S = MAX_STATED_MS / 1000
# Maximum number of requests that an upstream may report as running or as waiting.
MAX_REPORTED_REQUESTS = 100_000
_SECONDS = re.compile(rb"[0-9]+(\.[0-9]*)?")
_WHOLE_SECONDS = re.compile(rb"[0-9]+")
_BEARER = re.compile(rb"bearer +([\x21-\x7e]+)", re.IGNORECASE)


@dataclass(frozen=True)
class HeaderNames:
    """Header names, in the case in which they are sent.

    Attributes:
        request_id: Id of one attempt by the caller.
        deadline_ms: Time that the sender will wait for the response, in milliseconds.
        expected_upstream: Id of the only upstream that may run the request.
        affinity_cookie: Name of the cookie that contains the affinity key.
        not_run: In an upstream's response: present if the request did not run.
        load: In an upstream's response: the load as `running,waiting,slots`.
        upstream_id: In a health response: id of the upstream.
        cold_ms: In a health response: remaining time of the cold start, in
            milliseconds.
        leaving: In an upstream's response: 1 if the upstream wants no new requests.
        proof: In an upstream's response: proof that the upstream made it, without which
            no success counts.
        tenant: In a request to an upstream: name of the request's tenant.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_upstream: bytes
    affinity_cookie: bytes
    not_run: bytes
    load: bytes
    upstream_id: bytes
    cold_ms: bytes
    leaving: bytes
    proof: bytes
    tenant: bytes


@dataclass(frozen=True)
class ReportedLoad:
    """Load reported by an upstream.

    Attributes:
        running: Requests that are running.
        waiting: Requests in the upstream's queue.
    """

    running: int
    waiting: int


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is missing.

    >>> find_header(((b"Host", b"a"),), b"host")
    b'a'
    """
    lower_name = name.lower()
    for key, value in headers:
        if key.lower() == lower_name:
            return value
    return None


def read_affinity(
    headers: Iterable[tuple[bytes, bytes]], cookie: bytes
) -> AffinityKey | None:
    """Return the affinity key from a request's cookies, None if it is missing.

    >>> read_affinity(((b"cookie", b"a=1; k=17"),), b"k")
    '17'
    """
    for key, value in headers:
        if key.lower() != b"cookie":
            continue
        for part in value.split(b";"):
            name, _, text = part.strip().partition(b"=")
            if name == cookie:
                return AffinityKey(text.decode("latin-1"))
    return None


def read_api_key(headers: Iterable[tuple[bytes, bytes]]) -> ApiKey | None:
    """Return the API key of a request, None without a single well-formed one.

    >>> read_api_key([(b"Authorization", b"Bearer k1")])
    b'k1'
    >>> read_api_key([(b"Authorization", b"Basic k1")]) is None
    True
    """
    fields = [value for key, value in headers if key.lower() == b"authorization"]
    if len(fields) != 1:
        return None
    bearer = _BEARER.fullmatch(fields[0].strip())
    return ApiKey(bearer.group(1)) if bearer else None


def read_milliseconds(text: bytes | None) -> float | None:
    """Convert a header in milliseconds to seconds.

    Returns:
        The time, at most MAX_STATED_MS, or None if the header is missing or not an
        integer.

    >>> read_milliseconds(b"250"), read_milliseconds(b"soon")
    (0.25, None)
    """
    if text is None:
        return None
    try:
        return min(int(text), MAX_STATED_MS) / 1000
    except (ValueError, OverflowError):
        return None


def read_retry_after(fields: Iterable[bytes]) -> float | None:
    """Return the time that Retry-After states, in seconds.

    Only a number of seconds counts, with or without a fraction. A negative number, a
    date, an empty field and anything else state nothing. Of several fields the longest
    time counts.

    Args:
        fields: Values of the header, as often as it occurs.

    Returns:
        The time, at most MAX_STATED_MS, or None if no field states one.

    >>> read_retry_after([b"0.5", b"2"]), read_retry_after([b"9" * 400])
    (2.0, 86400.0)
    >>> read_retry_after([b"-1"]), read_retry_after([b"inf"]), read_retry_after([])
    (None, None, None)
    """
    times_s = [
        min(float(field), MAX_STATED_S)
        for field in fields
        if _SECONDS.fullmatch(field.strip())
    ]
    return max(times_s, default=None)


def read_keep_alive_timeout(text: bytes | None) -> float | None:
    """Return the idle time that a Keep-Alive header states, in seconds.

    Returns:
        The time, at most MAX_STATED_S, or None if the header is missing or states no
        whole number of seconds.

    >>> read_keep_alive_timeout(b"max=5, timeout=15")
    15.0
    >>> read_keep_alive_timeout(b"timeout=" + b"9" * 400)
    86400.0
    >>> read_keep_alive_timeout(b"timeout=-1") is None
    True
    """
    for directive in (text or b"").split(b","):
        name, _, value = directive.strip().partition(b"=")
        if name.lower() == b"timeout" and _WHOLE_SECONDS.fullmatch(value):
            return min(float(value), MAX_STATED_S)
    return None


def read_load(text: bytes | None) -> ReportedLoad | None:
    """Parse a load header; return None if it is missing, malformed or implausible.

    >>> read_load(b"3,0,8")
    ReportedLoad(running=3, waiting=0)
    >>> read_load(b"busy") is None and read_load(b"-3,0,8") is None
    True
    """
    if text is None:
        return None
    try:
        running, waiting = (int(part) for part in text.split(b",")[:2])
    except ValueError:
        return None
    if not (
        0 <= running <= MAX_REPORTED_REQUESTS and 0 <= waiting <= MAX_REPORTED_REQUESTS
    ):
        return None
    return ReportedLoad(running, waiting)
