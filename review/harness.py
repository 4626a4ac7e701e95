"""Stand-ins for the scripts of this folder: store, engines, clients and the balancer.

They speak what PROTOCOL.md says. Only the standard library is used, and only loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "release", "wisteriapoint")
HOST = "staves.example"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = f"{now():8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# HTTP


async def read_message(reader):
    """Reads a head and a body; returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            try:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
            except asyncio.IncompleteReadError as error:
                raise asyncio.IncompleteReadError(body, None) from error
            if size == 0:
                break
            body += data[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def response(status, headers, body):
    text = f"HTTP/1.1 {status} Status\r\n"
    for name, value in {**headers, "Content-Length": len(body)}.items():
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode() + body


# The platform's store


class Store:
    """The platform's metadata store, with a few milliseconds for each answer."""

    def __init__(self, answer_ms=4):
        self.answer_s = answer_ms / 1000
        self.revision = 10
        self.rows = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Event()

    async def serve(self, ip):
        server = await asyncio.start_server(self.connection, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.task = asyncio.create_task(self.expire())
        return self

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        row = self.rows[key]
        return {
            "key": key,
            "value": base64.b64encode(row["value"]).decode(),
            "revision": row["revision"],
            "created": row["created"],
            "lease": row["lease"],
        }

    def write(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            created = self.rows[key]["created"] if key in self.rows else self.revision
            self.rows[key] = {
                "value": value,
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.history.append((self.revision, key, self.item(key)))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append((self.revision, key, event))
        self.notify()

    def put(self, key, value):
        """Writes a row of the operator or of an engine; the return is the acknowledgement."""
        self.write([(key, json.dumps(value).encode(), 0)], [])

    def remove(self, key):
        self.write([], [key])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, row in self.rows.items() if row["lease"] == lease]
        self.write([], keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            for lease, (_, end) in list(self.leases.items()):
                if time.monotonic() >= end:
                    self.end_lease(lease)

    async def connection(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(self.answer_s)
                status, value = await self.call(method, url.path, query, body)
                text = json.dumps(value).encode()
                writer.write(response(status, {"Content-Type": "application/json"}, text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        if path == "/kv-key":
            if query["key"] not in self.rows:
                return 404, {"store-revision": self.revision}
            return 200, {**self.item(query["key"]), "store-revision": self.revision}
        if path == "/kv-range":
            keys = sorted(k for k in self.rows if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            page = keys[:500]
            return 200, {
                "entries": [self.item(key) for key in page],
                "truncated": len(page) < len(keys),
                "store-revision": self.revision,
            }
        if path == "/kv-watch":
            after, prefix = int(query["after"]), query["prefix"]
            end = time.monotonic() + min(int(query["wait-ms"]), 30000) / 1000
            while True:
                events = [e for r, k, e in self.history if r > after and k.startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/kv-lease":
            ttl = max(json.loads(body)["ttl-ms"], 1000)
            lease = random.getrandbits(40)
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    def transaction(self, call):
        for row in call.get("expected", []):
            current = self.rows.get(row["key"])
            if (current["revision"] if current else 0) != row["revision"]:
                keys = [row["key"] for row in call["expected"] if row["key"] in self.rows]
                return 412, {"entries": [self.item(key) for key in keys]}
        puts = call.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        rows = [(p["key"], base64.b64decode(p["value"]), p.get("lease", 0)) for p in puts]
        self.write(rows, call.get("remove", []))
        return 200, {"revision": self.revision}


# Engines


class Engine:
    """An engine or a plain server: one request at a time on a connection, `slots` at once.

    `work` is a coroutine that answers one request: it gets this engine, the headers, the body and
    the writer, and returns the response, or None if it has written one itself.
    """

    def __init__(self, name, service, record, work, slots=8, models=(), zone="cellar-a"):
        self.name, self.service, self.record, self.work = name, service, record, work
        self.slots, self.zone = slots, zone
        self.models = {model: 1 for model in models}
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrived = []
        self.orders = 0
        self.running = 0

    async def serve(self, ip, store):
        server = await asyncio.start_server(self.connection, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.store = store
        self.register()
        return self

    def register(self):
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold-left-ms": 0,
                "seq": 1,
                "born": self.born,
                "stage": "both",
                "models": models,
            },
        )

    def drain(self):
        """Reports `draining`; returns the time of the acknowledgement."""
        self.state = "draining"
        self.register()
        return now()

    async def connection(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                expected = headers.get("expect-instance", self.name)
                common = {"Attempt-Id": headers.get("attempt-id", "")}
                if expected != self.name:
                    writer.write(response(421, {**common, "Not-Executed": "1"}, b""))
                elif target == "/report":
                    writer.write(response(200, {}, self.report()))
                elif target == "/order":
                    writer.write(response(self.order(json.loads(body)), {}, b"{}"))
                elif self.running >= self.slots:
                    writer.write(response(503, {**common, "Not-Executed": "1"}, b""))
                else:
                    await self.run(headers, body, writer, target)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def run(self, headers, body, writer, target):
        self.running += 1
        try:
            attempt = headers.get("attempt-id", "")
            self.arrived.append((now(), attempt))
            answer = await self.work(self, headers, body, writer)
            if answer is not None:
                writer.write(answer)
        finally:
            self.running -= 1

    def report(self):
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        value = {"stage": "both", "models": models, "busy": False, "seq": self.orders}
        value.update({"queued": 0, "active": self.running, "kv-used": 0, "kv-total": 90000})
        return json.dumps(value).encode()

    def order(self, order):
        if order.get("expected", self.orders) != self.orders:
            return 409
        if self.models.get(order["model"], 0) >= order["version"]:
            return 200
        self.orders += 1
        self.models[order["model"]] = order["version"]
        self.register()
        return 202


def seal(engine, headers):
    return {"Attempt-Id": headers["attempt-id"], "Server-Seal": f"seal.{engine.name}"}


def plain_work(seconds):
    """Work that takes some time and then answers 200."""

    async def work(engine, headers, body, writer):
        await asyncio.sleep(seconds)
        return response(200, seal(engine, headers), b"done by " + engine.name.encode())

    return work


# Nodes


class Node:
    """One process of the role `edge`, with the command of the deploy file."""

    def __init__(self, cluster, number):
        self.cluster, self.number = cluster, number
        self.name = f"edge-cellar-a-{number}"
        self.ip = f"{cluster.net}.{number}"
        self.front, self.ready = (self.ip, 8144), (self.ip, 8140)
        self.process = None
        self.settings = os.path.join(cluster.folder, f"{self.name}.json")
        with open(os.path.join(ROOT, "deploy", "edge.json")) as file:
            text = file.read()
        fields = {
            "node-name": self.name,
            "zone": "cellar-a",
            "listen.front": f"{self.ip}:8144",
            "listen.ready": f"{self.ip}:8140",
            "ip": self.ip,
            "internal-ports.0": "7660",
            "platform.address": cluster.store.address,
            "platform.ttl-min-ms": "1000",
            "bounds.grace-s": "8",
            "bounds.lease-ms": "3000",
            "bounds.fencing-enforced": "true" if cluster.fencing else "false",
        }
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", value)
        assert "{{" not in text, text
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        log = open(os.path.join(self.cluster.folder, f"{self.name}.log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "node", "--settings", self.settings, stdout=log, stderr=log, cwd=ROOT
        )

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(request(self.ready, "GET", "/readyz", {}), 0.9)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Cluster:
    """A store, engines and nodes; ends all processes that it started."""

    def __init__(self, record, nodes, fencing=False):
        self.record, self.count, self.fencing = record, nodes, fencing
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes, self.engines = [], []
        while True:
            self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{self.net}.1", 8144))
                    break
                except OSError:
                    continue

    async def __aenter__(self):
        if not os.path.exists(BINARY):
            self.record(f"no {BINARY}: build it first")
            sys.exit(2)
        self.store = await Store().serve(f"{self.net}.250")
        return self

    async def start(self, routes, services):
        self.version = 1
        self.routes, self.services = routes, services
        self.configure()
        self.nodes = [Node(self, number + 1) for number in range(self.count)]
        for node in self.nodes:
            await node.start()
        for _ in range(150):
            states = await asyncio.gather(*(node.is_ready() for node in self.nodes))
            if all(states):
                self.record(f"{self.count} nodes are ready")
                return
            await asyncio.sleep(0.1)
        self.record("the nodes did not become ready")
        sys.exit(2)

    def configure(self):
        self.version += 2
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        value = {"version": self.version, "routes": self.routes, "services": self.services}
        self.store.put("op/config", {**value, "limits": limits})

    async def add_engine(self, name, service, work, **options):
        engine = Engine(name, service, self.record, work, **options)
        await engine.serve(f"{self.net}.{100 + len(self.engines)}", self.store)
        self.engines.append(engine)
        return engine

    async def __aexit__(self, *_):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP"):
            self.record(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **fields):
    value = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 10000,
        "target-latency-ms": 400,
        "max-attempts": 3,
        "priority": 1,
    }
    return {**value, **fields}


# Clients


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def request_bytes(method, target, headers, body=b""):
    text = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode() + body


async def request(address, method, target, headers, body=b"", source=None):
    """Sends a request on a new connection and reads the whole answer."""
    connect = asyncio.open_connection(*address)
    reader, writer = await asyncio.wait_for(connect, 1.0)
    try:
        writer.write(request_bytes(method, target, headers, body))
        line, headers, body = await read_message(reader)
        return Answer(int(line.split(" ")[1]), headers, body)
    finally:
        writer.close()


class Balancer:
    """The platform's entry: probes once a second, and picks a node for each new connection.

    Two misses take a node out. If fewer than half of the zone's nodes are in rotation, all are used.
    """

    def __init__(self, nodes):
        self.nodes = nodes
        self.misses = {node.name: 0 for node in nodes}
        self.rounds = 0
        self.task = asyncio.create_task(self.probe())

    async def probe(self):
        while True:
            for node in self.nodes:
                asyncio.create_task(self.probe_one(node))
            self.rounds += 1
            await asyncio.sleep(1)

    async def next_round(self):
        """Waits until the answers to the next probes have come."""
        rounds = self.rounds
        while self.rounds == rounds:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)

    async def probe_one(self, node):
        self.misses[node.name] = 0 if await node.is_ready() else self.misses[node.name] + 1

    def in_rotation(self):
        return [node for node in self.nodes if self.misses[node.name] < 2]

    def candidates(self):
        up = self.in_rotation()
        return self.nodes if len(up) * 2 < len(self.nodes) else up

    def pick(self, client):
        """The node of a client, by a hash of the client."""
        nodes = self.candidates()
        return nodes[hash(("client", client)) % len(nodes)]


def new_id():
    return "%016x" % random.getrandbits(64)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(main, folder):
    record = Record(os.path.dirname(os.path.abspath(folder)))
    try:
        broken = asyncio.run(asyncio.wait_for(main(record), 115))
    except SystemExit:
        raise
    except BaseException as error:  # The case could not run.
        record(f"could not run: {error!r}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
