"""Stand-ins for the scripts of review/: the platform's store, workers, clients, and the platform's
part of running the daemons. Python's standard library only; everything is on loopback.

The daemons are the project's own program, started with the command of deploy/system.toml.
"""
import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
import uuid

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
READY_PERIOD = 1.0  # PROTOCOL.md, Ingress: once per second; out after two misses.
HEARTBEAT = 1.2  # heartbeatMs of the settings.
RESTART_DELAY = 0.5  # DEPLOY.md: a process that exits is restarted after a short delay.

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():8.3f} {what} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def free_ports(ip, count):
    """Ports of @p ip that are free now, for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


def free_range(ip, count):
    """The first of @p count ports in a row that are free, for TCP and UDP."""
    for _ in range(200):
        first = random.randint(20_000, 55_000)
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports")


# ---------------------------------------------------------------- HTTP, server side

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


class Broken(Exception):
    """The peer closed its connection, or what it sends is not HTTP."""


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError) as error:
        raise Broken(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            body += chunk
    elif headers.get("content-length", "0") != "0":
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """One listening address. handle(request, writer) answers."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.address = None

    async def listen(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=8 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
        except (Broken, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# ---------------------------------------------------------------- the platform's store

class Store(Server):
    """Objects by kind and name, one revision counter, pages, watches, conditional writes. Specs are
    kept and returned as the bytes that were written."""

    PAGE = 500

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.kinds = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()

    def render(self, name, stored):
        meta = json.dumps({"name": name, "revision": stored["revision"],
                           "createRev": stored["created"], "finalizers": [], "deleting": False})
        return f'{{"metadata":{meta},"spec":{stored["spec"]},"status":null}}'

    async def put(self, kind, name, spec):
        """Writes @p spec, a text of JSON. Returns the time of the acknowledgement."""
        objects = self.kinds.setdefault(kind, {})
        stored = objects.get(name)
        if stored and stored["spec"] == spec:
            return now()
        self.revision += 1
        stored = {"spec": spec, "revision": self.revision,
                  "created": stored["created"] if stored else self.revision}
        objects[name] = stored
        self.history.append((self.revision, kind, False, self.render(name, stored)))
        async with self.changed:
            self.changed.notify_all()
        return now()

    async def remove(self, kind, name):
        stored = self.kinds.get(kind, {}).pop(name, None)
        if not stored:
            return
        self.revision += 1
        self.history.append((self.revision, kind, True, self.render(name, stored)))
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, writer, status, text):
        writer.write(response(status, [("Content-Type", "application/json")], text.encode()))
        await writer.drain()

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)  # "4 ms an answer"
        parts = request.path.split("/")
        if len(parts) < 3 or parts[1] != "objects":
            return await self.answer(writer, 404, "{}")
        kind, name = parts[2], "/".join(parts[3:])
        if request.method == "GET" and "watch" in request.query:
            return await self.watch(kind, int(request.query["watch"]),
                                    int(request.query.get("waitMs", 0)) / 1000, writer)
        if request.method == "GET" and name:
            stored = self.kinds.get(kind, {}).get(name)
            if not stored:
                return await self.answer(writer, 404, "{}")
            return await self.answer(writer, 200, self.render(name, stored))
        if request.method == "GET":
            after = request.query.get("sinceRev", "")
            names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
            page = [self.render(n, self.kinds[kind][n]) for n in names[:self.PAGE]]
            more = "true" if len(names) > self.PAGE else "false"
            return await self.answer(
                writer, 200,
                f'{{"items":[{",".join(page)}],"morePages":{more},"currentRev":{self.revision}}}')
        return await self.write(kind, name, request, writer)

    async def write(self, kind, name, request, writer):
        body = json.loads(request.body) if request.body else {}
        meta = body.get("metadata") or {}
        create = request.method == "POST"
        name = meta.get("name", name) if create else name
        stored = self.kinds.get(kind, {}).get(name)
        wanted = int(request.query.get("revision", meta.get("revision") or 0))
        if create and stored:
            return await self.answer(writer, 409, self.render(name, stored))
        if not create and not stored:
            return await self.answer(writer, 404, "{}")
        if stored and wanted and wanted != stored["revision"]:
            return await self.answer(writer, 409, self.render(name, stored))
        if request.method == "DELETE":
            await self.remove(kind, name)
            return await self.answer(writer, 200, "{}")
        await self.put(kind, name, json.dumps(body.get("spec")))
        return await self.answer(writer, 201 if create else 200,
                                 self.render(name, self.kinds[kind][name]))

    async def watch(self, kind, since, wait, writer):
        until = time.monotonic() + min(wait, 30)
        while True:
            events = [f'{{"removed":{json.dumps(gone)},"object":{text}}}'
                      for revision, of, gone, text in self.history if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return await self.answer(
                    writer, 200, f'{{"events":[{",".join(events)}],"currentRev":{self.revision}}}')
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ---------------------------------------------------------------- workers

class Worker(Server):
    """A worker of a plain service: checks the expected instance, runs requests, signs answers."""

    def __init__(self, record, store, service, zone, work=0.06, slots=6):
        super().__init__()
        self.record, self.store = record, store
        self.service, self.zone, self.work, self.slots = service, zone, work, slots
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.runs = []  # (time, request id)
        self.state = "ready"
        self.draining_at = None  # When the store accepted that it drains.
        self.beats = None

    def spec(self, seq):
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": self.state,
                           "coldLeftMs": 0, "seq": seq})

    async def start(self, ip="127.0.0.1"):
        await self.listen(ip)
        await self.store.put("servers", self.id, self.spec(1))
        self.beats = asyncio.ensure_future(self._beat())

    async def _beat(self):
        seq = 1
        while True:
            await asyncio.sleep(HEARTBEAT)
            seq += 1
            # "The entry changes when more than seq changes": a beat alone is no change.
            self.seq = seq

    async def drain(self):
        self.state = "draining"
        self.draining_at = await self.store.put("servers", self.id, self.spec(0))
        self.record.write("worker-draining", worker=self.id)

    async def leave(self):
        await self.store.remove("servers", self.id)
        self.stop()
        self.record.write("worker-gone", worker=self.id)

    def stop(self):
        if self.beats:
            self.beats.cancel()
        self.close()

    async def handle(self, request, writer):
        headers = request.headers
        rid = headers.get("x-request-id", "")
        if request.path == "/health":
            writer.write(response(200, [("X-Instance-Id", self.id)]))
            return await writer.drain()
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            writer.write(response(421, [("X-Request-Id", rid), ("X-Instance-Id", self.id),
                                        ("X-Not-Executed", "1")]))
            return await writer.drain()
        if not rid:
            writer.write(response(400, [("X-Not-Executed", "1")]))
            return await writer.drain()
        self.runs.append((now(), rid))
        self.record.write("run", worker=self.id, request=rid, expects=expected)
        await asyncio.sleep(self.work)
        body = ("whole answer of " + rid).encode()
        writer.write(response(200, [("X-Request-Id", rid), ("X-Response-Seal", "seal." + rid)], body))
        await writer.drain()


