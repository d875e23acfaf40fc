"""Stand-ins for the scripts of the second review: the platform's store, workers, clients, and the
daemons of the deploy file as separate processes. Loopback addresses and the real clock.

They do what PROTOCOL.md and DEPLOY.md say, as far as the scripts need it. All of a script's traffic
runs in one asyncio loop; the daemons are processes of their own.
"""
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
DAEMON = ROOT / "target" / "bin" / "stackquayd"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# run.sh turns 3 into 1: an error of Python itself also ends with 1.
HELD, BROKEN, NOT_RUN = 0, 3, 2

# As in sites/carrick-grid.toml and DEPLOY.md.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "applyMs": 2000, "revertMs": 250,
    "configGraceMs": 5000, "strictRevoke": True, "revokeMs": 5000, "retryRatio": 0.2,
    "retryWindowS": 10, "retrySlack": 100, "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
    "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000, "idleMaxMs": 9000,
}
ZONES = {"dundee-hall": "lowlands", "crieff-hall": "lowlands", "kinross-hall": "lowlands"}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}
STORE_ANSWER_S = 0.004


class Record:
    """What was sent, answered and run, with milliseconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, what, **fields):
        self.write_at(time.monotonic(), what, **fields)

    def write_at(self, moment, what, **fields):
        """Lines of other processes come after the rest, with their own times."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{(moment - self.begun) * 1000:10.1f} {what} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader, bodyless=False):
    """A request or an answer with a length or in chunks; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if bodyless:
        return Message(lines[0], headers, body)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def write_answer(writer, status, headers, body):
    head = f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(head.encode("latin-1") + b"\r\n" + body)


class Store:
    """The platform's store: objects by kind and name, revisions, conditions, watches."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.port = 0
        self.callers = {}
        self.latest_watch = {}  # by caller: the time of its last watch of the workers
        self.latest_read = {}  # by caller: the time of its last read of the configuration
        self.answer_s = STORE_ANSWER_S

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def find(self, kind, name):
        return self.kinds.setdefault(kind, {}).get(name)

    async def note(self, kind, entry, removed):
        self.events.append((self.revision, kind, json.loads(json.dumps(entry)), removed))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec, finalizers=()):
        """Creates or replaces; a PUT that changes nothing makes no revision."""
        entry = self.find(kind, name)
        if entry and entry["spec"] == spec and entry["metadata"]["finalizers"] == list(finalizers):
            return entry
        self.revision += 1
        if not entry:
            entry = {"metadata": {"name": name, "createRev": self.revision, "deleting": False},
                     "spec": None, "status": None}
            self.kinds[kind][name] = entry
        entry["metadata"].update(revision=self.revision, finalizers=list(finalizers))
        entry["spec"] = spec
        await self.note(kind, entry, False)
        return entry

    async def remove(self, kind, name):
        entry = self.find(kind, name)
        if not entry:
            return
        self.revision += 1
        entry["metadata"]["revision"] = self.revision
        del self.kinds[kind][name]
        await self.note(kind, entry, True)

    async def serve(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        try:
            while request := await read_message(reader):
                await asyncio.sleep(self.answer_s)
                status, body = await self.answer(request, self.callers.get(port, "?"))
                write_answer(writer, status, {"Content-Type": "application/json"},
                             json.dumps(body).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, caller):
        method, target, _ = request.first.split(" ", 2)
        parts = urllib.parse.urlsplit(target)
        path = [urllib.parse.unquote(part) for part in parts.path.split("/")[1:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        if len(path) < 2 or path[0] != "objects":
            return 404, {}
        kind, name = path[1], path[2] if len(path) > 2 else None
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query, caller)
        if method == "GET" and name is None:
            return 200, self.list(kind, query)
        if method == "GET":
            if kind == "config":
                self.latest_read[caller] = time.monotonic()
            entry = self.find(kind, name)
            return (200, entry) if entry else (404, {})
        return await self.change(method, kind, name, query, request.body)

    def list(self, kind, query):
        after = query.get("sinceRev", "")
        names = sorted(self.kinds.setdefault(kind, {}))
        names = [name for name in names if name > after]
        return {"items": [self.kinds[kind][name] for name in names[:500]],
                "morePages": len(names) > 500, "currentRev": self.revision}

    async def watch(self, kind, query, caller):
        if kind == "servers":
            self.latest_watch[caller] = time.monotonic()
        since = int(query["watch"])
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            found = [{"object": entry, "removed": removed}
                     for revision, of, entry, removed in self.events
                     if of == kind and revision > since]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def change(self, method, kind, name, query, body):
        sent = json.loads(body) if body else {}
        metadata = sent.get("metadata", {})
        name = name or metadata.get("name")
        entry = self.find(kind, name)
        condition = metadata.get("revision", query.get("revision"))
        if method == "POST":
            if entry:
                return 409, entry
            return 200, await self.put(kind, name, sent.get("spec"),
                                       metadata.get("finalizers", []))
        if not entry:
            return 404, {}
        if condition is not None and int(condition) != entry["metadata"]["revision"]:
            return 409, entry
        if method == "PUT":
            return 200, await self.put(kind, name, sent.get("spec"),
                                       metadata.get("finalizers", []))
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, entry
        return 404, {}


class Link:
    """The way of one machine to the store. Cut, it is silent: nothing passes in either direction,
    and what is on the way is lost."""

    def __init__(self, store, caller):
        self.store, self.caller = store, caller
        self.open = True
        self.pairs = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        self.pairs.add(writer)
        try:
            if not self.open:
                await asyncio.sleep(3600)
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.store.port)
            self.store.callers[far_writer.get_extra_info("sockname")[1]] = self.caller
            self.pairs.add(far_writer)
            await asyncio.wait([asyncio.ensure_future(self.pump(reader, far_writer)),
                                asyncio.ensure_future(self.pump(far_reader, writer))],
                               return_when=asyncio.FIRST_COMPLETED)
            far_writer.close()
            self.pairs.discard(far_writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.pairs.discard(writer)
            writer.close()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.open:
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass

    def cut(self):
        self.open = False

    def heal(self):
        """Whoever still waits on a connection of before finds that it is reset."""
        self.open = True
        for writer in list(self.pairs):
            writer.transport.abort()


class Worker:
    """A worker of a plain service. Runs each request for some time, then answers 200 signed."""

    def __init__(self, record, store, service, zone, name=None, work_s=0.03, version="v1"):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.name = name or f"i-{random.getrandbits(32):08x}"
        self.work_s, self.version = work_s, version
        self.runs = []  # (time, id, path, tenant)
        self.server = None
        self.writers = set()
        self.before_answer = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, state):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1}

    async def report(self, state="ready"):
        await self.store.put("servers", self.name, self.entry(state))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                if not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        method, target, _ = request.first.split(" ", 2)
        if target == "/health":
            write_answer(writer, 200, {"X-Instance-Id": self.name}, b"")
            return True
        expected = request.header("X-Expect-Instance")
        request_id = request.header("X-Request-Id")
        if expected and expected != self.name:
            write_answer(writer, 421, {"X-Instance-Id": self.name, "X-Request-Id": request_id}, b"")
            return True
        run = (self.record.now(), request_id, target, request.header("X-Tenant"))
        self.runs.append(run)
        self.record.write("run", worker=self.name, id=request_id, path=target, tenant=run[3])
        await asyncio.sleep(self.work_s)
        if self.before_answer and not await self.before_answer(self, request, writer):
            return False
        write_answer(writer, 200, {"X-Request-Id": request_id, "X-Instance-Id": self.name,
                                   "X-Response-Seal": f"{self.name}.{request_id}"},
                     f"{self.name} ran {request_id}".encode())
        await writer.drain()
        return True

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class WorkerProcess:
    """worker2.py as a process of its own; what it says of itself to the store is written here."""

    def __init__(self, record, store, service, zone, directory):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.name = f"i-{random.getrandbits(32):08x}"
        self.port_file = directory / f"{self.name}.port"
        self.runs_file = directory / f"{self.name}.runs"
        self.process = None
        self.address = ""

    async def start(self):
        program = pathlib.Path(__file__).resolve().parent / "worker2.py"
        self.process = subprocess.Popen([sys.executable, str(program), self.name,
                                         str(self.port_file), str(self.runs_file)],
                                        stdin=subprocess.DEVNULL)
        while not self.port_file.exists():
            await asyncio.sleep(0.02)
        self.address = "127.0.0.1:" + self.port_file.read_text()
        await self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 16, "state": "ready", "coldLeftMs": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "seq": 1})
        self.record.write("worker-started", worker=self.name, address=self.address)

    def latest_run(self):
        """When it last began to work on a request."""
        lines = self.runs_file.read_text(encoding="utf-8").splitlines()
        return float(lines[-1].split(" ")[0]) if lines else 0

    async def crash(self, heartbeat_s):
        """It sends nothing; its entry goes after three heartbeats of silence."""
        self.record.write("signal", worker=self.name, signal="SIGKILL")
        self.process.kill()
        self.process.wait()
        await asyncio.sleep(3 * heartbeat_s)
        await self.store.remove("servers", self.name)

    def stop(self):
        """Ends it, and adds what it ran to the record."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.runs_file.exists():
            for line in self.runs_file.read_text(encoding="utf-8").splitlines():
                at, request_id, after = line.split(" ")
                self.record.write_at(float(at), "run", worker=self.name, id=request_id,
                                     after_event=after)


class Machine:
    """One daemon of the deploy file, with its settings file and its link to the store."""

    def __init__(self, record, store, index, zone, directory, ports):
        self.record, self.zone = record, zone
        self.name = f"front-{zone}-{index}"
        self.ip = f"127.0.0.{20 + index}"
        self.ports = ports
        self.link = Link(store, self.name)
        self.directory = directory
        self.process = None

    def settings(self):
        front, ready, control, peers = self.ports
        return {
            "nodeName": self.name, "role": "entry", "machineClass": "front", "serves": ["front"],
            "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
            "listen": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}",
                       "control": f"{self.ip}:{control}"},
            "portRange": [peers, peers + 15], "seeds": [], "bootstrap": False,
            "faultCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform", "spans"],
            "faultBudget": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self.link.port}", "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    def start(self):
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.directory), "LANG": "C",
               "STACKQUAY_CONFIG": str(path)}
        log = open(self.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(DAEMON)], cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.record.write("machine-started", machine=self.name)

    def send_signal(self, number):
        self.record.write("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        self.send_signal(number)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self):
        answer = await call(self.ip, self.ports[1], b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 0.5)
        return answer is not None and answer.first.split(" ")[1] == "200"


async def call(host, port, request, timeout_s):
    """One request on a new connection; None without a whole answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(request)
        return await read_message(reader)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


