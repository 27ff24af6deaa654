"""Names of the headers by which callers, this system and upstreams speak."""

from collections.abc import Iterable
from dataclasses import dataclass

from tanagercourse.core.ids import AffinityKey

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class HeaderNames:
    """Header names, in the case in which they are sent.

    Attributes:
        request_id: Id of one attempt of a caller.
        deadline_ms: How long its sender will wait, in milliseconds.
        expected_upstream: The only upstream that may run the request.
        affinity_cookie: Name of the cookie that holds the object's key.
        not_run: In an upstream's answer: the request did not run.
        load: In an upstream's answer: running, waiting, slots.
        upstream_id: In a health answer: who answers.
        cold_ms: In a health answer: how long it stays cold, in milliseconds.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_upstream: bytes
    affinity_cookie: bytes
    not_run: bytes
    load: bytes
    upstream_id: bytes
    cold_ms: bytes


@dataclass(frozen=True)
class ReportedLoad:
    """What an upstream says of its load."""

    running: int
    waiting: int


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return a header's first value, None when it is missing.

    >>> find_header(((b"Host", b"a"),), b"host")
    b'a'
    """
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None


def read_affinity(
    headers: Iterable[tuple[bytes, bytes]], cookie: bytes
) -> AffinityKey | None:
    """Return the object's key from a request's cookies.

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


def read_milliseconds(text: bytes | None) -> float | None:
    """Return a time in seconds from a header in milliseconds.

    Returns:
        The time, or None when the header is missing or holds no number.

    >>> read_milliseconds(b"250"), read_milliseconds(b"soon")
    (0.25, None)
    """
    if text is None:
        return None
    try:
        return int(text) / 1000
    except ValueError:
        return None


def read_load(text: bytes | None) -> ReportedLoad | None:
    """Return what a load header says, None when it says nothing of use.

    >>> read_load(b"3,0,8")
    ReportedLoad(running=3, waiting=0)
    >>> read_load(b"busy") is None
    True
    """
    if text is None:
        return None
    try:
        running, waiting = (int(part) for part in text.split(b",")[:2])
    except ValueError:
        return None
    return ReportedLoad(running, waiting)
