"""Stand-ins for the platform's store, upstreams and clients, and processes under test.

Standard library only. The store and the upstreams run in the driver's event loop; the
instances run as separate processes with the command of the deploy file.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "jepu9.example"
# Limits of a page of a listing: "about 500 or 1 MB at most".
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Http:
    """A received HTTP/1.1 message head."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Read a message head; return None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Http(lines[0].split(" ", 2), headers)


async def read_request(reader):
    """Return the head and the body of a request, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head, body


def encode(status, reason, body=b"", **headers):
    """Encode a complete response."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, listings, watches."""

    def __init__(self):
        self.revision = 10
        self.calls = 0
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._connections = set()

    async def start(self, host="127.0.0.1"):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def put(self, kind, name, specification):
        """Write an object; a specification in bytes is stored as it is."""
        if not isinstance(specification, bytes):
            specification = json.dumps(specification).encode()
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1}
        metadata.update(finalizers=[], deleting=False)
        text = b'{"metadata":%s,"specification":%s,"status":null}' % (
            json.dumps(metadata).encode(),
            specification,
        )
        self._objects.setdefault(kind, {})[name] = text
        self._add_event(kind, text, b"false")

    def delete(self, kind, name):
        """Remove an object."""
        self.revision += 1
        self._add_event(kind, self._objects[kind].pop(name), b"true")

    def _add_event(self, kind, text, deleted):
        event = b'{"object":%s,"deleted":%s}' % (text, deleted)
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                await asyncio.sleep(0.004)
                writer.write(await self._answer(request[0]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The other side left, or the case ends.
            pass
        finally:
            writer.close()

    async def _answer(self, head):
        path, _, query = head.first[1].partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if head.first[0] != "GET":
            return encode(404, "Not Found")
        if "watch" in fields:
            body = await self._watch(kind, int(fields["watch"]), fields["wait_ms"])
        elif name:
            text = self._objects.get(kind, {}).get(name)
            if text is None:
                return encode(404, "Not Found")
            body = text
        else:
            body = self._list(kind, fields.get("after", ""))
        return encode(200, "OK", body, Content_Type="application/json")

    def _list(self, kind, after):
        page, size, more = [], 0, b"false"
        for name, text in sorted(self._objects.get(kind, {}).items()):
            if name <= after:
                continue
            if page and (len(page) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                more = b"true"
                break
            page.append(text)
            size += len(text)
        return b'{"items":[%s],"more":%s,"at_revision":%d}' % (
            b",".join(page),
            more,
            self.revision,
        )

    async def _watch(self, kind, after, wait_ms):
        deadline = time.monotonic() + int(wait_ms) / 1000
        while True:
            events = [e for r, k, e in self._events if k == kind and r > after]
            left = deadline - time.monotonic()
            if events or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        return b'{"events":[%s],"at_revision":%d}' % (b",".join(events), self.revision)


class Upstream:
    """An upstream that runs each request for some time and answers it whole."""

    def __init__(self, record, name, service, work_s=0.1, body_bytes=1000, slots=4):
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.body_bytes = body_bytes
        self.slots = slots
        self.runs = []
        self.health_headers = {}
        self._server = None
        self._writers = set()
        self._free = asyncio.Semaphore(slots)
        self.port = None
        self.born = int(time.time() * 1000)

    async def start(self):
        self.port = self.port or free_port()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512
        )

    def crash(self):
        """Close the listener and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self, **changes):
        """Return the upstream's registration."""
        fields = dict(service=self.service, address=f"127.0.0.1:{self.port}")
        fields.update(zone="split-a", version="v1", slots=self.slots, state="ready")
        fields.update(cold_remaining_ms=0, sequence=4, born=self.born)
        return {**fields, **changes}

    def must_close(self, head):
        """Return whether the channel is closed after the answer to a request."""
        return False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(request[0]))
                await writer.drain()
                if self.must_close(request[0]):
                    break
        except (ConnectionError, asyncio.CancelledError):
            # The other side left, or the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head):
        method, target, _ = head.first
        if target == "/health":
            return encode(
                200,
                "OK",
                X_Tanagercourse_Instance_Id=self.name,
                **self.health_headers,
            )
        attempt = head.get("X-Tanagercourse-Attempt-Id")
        own = {"X-Tanagercourse-Attempt-Id": attempt}
        if head.get("X-Tanagercourse-Expected-Instance", self.name) != self.name:
            own["X-Tanagercourse-Not-Executed"] = "1"
            return encode(421, "Misdirected Request", **own)
        async with self._free:
            self.runs.append(attempt)
            self.record(f"run {attempt} {method} {target} at {self.name}")
            await asyncio.sleep(self.work_s)
        own["X-Tanagercourse-Response-Signature"] = f"3e1b.{attempt}"
        return encode(200, "OK", b"d" * self.body_bytes, **own)


def make_config(version, routes, **limits):
    """Return a config with one host; a route is (name, prefix, service, kind)."""
    bounds = dict(header_bytes=16384, body_bytes=67108864)
    bounds.update(header_timeout_ms=3000, idle_timeout_ms=15000)
    bounds.update(limits)
    paths = [
        dict(
            name=name,
            path_prefix=prefix,
            service=service,
            kind=kind,
            timeout_ms=4000,
            target_latency_ms=2000,
            attempts=2,
            priority=0,
            sticky_sessions=False,
            home_regions=[],
        )
        for name, prefix, service, kind in routes
    ]
    services = [
        dict(
            name=service,
            health_path="/health",
            connection_limit=360,
            cold_start_s=3.0,
            cold_per_s=4.1,
        )
        for service in sorted({route[2] for route in routes})
    ]
    return dict(
        version=f"{version:08x}",
        services=services,
        limits=bounds,
        hosts=[dict(host=HOST_NAME, paths=paths)],
    )


def free_port(host="127.0.0.1"):
    """Return a free port below those that connections are opened from."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Instance:
    """One process of the role `entry`, with the command of the deploy file."""

    def __init__(self, folder, store, name="front-split-a-1", descriptors=4100):
        self.name = name
        self.folder = Path(folder) / name
        self.folder.mkdir()
        self.descriptors = descriptors
        self.process = None
        ports = [free_port() for _ in range(4)]
        self.port, self.ready_port, self.control_port, self.directory_port = ports
        address = [f"127.0.0.1:{port}" for port in ports]
        self.control_address = address[2]
        zones = {"split-a": "jadran", "osijek-a": "panonija"}
        limits = dict(cpu_share=0.86, cpu_cores=1, memory_mb=300)
        limits.update(file_descriptors=descriptors, link_mbps=1000.0, disk_mb=0)
        bounds = dict(stability_window_ms=3000, drain_period_ms=2500)
        bounds.update(grace_period_s=6, loss_slack_ms=200, ttl_max_s=5)
        bounds.update(configuration_apply_ms=2500, evacuation_ms=5000, recovery_s=15)
        bounds.update(retry_budget_ratio=0.2, budget_window_s=10, retry_budget_slack=60)
        self.settings = {
            "self": {
                "node_name": name,
                "role": "entry",
                "machine_class": "front",
                "serves": ["front", "control", "directory"],
                "ip_address": "127.0.0.1",
                "zone": "split-a",
                "region": "jadran",
                "first_start": True,
                "limits": limits,
            },
            "network": {
                "listen": dict(
                    frontend=address[0],
                    ready=address[1],
                    control_plane=address[2],
                    directory=address[3],
                ),
                "internal_port_range": [7540, 7555],
                "seeds": [address[2]],
                "zones": zones,
            },
            "platform": {
                "heartbeat_interval_ms": 1500,
                "platform": dict(
                    address=store.address,
                    form="objects",
                    writes_per_s=400,
                    reads_per_s=2000,
                    history_s=20,
                    value_bytes=1048576,
                ),
            },
            "terms": {"bounds": bounds},
        }

    async def start(self):
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps(self.settings))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME")}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TANAGERCOURSE_BOOT"] = str(settings)
        command = ["-m", "tanagercourse.adapter.main"]

        def limit_descriptors():
            # The platform limits the descriptors of each process.
            import resource

            limit = (self.descriptors, self.descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limit)

        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                *command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )

    def log(self):
        return (self.folder / "log").read_text(errors="replace")

    @property
    def has_ended(self):
        return self.process.returncode is not None

    async def is_ready(self):
        try:
            status = await asyncio.wait_for(get_status(self.ready_port, "/readiness"), 1)
        except (OSError, TimeoutError):
            return False
        return status == 200

    async def wait_until_ready(self, within_s=15.0):
        end = time.monotonic() + within_s
        while time.monotonic() < end and not self.has_ended:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self.process is not None and not self.has_ended:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def get_status(port, path):
    """Return the status of a GET on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode())
        head = await read_head(reader)
        return None if head is None else int(head.first[1])
    finally:
        writer.close()


def request_bytes(attempt, path, method="GET", deadline_ms=8000, body=b""):
    """Encode a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Tanagercourse-Attempt-Id: {attempt}",
        f"X-Tanagercourse-Deadline-Ms: {deadline_ms}",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def run_case(folder, main):
    """Run a case and exit with 1 if the rule was broken, 0 if not, 2 if it can't run.

    Args:
        folder: Folder of the case, for record.txt.
        main: Called with the record, a temporary folder and a list of instances, which
            are ended after it; returns whether the rule was broken.
    """
    record = Record(folder)
    instances = []

    async def run(temporary):
        try:
            return await asyncio.wait_for(main(record, temporary, instances), 110)
        finally:
            for instance in instances:
                await instance.end()

    temporary = tempfile.mkdtemp(prefix="review-")
    # The instances are ended too if the time limit of run.sh ends this process.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run(temporary))
    except (CannotRun, TimeoutError, OSError) as error:
        record(f"cannot run: {error!r}")
        for instance in instances:
            record(f"log of {instance.name}: {instance.log()[-2000:]}")
        sys.exit(2)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record("BROKEN" if broken else "held")
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
