"""Stand-ins for scripts of the third review: the platform's store, engines, plain servers and clients.

They speak the protocol of the users' pages over loopback and keep a record of what was sent, answered and run.
"""
import asyncio
import base64
import json
import logging
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "release", "wisteriapoint")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
USED_PORTS = set()


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of `record.txt`, with the time in seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, line):
        self.file.write(f"{self.now():8.3f} {line}\n")
        self.file.flush()


def free_port():
    """Returns a free port below those that outgoing connections take."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Status", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server on a free loopback port."""

    async def start(self, port=0):
        self.connections = set()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 26)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store. Leases, transactions, reads and watches as on the users' pages."""

    def __init__(self):
        self.revision = 10
        self.rows = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.delay_s = 0.004

    async def start(self, port=0):
        await super().start(port)
        self.expiry = asyncio.create_task(self._expire())
        return self

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if end <= now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, row in self.rows.items() if row["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            await self._notify()
        return True

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _put(self, key, value, lease):
        created = self.rows[key]["created"] if key in self.rows else self.revision
        row = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.rows[key] = row
        self.history.append((self.revision, key, row))

    def _remove(self, key):
        if self.rows.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self.history.append((self.revision, key, event))

    async def put(self, key, value):
        """Writes a row as the operator, a trainer or an engine does."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        await self._notify()

    async def remove(self, key):
        self.revision += 1
        self._remove(key)
        await self._notify()

    def value(self, key):
        row = self.rows.get(key)
        return json.loads(base64.b64decode(row["value"])) if row else None

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(self.delay_s)
        status, answer = await self.answer(method, path, query, body)
        writer.write(response(status, json.dumps(answer).encode(), [("content-type", "application/json")]))
        await writer.drain()
        return True

    async def answer(self, method, path, query, body):
        if path == "/kv-key":
            row = self.rows.get(query["key"])
            if row is None:
                return 404, {"store-revision": self.revision}
            return 200, dict(row, **{"store-revision": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.rows if k.startswith(query["prefix"]) and k > query.get("after", ""))
            entries = [self.rows[key] for key in keys[:500]]
            return 200, {"entries": entries, "truncated": len(keys) > 500, "store-revision": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._transact(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = max(1_000, json.loads(body)["ttl-ms"])
            self.revision += 1
            self.leases[self.revision] = (ttl_ms, time.monotonic() + ttl_ms / 1e3)
            return 200, {"lease": self.revision, "ttl-ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1e3)
            return 200, {"ttl-ms": ttl_ms}
        if path.startswith("/kv-lease-end/"):
            ended = await self._end_lease(int(path.rsplit("/", 1)[1]))
            return (200 if ended else 404), {}
        return 400, {}

    async def _watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1e3
        prefix = query["prefix"]
        if self.history and after < self.history[0][0] - 1:
            return 410, {}
        while True:
            events = []
            for revision, key, event in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "store-revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, body):
        expected, puts, remove = body["expected"], body["puts"], body["remove"]
        if len(expected) + len(puts) + len(remove) > 32:
            return 400, {}
        if any(len(put["value"]) > (1 << 20) * 4 // 3 + 4 for put in puts):
            return 400, {}
        current = {row["key"]: self.rows.get(row["key"]) for row in expected}
        if any((current[row["key"]] or {"revision": 0})["revision"] != row["revision"] for row in expected):
            return 412, {"entries": [row for row in current.values() if row]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in remove:
            self._remove(key)
        del self.history[:-20_000]
        await self._notify()
        return 200, {"revision": self.revision}


class Link(Server):
    """A connection path that can be cut and healed, as a partition does it to TCP.

    While it is cut nothing passes. A connection that was open before goes on after the cut: what its sender wrote
    meanwhile arrives with the first retransmission after the end of the cut, also if the sender has closed its socket,
    and is lost if the sender has reset it. A connection that is opened during the cut never comes about.
    """

    # Times of the retransmissions of a segment after it was sent, in seconds: doubled from 0.2 s each time.
    RETRANSMISSIONS = [0.2 * (2 ** n - 1) for n in range(1, 12)]

    def __init__(self, target, record, name=""):
        self.target, self.record, self.name = target, record, name
        self.is_cut, self.healed = False, asyncio.Event()
        self.healed.set()
        # Connections; the event loop alone would not keep one whose caller is gone.
        self.open = set()
        self.healed_at = 0.0

    def cut(self):
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        self.is_cut = False
        self.healed_at = self.record.now()
        self.healed.set()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.open.add(task)
        task.add_done_callback(self.open.discard)
        if self.is_cut:
            try:
                while await reader.read(1 << 16):
                    pass
            except OSError:
                pass
            writer.close()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, upstream_writer, writer), self._pump(upstream_reader, writer, upstream_writer))

    async def _pump(self, reader, writer, back):
        """Passes bytes on in one direction; `back` is the other end of the connection of the reader."""
        sent_at, pending, read = None, b"", None
        try:
            while True:
                read = read or asyncio.create_task(reader.read(1 << 16))
                waits = {read}
                if self.is_cut:
                    waits.add(asyncio.create_task(self.healed.wait()))
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                is_ended = False
                if read.done():
                    data, read = read.result(), None
                    is_ended = not data
                    if not self.is_cut and not pending and data:
                        writer.write(data)
                        await writer.drain()
                        continue
                    pending += data
                    sent_at = sent_at or self.record.now()
                    if self.is_cut and data:
                        continue
                    # A sender that has closed its socket goes on to send what is not acknowledged.
                    await self.healed.wait()
                if pending:
                    await self._retransmit(sent_at)
                    if reader.exception():
                        raise reader.exception()
                    writer.write(pending)
                    sent_at, pending = None, b""
                if is_ended:
                    writer.write_eof()
                    return
        except ConnectionResetError:
            # What the sender wrote and the receiver has not got is lost.
            writer.transport.abort()
        except (OSError, RuntimeError):
            writer.close()

    async def _retransmit(self, sent_at):
        if sent_at < self.healed_at:
            due = next(t for t in self.RETRANSMISSIONS if sent_at + t > self.healed_at)
            await asyncio.sleep(max(0, sent_at + due - self.record.now()))


class StoreView(Server):
    """The store as one machine reaches it: the addresses of other machines lead over links of its own."""

    def __init__(self, store, addresses):
        self.store, self.addresses = store, addresses

    def _translate(self, value, back):
        text = base64.b64decode(value)
        for real, link in self.addresses.items():
            old, new = (link, real) if back else (real, link)
            text = text.replace(f'"{old}"'.encode(), f'"{new}"'.encode())
        return base64.b64encode(text).decode()

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-txn":
            transaction = json.loads(body)
            for put in transaction["puts"]:
                put["value"] = self._translate(put["value"], True)
            body = json.dumps(transaction).encode()
        await asyncio.sleep(self.store.delay_s)
        status, answer = await self.store.answer(method, path, query, body)
        answer = json.loads(json.dumps(answer))
        for row in [answer, *answer.get("entries", []), *answer.get("events", [])]:
            if "value" in row:
                row["value"] = self._translate(row["value"], False)
        writer.write(response(status, json.dumps(answer).encode(), [("content-type", "application/json")]))
        await writer.drain()
        return True


class Platform(Server):
    """The platform's API, which checks no fencing tokens. `calls` has what arrived, in its order."""

    def __init__(self, record):
        self.record, self.calls = record, []
        self.on_scale = None

    async def handle(self, method, target, headers, body, reader, writer):
        call = json.loads(body)
        subject = "usage" if target == "/usage" else f"scale {call['service']} {call['zone']}"
        entry = {"at": self.record.now(), "holder": headers["duty-holder"], "fence": int(headers["fence-token"]),
                 "subject": subject, "call": call}
        self.calls.append(entry)
        self.record(f"platform: {subject} {call.get('group-count', call.get('window-id'))} "
                    f"from {entry['holder']}, fencing token {entry['fence']}")
        if self.on_scale and target == "/scale":
            self.on_scale(call)
        await asyncio.sleep(0.004)
        writer.write(response(200, b"{}"))
        await writer.drain()
        return True


class Engine(Server):
    """An engine that streams text, or a plain server if it has no models.

    `runs` has one entry for each request that it began to work on.
    """

    def __init__(self, name, service, record, models=(), event_s=0.02, slots=8, work_s=0.02, zone="z-a"):
        self.name, self.service, self.record = name, service, record
        self.models = {model: 1 for model in models}
        self.event_s, self.slots, self.work_s, self.zone = event_s, slots, work_s, zone
        self.runs, self.active, self.seq = [], 0, 0
        self.fence, self.orders = 0, []
        self.born = int(time.time() * 1e3)
        self.on_run = None

    def row(self, state="ready"):
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
        row = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
               "slots": self.slots, "state": state, "cold-left-ms": 0, "seq": self.seq, "born": self.born}
        if models:
            row |= {"stage": "both", "models": models}
        return row

    async def register(self, store, state="ready"):
        await store.put(f"servers/{self.name}", self.row(state))

    async def handle(self, method, target, headers, body, reader, writer):
        path = target.partition("?")[0]
        if method == "GET" and path == "/report":
            report = {"stage": "both", "models": self.row()["models"], "busy": False, "seq": len(self.orders),
                      "queued": 0, "active": self.active, "kv-used": 0, "kv-total": 44_897, "handles": 0}
            writer.write(response(200, json.dumps(report).encode()))
            return True
        if method == "POST" and path == "/order":
            return self._order(json.loads(body), writer)
        id = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(response(421, b"", [("attempt-id", id), ("not-executed", "1")]))
            return True
        if self.active >= self.slots * 4:
            writer.write(response(503, b"", [("attempt-id", id), ("not-executed", "1")]))
            return True
        run = {"id": id, "path": target, "engine": self.name, "at": self.record.now(), "end": None,
               "last": int(headers.get("last-event-id", 0)), "headers": headers, "outcome": "running"}
        self.runs.append(run)
        self.active += 1
        # An engine drops a request when its connection closes.
        closed = asyncio.create_task(reader.read(1))
        closed.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            work = asyncio.create_task(self._work(run, headers, body, writer))
            done, _ = await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
            if work not in done:
                work.cancel()
                run["outcome"] = "dropped"
                return False
            run["outcome"] = "done"
            stays = work.result()
        finally:
            self.active -= 1
            run["end"] = self.record.now()
        if closed.done():
            return False
        closed.cancel()
        try:
            await closed
        except asyncio.CancelledError:
            pass
        return stays

    def _order(self, order, writer):
        status = 202
        if order["fence"] < self.fence:
            status = 412
        elif "expected" in order and order["expected"] != len(self.orders):
            status = 409
        else:
            self.fence = order["fence"]
            self.orders.append(order)
            self.models[order["model"]] = order["version"]
        writer.write(response(status))
        return True

    def seal(self, id):
        return f"{self.name}.{id}"

    async def _work(self, run, headers, body, writer):
        if self.on_run:
            handled = await self.on_run(self, run, headers, body, writer)
            if handled is not None:
                return handled
        base = [("attempt-id", run["id"]), ("server-seal", self.seal(run["id"])),
                ("server-load", f"{self.active},0,{self.slots}")]
        if "model" not in headers:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, b"x" * 800, base))
            await writer.drain()
            return True
        version = self.models[headers["model"]]
        base += [("weight-versions", version), ("content-type", "text/event-stream"),
                 ("transfer-encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in base) + "\r\n").encode())
        for number in range(run["last"] + 1, int(headers["test-events"]) + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {event_text(run['id'], number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            run["events"] = number
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def event_text(id, number):
    """The data of an event: 300 bytes, as on the users' sheets."""
    return f"{id}:{number}:".ljust(300, "x")


class Node:
    """A process of the project on one loopback machine, started as the deploy file says."""

    def __init__(self, name, store_address, folder, record, bounds, cpu_share=0.25, memory_mb=260):
        self.name, self.folder, self.record = name, folder, record
        self.port, ready, self.peer_port, metrics = (free_port() for _ in range(4))
        self.address, self.ready_port = ("127.0.0.1", self.port), ready
        self.settings = os.path.join(folder, f"{name}.json")
        settings = {
            "vm": name, "failure_domain": "z-a",
            "callers": {"requests": f"127.0.0.1:{self.port}", "ready": f"127.0.0.1:{ready}"},
            "peer_address": f"127.0.0.1:{self.peer_port}", "metrics_address": f"127.0.0.1:{metrics}",
            "cpu_share": cpu_share, "memory_mb": memory_mb, "max_descriptors": 4100,
            "store": {"address": store_address, "min_lease_ms": 1000},
            "bounds": bounds,
        }
        with open(self.settings, "w") as file:
            json.dump(settings, file)
        self.process, self.starts = None, 0

    def change_settings(self, changes):
        with open(self.settings) as file:
            settings = json.load(file)
        with open(self.settings, "w") as file:
            json.dump(settings | changes, file)

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.folder, f"{self.name}-{self.starts}.log"), "w")
        self.process = subprocess.Popen(
            [BINARY, "node", "--settings", self.settings, "--drain-ms", "2000", "--config-apply-ms", "2000"],
            stdout=log, stderr=subprocess.STDOUT, cwd=ROOT)
        self.record(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                status, _, _ = await request(("127.0.0.1", self.ready_port), "GET", "/readyz", limit_s=1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} is not ready")


async def request(address, method, path, headers=(), body=b"", limit_s=10):
    """Sends a request on a new connection; returns status, headers and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 26)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}", "connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, answer_headers = await read_head(reader)
            return int(line.split(" ")[1]), answer_headers, await read_body(reader, answer_headers)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit_s)


def new_id():
    return f"{random.getrandbits(64):016x}"


class Fleet:
    """Store, engines and nodes of one case, which all end with it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.nodes, self.engines, self.plain = [], [], []
        self.version, self.advisors, self.scaling = 3, ["advisor"], {}
        self.bounds = {"grace_s": 8, "lease_ms": 3000, "status_s": 120, "engines_check_fences": True}

    async def start(self, nodes, engines, routes, models=("m0",), plain=2, node_settings=(), **engine):
        if not os.path.exists(BINARY):
            raise CouldNotRun("the program is not built")
        self.store = await Store().start()
        self.routes = routes
        for number in range(engines):
            made = Engine(f"i-engine{number}", "advisor", self.record, models, **engine)
            self.engines.append(await made.start())
            await made.register(self.store)
        for number in range(plain):
            made = Engine(f"i-plain{number}", "shop", self.record)
            self.plain.append(await made.start())
            await made.register(self.store)
        self.models = models
        await self.configure()
        for number in range(nodes):
            self.add_node(f"edge-{number}", **dict(node_settings))
        for node in list(self.nodes):
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    def add_node(self, name, **settings):
        node = Node(name, self.store.address, self.temporary.name, self.record, self.bounds, **settings)
        self.nodes.append(node)
        return node

    async def configure(self):
        self.version += 2
        models = [{"name": model} for model in self.models]
        await self.store.put("op/config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": "shop", "max-conns": 110}] + [
                {"name": name, "max-conns": 140, "engine": {"models": models}} | self.scaling_of(name)
                for name in self.advisors],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 33554432,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
        })
        self.record(f"operator: configuration {self.version} acknowledged")

    def scaling_of(self, service):
        return {"scaling": self.scaling[service]} if service in self.scaling else {}

    def leader(self):
        return self.store.value("wp/keeper")

    def owner(self, job):
        state = self.store.value(f"wp/state/{job}")
        return state and state["owner"]["vm"]

    def node(self, name):
        return next((node for node in self.nodes if node.name == name), None)

    def item_runs(self, id):
        return [run for engine in self.engines for run in engine.runs if run["id"] == id]

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


def rollout_route(name, service="advisor"):
    return {"name": name, "host": f"{name}.example", "prefix": f"/{name}/", "kind": "rollout",
            "service": service, "timeout-ms": 10000, "target-latency-ms": 400, "due-ms": 7500,
            "max-attempts": 3, "retention-s": 40, "priority": 1, "resumable": True}


def plain_route(name, kind="idempotent", **more):
    return {"name": name, "host": f"{name}.example", "prefix": f"/{name}/", "kind": kind, "service": "shop",
            "timeout-ms": 2000, "target-latency-ms": 400, "max-attempts": 4, "priority": 2} | more


class Job:
    """A batch job of a trainer's step."""

    def __init__(self, route, step, groups, size, events, model="m0", min_version=1, scorer=None):
        self.route, self.id, self.items = route, new_id(), []
        entries = []
        for group in range(groups):
            prefix = new_id()
            for number in range(size):
                # One length for all items, or one for each.
                count = events if isinstance(events, int) else events[group * size + number]
                item = {"id": new_id(), "path": f"/{route}/{new_id()}", "group": f"g{step}-{group}",
                        "headers": {"Model": model, "Token-Usage": f"271,{count}", "test-events": str(count),
                                    "Prompt-Prefix": f"{prefix}:255,{new_id()}:16"},
                        "body": base64.b64encode(os.urandom(300)).decode(), "tokens": 271 + count}
                if scorer:
                    item["scorer"] = {"id": new_id(), "host": f"{scorer}.example", "path": f"/{scorer}/{new_id()}",
                                      "body": base64.b64encode(os.urandom(60)).decode()}
                entries.append(item)
                self.items.append(item["id"])
        self.events, self.total, self.results = events, len(entries), []
        self.body = json.dumps({"step": step, "model": model, "min-version": min_version,
                                "group-count": max(1, int(groups * 0.9)), "entries": entries}).encode()

    async def submit(self, fleet, nodes, tries=8):
        """Submits as a client does: at another daemon after each answer but a 202."""
        self.statuses = []
        headers = [("Host", f"{self.route}.example"), ("Attempt-Id", self.id), ("Content-Type", "application/json")]
        for attempt in range(tries):
            node = nodes[attempt % len(nodes)]
            try:
                status, _, answer = await request(node.address, "POST", f"/{self.route}/{self.id}", headers, self.body, 5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status, answer = repr(error), b""
            self.statuses.append(status)
            fleet.record(f"submit {self.id} at {node.name}: {status} {answer[:80]!r}")
            if status == 202:
                self.accepted_at = fleet.record.now()
                return True
            await asyncio.sleep(0.3)
        return False

    async def read(self, node, after, wait_ms=1000):
        headers = [("Host", f"{self.route}.example"), ("Wait-Ms", wait_ms)]
        status, _, body = await request(node.address, "GET", f"/lots/{self.id}?after={after}", headers, b"", 6)
        return status, json.loads(body) if status == 200 else None

    async def poll(self, fleet, nodes, until, enough=None):
        """Reads about twice a second, at one daemon after another, until a time or until enough is read."""
        turn = 0
        while fleet.record.now() < until and len(self.results) < (enough or self.total):
            node = nodes[turn % len(nodes)]
            turn += 1
            try:
                status, page = await self.read(node, len(self.results))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                fleet.record(f"read {self.id} at {node.name}: {error!r}")
                await asyncio.sleep(0.3)
                continue
            if page and page["results"]:
                self.results += page["results"]
            else:
                await asyncio.sleep(0.2)
            if turn % 5 == 1 or status != 200:
                fleet.record(f"read {self.id} at {node.name}: {status}, {len(self.results)} of {self.total} results")

    async def end(self, fleet, node):
        headers = [("Host", f"{self.route}.example")]
        status, _, _ = await request(node.address, "DELETE", f"/lots/{self.id}", headers, b"", 6)
        fleet.record(f"end {self.id} at {node.name}: {status}")
        return status


def main(case, folder, limit_s=118):
    """Runs a case, which returns whether the rule held, and exits as the review asks."""
    fleet = Fleet(folder)
    code = 2
    loop = asyncio.new_event_loop()
    try:
        held = loop.run_until_complete(asyncio.wait_for(case(fleet), limit_s))
        code = 0 if held else 1
    except CouldNotRun as error:
        fleet.record(f"could not run: {error}")
    except asyncio.TimeoutError:
        fleet.record("could not run: the time is over")
    except Exception as error:
        fleet.record("could not run: " + "".join(traceback.format_exception(error)))
    finally:
        logging.disable()
        fleet.stop()
        fleet.record(f"exit {code}")
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", fleet.temporary.name, os.environ["KEEP_LOGS"]], check=False)
        fleet.temporary.cleanup()
        # The connections that are open need no orderly end.
        os._exit(code)