class Client:
    """Sends one request at a time on new connections, each with an id of its own."""

    def __init__(self, record):
        self.record = record
        self.sent = {}  # by id: (time, machine, path, key)
        self.answers = {}  # by id: status; 0: none

    async def send(self, machine, host, path, key, method="GET", deadline_ms=4000, body=b"",
                   headers=""):
        request_id = f"{random.getrandbits(64):016x}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n")
        self.sent[request_id] = (self.record.now(), machine.name, path, key)
        self.record.write("sent", id=request_id, machine=machine.name, path=path, key=key)
        answer = await call(machine.ip, machine.ports[0], head.encode() + body, deadline_ms / 1000)
        status = int(answer.first.split(" ")[1]) if answer else 0
        self.answers[request_id] = status
        self.record.write("answered", id=request_id, status=status,
                          bytes=len(answer.body) if answer else 0)
        self.check(request_id, answer)
        return request_id, answer

    def check(self, request_id, answer):
        """For cases that look at each answer."""

    async def load(self, machines, per_second, until, host, path, key, **more):
        """Requests to the machines in turn until the function says that it is enough."""
        pending, turn = set(), 0
        while not until():
            machine = machines[turn % len(machines)]
            turn += 1
            task = asyncio.ensure_future(self.send(machine, host, path, key, **more))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / per_second)
        if pending:
            await asyncio.wait(pending, timeout=5)


