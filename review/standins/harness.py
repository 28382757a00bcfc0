"""Stand-ins of the platform's store, of servers and of clients, and processes of the edge.

One asyncio process runs the stand-ins; each edge is a separate process, started with the command of
deploy/system.toml and with settings rendered from deploy/settings.json. All addresses are loopback
addresses. What was sent, answered and run goes to the record file of a case.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PARTITIONS = 24
STORE_DELAY_S = 0.004
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class Record:
    """Writes events with the time in seconds since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 request or response with a length or chunks; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += data[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0].split(" ", 2), headers, body


def format_response(status, headers, body=b""):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: a log with conditional appends, keyed topics and groups."""

    def __init__(self, record):
        self.record = record
        self.logs = {}
        self.waiters = set()  # Futures of reads that wait for a record.
        self.groups = {}
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, int(part)), [])

    def wake_readers(self):
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    async def write(self, topic, key, value):
        """A write of the operator or of a server; returns the time of the acknowledgement."""
        self.log(topic).append((key, value))
        self.wake_readers()
        return self.record.now()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, _), _, body = message
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
                await asyncio.sleep(STORE_DELAY_S)
                status, content = await self.answer(method, path, query, body)
                writer.write(format_response(status, {}, content))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        if path == "/log-append":
            return await self.append(query, body)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return self.newest(query)
        if path == "/log-join":
            return self.join(json.loads(body))
        if path == "/log-leave":
            call = json.loads(body)
            group = self.groups.get(call["group"])
            if group and group["members"].pop(call["member"], None) is not None:
                self.deal(group)
            return 200, b"{}"
        if path == "/log-owners":
            return self.owners(query)
        return 404, b"{}"

    async def append(self, query, body):
        log = self.log(query["topic"], query["part"])
        if "asOf" in query and int(query["asOf"]) != len(log):
            return 412, json.dumps({"end": len(log)}).encode()
        offset = len(log)
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key = content[1:1 + content[0]].decode()
            value = content[1 + content[0]:]
            log.append((key, value.decode() if value else None))
        self.wake_readers()
        return 200, json.dumps({"offset": offset, "end": len(log)}).encode()

    async def read(self, query):
        log = self.log(query["topic"], query["part"])
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(log) <= start and time.monotonic() < deadline:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            await asyncio.wait({waiter}, timeout=max(0, deadline - time.monotonic()))
            self.waiters.discard(waiter)
        data = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key)]) + key.encode() + (value or "").encode()
            data += struct.pack(">I", len(content)) + content
        return 200, data

    def newest(self, query):
        log = self.log(query["topic"], query["part"])
        last = {}
        for offset, (key, value) in enumerate(log):
            last[key] = (value, offset)
        items = [{"key": key, "value": base64.b64encode(value.encode()).decode(), "offset": offset}
                 for key, (value, offset) in sorted(last.items()) if value is not None]
        return 200, json.dumps({"items": items, "hasMore": False, "end": len(log)}).encode()

    def expire(self, group):
        gone = [name for name, until in group["members"].items() if until <= time.monotonic()]
        for name in gone:
            del group["members"][name]
        if gone:
            self.deal(group)

    def deal(self, group):
        """Distributes the partitions evenly; a partition stays with its member where it can."""
        group["generation"] += 1
        names = sorted(group["members"])
        rows = [(topic, part) for topic in group["topics"] for part in range(PARTITIONS)]
        owned = {row: owner for row, owner in group["owners"].items() if owner in names}
        for row in rows:
            counts = {name: sum(owner == name for owner in owned.values()) for name in names}
            if not names:
                break
            least = min(names, key=lambda name: counts[name])
            if row not in owned or counts[owned[row]] > counts[least] + 1:
                owned[row] = least
        group["owners"] = owned

    def join(self, call):
        group = self.groups.setdefault(
            call["group"], {"members": {}, "topics": [], "owners": {}, "generation": 0})
        self.expire(group)
        known = call["member"] in group["members"] and group["topics"] == call["topics"]
        group["topics"] = call["topics"]
        group["members"][call["member"]] = time.monotonic() + call["ttlMs"] / 1000
        if not known:
            self.deal(group)
        rows = [[topic, part, 0] for (topic, part), owner in group["owners"].items()
                if owner == call["member"]]
        return 200, json.dumps({"generation": group["generation"], "parts": rows}).encode()

    def owners(self, query):
        group = self.groups.get(query["group"])
        if group is None:
            return 200, b"[]"
        self.expire(group)
        rows = [[topic, part, owner, 0] for (topic, part), owner in group["owners"].items()]
        return 200, json.dumps(rows).encode()


class Run:
    """One run of a request at an upstream."""

    def __init__(self, request, upstream, key, begin):
        self.request = request
        self.upstream = upstream
        self.key = key
        self.begin = begin
        self.end = None


class Upstream:
    """An upstream as the pages describe it. Subclasses add the disruption of a case."""

    def __init__(self, world, name, service, zone, keyed=False, capacity=4, queue=16, work_s=0.12):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.capacity = capacity
        self.queue = queue
        self.work_s = work_s
        self.slots = asyncio.Semaphore(capacity)
        self.waiting = 0
        self.running = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.holds = []  # [first, last, fence, end of the hold]
        self.fences = {}  # (first, last) -> highest fence seen
        self.server = None
        self.address = None
        self.writers = set()
        self.answers = 0
        self.released = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.register()

    async def register(self):
        entry = {"address": self.address, "born": self.born,
                 "info": {"service": self.service, "zone": self.zone, "version": "v1",
                          "capacity": self.capacity},
                 "status": {"state": self.state, "sequence": 1, "warmupLeftMs": 0}}
        at = await self.world.store.write("keyed.servers", self.name, json.dumps(entry))
        self.world.record.write(f"store acknowledges {self.name}: {self.state}")
        return at

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {"reader": reader, "writer": writer}
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.handle(connection, message)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send(self, connection, status, headers, body=b""):
        self.answers += 1
        connection["writer"].write(format_response(status, headers, body))
        await connection["writer"].drain()

    async def handle(self, connection, message):
        (method, target, _), headers, body = message
        if headers.get("target-instance", self.name) != self.name:
            return await self.send(connection, 421, self.echo(headers, {"Not-Executed": "1"}))
        if target == "/health":
            return await self.send(connection, 200 if self.state == "ready" else 503,
                                   {"Upstream-Instance": self.name, "Upstream-Load": self.load()})
        if target == "/grant":
            return await self.grant(connection, json.loads(body))
        if target == "/release":
            return await self.release(connection, json.loads(body))
        await self.request(connection, method, target, headers, body)

    def load(self):
        return f"{len(self.running)},{self.waiting},{self.capacity},100"

    def echo(self, headers, fields):
        result = {"Upstream-Load": self.load()}
        if "request-id" in headers:
            result["Request-Id"] = headers["request-id"]
        result.update(fields)
        return result

    def hold_of(self, key):
        now = self.world.record.now()
        for first, last, fence, end in self.holds:
            if first <= key <= last and now < end:
                return first, last, fence, end
        return None

    async def grant(self, connection, call):
        first, last, fence = call["from"], call["to"], call["fence"]
        higher = any(f > fence and a <= last and first <= b for (a, b), f in self.fences.items())
        if higher:
            return await self.send(connection, 409, {})
        if self.fences.get((first, last)) != fence:
            self.world.record.write(f"{self.name} is granted {first}-{last} fence {fence}")
            self.world.on_grant(self, first, last, fence)
        self.fences[(first, last)] = fence
        self.cut_hold(first, last)
        self.holds.append((first, last, fence, self.world.record.now() + call["holdMs"] / 1000))
        await self.send(connection, 200, {})

    def cut_hold(self, first, last):
        rest = []
        for a, b, fence, end in self.holds:
            if b < first or a > last:
                rest.append((a, b, fence, end))
                continue
            if a < first:
                rest.append((a, first - 1, fence, end))
            if b > last:
                rest.append((last + 1, b, fence, end))
        self.holds = rest

    async def release(self, connection, call):
        first, last = call["from"], call["to"]
        self.world.record.write(f"{self.name} gets the release of {first}-{last}")
        self.cut_hold(first, last)
        while any(run.key is not None and first <= run.key <= last for run in self.running):
            await asyncio.sleep(0.005)
        self.world.record.write(f"{self.name} answers the release of {first}-{last}")
        await self.send(connection, 200, {"Handover": "5c0e7a21d94b36f8"})

    async def request(self, connection, method, target, headers, body):
        request = headers.get("request-id", "")
        key = int(headers["shard-key"]) if self.keyed else None
        self.world.on_arrival(self, request, target)
        if self.keyed and self.hold_of(key) is None:
            self.world.record.write(f"{self.name} answers {request}: 421, doesn't hold {key}")
            return await self.send(connection, 421, self.echo(headers, {"Not-Executed": "1"}))
        if self.waiting >= self.queue:
            self.world.record.write(f"{self.name} answers {request}: 503, full")
            return await self.send(connection, 503, self.echo(headers, {"Not-Executed": "1"}))
        arrived = time.monotonic()
        allowed = int(headers.get("deadline-ms", "30000")) / 1000
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        run = Run(request, self, key, self.world.record.now())
        try:
            if time.monotonic() - arrived >= allowed:
                return await self.send(connection, 503, self.echo(headers, {"Not-Executed": "1"}))
            if self.keyed and self.hold_of(key) is None:  # Released while it was queued here.
                return await self.send(connection, 421, self.echo(headers, {"Not-Executed": "1"}))
            self.running.append(run)
            self.world.on_run(run)
            left = allowed - (time.monotonic() - arrived)
            work = self.work_of(target)
            await asyncio.sleep(min(work, left))
        finally:
            self.slots.release()
            if run in self.running:
                self.running.remove(run)
            run.end = self.world.record.now()
        status = 200 if work <= left else 504
        self.world.record.write(f"{self.name} answers {request}: {status}")
        await self.send(connection, status,
                        self.echo(headers, {"Upstream-Signature": f"{self.name}.{request}"}),
                        f"answer to {request}\n".encode())

    def work_of(self, target):
        return self.work_s

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def end_with_parent():
    """Runs in a new process: it gets SIGKILL if the case ends without ending it."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Edge:
    """A process of the edge, started with the deploy file's command."""

    def __init__(self, world, name, zone, address, ports):
        self.world = world
        self.name = name
        self.zone = zone
        self.address = address
        self.ports = ports
        self.process = None

    def settings(self):
        node = {"node": self.name, "zone": self.zone, "ip": self.address,
                "seeds": [f"{edge.address}:{edge.ports['admin']}" for edge in self.world.edges[:3]],
                "bind": {"http": f"{self.address}:{self.ports['http']}",
                         "readiness": f"{self.address}:{self.ports['readiness']}",
                         "admin": f"{self.address}:{self.ports['admin']}"},
                "portRange": [self.ports["peers"], self.ports["peers"] + 15],
                "platform": {"address": self.world.store.address, "parts": PARTITIONS},
                "limits": {"cpuQuota": 0.2, "cpus": 1},
                "bounds": {"holdMaxMs": 10000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 58,
                           "graceS": 6}}

        def fill(match):
            value = node
            for step in match.group(1).split("."):
                value = value[int(step)] if isinstance(value, list) else value[step]
            return ",".join(value) if isinstance(value, list) else str(value)

        with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as template:
            return re.sub(r"\{\{([\w.]+)\}\}", fill, template.read())

    async def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["AMARANTHDALE_NODE_FILE"] = path
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, command[0]), *command[1:], cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent)
        self.world.record.write(f"{self.name} started")

    def send_signal(self, number):
        self.process.send_signal(number)
        self.world.record.write(f"{self.name} gets {signal.Signals(number).name}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports["readiness"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and message[0][1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class World:
    """A small deployment: store, upstreams, edges and what they saw."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.edges = []
        self.upstreams = []
        self.runs = []
        self.arrivals = []
        self.answers = []
        self.folder = tempfile.mkdtemp(prefix="review-")

    def on_arrival(self, upstream, request, target):
        self.arrivals.append((self.record.now(), upstream, request, target))
        self.record.write(f"{upstream.name} gets {request} {target}")

    def on_run(self, run):
        self.runs.append(run)
        key = "" if run.key is None else f" key {run.key}"
        self.record.write(f"{run.upstream.name} runs {run.request}{key}")

    def on_grant(self, upstream, first, last, fence):
        pass

    def add_edges(self, zones):
        ports = free_ports([f"127.0.7.{index + 1}" for index in range(len(zones))])
        for index, zone in enumerate(zones):
            self.edges.append(Edge(self, f"edge-{index + 1}", zone, f"127.0.7.{index + 1}", ports))

    async def start(self, configuration):
        await self.store.start()
        for edge in self.edges:
            await edge.start()
        for upstream in self.upstreams:
            await upstream.start()
        await self.store.write("keyed.op", "config", json.dumps(configuration))
        for _ in range(300):
            if all([await edge.is_ready() for edge in self.edges]):
                self.record.write("all edges are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self, keep_logs=False):
        for edge in self.edges:
            await edge.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        if not keep_logs and "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)

    async def send(self, edge, request, path, method="GET", key=None, deadline_ms=4000, body=b"",
                   host="shop.example"):
        """Sends one request of a client on a new connection; returns the status, or why none."""
        sent = self.record.now()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\n")
        if key is not None:
            head += f"Shard-Key: {key}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer = None
        outcome, message = "no connection", None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(edge.address, edge.ports["http"]), 1)
            writer.write((head + "\r\n").encode() + body)
            outcome = "no answer"
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
            outcome = int(message[0][1]) if message else "closed"
        except asyncio.TimeoutError:
            pass
        except OSError:
            outcome = "closed" if writer else "no connection"
        finally:
            if writer:
                writer.close()
        end = self.record.now()
        self.record.write(f"client: {request} {method} {path} sent to {edge.name} at {sent:.3f}: "
                          f"{outcome} after {end - sent:.3f} s")
        self.answers.append((request, path, sent, end, outcome, edge, message))
        return outcome, message


def free_ports(addresses):
    """Ports that are free on all addresses; the same for all machines, as on the platform."""
    def is_free(address, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
        return True

    while True:
        base = random.randrange(20000, 32000)
        wanted = [base, base + 1, base + 2] + list(range(base + 3, base + 19))
        if all(is_free(address, port) for address in addresses for port in wanted):
            return {"http": base, "readiness": base + 1, "admin": base + 2, "peers": base + 3}


def service(name, keyed=False):
    return {"name": name, "healthPath": "/health", "maxConnections": 110, "warmupS": 3,
            "warmupPerS": 14, "sharded": keyed, "protocol": "h1", "tls": False, "warmS": 2, "grants": "call"}


def route(name, prefix, kind, target, timeout_ms, target_ms, attempts=2, priority=1):
    return {"name": name, "pathPrefix": prefix, "type": kind, "service": target,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "attempts": attempts,
            "priority": priority}


def configuration(version, services, routes):
    return {"version": version, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 20000},
            "virtualHosts": [{"host": "shop.example", "pathRules": routes}]}


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play, limit_s=110):
    """Runs `play(world)`, which returns True if the rule held, None if it couldn't run; exits."""
    record = Record(os.path.join(folder, "record.txt"))

    async def main():
        world = World(record)
        try:
            return await asyncio.wait_for(play(world), limit_s)
        finally:
            await world.stop()

    try:
        held = asyncio.new_event_loop().run_until_complete(main())
    except Exception as error:  # The case couldn't run; its record says why.
        record.write(f"the case failed to run: {error!r}")
        held = None
    verdict = {True: "the rule held", False: "the rule was broken", None: "the case couldn't run"}
    record.write(verdict[held])
    print(verdict[held], flush=True)
    os._exit({True: 0, False: 1, None: 2}[held])  # Tasks of the stand-ins may still be pending.
