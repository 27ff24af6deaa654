"""A stand-in for the platform's store, by its published calls, and settings files."""

import copy
import json
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest
import structlog

from tanagercourse.gateway.callers import CallerParts, Connections, serve_caller
from tanagercourse.gateway.messages import Answer, CallerRequest
from tanagercourse.routing.configuration import DEFAULT_LIMITS
from tanagercourse.testing.gateways import listen

PAGE = 2


class StoreStandIn:
    """Objects by kind and name, with revisions, watches and troubles.

    Attributes:
        status: Answered to every call in place of the truth, when it isn't 200.
        forgotten: Revisions up to this one have no history.
        calls: What was asked.
    """

    def __init__(self) -> None:
        self.status = 200
        self.forgotten = 0
        self.calls: list[str] = []
        self.revision = 0
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Write an object as an operator or an upstream would."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1}
        stored = {"metadata": metadata, "specification": specification, "status": None}
        self._objects[(kind, name)] = stored
        self._tell(kind, stored, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._tell(kind, self._objects.pop((kind, name)), True)

    async def respond(self, request: CallerRequest) -> Answer:
        """Answer one call."""
        target = request.target.decode()
        self.calls.append(f"{request.method.decode()} {target}")
        if self.status != 200:
            return _json(self.status, {"error": "away"})
        path, _, query = target.partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if request.method == b"GET" and "watch" in fields:
            return await self._watch(kind, int(fields["watch"]), fields["wait_ms"])
        if request.method == b"GET" and not name:
            return self._list(kind, fields.get("after", ""))
        if request.method == b"GET":
            found = self._objects.get((kind, name))
            return _json(200, found) if found else _json(404, {})
        return self._write(request, kind, name, fields)

    def _write(
        self, request: CallerRequest, kind: str, name: str, fields: dict[str, str]
    ) -> Answer:
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        found = self._objects.get((kind, name))
        given = int(fields.get("revision", metadata.get("revision", 0)))
        if found and given != found["metadata"]["revision"]:
            return _json(409, found)
        if request.method != b"POST" and not found:
            return _json(404, {})
        if request.method == b"DELETE":
            self.delete(kind, name)
            return _json(200, found)
        self.put(kind, name, body["specification"])
        return _json(200, self._objects[(kind, name)])

    def _list(self, kind: str, after: str) -> Answer:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[(kind, name)] for name in names[:PAGE]]
        more = len(names) > PAGE
        page = {"items": items, "more": more, "at_revision": self.revision}
        return _json(200, page)

    async def _watch(self, kind: str, after: int, wait_ms: str) -> Answer:
        if after < self.forgotten:
            return _json(410, {"error": "history"})
        with anyio.move_on_after(int(wait_ms) / 1000):
            while not self._since(kind, after):
                await self._changed.wait()
        events = self._since(kind, after)
        return _json(200, {"events": events, "at_revision": self.revision})

    def _since(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "deleted": deleted}
            for revision, of, stored, deleted in self._events
            if of == kind and revision > after
        ]

    def _tell(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self._events.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = anyio.Event()


def _json(status: int, body: Any) -> Answer:
    encoded = json.dumps(body).encode()
    return Answer(status, b"Any", ((b"Content-Type", b"application/json"),), encoded)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def store() -> StoreStandIn:
    return StoreStandIn()


@pytest.fixture
async def store_port(anyio_backend: str, store: StoreStandIn) -> AsyncIterator[int]:
    """Run the stand-in on loopback; return its port."""
    parts = CallerParts(
        store.respond,
        lambda: DEFAULT_LIMITS,
        Connections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    async with anyio.create_task_group() as tasks:
        yield await tasks.start(listen, partial(serve_caller, parts))
        tasks.cancel_scope.cancel()


def settings_of(store_port: int, ports: tuple[int, int, int]) -> dict[str, Any]:
    callers, ready, look_ups = (f"127.0.0.1:{port}" for port in ports)
    return {
        "self": {
            "node_name": "front-a1-1",
            "ip_address": "127.0.0.1",
            "zone": "a1",
            "region": "a",
            "unknown": {"to": "us"},
        },
        "network": {
            "listen": {"frontend": callers, "ready": ready, "directory": look_ups},
            "internal_port_range": [7540, 7555],
            "zones": {"a1": "a", "b1": "b"},
        },
        "platform": {"platform": {"address": f"127.0.0.1:{store_port}"}},
        "terms": {"bounds": {"grace_period_s": 6, "retry_budget_ratio": 0.2}},
    }


CONFIGURATION: dict[str, Any] = {
    "version": "0000000c",
    "services": [
        {
            "name": "stock",
            "health_path": "/health",
            "connection_limit": 360,
            "cold_start_s": 3.0,
            "cold_per_s": 2.7,
        }
    ],
    "limits": {
        "header_bytes": 16384,
        "body_bytes": 65536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "hosts": [
        {
            "host": "h.example",
            "paths": [
                {
                    "name": "r-1",
                    "path_prefix": "/safe/",
                    "kind": "idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 400,
                    "attempts": 2,
                    "priority": 0,
                    "sticky_sessions": True,
                    "home_regions": [],
                    "split": [
                        {"service": "stock", "weight": 90},
                        {"service": "other", "weight": 10},
                    ],
                },
                {
                    "name": "r-2",
                    "path_prefix": "/once/",
                    "kind": "non_idempotent",
                    "timeout_ms": 4000,
                    "target_latency_ms": 600,
                    "attempts": 1,
                    "priority": 1,
                    "service": "stock",
                    "home_regions": ["a"],
                },
            ],
        }
    ],
}


def entry_of(port: int, **changes: Any) -> dict[str, Any]:
    entry = {
        "service": "stock",
        "address": f"127.0.0.1:{port}",
        "zone": "a1",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1770000000000,
    }
    return {**entry, **changes}


@pytest.fixture
def configuration() -> dict[str, Any]:
    return copy.deepcopy(CONFIGURATION)


@pytest.fixture
def make_entry() -> Callable[..., dict[str, Any]]:
    return entry_of


@pytest.fixture
def make_settings(tmp_path: Path) -> Callable[..., Path]:
    """Return what writes a settings file and returns its path."""

    def make(store_port: int, ports: tuple[int, int, int]) -> Path:
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings_of(store_port, ports)))
        return path

    return make
