"""Stand-ins for the platform's store, workers and clients, and a runner for entry instances.

Everything listens on loopback addresses. The store and the workers speak what PROTOCOL.md says; where a page is
silent they behave like a sound store or worker. Only the standard library is used.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

HOST = "review.example"
KEY = "key-of-the-review"
TENANT = "tenant-1"
T0 = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - T0


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write("%9.3f %s\n" % (now(), text))
        self.file.flush()

    def close(self):
        self.file.close()


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((host, 0))
        return s.getsockname()[1]


def free_port_on(hosts):
    """A TCP port that is free on all hosts."""
    for _ in range(200):
        port = free_port(hosts[0])
        held = []
        try:
            for host in hosts:
                s = socket.socket()
                held.append(s)
                s.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise OSError("no free port")


async def read_head(reader):
    """Reads a head; returns the first line and a list of (name, value)."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name, default=""):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, fields):
    """Reads a body with a length or in chunks."""
    if field(fields, "Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(field(fields, "Content-Length", "0") or 0)
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.log = []
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        self.address = await self.listen({})

    async def listen(self, links):
        """Serves at one more address, at which workers have the addresses of links in front of them."""
        server = await asyncio.start_server(lambda r, w: self.serve(r, w, links), "127.0.0.1", 0, limit=1 << 21)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, kind, name, specification):
        """Creates or replaces an object, as the operator and the workers do; the answer acknowledges it."""
        held = self.objects.setdefault(kind, {})
        old = held.get(name)
        if old is not None and old["Specification"] == specification:
            return
        self.revision += 1
        created = old["Metadata"]["Created"] if old else self.revision
        held[name] = {
            "Metadata": {"Name": name, "Revision": self.revision, "Created": created, "Finalizers": [], "Deleting": False},
            "Specification": specification, "Status": old["Status"] if old else None,
        }
        self.log.append((self.revision, kind, held[name], False))
        self.wake()

    def delete(self, kind, name):
        old = self.objects.get(kind, {}).pop(name, None)
        if old is None:
            return
        self.revision += 1
        gone = json.loads(json.dumps(old))
        gone["Metadata"]["Revision"] = self.revision
        self.log.append((self.revision, kind, gone, True))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer, links):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)  # the sheet's time of an answer
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                for real, link in links.items():
                    text = text.replace(real.encode(), link.encode())
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n" % (status, len(text))
                writer.write(head.encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        wanted = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path[len("/api/objects/"):].split("/")
        kind = parts[0]
        held = self.objects.setdefault(kind, {})
        if method == "GET" and len(parts) > 1:
            found = held.get(parts[1])
            return (200, found) if found else (404, {})
        if method == "GET" and "Watch" in wanted:
            return await self.watch(kind, int(wanted["Watch"]), int(wanted.get("WaitMs", "0")))
        if method == "GET":
            names = sorted(n for n in held if n > wanted.get("AfterRevision", ""))
            page = names[:500]
            return 200, {"Items": [held[n] for n in page], "HasMore": len(names) > 500, "AsOf": self.revision}
        if method in ("POST", "PUT"):
            sent = json.loads(body)
            name = parts[1] if len(parts) > 1 else sent["Metadata"]["Name"]
            old = held.get(name)
            if method == "POST" and old:
                return 409, old
            if method == "PUT" and not old:
                return 404, {}
            stated = sent["Metadata"].get("Revision")
            if stated and old and stated != old["Metadata"]["Revision"]:
                return 409, old
            self.put(kind, name, sent.get("Specification"))
            return (201 if method == "POST" else 200), held[name]
        if method == "DELETE":
            self.delete(kind, parts[1])
            return 200, {}
        return 404, {}

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [{"Object": o, "Deleted": gone} for (rev, k, o, gone) in self.log if k == kind and rev > after]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker; handle(worker, request) answers a client's request and is set by the case."""

    def __init__(self, world, ident, service, zone, version="v1", slots=64, host="127.0.0.1", port=0):
        self.world, self.id, self.service, self.zone, self.version, self.slots = world, ident, service, zone, version, slots
        self.host, self.port = host, port
        self.server = None
        self.connections = set()
        self.running = 0
        self.kv = []
        self.alive = False
        self.statements = ""
        self.tokens = 1000  # tokens in memory of a running request

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def start(self, register=True):
        for attempt in range(50):
            try:
                self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20, reuse_address=True)
                break
            except OSError:
                if attempt == 49:
                    raise
                await asyncio.sleep(0.02)
        self.port = self.server.sockets[0].getsockname()[1]
        self.alive = True
        self.born = int(time.time() * 1000)
        self.world.record.line("worker %s (%s, %s) starts at %s" % (self.id, self.service, self.version, self.address))
        if register:
            self.register()

    def register(self, state="ready"):
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": self.version, "Slots": self.slots,
                 "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": self.born}
        self.world.store.put("servers", self.id, entry)
        self.world.record.line("store: entry of %s: %s" % (self.id, state))

    def crash(self, reset=True):
        """Ends the worker: its port refuses and its connections end."""
        self.alive = False
        self.world.record.line("worker %s crashes" % self.id)
        self.server.close()
        for writer in list(self.connections):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    def expire_entry(self, after):
        """The store removes the entry after three heartbeat intervals of silence."""
        def remove():
            self.world.store.delete("servers", self.id)
            self.world.record.line("store: entry of %s expired" % self.id)
        asyncio.get_running_loop().call_later(after, remove)

    def keep(self, part, tokens, delay=0.0):
        """Adds an event to what the engine reports about its cache, which may arrive late."""
        def add():
            self.kv.append([len(self.kv) + 1, "+", "", part, tokens, "m"])
        if delay > 0:
            asyncio.get_running_loop().call_later(delay, add)
        else:
            add()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while self.alive:
                line, fields = await read_head(reader)
                request = Request(self, reader, writer, line, fields)
                path = request.path
                load = "Wisteriahaven-Server-Load: %d,0,%d\r\n" % (self.running, self.slots)
                if path == "/api/report":
                    request.raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", json.dumps({
                        "Stage": "prefill_and_decode", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Sequence": 0,
                        "QueuedRequests": 0, "RunningRequests": self.running, "KvCacheUsed": min(88000, self.running * self.tokens), "KvCacheTotal": 88000, "Handles": 0,
                        "Runs": [], "born": self.born}))
                elif path == "/api/kv-events":
                    request.raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", json.dumps({
                        "epoch": self.born, "Next": len(self.kv) + 1, "lost": False, "events": self.kv, "born": self.born}))
                elif path == "/health":
                    request.raw("HTTP/1.1 200 OK\r\nWisteriahaven-Instance-Id: %s\r\n%s%s" % (self.id, load, self.statements), "")
                else:
                    request.body = await read_body(reader, fields)
                    expected = request.field("Wisteriahaven-Expected-Instance")
                    self.world.record.line("worker %s (%s): %s %s %s arrives, expected %s, Last-Event-Id %s" % (
                        self.id, self.service, request.id, request.method, request.target, expected or "-", request.field("Last-Event-Id") or "-"))
                    self.world.arrivals.append((now(), self, request))
                    if expected and expected != self.id:
                        request.raw("HTTP/1.1 421 Misdirected Request\r\nWisteriahaven-Attempt-Id: %s\r\nWisteriahaven-Instance-Id: %s\r\n" % (request.id, self.id), "")
                    else:
                        self.running += 1
                        try:
                            await self.world.handle(self, request)
                        finally:
                            self.running -= 1
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Link:
    """A proxy in front of a listener. It refuses and resets connections, or holds back all bytes."""

    def __init__(self, target, host="127.0.0.1", port=0):
        self.target, self.host, self.port = target, host, port
        self.server, self.silent, self.open = None, False, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def restore(self):
        """Ends refuse."""
        await self.start()

    def refuse(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(self, reader, writer):
        host, _, port = self.target.partition(":")
        try:
            back_reader, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, back}
        await asyncio.gather(self.copy(reader, back, writer), self.copy(back_reader, writer, back))
        self.open -= {writer, back}

    async def copy(self, reader, to, own):
        try:
            while True:
                data = await reader.read(16384)
                while self.silent:
                    await asyncio.sleep(0.02)
                if not data:
                    to.close()
                    return
                to.write(data)
                await to.drain()
        except (ConnectionError, OSError):
            to.transport.abort()
            own.transport.abort()


