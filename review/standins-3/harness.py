"""Stand-ins for the cases of this review: store, upstreams, clients and instances.

Everything listens on loopback addresses and uses free ports. The instances are real
processes, started with the command of the deploy file.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = (sys.executable, "-m", "tanagercourse.adapter.main")
ZONES = {"split-a": "jadran", "osijek-a": "panonija", "gospic-a": "gorje"}
HOST = "h.example"
BOUNDS = {
    "stability_window_ms": 3000,
    "drain_period_ms": 2500,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "configuration_apply_ms": 2500,
    "regression_bound_ms": 250,
    "outer_bound_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 60,
    "evacuation_ms": 5000,
}


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started_s = time.monotonic()
        self._file = Path(path).open("w")

    def now_s(self):
        return time.monotonic() - self.started_s

    def write(self, text):
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Message:
    """A request or a response: its first line, headers and body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name):
        return self.headers.get(name.lower())


async def read_message(reader):
    """Read a message; return None if the channel ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the channel ended within a head") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def encode(first, headers, body=b""):
    """Encode a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if "204" not in first:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store, as PROTOCOL.md describes it; nothing in it fails."""

    def __init__(self):
        self.revision = 500
        self.era = 1
        self.is_away = False
        self.objects = {}
        self.events = []
        self.oldest = self.revision
        self._changed = asyncio.Event()
        self._writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, specification):
        stored = self.objects.get((kind, name))
        if stored is not None and stored["specification"] == specification:
            return
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": stored["metadata"]["created"] if stored else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[(kind, name)] = stored
        self._add_event(kind, stored, False)

    def delete(self, kind, name):
        self.revision += 1
        stored = self.objects.pop((kind, name))
        metadata = {**stored["metadata"], "revision": self.revision}
        self._add_event(kind, {**stored, "metadata": metadata}, True)

    def copy(self):
        """Return a copy of the data, from which the store may come back."""
        return (self.revision, dict(self.objects), list(self.events), self.oldest)

    def go_away(self):
        """Close all channels, and each new one until the store is back."""
        self.is_away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def come_back(self, copied=None):
        """Answer again, from an older copy if there is one."""
        if copied is not None:
            self.revision, self.objects, self.events, self.oldest = copied
            self.era += 1
        self.is_away = False

    def _add_event(self, kind, stored, is_deleted):
        event = {"object": stored, "deleted": is_deleted}
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", str(self.era)),
                ]
                first = f"HTTP/1.1 {status} Answer"
                writer.write(encode(first, headers, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method != "GET":
            return 503, {}
        if name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if "watch" in fields:
            return await self._watch(kind, int(fields["watch"]), int(fields["wait_ms"]))
        items = [
            stored
            for (object_kind, _), stored in sorted(self.objects.items())
            if object_kind == kind
        ]
        return 200, {"items": items, "more": False, "at_revision": self.revision}

    async def _watch(self, kind, after, wait_ms):
        era, end_s = self.era, time.monotonic() + wait_ms / 1000
        while True:
            if after > self.revision or after < self.oldest or era != self.era:
                return 410, {}
            found = [
                event
                for revision, event_kind, event in self.events
                if event_kind == kind and revision > after
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at_revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Upstream:
    """An upstream with slots, a short queue and refusals beyond it.

    Attributes:
        work_s: Called with a request; returns how long its run takes, in seconds.
        arrivals: Times and ids of the requests that arrived.
        refused: The same of those that were refused as not run.
        runs: The same of those that began to run.
        answered: When each answer was complete, by id.
    """

    def __init__(self, record, name, service, zone, slots=2, queue=2):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = lambda request: 0.05
        self.running = 0
        self.waiting = 0
        self.runs = []
        self._others = []
        self.arrivals = []
        self.refused = []
        self.answered = {}
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **changes):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 4,
            "born": self.born,
            **changes,
        }

    def fill(self, work_s):
        """Keep every free slot and place taken by other machines' requests.

        Args:
            work_s: How long one of these requests runs, in seconds.
        """

        async def be_other_caller():
            while True:
                if await self._take_slot():
                    try:
                        await asyncio.sleep(work_s)
                    finally:
                        self.running -= 1
                await asyncio.sleep(0.004)

        for _ in range(self.slots + 2 * self.queue):
            self._others.append(asyncio.create_task(be_other_caller()))

    async def _take_slot(self):
        """Wait for a slot; return whether there was one or room in the queue."""
        if self.running >= self.slots and self.waiting >= self.queue:
            return False
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.005)
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                work = asyncio.ensure_future(self.answer(request))
                left = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((work, left), return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # The caller closed the channel: the request is dropped.
                    work.cancel()
                    return
                left.cancel()
                await asyncio.wait((left,))
                writer.write(work.result())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        if request.first.split(" ")[1] == "/health":
            return encode(
                "HTTP/1.1 200 OK", [("X-Tanagercourse-Instance-Id", self.name)]
            )
        request_id = request.get("X-Tanagercourse-Attempt-Id")
        echo = [("X-Tanagercourse-Attempt-Id", request_id)]
        self.arrivals.append((time.monotonic(), request_id))
        if request.get("X-Tanagercourse-Expected-Instance") != self.name:
            return encode("HTTP/1.1 421 Misdirected", echo)
        if not await self._take_slot():
            self.record.write(f"{self.name} refuses {request_id} as not run (full)")
            self.refused.append((time.monotonic(), request_id))
            refusal = [
                *echo,
                ("X-Tanagercourse-Not-Executed", "1"),
                self._load_header(),
            ]
            return encode("HTTP/1.1 503 Full", refusal)
        self.runs.append((time.monotonic(), request_id))
        self.record.write(f"{self.name} runs {request_id}")
        try:
            await asyncio.sleep(self.work_s(request))
            proof = ("X-Tanagercourse-Response-Signature", f"{self.name}.{request_id}")
            self.answered[request_id] = time.monotonic()
            self.record.write(f"{self.name} answers {request_id}")
            headers = [*echo, proof, self._load_header()]
            return encode("HTTP/1.1 200 OK", headers, f"body {request_id}".encode())
        finally:
            self.running -= 1

    def _load_header(self):
        load = f"{self.running},{self.waiting},{self.slots}"
        return ("X-Tanagercourse-Server-Load", load)


def route(name, prefix, kind, service, timeout_ms, target_ms, priority=0, attempts=2):
    return {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": priority,
        "service": service,
        "attempts": attempts,
        "sticky_sessions": True,
        "home_regions": [],
    }


def config(version, routes, services):
    return {
        "version": f"{version:08x}",
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "connection_limit": 360,
                "cold_start_s": 3.0,
                "cold_per_s": 4.1,
            }
            for service in services
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "hosts": [{"host": HOST, "paths": routes}],
    }


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Instance:
    """One machine's process, with settings as `fleetbench wire` shows them."""

    def __init__(self, number, zone, store, folder, memory_mb=300):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"127.0.4.{number}"
        self.folder = Path(folder)
        self.memory_mb = memory_mb
        self.store = store
        front, ready, control, directory = free_ports(self.host, 4)
        self.front, self.ready, self.control = front, ready, control
        self.directory = directory
        self.process = None

    def write_settings(self, seeds):
        at = f"{self.host}:"
        listen = {
            "frontend": f"{at}{self.front}",
            "ready": f"{at}{self.ready}",
            "control_plane": f"{at}{self.control}",
            "directory": f"{at}{self.directory}",
        }
        store = {
            "address": f"127.0.0.1:{self.store.port}",
            "form": "objects",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "minimum_ttl_ms": 1000,
        }
        settings = {
            "self": {
                "node_name": self.name,
                "role": "entry",
                "machine_class": "front",
                "serves": ["front", "control", "directory"],
                "ip_address": self.host,
                "zone": self.zone,
                "region": ZONES[self.zone],
                "first_start": True,
                "data_directory": None,
                "limits": {
                    "cpu_share": 0.86,
                    "cpu_cores": 1,
                    "memory_mb": self.memory_mb,
                    "file_descriptors": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
            },
            "network": {
                "listen": listen,
                "internal_port_range": [7540, 7555],
                "seeds": seeds,
                "zones": ZONES,
            },
            "platform": {
                "discovery": "platform",
                "entry": "directory",
                "heartbeat_interval_ms": 1500,
                "platform": store,
            },
            "terms": {"contracts": ["base", "platform"], "bounds": BOUNDS},
        }
        self.settings_path = self.folder / f"{self.name}.json"
        self.settings_path.write_text(json.dumps(settings))

    async def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TANAGERCOURSE_BOOT": str(self.settings_path),
        }
        self.log_path = self.folder / f"{self.name}.log"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=20):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            try:
                answer = await ask(
                    self.host, self.ready, "GET", "/readiness", [("Host", "x")], 1.0
                )
                if answer is not None and answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} did not become ready")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class CouldNotRunError(Exception):
    """The case could not run."""


async def ask(host, port, method, target, headers, timeout_s, body=b""):
    """Send one request on a new channel; return the answer, None if it has none."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            return await read_message(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


def request_headers(request_id, deadline_ms, key=None):
    headers = [
        ("Host", HOST),
        ("X-Tanagercourse-Attempt-Id", request_id),
        ("X-Tanagercourse-Deadline-Ms", str(int(deadline_ms))),
    ]
    if key is not None:
        headers.append(("Cookie", f"X-Tanagercourse-Affinity-Key={key}"))
    return headers


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not.

    Args:
        case: Coroutine function that gets the record, a temporary folder and whether
            the trouble is on; returns whether the rule held. It appends what must be
            stopped to the list that it gets last.
        folder: Folder of record.txt.
    """
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        to_stop = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    case(record, temporary, has_trouble, to_stop), 110
                )
            finally:
                for each in to_stop:
                    await each.stop()
                if os.environ.get("KEEP_LOGS"):
                    for log in Path(temporary).glob("*.log"):
                        Path(os.environ["KEEP_LOGS"], log.name).write_bytes(
                            log.read_bytes()
                        )

    try:
        held = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        record.write(f"could not run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
