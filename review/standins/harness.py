"""Small stand-ins of the platform's store, upstreams and clients, and a launcher.

Only the standard library is used. Everything listens on loopback addresses. The
stand-ins follow PROTOCOL.md and DEPLOY.md; faults are methods that a case calls.
"""

import asyncio
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import time
import zlib
from pathlib import Path

REPO = Path(__file__).resolve().parents[2]
START = time.monotonic()

# The bounds of SYSTEM.md, "Preljev Network Spill Reporting Balancer".
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "stability_window_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_period_ms": 2500,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "configuration_apply_ms": 2500,
    "regression_bound_ms": 250,
    "outer_bound_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 60,
    "cold_overshoot": 1.5,
    "cold_slack": 5,
    "evacuation_ms": 5000,
    "recovery_s": 15,
    "ttl_max_s": 5,
    "max_region_shift": 0.15,
}


def now_s():
    """Return the seconds since the case began, on the monotonic clock."""
    return time.monotonic() - START


class Record:
    """The file record.txt of a case: one line for each thing seen."""

    def __init__(self, path):
        self._file = open(path, "w")

    def write(self, event, **fields):
        line = {"t": round(now_s(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


async def read_head(reader):
    """Read one message head; return its first line and headers, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        key, _, value = line.partition(":")
        if key:
            headers[key.strip().lower()] = value.strip()
    return lines[0], headers


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Channel:
    """One channel that a stand-in accepted.

    Attributes:
        peer: Address of the peer.
        is_second: Whether the channel was opened to the store's second address.
        is_silent: Whether nothing is sent on the channel any more. It stays open.
        target: Target of the last request.
    """

    def __init__(self, peer, is_second):
        self.peer = peer
        self.is_second = is_second
        self.is_silent = False
        self.target = ""


class Store:
    """The platform's metadata store: lists, watches and a revision counter."""

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.answer_s = answer_s
        self.revision = 100
        self.channels = []
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self.server = None
        self.is_second_turned_away = False
        self._servers = []

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def start_second(self, host):
        """Listen on another address, whose users can be turned away."""
        second = await asyncio.start_server(self._serve_second, host, 0)
        self._servers.append(second)
        return "{}:{}".format(*second.sockets[0].getsockname()[:2])

    async def _serve_second(self, reader, writer):
        await self._serve(reader, writer, is_second=True)

    def turn_away_second(self, is_turned_away):
        """Start or stop to answer the users of the second address with silence."""
        self.is_second_turned_away = is_turned_away
        for channel in self.channels:
            if is_turned_away and channel.is_second:
                channel.is_silent = True
        self.record.write("store_turns_away", second=is_turned_away)

    def put(self, kind, name, specification):
        """Write an object; a specification in bytes is stored as it is."""
        if not isinstance(specification, bytes):
            specification = json.dumps(specification).encode()
        self.revision += 1
        self._objects[(kind, name)] = (self.revision, specification)
        self._add_event(kind, name, False)
        self.record.write(
            "store_confirmed",
            kind=kind,
            name=name,
            revision=self.revision,
            bytes=len(specification),
            specification=specification[:200].decode("latin-1"),
        )
        return now_s()

    def delete(self, kind, name):
        self.revision += 1
        self._add_event(kind, name, True)
        del self._objects[(kind, name)]
        self.record.write("store_deleted", kind=kind, name=name, revision=self.revision)
        return now_s()

    def _encode(self, kind, name):
        revision, specification = self._objects[(kind, name)]
        metadata = {
            "name": name,
            "revision": revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        return (
            b'{"metadata":'
            + json.dumps(metadata).encode()
            + b',"specification":'
            + specification
            + b',"status":null}'
        )

    def _add_event(self, kind, name, is_deleted):
        flag = b"true" if is_deleted else b"false"
        encoded = (
            b'{"deleted":' + flag + b',"object":' + self._encode(kind, name) + b"}"
        )
        self._events.append((self.revision, kind, encoded))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer, is_second=False):
        channel = Channel(writer.get_extra_info("peername")[0], is_second)
        channel.is_silent = is_second and self.is_second_turned_away
        self.channels.append(channel)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, channel.target, _ = head[0].split(" ")
                body = await self._answer(channel, method)
                if channel.is_silent:
                    self.record.write("store_channel_silent", target=channel.target)
                    await reader.read()
                    return
                writer.write(body)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            if channel in self.channels:
                self.channels.remove(channel)
            writer.close()

    async def _answer(self, channel, method):
        path, _, query = channel.target.partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        kind = path.removeprefix("/objects/")
        await asyncio.sleep(self.answer_s)
        if method != "GET" or "/" in kind:
            return encode_response(404, {}, b"{}")
        if "watch" in fields:
            body = await self._watch(
                kind, int(fields["watch"]), int(fields["wait_ms"]) / 1000
            )
        else:
            names = sorted(name for k, name in self._objects if k == kind)
            items = b",".join(self._encode(kind, name) for name in names)
            body = (
                b'{"items":['
                + items
                + b'],"more":false,"at_revision":%d}' % (self.revision)
            )
        return encode_response(200, {"Content-Type": "application/json"}, body)

    async def _watch(self, kind, after, wait_s):
        ends_s = now_s() + wait_s
        while True:
            events = [e for r, k, e in self._events if k == kind and r > after]
            left_s = ends_s - now_s()
            if events or left_s <= 0:
                return (
                    b'{"events":['
                    + b",".join(events)
                    + b'],"at_revision":%d}' % (self.revision)
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Upstream:
    """An upstream with slots, a queue, a proof and a load header."""

    def __init__(self, record, store, name, service, zone, slots=4, work_s=0.1):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.runs = []
        self._free = asyncio.Semaphore(slots)
        self._writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(
            self._serve, host, 0, limit=256 * 1024 * 1024
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def register(self):
        return self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    def report_draining(self):
        self.state = "draining"
        return self.register()

    def exit(self):
        self.server.close()
        for writer in tuple(self._writers):
            writer.close()
        self.record.write("upstream_exits", upstream=self.name)

    def _load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                length = int(head[1].get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                writer.write(await self._answer(head[0], head[1], body, reader))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first_line, headers, body, reader):
        method, target, _ = first_line.split(" ")
        attempt = headers.get("x-tanagercourse-attempt-id", "")
        load = {"X-Tanagercourse-Server-Load": self._load()}
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_response(
                status, {"X-Tanagercourse-Instance-Id": self.name, **load}, b""
            )
        expected = headers.get("x-tanagercourse-expected-instance", self.name)
        if expected != self.name:
            return encode_response(421, {"X-Tanagercourse-Instance-Id": self.name}, b"")
        echo = {"X-Tanagercourse-Attempt-Id": attempt}
        if not attempt:
            return encode_response(400, {"X-Tanagercourse-Not-Executed": "1"}, b"")
        if self.waiting >= 9:
            refusal = {**echo, **load, "X-Tanagercourse-Not-Executed": "1"}
            return encode_response(503, refusal, b"")
        arrived_s = now_s()
        self.record.write(
            "arrived", upstream=self.name, id=attempt, state=self.state, target=target
        )
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            self.runs.append((arrived_s, attempt))
            work = asyncio.ensure_future(asyncio.sleep(self._work_s(target)))
            gone = asyncio.ensure_future(reader.read(1))
            try:
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    self.record.write("dropped", upstream=self.name, id=attempt)
                    raise ConnectionResetError
            finally:
                self.running -= 1
                work.cancel()
                gone.cancel()
                await asyncio.gather(work, gone, return_exceptions=True)
        answer = f"{self.name}:{attempt}".encode()
        self.record.write("ran", upstream=self.name, id=attempt, bytes=len(body))
        proof = f"{zlib.crc32(answer + target.encode() + body):08x}"
        headers = {**echo, "X-Tanagercourse-Response-Signature": proof}
        return encode_response(
            200, {**headers, "X-Tanagercourse-Server-Load": self._load()}, answer
        )

    def _work_s(self, target):
        _, _, query = target.partition("?work_ms=")
        return int(query) / 1000 if query else self.work_s


class Instance:
    """The process of one machine, started with the command of the deploy file."""

    def __init__(self, folder, host, name, zone, zones, store_address, bounds=None):
        self.folder, self.host, self.name = folder, host, name
        self.zone, self.zones = zone, zones
        self.store_address = store_address
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.ports = {
            key: free_port(host)
            for key in ("frontend", "ready", "control_plane", "directory")
        }
        self.process = None

    def endpoint(self, key):
        return f"{self.host}:{self.ports[key]}"

    async def start(self, seeds, memory_mb=300):
        settings = {
            "self": {
                "node_name": self.name,
                "role": "entry",
                "machine_class": "front",
                "serves": ["front", "control", "directory"],
                "ip_address": self.host,
                "zone": self.zone,
                "region": self.zones[self.zone],
                "counts_toward_tolerance": False,
                "first_start": True,
                "data_directory": None,
                "limits": {
                    "cpu_share": 0.86,
                    "cpu_cores": 1,
                    "memory_mb": memory_mb,
                    "file_descriptors": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
            },
            "network": {
                "listen": {key: self.endpoint(key) for key in self.ports},
                "internal_port_range": [7540, 7555],
                "seeds": seeds,
                "zones": self.zones,
            },
            "platform": {
                "discovery": "platform",
                "entry": "directory",
                "heartbeat_interval_ms": 1500,
                "platform": {
                    "address": self.store_address,
                    "form": "objects",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1048576,
                    "minimum_ttl_ms": 1000,
                },
            },
            "terms": {
                "contracts": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "places",
                    "platform",
                ],
                "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
                "bounds": self.bounds,
            },
        }
        path = Path(self.folder) / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["TANAGERCOURSE_BOOT"] = str(path)
        self.log_path = Path(self.folder) / f"{self.name}.log"
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "tanagercourse.adapter.main",
                cwd=REPO,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, timeout_s=20.0):
        ends_s = now_s() + timeout_s
        while now_s() < ends_s:
            if await self.readiness() == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def readiness(self):
        reply = await exchange(
            self.host,
            self.ports["ready"],
            b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n",
            1.0,
        )
        return reply[0]

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def exchange(host, port, request, timeout_s):
    """Send one request on a new channel; return status (0: none), headers, body."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            return await read_response(reader)
    except asyncio.TimeoutError:
        return 0, {}, b"time limit"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, {}, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


async def read_response(reader):
    head = await read_head(reader)
    if head is None:
        return 0, {}, b"channel closed"
    status = int(head[0].split(" ")[1])
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b"channel closed in the body"
    return status, head[1], body


def encode_request(method, target, host, attempt, deadline_ms, key=None, body=b""):
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Tanagercourse-Attempt-Id: {attempt}",
        f"X-Tanagercourse-Deadline-Ms: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Cookie: X-Tanagercourse-Affinity-Key={key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Clients:
    """Clients that send requests to given instances, each on a new channel."""

    def __init__(self, record, prefix="c"):
        self.record = record
        self.prefix = prefix
        self.results = {}
        self.tasks = set()
        self._count = 0

    def send(self, instance, method, target, host, deadline_ms, key=None, body=b""):
        self._count += 1
        attempt = f"{self.prefix}{self._count:06d}"
        task = asyncio.ensure_future(
            self._send(instance, method, target, host, deadline_ms, key, body, attempt)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return attempt

    async def _send(
        self, instance, method, target, host, deadline_ms, key, body, attempt
    ):
        self.record.write(
            "sent",
            id=attempt,
            to=instance.name,
            method=method,
            target=target,
            bytes=len(body),
        )
        sent_s = now_s()
        request = encode_request(method, target, host, attempt, deadline_ms, key, body)
        status, headers, answer = await exchange(
            instance.host, instance.ports["frontend"], request, deadline_ms / 1000
        )
        self.results[attempt] = (sent_s, now_s(), status, headers, answer)
        self.record.write(
            "answered", id=attempt, status=status, detail=answer[:60].decode("latin-1")
        )

    async def wait(self):
        while self.tasks:
            await asyncio.sleep(0.05)


def make_configuration(version, routes, services, cold_per_s=2.7):
    """Return a config; a route is (host, prefix, kind, service, timeout, aim)."""
    return {
        "version": f"{version:08x}",
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "connection_limit": 360,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 3.0,
                "cold_per_s": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "hosts": [
            {
                "host": host,
                "paths": [
                    {
                        "name": f"r-{index}",
                        "path_prefix": prefix,
                        "kind": kind,
                        "timeout_ms": timeout_ms,
                        "target_latency_ms": target_ms,
                        "priority": index,
                        "service": service,
                        "attempts": 2,
                        "sticky_sessions": True,
                        "home_regions": [],
                    }
                ],
            }
            for index, (
                host,
                prefix,
                kind,
                service,
                timeout_ms,
                target_ms,
            ) in enumerate(routes)
        ],
    }


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write("begin", trouble=trouble)
    temporary = tempfile.mkdtemp(prefix="review-")
    instances = []
    network = f"127.{random.randint(10, 250)}.{random.randint(10, 250)}"
    verdict = 2

    async def run():
        try:
            return await asyncio.wait_for(
                case(record, temporary, network, instances, trouble), 110
            )
        finally:
            for instance in instances:
                await instance.end()

    try:
        verdict = asyncio.run(run())
    except Exception as error:
        record.write("could_not_run", error=repr(error))
        print("could not run:", repr(error), file=sys.stderr)
    finally:
        if os.environ.get("KEEP_LOGS"):
            print("logs:", temporary, file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.write("end", verdict=verdict)
    sys.exit(verdict)