class Request:
    """A request at a worker."""

    def __init__(self, worker, reader, writer, line, fields):
        self.worker, self.reader, self.writer, self.fields = worker, reader, writer, fields
        self.method, self.target, _ = line.split(" ")
        self.path = self.target.partition("?")[0]
        self.id = self.field("Wisteriahaven-Attempt-Id")
        self.body = b""

    def field(self, name):
        return field(self.fields, name)

    def raw(self, head, body):
        data = body.encode()
        self.writer.write(("%sContent-Length: %d\r\n\r\n" % (head, len(data))).encode() + data)

    def run(self):
        """Records that the worker began to work on the request."""
        self.worker.world.runs.append((now(), self.worker, self))
        self.worker.world.record.line("worker %s (%s, %s) runs %s" % (self.worker.id, self.worker.service, self.worker.version, self.id))

    def signed(self):
        return "Wisteriahaven-Attempt-Id: %s\r\nWisteriahaven-Response-Signature: by.%s\r\n%s" % (self.id, self.worker.id, self.worker.statements)

    def succeed(self, body):
        self.raw("HTTP/1.1 200 OK\r\n" + self.signed(), body)

    def begin_stream(self):
        self.writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % self.signed()).encode())

    def event(self, number, text):
        data = "id: %d\ndata: %s\n\n" % (number, text)
        self.writer.write(("%x\r\n%s\r\n" % (len(data), data)).encode())

    def end_stream(self):
        self.writer.write(b"0\r\n\r\n")

    def gone(self):
        return self.writer.transport.is_closing() or self.reader.at_eof()


