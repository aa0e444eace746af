"""Stand-ins of the platform, its workers and its clients, and the processes of the system, for the scripts of this review.

Everything is on loopback. Each machine of the system has a loopback address of its own, and all of them the same ports.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BINARY = os.path.join(ROOT, "target", "wisteriahaven")
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (now(), text))
        self.file.flush()


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Reads a head and returns its first line and its fields, None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Server:
    """An HTTP/1.1 server. handle(request, writer) answers and returns whether the connection stays open."""

    def __init__(self):
        self.writers = set()
        self.server = None

    async def listen(self, host, port):
        self.host, self.port = host, port
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.handle(Request(method, target, head[1], body), reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self, reset=True):
        """Ends the server as the end of its process does."""
        self.server.close()
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    try:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
                    except OSError:
                        pass
            writer.transport.abort()


async def answer(writer, status, fields, body=b""):
    head = "HTTP/1.1 %s\r\n" % status + "".join("%s: %s\r\n" % f for f in fields) + "Content-Length: %d\r\n\r\n" % len(body)
    writer.write(head.encode("latin-1") + body)
    await writer.drain()


class Store(Server):
    """The platform's store of objects."""

    def __init__(self):
        super().__init__()
        self.revision, self.objects, self.log = 10, {}, []
        self.changed = asyncio.Event()
        # watched holds when a kind was last watched over an address of the store.
        self.watched = {}
        # cut_off holds the addresses of the store that lead nowhere now: machines that use them are partitioned from it.
        self.cut_off = set()

    def _note(self, kind, stored, deleted=False):
        self.log.append((self.revision, kind, json.loads(json.dumps(stored)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        old = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision, "Created": old["Metadata"]["Created"] if old else self.revision, "Finalizers": [], "Deleting": False}
        stored = {"Metadata": meta, "Specification": specification, "Status": old["Status"] if old else None}
        self.objects[kind][name] = stored
        self._note(kind, stored)
        return stored

    def delete(self, kind, name):
        old = self.objects.get(kind, {}).pop(name, None)
        if old:
            self.revision += 1
            old["Metadata"]["Revision"] = self.revision
            self._note(kind, old, True)

    async def handle(self, request, reader, writer):
        address = writer.get_extra_info("sockname")[0]

        async def reply(status, value):
            if address in self.cut_off:
                await asyncio.sleep(3600)
            await answer(writer, status, [("Content-Type", "application/json")], json.dumps(value).encode())

        if address in self.cut_off:
            await asyncio.sleep(3600)
        parts = request.path.split("/")  # "", api, objects, KIND, NAME, status
        kind, name = parts[3], "/".join(parts[4:])
        kept = self.objects.setdefault(kind, {})
        if request.method == "GET" and name:
            await (reply("200 OK", kept[name]) if name in kept else reply("404 Not Found", {}))
        elif request.method == "GET" and "Watch" in request.query:
            self.watched[(address, kind)] = now()
            after, until = int(request.query["Watch"]), time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
            while True:
                events = [{"Object": o, "Deleted": d} for r, k, o, d in self.log if k == kind and r > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            await reply("200 OK", {"events": events, "AsOf": self.revision})
        elif request.method == "GET":
            names = sorted(n for n in kept if n > request.query.get("AfterRevision", ""))
            await reply("200 OK", {"Items": [kept[n] for n in names[:500]], "HasMore": len(names) > 500, "AsOf": self.revision})
        elif request.method in ("POST", "PUT"):
            await self._write(request, kind, name, kept, reply)
        elif request.method == "DELETE":
            self.delete(kind, name)
            await reply("200 OK", {})
        else:
            await reply("405 Method Not Allowed", {})
        return True

    async def _write(self, request, kind, name, kept, reply):
        written = json.loads(request.body)
        base = name.removesuffix("/status") or written["Metadata"]["Name"]
        old, expected = kept.get(base), written["Metadata"].get("Revision", 0)
        if request.method == "POST":
            await (reply("409 Conflict", old) if old else reply("200 OK", self.put(kind, base, written.get("Specification"))))
        elif old is None:
            await reply("404 Not Found", {})
        elif expected and expected != old["Metadata"]["Revision"]:
            await reply("409 Conflict", old)
        elif name.endswith("/status"):
            if old["Status"] != written.get("Status"):
                self.revision += 1
                old["Status"], old["Metadata"]["Revision"] = written.get("Status"), self.revision
                self._note(kind, old)
            await reply("200 OK", old)
        elif old["Specification"] == written.get("Specification"):
            await reply("200 OK", old)
        else:
            await reply("200 OK", self.put(kind, base, written.get("Specification")))


class Worker(Server):
    """A worker. run(request, writer) answers the requests of clients; it returns whether the connection stays open."""

    def __init__(self, record, ident, service, version="v1", slots=64, zone="a"):
        super().__init__()
        self.record, self.id, self.service, self.version, self.slots, self.zone = record, ident, service, version, slots, zone
        self.born, self.state, self.sequence, self.runs, self.history = int(time.time() * 1000), "ready", 0, [], []
        self.run = None
        # cache_events returns the events that GET /api/kv-events shows now; report the fields of GET /api/report.
        self.cache_events = lambda: []
        self.report = lambda: {}

    def entry(self):
        self.sequence += 1
        return {"Service": self.service, "Address": "%s:%d" % (self.host, self.port), "Zone": self.zone, "Version": self.version, "Slots": self.slots,
                "State": self.state, "ColdRemainingMs": 0, "Stage": "prefill_and_decode", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Sequence": self.sequence, "born": self.born}

    def signed(self, request):
        return [("Wisteriahaven-Attempt-Id", request.get("Wisteriahaven-Attempt-Id")), ("Wisteriahaven-Response-Signature", "signed-by-" + self.id),
                ("Wisteriahaven-Server-Load", "%d,0,%d" % (len(self.runs), self.slots))]

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            await answer(writer, "200 OK", [("Wisteriahaven-Instance-Id", self.id), ("Wisteriahaven-Server-Load", "%d,0,%d" % (len(self.runs), self.slots))])
            return True
        as_json = lambda value: answer(writer, "200 OK", [("Content-Type", "application/json")], json.dumps(value).encode())
        if request.path == "/api/report":
            await as_json({"Stage": "prefill_and_decode", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Sequence": 0, "QueuedRequests": 0,
                           "RunningRequests": len(self.runs), "KvCacheUsed": 1000 * len(self.runs), "KvCacheTotal": 88000, "Handles": 0, "born": self.born, **self.report()})
            return True
        if request.path == "/api/kv-events":
            events = self.cache_events()
            await as_json({"epoch": self.born, "Next": len(events) + 1, "lost": False, "events": events, "born": self.born})
            return True
        ident, expected = request.get("Wisteriahaven-Attempt-Id"), request.get("Wisteriahaven-Expected-Instance")
        if expected and expected != self.id:
            self.record.line("worker %s answers 421 to %s, which expects %s" % (self.id, ident, expected))
            await answer(writer, "421 Misdirected Request", [("Wisteriahaven-Attempt-Id", ident), ("Wisteriahaven-Instance-Id", self.id)])
            return True
        self.record.line("worker %s (%s %s) runs %s %s %s%s" % (self.id, self.service, self.version, ident, request.method, request.path,
                                                                 ", goes on after event " + request.get("Last-Event-Id") if request.get("Last-Event-Id") else ""))
        run = (ident, now())
        self.runs.append(run)
        self.history.append(run)
        try:
            return await self.run(self, request, reader, writer)
        finally:
            self.runs.remove(run)


async def chunk(writer, text):
    data = text.encode()
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
    await writer.drain()


class Answer:
    """An answer as a client got it. whole is set when it reached its end."""

    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.error = 0, {}, b"", False, ""


class Connection:
    """A client's connection."""

    def __init__(self, host, port):
        self.host, self.port, self.reader, self.writer = host, port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.port), 1)

    async def send(self, method, target, fields, body=b"", on_data=None, timeout=30):
        """Sends a request and reads its answer."""
        got = Answer()
        try:
            if self.writer is None:
                await self.open()
            head = "%s %s HTTP/1.1\r\n" % (method, target) + "".join("%s: %s\r\n" % f for f in fields)
            if body or method == "POST":
                head += "Content-Length: %d\r\n" % len(body)
            self.writer.write((head + "\r\n").encode("latin-1") + body)
            await self.writer.drain()
            await asyncio.wait_for(self._read(got, on_data), timeout)
        except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
            got.error = type(error).__name__
        if not got.whole or got.fields.get("connection", "").lower() == "close":
            self.close()
        return got

    async def _read(self, got, on_data):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed")
        got.status, got.fields = int(head[0].split(" ")[1]), head[1]
        if got.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    raise ConnectionError("closed")
                size = int(line, 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                got.body += data[:-2]
                if on_data:
                    on_data(data[:-2])
        else:
            got.body = await self.reader.readexactly(int(got.fields.get("content-length", "0")))
        got.whole = True

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def events_of(body):
    """The complete events of a stream, as (id, data)."""
    events = []
    for block in body.decode("utf-8", "replace").split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
        if "id" in fields:
            events.append((int(fields["id"]), fields.get("data", "")))
    return events


class Machine:
    """A machine of the system: the process that the deploy file names, at a loopback address of its own."""

    def __init__(self, rig, name, host, zone="a", region="north", **own):
        self.rig, self.name, self.host, self.zone, self.region, self.own, self.process = rig, name, host, zone, region, own, None
        self.file = os.path.join(rig.folder, name + ".jsonc")

    def settings(self):
        p, store = self.rig.ports, self.rig.store_address(self)
        gateway = {"clients": "%s:%d" % (self.host, p[0]), "readiness": "%s:%d" % (self.host, p[1]), "metrics": "%s:%d" % (self.host, p[2]),
                   "peers": "%s:%d" % (self.host, p[3]), "relay": "%s:%d" % (self.host, p[4]), "store": store,
                   "seeds": ["%s:%d" % (h, p[5]) for h in self.rig.seeds], "data_centres": self.rig.zones, "stop_seconds": 8, "address_reuse_seconds": 2,
                   "second_sends": {"ratio": 0.8, "extra": 150, "window_seconds": 10}, "descriptors": 4100, "memory_mb": 134}
        gateway.update(self.own)
        return {"instance": self.name, "data_centre": self.zone, "region": self.region, "gateway": gateway}

    def start(self):
        with open(self.file, "w") as file:
            json.dump(self.settings(), file, indent=1)
        log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["WISTERIAHAVEN_SETTINGS"] = self.file
        self.process = subprocess.Popen([BINARY, "entry"], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.rig.record.line("machine %s starts" % self.name)

    def signal(self, number):
        self.rig.record.line("machine %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    async def ready(self):
        c = Connection(self.host, self.rig.ports[1])
        got = await c.send("GET", "/api/readiness", [("Host", "ready")], timeout=1)
        c.close()
        return got.status == 200

    async def await_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " did not become ready")


class Link(asyncio.DatagramProtocol):
    """The way between two machines, each of which knows the other one by an address of the link. cut loses everything on it."""

    def __init__(self, rig, one, other):
        self.rig, self.one, self.other, self.cut = rig, one, other, False
        self.addresses = {one: rig.host(), other: rig.host()}  # by which the other machine knows each

    async def open(self):
        peers, relay = self.rig.ports[3], self.rig.ports[4]
        loop, self.sockets = asyncio.get_running_loop(), {}
        for machine, address in self.addresses.items():
            transport, _ = await loop.create_datagram_endpoint(lambda m=machine: LinkEnd(self, m), local_addr=(address, peers))
            self.sockets[machine] = transport
            for port in (peers, relay):
                self.rig.servers.append(Listener(await asyncio.start_server(lambda r, w, m=machine, p=port: self._forward(r, w, m.host, p), address, port)))

    def datagram(self, to, data, source):
        """Passes on a datagram that was sent to the address of a machine."""
        sender = self.other if to is self.one else self.one
        if not self.cut and source == sender.host:
            self.sockets[sender].sendto(data, (to.host, self.rig.ports[3]))

    async def _forward(self, reader, writer, host, port):
        try:
            there, back = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return

        async def pass_on(source, sink):
            while data := await source.read(65536):
                while self.cut:
                    await asyncio.sleep(0.01)
                sink.write(data)
                await sink.drain()

        tasks = [asyncio.create_task(pass_on(reader, back)), asyncio.create_task(pass_on(there, writer))]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        writer.close()
        back.close()


class LinkEnd(asyncio.DatagramProtocol):
    def __init__(self, link, machine):
        self.link, self.machine = link, machine

    def datagram_received(self, data, address):
        self.link.datagram(self.machine, data, address[0])


class Listener:
    def __init__(self, server):
        self.server = server

    async def stop(self):
        self.server.close()


class Rig:
    """The parts of one script. They end when it does."""

    def __init__(self, case_folder):
        self.record, self.folder = Record(case_folder), tempfile.mkdtemp(prefix="review-3-")
        self.machines, self.servers, self.zones, self.seeds = [], [], [{"name": "a", "region": "north"}], []
        # A network of loopback addresses of its own keeps scripts that run at the same time apart.
        self.network = "127.%d.%d." % (random.randint(16, 250), random.randint(1, 250))
        self.ports, self.next_host, self.store, self.store_hosts = None, 1, None, {}

    def host(self):
        self.next_host += 1
        return self.network + str(self.next_host)

    def free_ports(self, count):
        held = []
        for _ in range(count):
            s = socket.socket()
            s.bind(("127.0.0.1", 0))
            held.append(s)
        ports = [s.getsockname()[1] for s in held]
        for s in held:
            s.close()
        return ports

    def store_address(self, machine):
        return "%s:%d" % (self.store_hosts.get(machine, self.store.host), self.store.port)

    async def own_store_address(self, machine):
        """Gives a machine an address of its own for the store, which can be cut off."""
        host = self.store_hosts[machine] = self.host()
        self.servers.append(Listener(await asyncio.start_server(self.store._serve, host, self.store.port)))
        return host

    async def begin(self):
        if not os.path.exists(BINARY):
            raise RuntimeError("target/wisteriahaven is missing")
        self.ports = self.free_ports(6)
        self.store = Store()
        await self.store.listen(self.host(), self.free_ports(1)[0])
        self.servers.append(self.store)

    async def worker(self, ident, service, run, host=None, port=None, register=True, **own):
        w = Worker(self.record, ident, service, **own)
        w.run = run
        await w.listen(host or self.host(), port or self.free_ports(1)[0])
        self.servers.append(w)
        if register:
            self.register(w)
        return w

    def register(self, w):
        self.store.put("servers", w.id, w.entry())
        self.record.line("store: worker %s of %s, version %s, is %s" % (w.id, w.service, w.version, w.state))

    def machine(self, name, **own):
        m = Machine(self, name, self.host(), **own)
        self.machines.append(m)
        if len(self.seeds) < 3:
            self.seeds.append(m.host)
        return m

    def configure(self, version, routes, services, tenants=None):
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
        value = {"Version": version, "Routes": routes, "Services": services, "Limits": limits}
        if tenants is not None:
            value["Tenants"] = tenants
        self.store.put("config", "main", value)
        self.record.line("store: configuration %d: %s" % (version, ", ".join("%s to %s" % (r["PathPrefix"], r["Service"]) for r in routes)))

    def connection(self, machine):
        return Connection(machine.host, self.ports[0])

    async def end(self):
        for m in self.machines:
            if m.process is not None and m.process.poll() is None:
                m.process.kill()
                m.process.wait()
        for s in self.servers:
            await s.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def stream_route(service, path="/chat/", **own):
    return {"Name": "r" + path.strip("/"), "Host": "shop.example", "PathPrefix": path, "Kind": "streaming", "TimeoutMs": 25000, "TargetLatencyMs": 4500, "Priority": 1,
            "Service": service, "Attempts": 5, "AllowAnonymous": False, "Sticky": True, "StreamResumption": True, "GapTargetMs": 700, **own}


def call_route(service, path, kind, **own):
    return {"Name": "r" + path.strip("/"), "Host": "shop.example", "PathPrefix": path, "Kind": kind, "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 2,
            "Service": service, "Attempts": 3 if kind == "safe" else 1, "AllowAnonymous": False, "Sticky": False, "StreamResumption": False, **own}


ENGINE = {"Slots": 64, "KvCacheTokens": 88000, "KvTokenBytes": 163840, "LinkMbps": 140000.0, "Moves": True, "Backups": True, "Stride": 6, "most": 12, "PinMs": 4000.0,
          "HoldMs": 2000.0, "HandleS": 4.0, "Models": [{"Name": "m"}]}


def service(name, engine=None):
    value = {"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "Tls": False}
    if engine:
        value["Engine"] = engine
    return value


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case_file, play):
    """Runs play(rig), which returns the list of breaks of the rule. Exits with 1 if there are any, 0 if not, 2 if it couldn't run."""
    rig = Rig(os.path.dirname(os.path.abspath(case_file)))

    async def whole():
        for number in (signal.SIGTERM, signal.SIGHUP):  # end the processes then too
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await rig.begin()
            return await asyncio.wait_for(play(rig), 110)
        finally:
            await rig.end()

    try:
        breaks = asyncio.run(whole())
    except BaseException as error:  # whatever it is, the case couldn't run
        rig.record.line("the case couldn't run: %r" % error)
        print("the case couldn't run: %r" % error, file=sys.stderr)
        sys.exit(2)
    for text in breaks:
        rig.record.line("BROKEN: " + text)
        print(text)
    rig.record.line("%d breaks of the rule" % len(breaks))
    print("%d breaks of the rule%s" % (len(breaks), "; logs in " + rig.folder if os.environ.get("KEEP") else ""))
    sys.exit(1 if breaks else 0)
