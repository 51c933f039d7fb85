"""Stand-ins for one small deployment on loopback: the platform's store, workers, clients, and the platform that starts, stops,
kills and restarts the gateways. They follow the users' pages; where a page is silent they behave like a sound server, client or
platform. Only the standard library is used."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The command of the deploy file.
GATEWAY = ROOT / "target/redwingseam-gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

_sockets = []


def free_ports(count):
    """Returns the first of `count` adjacent free ports below the ephemeral range."""
    for _ in range(500):
        first = random.randrange(12000, 31000)
        held = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                held.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise RuntimeError("no free ports")


class Record:
    """What was sent, answered and run, line by line in record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def line(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line("note", text=text)
        print(f"{self.now():8.3f} {text}", flush=True)


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).strip() or b"x", 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(start, headers, body)


def format_message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: objects by kind and name, lists in pages, watches, conditional writes."""

    PAGE = 500

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.address = ""
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=4 * 1024 * 1024)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, **metadata):
        before = self.objects.get((kind, name))
        if before and before["spec"] == spec and not metadata:
            return before
        self.revision += 1
        created = before["metadata"]["created"] if before else self.revision
        written = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False} | metadata, "spec": spec, "status": before["status"] if before else None}
        self.objects[(kind, name)] = written
        self._record(kind, written, False)
        return written

    def delete(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored:
            self.revision += 1
            self._record(kind, stored, True)

    def _record(self, kind, stored, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while call := await read_message(reader):
                status, body = await self._answer(call)
                writer.write(format_message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, call):
        await asyncio.sleep(0.004)
        url = urlsplit(call.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, *rest = url.path.removeprefix("/api/objects/").split("/")
        if call.method == "GET" and rest:
            stored = self.objects.get((kind, rest[0]))
            return (200, stored) if stored else (404, {})
        if call.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000)
        if call.method == "GET":
            names = sorted(name for entry_kind, name in self.objects if entry_kind == kind and name > query.get("after", ""))
            return 200, {"items": [self.objects[(kind, name)] for name in names[:self.PAGE]], "hasMore": len(names) > self.PAGE, "at": self.revision}
        sent = json.loads(call.body or b"{}")
        metadata = sent.get("metadata", {})
        name = metadata["name"] if call.method == "POST" else rest[0]
        stored = self.objects.get((kind, name))
        revision = metadata.get("revision", query.get("revision"))
        if call.method != "POST" and not stored:
            return 404, {}
        if stored and (call.method == "POST" or (revision is not None and int(revision) != stored["metadata"]["revision"])):
            return 409, stored
        if call.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if rest[1:] == ["status"]:
            stored = dict(stored, status=sent.get("status"))
            self.objects[(kind, name)] = stored
            return 200, stored
        return (201 if call.method == "POST" else 200), self.put(kind, name, sent.get("spec"))

    async def _watch(self, kind, since, seconds):
        until = time.monotonic() + seconds
        while True:
            if since > self.revision:
                return 410, {}
            events = [{"object": stored, "deleted": deleted} for revision, entry_kind, stored, deleted in self.history if entry_kind == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


def reset(writer):
    """Closes the connection with a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Worker:
    """A worker of one service. `respond(worker, request, writer, headers)` answers a request that it runs."""

    def __init__(self, name, service, zone, store, record, respond, slots=64):
        self.name, self.service, self.zone, self.store, self.record, self.respond, self.slots = name, service, zone, store, record, respond, slots
        self.boot = 0
        self.id = ""
        self.port = 0
        self.server = None
        self.writers = set()
        self.seq = 0
        self.is_draining = False
        self.runs = []

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.boot += 1
        self.id = f"i-{self.name}-{self.boot}"
        self.is_draining = False
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": "draining" if self.is_draining else "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born})

    def unregister(self):
        self.store.delete("servers", self.id)

    async def crash(self, back_after):
        """Resets all connections. A new boot listens at the same address after a while."""
        if not self.server.is_serving():
            return
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.record.line("worker-crashed", worker=self.id)
        crashed = self.id
        await asyncio.sleep(back_after)
        self.store.delete("servers", crashed)
        await self.start()
        self.record.line("worker-back", worker=self.id)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                attempt = request.header("redwingseam-attempt-id")
                headers = {"Redwingseam-Attempt-Id": attempt, "Keep-Alive": "timeout=5"}
                if request.header("redwingseam-target-instance") != self.id:
                    writer.write(format_message("HTTP/1.1 421 X", {"Redwingseam-Instance-Id": self.id, "Redwingseam-Not-Executed": "1"} | headers))
                    await writer.drain()
                    continue
                headers["Redwingseam-Upstream-Seal"] = "seal-" + attempt[:16]
                self.runs.append((time.monotonic(), attempt))
                await self.respond(self, request, writer, headers)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Gateway:
    """The machine of one gateway: its settings, and the process that the platform starts there."""

    def __init__(self, name, zone, store, folder, record, **settings):
        self.name, self.zone, self.record = name, zone, record
        first = free_ports(20)
        self.front, self.ready, self.control = first, first + 1, first + 2
        self.process = None
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.settings_path = pathlib.Path(folder) / f"{name}.conf"
        self.settings = {
            "nodeName": name, "role": "gateway", "machineClass": "front", "serves": "front", "ip": "127.0.0.1", "zone": zone, "region": "region-" + zone,
            "listen.front": f"127.0.0.1:{self.front}", "listen.ready": f"127.0.0.1:{self.ready}", "portRange": f"{first + 3},{first + 18}",
            "bootstrap": "true", "countsAsLoss": "false", "limits.cpuShare": "0.25", "limits.cores": "1", "limits.memoryMb": "110", "limits.maxFds": "4100", "limits.linkMbps": "1000.0", "limits.diskMb": "0",
            "discovery": "platform", "entry": "vip", "heartbeatMs": "1200", "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "bounds.seedLagS": "3", "bounds.reuseAfterS": "2", "bounds.stableWindowMs": "4000", "bounds.ackMs": "5000", "bounds.catchUpS": "4", "bounds.drainMs": "3000", "bounds.graceS": "8", "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "3000", "bounds.rollbackSlackMs": "250", "bounds.outerMs": "6000", "bounds.strictRevoke": "true", "bounds.revokeMs": "5000", "bounds.budgetRatio": "0.8", "bounds.budgetWindowS": "10",
            "bounds.retrySlack": "150", "bounds.recoveryS": "12", "bounds.passMs": "400", "bounds.reuseWindowS": "7.2",
            "platform.address": store.address, "platform.form": "objects", "platform.writesPerS": "400", "platform.readsPerS": "2000", "platform.historyS": "20", "platform.valueBytes": "1048576", "platform.ttlMinMs": "1000",
        } | settings

    @property
    def pid(self):
        return self.process.pid

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        self.settings_path.write_text("".join(f"{name}={value}\n" for name, value in self.settings.items()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ} | {"REDWINGSEAM_BOOT": str(self.settings_path)}
        self.process = await asyncio.create_subprocess_exec(str(GATEWAY), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line("gateway-started", gateway=self.name)

    def signal(self, number):
        if self.is_running:
            self.record.line("signal", gateway=self.name, signal=signal.Signals(number).name)
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready), 1)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def memory_mb(self, field):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f"no {field}")