def free_ports(ips):
    """A front, ready and control port and a range of 16, free on all addresses."""
    while True:
        base = random.randrange(20000, 30000, 32)
        try:
            for ip in ips:
                for port in range(base, base + 20):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            return base, base + 1, base + 2, base + 4
        except OSError:
            continue


def plain_config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": [
        {"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}
        for name in services], "limits": LIMITS, "tenants": tenants}


def plain_route(name, prefix, service, kind="safe", attempts=2):
    return {"name": name, "host": "grid.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 2000, "aimMs": 300, "priority": 2, "service": service,
            "maxAttempts": attempts, "public": False}


# As the users' engines are declared; see "put the config" of `fleetbench wire`.
ENGINE = {"slots": 16, "kvCapacity": 232000, "kvTokenBytes": 327680, "linkMbps": 400000.0,
          "stride": 43, "models": [{"name": "m"}], "step_ms": 1.02, "per_seq_ms": 0.00226,
          "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
          "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8, "delays": [],
          "usual": {"prompt": 4960, "answer": 1376}, "hopMs": 0.075}


def stream_config(version, service, prefix, tenants):
    route = {"name": "r-nudge", "host": "grid.example", "pathPrefix": prefix, "kind": "stream",
             "timeoutMs": 10000, "aimMs": 300, "priority": 1, "service": service, "maxAttempts": 2,
             "public": False, "sticky": True, "resumable": True, "gapAimMs": 250}
    return {"version": version, "routes": [route], "services": [
        {"name": service, "healthPath": "/health", "maxConns": 264, "protocol": "h1", "tls": False,
         "engine": ENGINE}], "limits": LIMITS, "tenants": tenants}