# ---------------------------------------------------------------- daemons

def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"].split(" ")


class Daemon:
    """One machine: its settings, its process, and the platform's questions for its readiness."""

    def __init__(self, record, folder, store, name, zone, zones, ip, ports, range_first):
        self.record, self.name, self.ip = record, name, ip
        self.front, self.ready_port = ports
        self.settings = {
            "nodeName": name, "role": "entry", "machineClass": "front", "serves": ["front"],
            "ip": ip, "zone": zone, "region": "r", "zones": {z: "r" for z in zones},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready_port}"},
            "portRange": [range_first, range_first + 15], "seeds": [], "bootstrap": True,
            "faultCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "platform", "spans"],
            "faultBudget": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
                       "syncS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                       "applyMs": 2000, "revertMs": 250, "configGraceMs": 5000,
                       "strictRevoke": True, "revokeMs": 5000, "retryRatio": 0.2,
                       "retryWindowS": 10, "retrySlack": 100, "recoveryS": 12, "passMs": 120,
                       "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000,
                       "idleMaxMs": 9000},
            "platform": {"address": store, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000}}
        self.path = os.path.join(folder, name + ".json")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.pause = RESTART_DELAY  # Before the next start.
        self.process = None
        self.ends = []  # (time, exit status) of processes that ended by themselves
        self.stopped = False
        self.is_ready = False
        self.in_rotation = False
        self.ready_since = None

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        await self._spawn()
        self.tasks = [asyncio.ensure_future(self._watch()), asyncio.ensure_future(self._ask())]

    async def _spawn(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["STACKQUAY_CONFIG"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.record.write("process-started", vm=self.name, pid=self.process.pid)

    async def _watch(self):
        """Restarts the process when it ends, as the platform does."""
        while True:
            status = await self.process.wait()
            if self.stopped:
                return
            self.ends.append((now(), status))
            self.record.write("process-ended", vm=self.name, status=status)
            await asyncio.sleep(self.pause)
            self.pause = RESTART_DELAY
            self.settings["bootstrap"] = False
            await self._spawn()

    async def _ask(self):
        misses = 0
        while True:
            good = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, self.ready_port), 1)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                good = " 200 " in first + " "
            except (OSError, Broken, asyncio.TimeoutError):
                pass
            if good != self.is_ready:
                self.record.write("ready" if good else "not-ready", vm=self.name)
            self.is_ready = good
            misses = 0 if good else misses + 1
            self.in_rotation = good or (self.in_rotation and misses < 2)
            await asyncio.sleep(READY_PERIOD)

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        self.stopped = True
        for task in getattr(self, "tasks", []):
            task.cancel()
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()


