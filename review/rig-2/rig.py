"""Stand-ins and helpers for the scripts of the second review: a metadata store, backend servers, clients, and
entry instances started as processes. Everything runs on loopback addresses. Only the standard library is used."""

import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "wisteriahaven")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Unable(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to record.txt, with the time since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.started, text))
            self.file.flush()


def free_ports(names, addresses):
    """Returns a port for each name that is free at all addresses, for TCP and UDP. They lie below those that the system gives to
    sockets without a port, so that nothing takes them until they are used."""
    ports = {}
    while len(ports) < len(names):
        port = random.randrange(20000, 30000)
        if port in ports.values():
            continue
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        ports[names[len(ports)]] = port
    return ports


# ---------------------------------------------------------------- store

class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, lists, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except (ConnectionError, TimeoutError):
                    self.close_connection = True

            def reply(self, status, body=None):
                text = b"" if body is None else json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def call(self):
                length = int(self.headers.get("Content-Length") or 0)
                text = self.rfile.read(length) if length else b""
                parts = urlsplit(self.path)
                names = [unquote(p) for p in parts.path.split("/") if p]
                if names[:2] != ["api", "objects"] or len(names) < 3:
                    return self.reply(404)
                query = {k: v[-1] for k, v in parse_qs(parts.query).items()}
                body = json.loads(text) if text else {}
                self.reply(*store.call(self.command, names[2:], query, body))

            do_GET = do_POST = do_PUT = do_DELETE = call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def call(self, method, names, query, body):
        kind, name = names[0], names[1] if len(names) > 1 else None
        if method == "GET" and name is None and "Watch" in query:
            return self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        with self.changed:
            kept = self.objects.setdefault(kind, {})
            if method == "GET" and name is None:
                after = query.get("AfterRevision", "")
                rest = [n for n in sorted(kept) if n > after]
                return 200, {"Items": [kept[n] for n in rest[:500]], "HasMore": len(rest) > 500, "AsOf": self.revision}
            if method == "GET":
                return (200, kept[name]) if name in kept else (404, None)
            wanted = body.get("Metadata", {})
            if method == "POST":
                name = wanted.get("Name")
                if name in kept:
                    return 409, kept[name]
                return 200, self.put_locked(kind, name, body.get("Specification"))
            if name not in kept:
                return 404, None
            condition = wanted.get("Revision", query.get("Revision"))
            if condition is not None and int(condition) != kept[name]["Metadata"]["Revision"]:
                return 409, kept[name]
            if method == "PUT":
                if len(names) > 2 or kept[name]["Specification"] == body.get("Specification"):
                    return 200, kept[name]
                return 200, self.put_locked(kind, name, body.get("Specification"))
            self.remove_locked(kind, name)
            return 200, None

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        with self.changed:
            while True:
                events = [e for r, k, e in self.history if k == kind and r > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                self.changed.wait(left)

    def put_locked(self, kind, name, specification):
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old["Metadata"]["Created"] if old else self.revision
        stored = {"Metadata": {"Name": name, "Revision": self.revision, "Created": created, "Finalizers": [], "Deleting": False},
                  "Specification": specification, "Status": None}
        self.objects[kind][name] = stored
        self.history.append((self.revision, kind, {"Deleted": False, "Object": stored}))
        self.changed.notify_all()
        return stored

    def remove_locked(self, kind, name):
        stored = self.objects[kind].pop(name)
        self.revision += 1
        gone = dict(stored, Metadata=dict(stored["Metadata"], Revision=self.revision))
        self.history.append((self.revision, kind, {"Deleted": True, "Object": gone}))
        self.changed.notify_all()

    def put(self, kind, name, specification):
        """Writes an object as the operator or a backend server does."""
        with self.changed:
            self.put_locked(kind, name, specification)
        self.record("store acknowledges %s/%s %s" % (kind, name, summary(specification)))

    def remove(self, kind, name):
        with self.changed:
            if name in self.objects.get(kind, {}):
                self.remove_locked(kind, name)
                self.record("store removes %s/%s" % (kind, name))

    def names(self, kind):
        with self.changed:
            return sorted(self.objects.get(kind, {}))


def summary(specification):
    if "Routes" in specification:
        return "version %s, %d routes, tenants %s, limits %s" % (
            specification["Version"], len(specification["Routes"]), json.dumps(specification.get("Tenants")), json.dumps(specification.get("Limits")))
    return json.dumps({k: specification[k] for k in ("Service", "Address", "Version", "State") if k in specification})


# ---------------------------------------------------------------- HTTP

class Reader:
    """Reads HTTP/1.1 messages from a connection."""

    def __init__(self, conn):
        self.conn, self.buffer = conn, b""

    def fill(self):
        data = self.conn.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.setdefault(name.strip().lower(), value.strip())
        return lines[0], fields

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text

    def chunk(self):
        size = int(self.line().split(b";")[0], 16)
        data = self.take(size)
        if size == 0:
            while self.line():
                pass
        else:
            self.take(2)
        return data

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            whole = b""
            while True:
                data = self.chunk()
                if not data:
                    return whole
                whole += data
        return self.take(int(fields.get("content-length") or 0))


def reset(conn):
    """Closes a connection with a reset, as the end of its process does while data is unread."""
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()
    except OSError:
        pass


# ---------------------------------------------------------------- backend servers

class Worker:
    """A backend server. run(worker, call) answers one request; the default succeeds at once."""

    def __init__(self, record, store, name, service, zone="zone-a", version="v1", slots=64, run=None, address=None, engine=False):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.zone, self.version, self.slots, self.engine = zone, version, slots, engine
        self.run = run or (lambda worker, call: call.succeed(b"answer of " + worker.name.encode()))
        self.lock = threading.Lock()
        self.connections = set()
        self.alive = True
        self.draining = False
        self.running = {}
        self.kv = []
        self.epoch = random.randrange(1, 1 << 30)
        self.born = int(time.time() * 1000)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address or ("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        entry = {"Service": self.service, "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": self.version, "Slots": self.slots,
                 "State": "draining" if self.draining else "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": self.born}
        if self.engine:
            entry.update(Stage="prefill_and_decode", Models=[{"Name": "m", "Version": 1, "Adapters": []}])
        return entry

    def register(self):
        self.store.put("servers", self.name, self.entry())
        return self

    def drain(self):
        self.draining = True
        self.register()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                if not self.alive:
                    reset(conn)
                    return
                self.connections.add(conn)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        reader = Reader(conn)
        try:
            while self.alive:
                line, fields = reader.head()
                body = reader.body(fields)
                method, target, _ = line.split(" ", 2)
                if not self.answer(conn, method, target, fields, body):
                    break
        except (EOFError, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(conn)
            try:
                conn.close()
            except OSError:
                pass

    def answer(self, conn, method, target, fields, body):
        path = target.split("?")[0]
        if path == "/health":
            return self.send(conn, 503 if self.draining else 200, b"", {"Wisteriahaven-Instance-Id": self.name})
        if path == "/api/report":
            with self.lock:
                runs = [[i, 100, made, 5] for i, made in self.running.items()]
            return self.send(conn, 200, json.dumps({"Stage": "prefill_and_decode", "Models": [], "Busy": False, "Sequence": 1, "QueuedRequests": 0,
                             "RunningRequests": len(runs), "KvCacheUsed": 100 * len(runs), "KvCacheTotal": 88000, "Handles": 0, "Runs": runs}).encode(), {"Content-Type": "application/json"})
        if path == "/api/kv-events":
            with self.lock:
                events = [[n + 1, "+", "", part, tokens, "m"] for n, (part, tokens) in enumerate(self.kv)]
            return self.send(conn, 200, json.dumps({"epoch": self.epoch, "Next": len(events) + 1, "lost": False, "events": events}).encode(), {"Content-Type": "application/json"})
        ident = fields.get("wisteriahaven-attempt-id", "")
        expected = fields.get("wisteriahaven-expected-instance")
        if expected and expected != self.name:
            self.record("server %s answers 421 to %s, which expects %s" % (self.name, ident, expected))
            return self.send(conn, 421, b"", {"Wisteriahaven-Attempt-Id": ident, "Wisteriahaven-Instance-Id": self.name, "Wisteriahaven-Not-Executed": "1"})
        call = Call(self, conn, method, target, fields, body, ident)
        tokens = call.prompt()[-1:] if self.engine else []
        with self.lock:
            self.running[ident] = 0
            for part in tokens:
                self.kv.append(part)
        self.record("server %s (%s of %s) runs %s %s %s, tenant %s, Last-Event-Id %s, %d body bytes" % (
            self.name, self.version, self.service, ident, method, target, fields.get("wisteriahaven-tenant"), fields.get("last-event-id"), len(body)))
        try:
            self.run(self, call)
        finally:
            with self.lock:
                self.running.pop(ident, None)
        return True

    def send(self, conn, status, body, fields):
        head = "HTTP/1.1 %d X\r\n" % status + "".join("%s: %s\r\n" % f for f in fields.items()) + "Content-Length: %d\r\n\r\n" % len(body)
        conn.sendall(head.encode() + body)
        return True

    def crash(self):
        """Ends the server as the end of its process does: nothing listens, connections are reset."""
        with self.lock:
            if not self.alive:
                return
            self.alive = False
            open_connections = list(self.connections)
        self.record("server %s crashes" % self.name)
        # Wakes the thread in accept, which otherwise keeps the socket listening.
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for conn in open_connections:
            try:
                conn.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            reset(conn)


class Call:
    """One request at a backend server."""

    def __init__(self, worker, conn, method, target, fields, body, ident):
        self.worker, self.conn, self.method, self.target, self.fields, self.body, self.id = worker, conn, method, target, fields, body, ident

    def prompt(self):
        parts = []
        for entry in self.fields.get("wisteriahaven-prompt-prefix", "").split(","):
            if ":" in entry:
                name, size = entry.strip().split(":")
                parts.append((name, int(size)))
        return parts

    def head(self, extra):
        return ("HTTP/1.1 200 OK\r\nWisteriahaven-Attempt-Id: %s\r\nWisteriahaven-Response-Signature: s.%s\r\n%s\r\n" % (self.id, self.worker.name, extra)).encode()

    def succeed(self, body):
        self.conn.sendall(self.head("Content-Length: %d\r\n" % len(body)) + body)

    def stream(self, events, interval, first_after=0.05, ends=True):
        """Sends events from the one after Last-Event-Id, each with the server's version as text."""
        position = int(self.fields.get("last-event-id") or 0)
        time.sleep(first_after)
        self.conn.sendall(self.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        for number in range(position + 1, events + 1):
            if not self.worker.alive:
                raise OSError("crashed")
            event = ("id: %d\ndata: %s/%d\n\n" % (number, self.worker.version, number)).encode()
            self.conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            with self.worker.lock:
                self.worker.running[self.id] = number - position
            time.sleep(interval)
        if ends:
            self.conn.sendall(b"0\r\n\r\n")


# ---------------------------------------------------------------- entry instances

class Estate:
    """Entry instances as processes, with a store in front of which each has a proxy that can be cut."""

    def __init__(self, record, instances, zones=("zone-a",), descriptors=4100, memory=134, settings=None):
        if not os.access(PROGRAM, os.X_OK):
            raise Unable("target/wisteriahaven is missing: build it with the command of deploy/system.toml")
        self.record, self.folder = record, tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        base = "127.%d.%d." % (random.randrange(20, 200), random.randrange(1, 250))
        self.ports = free_ports(("clients", "readiness", "metrics", "peers", "relay"), [base + str(n + 1) for n in range(instances)])
        self.instances = []
        for n in range(instances):
            zone = zones[n % len(zones)]
            self.instances.append(Instance(self, "frontend-%s-%d" % (zone, n // len(zones) + 1), base + str(n + 1), zone))
        self.zones, self.descriptors, self.memory, self.settings = zones, descriptors, memory, settings or {}
        self.links = None

    def known_as(self, instance):
        """Returns the address by which other instances know one."""
        return self.links.fronts[instance.address] if self.links else instance.address

    def start(self):
        for instance in self.instances:
            instance.start()

    def await_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for instance in self.instances:
            while not instance.ready():
                if time.monotonic() > end or instance.process.poll() is not None:
                    self.record("the end of its log: " + instance.log()[-2000:])
                    raise Unable("%s is not ready, its process %s" % (instance.name, instance.process.poll()))
                time.sleep(0.1)
        self.record("all instances are ready")

    def stop(self):
        for instance in self.instances:
            instance.kill()
        self.store.server.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)


class Instance:
    def __init__(self, estate, name, address, zone):
        self.estate, self.name, self.address, self.zone = estate, name, address, zone
        self.process = None
        self.gate = Gate(estate.record, name, estate.store.address)

    def start(self):
        estate = self.estate
        at = {name: "%s:%d" % (self.address, port) for name, port in estate.ports.items()}
        gateway = dict(at, store=self.gate.address, seeds=["%s:%d" % (estate.known_as(i), estate.ports["peers"]) for i in estate.instances[:3]],
                       data_centres=[{"name": z, "region": "region-" + z} for z in estate.zones], stop_seconds=8, address_reuse_seconds=2,
                       second_sends={"ratio": 0.8, "extra": 150, "window_seconds": 10}, descriptors=estate.descriptors, memory_mb=estate.memory, **estate.settings)
        path = os.path.join(estate.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"instance": self.name, "data_centre": self.zone, "region": "region-" + self.zone, "gateway": gateway}, file)
        log = open(os.path.join(estate.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([PROGRAM, "entry"], cwd=ROOT, env={"PATH": os.environ["PATH"], "WISTERIAHAVEN_SETTINGS": path},
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        estate.record("%s starts" % self.name)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def ready(self):
        try:
            status, _, _, _ = request((self.address, self.estate.ports["readiness"]), "GET", "/api/readiness", {"Host": self.address}, timeout=1)
            return status == 200
        except OSError:
            return False

    @property
    def clients(self):
        return (self.address, self.estate.ports["clients"])

    def log(self):
        with open(os.path.join(self.estate.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Gate:
    """A proxy between one instance and the store. While it is shut, it resets new and open connections."""

    def __init__(self, record, name, target):
        host, port = target.split(":")
        self.record, self.name, self.target, self.shut = record, name, (host, int(port)), False
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            if self.shut:
                reset(conn)
                continue
            try:
                other = socket.create_connection(self.target, 2)
            except OSError:
                reset(conn)
                continue
            other.settimeout(None)
            with self.lock:
                self.pairs.add((conn, other))
            for a, b in ((conn, other), (other, conn)):
                a.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.copy, args=(a, b), daemon=True).start()

    def copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for conn in (source, sink):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        self.shut = True
        with self.lock:
            pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            for conn in pair:
                try:
                    conn.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        self.record("the store turns %s away" % self.name)

    def heal(self):
        self.shut = False
        self.record("the store serves %s again" % self.name)


class Links:
    """Proxies between entry instances of different data centres, for datagrams and connections. Each instance knows the others
    by the addresses of their proxies. While the links are cut, they drop datagrams, and connections stay unanswered."""

    def __init__(self, estate):
        self.estate, self.cut_now, self.passed = estate, False, 0
        self.cut_off = set()
        base = "127.%d.%d." % (random.randrange(201, 250), random.randrange(1, 250))
        self.fronts = {i.address: base + str(n + 1) for n, i in enumerate(estate.instances)}
        self.sockets = {}
        for real, front in self.fronts.items():
            self.sockets[real] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sockets[real].bind((front, estate.ports["peers"]))
            for port in ("peers", "relay"):
                listener = socket.socket()
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind((front, estate.ports[port]))
                listener.listen(128)
                threading.Thread(target=self.accept, args=(listener, (real, estate.ports[port])), daemon=True).start()
        for real in self.fronts:
            threading.Thread(target=self.forward, args=(real,), daemon=True).start()

    def forward(self, real):
        while True:
            data, (sender, _) = self.sockets[real].recvfrom(65536)
            if self.cut_now or sender not in self.sockets or self.cut_off & {sender, real}:
                continue
            self.passed += 1
            self.sockets[sender].sendto(data, (real, self.estate.ports["peers"]))

    def accept(self, listener, target):
        kept = []
        while True:
            conn, _ = listener.accept()
            if self.cut_now or target[0] in self.cut_off:
                kept.append(conn)
                continue
            try:
                other = socket.create_connection(target, 2)
            except OSError:
                reset(conn)
                continue
            other.settimeout(None)
            for a, b in ((conn, other), (other, conn)):
                threading.Thread(target=self.copy, args=(a, b), daemon=True).start()

    def copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if not self.cut_now:
                    sink.sendall(data)
        except OSError:
            pass
        for conn in (source, sink):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        self.cut_now = True
        self.estate.record("the links between the data centres are cut")

    def heal(self):
        self.cut_now = False
        self.cut_off = set()
        self.estate.record("the links between the instances work again")

    def cut_one(self, instance):
        """Drops the datagrams of one instance in both directions, and leaves connections to it unanswered."""
        self.cut_off = self.cut_off | {instance.address}
        self.estate.record("%s is cut off from the other instances" % instance.name)


# ---------------------------------------------------------------- clients

def send_head(conn, method, path, fields, body):
    lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % f for f in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def read_answer(reader):
    """Returns status, fields, body, and whether the answer is complete."""
    line, fields = reader.head()
    status = int(line.split(" ")[1])
    try:
        return status, fields, reader.body(fields), True
    except (EOFError, OSError):
        return status, fields, b"", False


def request(address, method, path, fields, body=b"", timeout=5):
    with socket.create_connection(address, 1) as conn:
        conn.settimeout(timeout)
        send_head(conn, method, path, fields, body)
        try:
            return read_answer(Reader(conn))
        except EOFError:
            return 0, {}, b"", False


def new_id():
    return "%016x" % random.randrange(1 << 64)


def configuration(version, routes, services, tenants, limits=None):
    return {"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
            "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def route(name, prefix, kind, service, timeout=3000, target=300, attempts=3, **more):
    entry = {"Name": name, "Host": "shop.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": 1,
             "Service": service, "Attempts": attempts, "AllowAnonymous": False}
    entry.update(more)
    return entry


def plain_service(name):
    return {"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "Tls": False}


def engine_service(name, slots=64):
    return {"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": slots, "KvCacheTokens": 88000, "KvTokenBytes": 163840, "LinkMbps": 140000.0, "Moves": True, "Backups": True, "Stride": 6,
                       "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 4.0, "Models": [{"Name": "m"}]}}


def main(folder, case):
    """Runs case(record), which returns the broken parts of the rule as texts, and exits as run.sh has to."""

    def ended(*_):
        raise Unable("it was ended from outside")

    signal.signal(signal.SIGTERM, ended)
    record = Record(folder)
    try:
        broken = case(record)
    except BaseException as err:  # also a fault of the script itself, which is no result
        record("could not run: %r" % err)
        print("could not run: %r" % err, flush=True)
        os._exit(2)
    for text in broken:
        record("BROKEN: " + text)
        print("BROKEN: " + text)
    record("result: %s" % ("broken" if broken else "held"))
    print("result: %s, trouble %s" % ("broken" if broken else "held", "on" if TROUBLE else "off"), flush=True)
    os._exit(1 if broken else 0)