def manifest(routes, services, version=7, tenants=(("tenant-a", ("key-a",)),), limits=None):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000} | (limits or {})
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": [{"name": name, "apiKeys": list(keys)} for name, keys in tenants]}


def route(name, kind, service, attempts, timeout_ms, target_ms, **more):
    return {"name": name, "host": "site.example", "pathPrefix": f"/{name}/", "routeType": kind, "service": service, "maxAttempts": attempts, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1, "skipAuth": False} | more


async def wait_ready(gateways, seconds=10):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await gateway.is_ready() for gateway in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


def request_bytes(method, path, attempt, deadline_ms, body=b"", **headers):
    fields = {"Host": "site.example", "Redwingseam-Attempt-Id": attempt, "Redwingseam-Deadline-Ms": deadline_ms, "Redwingseam-Key": "key-a"} | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def new_attempt():
    return f"{random.getrandbits(64):016x}"


async def call(port, request, seconds):
    """Sends one request on a new connection. Returns the response, or the failure as text."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port, limit=1024 * 1024), 1)
    except (OSError, asyncio.TimeoutError):
        return "no connection"
    try:
        writer.write(request)
        response = await asyncio.wait_for(read_message(reader), seconds)
        return response or "closed"
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as failure:
        return type(failure).__name__
    finally:
        writer.transport.abort()


def run(case, folder):
    """Runs `case(record, temporary_folder, gateways)`, ends all processes that it started, and exits with its result."""

    async def guarded():
        record = Record(folder)
        gateways = []
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                result = await asyncio.wait_for(case(record, pathlib.Path(temporary), gateways), 118)
            except asyncio.CancelledError:
                record.say("could not run: ended from outside")
                result = COULD_NOT_RUN
            except Exception as failure:  # noqa: BLE001 - whatever it is, the case did not run
                record.say(f"could not run: {failure!r}")
                result = COULD_NOT_RUN
            finally:
                for gateway in gateways:
                    if gateway.is_running:
                        gateway.process.kill()
                        await gateway.process.wait()
                if os.environ.get("KEEP_LOGS"):
                    for gateway in gateways:
                        gateway.log.flush()
                        pathlib.Path(os.environ["KEEP_LOGS"], gateway.name + ".log").write_bytes(pathlib.Path(gateway.log.name).read_bytes())
            record.line("result", status=result)
            return result

    if not GATEWAY.exists():
        print("the deploy build is missing")
        sys.exit(COULD_NOT_RUN)
    sys.exit(asyncio.run(guarded()))