async def await_ready(daemons, seconds=20):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all(daemon.in_rotation for daemon in daemons):
            return True
        await asyncio.sleep(0.05)
    return False


# ---------------------------------------------------------------- clients

class Answer:
    def __init__(self, rid):
        self.rid = rid
        self.sent_at = None
        self.sent = False  # The whole request was written.
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.ended_at = None
        self.closed_early = False  # The connection ended before a whole answer.


class Client:
    """One caller with a kept connection; opens a new one where that has ended."""

    def __init__(self, record, name, key="key-one", host="host.example"):
        self.record, self.name, self.key, self.host = record, name, key, host
        self.reader = self.writer = None
        self.kept = 0  # Requests answered on this connection.
        self.at = None

    async def connect(self, ip, port):
        if self.writer and self.at == (ip, port):
            return
        self.drop()
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port, limit=8 << 20), 1)
        self.at, self.kept = (ip, port), 0

    def drop(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, ip, port, method, path, body=b"", deadline=4.0, headers=()):
        answer = Answer(uuid.uuid4().hex[:16])
        answer.kept = bool(self.writer) and self.at == (ip, port) and self.kept > 0
        answer.sent_at = now()
        try:
            await self.connect(ip, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}",
                     f"X-Request-Id: {answer.rid}", f"X-Deadline-Ms: {int(deadline * 1000)}"]
            if self.key:
                lines.append(f"Api-Key: {self.key}")
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            answer.sent = True
            await asyncio.wait_for(self._read(answer), deadline)
        except asyncio.TimeoutError:
            self.drop()
        except (OSError, Broken, asyncio.IncompleteReadError, ValueError):
            answer.closed_early = answer.sent
            self.drop()
        answer.ended_at = now()
        self.record.write("request", client=self.name, to=f"{ip}:{port}", id=answer.rid,
                          path=path, sent=f"{answer.sent_at:.3f}", kept=answer.kept,
                          status=answer.status, whole=answer.whole,
                          closed_early=answer.closed_early)
        return answer

    async def _read(self, answer):
        while True:
            first, headers = await read_head(self.reader)
            status = int(first.split(" ")[1])
            if status >= 200:
                break
        answer.status, answer.headers = status, headers
        if "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(self.reader):
                answer.body += chunk
        elif "content-length" in headers:
            answer.body = await self.reader.readexactly(int(headers["content-length"]))
        answer.whole = True
        self.kept += 1
        if headers.get("connection", "").lower() == "close":
            self.drop()


# ---------------------------------------------------------------- a small deployment

def route(name, kind, service, **more):
    return {"name": name, "host": "host.example", "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": 4000, "aimMs": 300, "priority": 1, "service": service, "maxAttempts": 2,
            "public": False, "sticky": False, "resumable": False, **more}


def config(version, routes, services, keys=("key-one", "key-two")):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1",
                      "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-one", "apiKeys": list(keys), "priority": 1}]})


class Deployment:
    """A store and daemons: one for each entry of @p zones."""

    def __init__(self, folder, zones):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="stackquay-review-")
        self.store = Store(self.record)
        self.zones = zones
        self.daemons = []
        self.workers = []

    async def start_store(self):
        await self.store.listen("127.0.0.1")

    async def start_daemons(self):
        ips = [f"127.0.0.{10 + i}" for i in range(len(self.zones))]
        ports = free_ports("127.0.0.1", 2)
        first = free_range("127.0.0.1", 16)
        for i, zone in enumerate(self.zones):
            self.daemons.append(Daemon(self.record, self.temporary.name, self.store.address,
                                       f"front-{zone}-{i + 1}", zone, sorted(set(self.zones)),
                                       ips[i], ports, first))
        for daemon in self.daemons:
            await daemon.start()

    async def add_worker(self, service, zone, **more):
        worker = Worker(self.record, self.store, service, zone, **more)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def close(self):
        for daemon in self.daemons:
            await daemon.stop()
        for worker in self.workers:
            worker.stop()
        self.store.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


def main(scenario, folder):
    """Runs scenario(folder, trouble); exits with 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        status = asyncio.run(asyncio.wait_for(scenario(folder, trouble), 115))
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {type(error).__name__}: {error}")
        status = 2
    raise SystemExit(status)