class Deployment:
    """Store, machines and a temporary folder for their files."""

    def __init__(self, record, zones):
        self.record = Record(record)
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.store = Store(self.record)
        self.machines = []
        self.zones = zones

    async def start(self, config):
        await self.store.start()
        await self.store.put("config", "main", config)
        ips = [f"127.0.0.{20 + index}" for index in range(1, len(self.zones) + 1)]
        ports = free_ports(ips)
        for index, zone in enumerate(self.zones, 1):
            machine = Machine(self.record, self.store, index, zone, self.directory, ports)
            await machine.link.start()
            self.machines.append(machine)
        for machine in self.machines:
            machine.start()

    async def await_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await machine.is_ready() for machine in self.machines]):
                return True
            await asyncio.sleep(0.2)
        return False

    def followers(self, within_s=4.0):
        """The machines that watch the workers' entries in the store now."""
        now = time.monotonic()
        return [machine for machine in self.machines
                if machine.process.poll() is None
                and now - self.store.latest_watch.get(machine.name, -1e9) < within_s]

    def keep_logs(self):
        """For people only: LOGS=FOLDER keeps what the daemons wrote."""
        target = os.environ.get("LOGS")
        if target:
            pathlib.Path(target).mkdir(parents=True, exist_ok=True)
            for log in self.directory.glob("*.log"):
                (pathlib.Path(target) / log.name).write_bytes(log.read_bytes())

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.keep_logs()
        self.temporary.cleanup()


def main(case, play):
    """Runs play(case) within 110 seconds and exits as the issue asks."""
    if not DAEMON.exists():
        print("target/bin/stackquayd is missing: run the build of the deploy file", file=sys.stderr)
        sys.exit(NOT_RUN)
    asyncio.run(play_out(case, play))


async def play_out(case, play):
    try:
        result = await asyncio.wait_for(play(case), 110)
    except (Exception, asyncio.TimeoutError) as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        result = NOT_RUN
    sys.stdout.flush()
    # Here, so that no connection that is still open complains of the end of the loop.
    os._exit(result)