class Instance:
    """An entry instance: the project's program as a process."""

    def __init__(self, world, name, host, zone, clients, readiness, peers, relay, metrics, store=None):
        self.world, self.name, self.host, self.zone = world, name, host, zone
        self.clients, self.readiness = "%s:%d" % (host, clients), "%s:%d" % (host, readiness)
        self.settings = {
            "instance": name, "data_centre": zone, "region": world.zones[zone],
            "gateway": {
                "clients": self.clients, "readiness": self.readiness, "metrics": "%s:%d" % (host, metrics),
                "peers": "%s:%d" % (host, peers), "relay": "%s:%d" % (host, relay), "store": store or world.store.address,
                "seeds": world.seeds, "data_centres": [{"name": z, "region": r} for z, r in world.zones.items()],
                "stop_seconds": 8, "address_reuse_seconds": 2,
                "second_sends": {"ratio": 0.8, "extra": 150, "window_seconds": 10},
                "descriptors": 4100, "memory_mb": 284,
            },
        }
        self.file = os.path.join(world.folder, name + ".jsonc")
        self.write_settings()
        self.process = None

    def write_settings(self):
        with open(self.file, "w", encoding="utf-8") as f:
            json.dump(self.settings, f)

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["WISTERIAHAVEN_SETTINGS"] = self.file
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["target/wisteriahaven", "entry"], cwd=self.world.root, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.world.record.line("instance %s starts" % self.name)

    def signal(self, number):
        self.world.record.line("instance %s: %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ready(self):
        host, _, port = self.readiness.partition(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                self.world.record.line("instance %s is ready" % self.name)
                return True
            await asyncio.sleep(0.05)
        return False


class Answer:
    """What a client got: status 0 without an answer."""

    def __init__(self, attempt):
        self.attempt, self.status, self.fields, self.body, self.complete, self.events, self.at = attempt, 0, [], b"", False, [], 0.0

    def last_id(self):
        return self.events[-1][0] if self.events else 0


class World:
    """Everything of one run."""

    def __init__(self, case_folder, zones=None):
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.zones = zones or {"a": "region-a"}
        self.store = Store(self.record)
        self.workers, self.instances, self.arrivals, self.runs, self.seeds = [], [], [], [], []
        self.handle = None
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.counter = 0

    def configure(self, version, routes, services, tenants=None, limits=None):
        """The operator writes a configuration."""
        self.store.put("config", "main", {
            "Version": version, "Routes": routes, "Services": services,
            "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": tenants or [{"Name": TENANT, "ApiKeys": [KEY]}],
        })
        self.record.line("operator: configuration %d acknowledged" % version)

    def add_instances(self, zones):
        """Adds an instance in each of the zones; ports are the same on all machines."""
        hosts = ["127.0.0.%d" % (n + 11) for n in range(len(zones))]
        ports = [free_port_on(hosts) for _ in range(5)]
        self.seeds = ["%s:%d" % (h, free_port(h)) for h in hosts[:3]]
        for n, zone in enumerate(zones):
            self.instances.append(Instance(self, "frontend-%s-%d" % (zone, n + 1), hosts[n], zone, *ports))
        return self.instances

    async def add_worker(self, ident, service, zone, **options):
        worker = Worker(self, ident, service, zone, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    def new_id(self):
        self.counter += 1
        return "%08x%08x" % (os.getpid() & 0xffffffff, self.counter)

    async def request(self, instance, method, path, body=b"", deadline_ms=1500, headers=(), attempt=None, on_event=None):
        """Sends one request over a new connection and reads its answer."""
        answer = Answer(attempt or self.new_id())
        host, _, port = instance.clients.partition(":")
        end = time.monotonic() + deadline_ms / 1000 + 0.5
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 20), 1)
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nWisteriahaven-Attempt-Id: %s\r\nWisteriahaven-Deadline-Milliseconds: %d\r\n" % (
                method, path, HOST, KEY, answer.attempt, deadline_ms)
            for name, value in headers:
                head += "%s: %s\r\n" % (name, value)
            if body or method != "GET":
                head += "Content-Length: %d\r\n" % len(body)
            self.record.line("client: %s %s %s sent to %s %s" % (answer.attempt, method, path, instance.name, " ".join("%s=%s" % h for h in headers if h[0] in ("Last-Event-Id",))))
            writer.write(head.encode() + b"\r\n" + body)
            line, answer.fields = await asyncio.wait_for(read_head(reader), max(0.01, end - time.monotonic()))
            answer.status = int(line.split(" ")[1])
            answer.at = now()
            if field(answer.fields, "Transfer-Encoding").lower() != "chunked":
                answer.body = await asyncio.wait_for(read_body(reader, answer.fields), max(0.01, end - time.monotonic()))
                answer.complete = True
            else:
                await asyncio.wait_for(self.read_stream(reader, answer, on_event), max(0.01, end - time.monotonic()))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.line("client: %s ends with %s" % (answer.attempt, type(error).__name__))
        finally:
            if writer is not None:
                writer.close()
        self.record.line("client: %s got status %d, %d events (last %d), complete %s, signature %s" % (
            answer.attempt, answer.status, len(answer.events), answer.last_id(), answer.complete, field(answer.fields, "Wisteriahaven-Response-Signature") or "-"))
        return answer

    async def read_stream(self, reader, answer, on_event):
        text = ""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                answer.complete = True
                return
            text += (await reader.readexactly(size)).decode()
            await reader.readexactly(2)
            while "\n\n" in text:
                block, _, text = text.partition("\n\n")
                number, data = 0, ""
                for line in block.split("\n"):
                    if line.startswith("id:"):
                        number = int(line[3:])
                    if line.startswith("data:"):
                        data = line[5:].strip()
                answer.events.append((number, data, now()))
                if on_event:
                    on_event(answer)

    def close(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, attempts, target_ms=300, **more):
    entry = {"Name": name, "Host": HOST, "PathPrefix": "/%s/" % name, "Kind": kind, "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms,
             "Priority": 1, "Service": service, "Attempts": attempts, "AllowAnonymous": False}
    if kind == "streaming":
        entry.update({"Sticky": True, "StreamResumption": True, "GapTargetMs": 700})
    entry.update(more)
    return entry


def service(name, engine=False):
    entry = {"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "Tls": False}
    if engine:
        entry["Engine"] = {"Slots": 64, "KvCacheTokens": 88000, "KvTokenBytes": 163840, "LinkMbps": 140000.0, "Moves": False, "Backups": False,
                           "Stride": 6, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 4.0, "Models": [{"Name": "m"}]}
    return entry


def main(case):
    """Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case couldn't run."""
    async def play():
        return await asyncio.wait_for(case(), 110)

    def terminated(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, terminated)
    try:
        code = asyncio.run(play())
    except Exception as error:  # pylint: disable=broad-except
        print("the case couldn't run: %r" % error)
        raise SystemExit(2) from error
    raise SystemExit(code)
