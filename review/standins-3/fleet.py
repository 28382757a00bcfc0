"""Stand-ins of the platform for the cases of the third review: the store, upstreams, clients, the
operator, and the processes of amaranthdale-edge, all on loopback addresses and the real clock.

The stand-ins do what PROTOCOL.md and letter-news.md describe. Everything but the processes of the
project runs in one asyncio loop. Only the standard library of Python is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEYS = 65536


class CannotRun(Exception):
    """The case can't be judged: its setup did not come up."""


# ---------------------------------------------------------------- HTTP/1.1

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


async def read_message(reader):
    """Reads a request or response head and its body. Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response_bytes(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return text.encode("latin-1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


# ---------------------------------------------------------------- the store

class Log:
    def __init__(self):
        self.records = []  # (key, value or None), or raw bytes for topics that aren't keyed
        self.changed = asyncio.Event()

    def append(self, record):
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store. One listener for each machine, so that it can treat them differently."""

    def __init__(self, fleet, parts=24):
        self.fleet, self.parts = fleet, parts
        self.logs, self.groups = {}, {}
        self.era = 1
        self.away = False
        self.servers, self.writers = [], set()
        self.calls = 0

    async def listen(self, name):
        server = await asyncio.start_server(lambda r, w: self.serve(name, r, w), "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), Log())

    def write(self, topic, key, value):
        """A write of the operator or of an upstream. Returns false while the store is away."""
        if self.away:
            return False
        self.log(topic).append((key, value))
        return True

    def newest(self, topic, part=0):
        found = {}
        for offset, (key, value) in enumerate(self.log(topic, part).records):
            found.pop(key, None)
            if value is not None:
                found[key] = (offset, value)
        return found

    # The drill of letter-news.md.
    def copy(self):
        return {name: len(log.records) for name, log in self.logs.items()}

    def go_away(self):
        self.away = True
        for writer in list(self.writers):
            reset(writer)

    def come_back(self, copy=None):
        if copy is not None:
            for name, log in self.logs.items():
                del log.records[copy.get(name, 0):]
            self.era += 1
        self.away = False

    async def serve(self, machine, reader, writer):
        if self.away:
            return reset(writer)
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                self.calls += 1
                status, content, kind = await self.answer(Request(method, target, headers, body))
                writer.write(response_bytes(status, {"Content-Type": kind,
                                                     "Store-Era": str(self.era)}, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # Cancelled only when the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        raw, text = "application/octet-stream", "application/json"
        name = (request.method, request.path)
        if name == ("GET", "/log-newest"):
            return 200, self.page(request.query), text
        if name == ("GET", "/log-read"):
            status, content = await self.read(request.query)
            return status, content, raw if status == 200 else text
        if name == ("POST", "/log-append"):
            status, value = self.append(request.query, request.body)
            return status, json.dumps(value).encode(), text
        if name == ("POST", "/log-join"):
            return 200, json.dumps(self.join(json.loads(request.body))).encode(), text
        if name == ("POST", "/log-leave"):
            call = json.loads(request.body)
            group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}})
            if group["members"].pop(call["member"], None):
                group["generation"] += 1
            return 200, b"{}", text
        if name == ("GET", "/log-owners"):
            return 200, json.dumps(self.owners(request.query["group"])).encode(), text
        return 404, b"{}", text

    def page(self, query, size=500):
        newest = self.newest(query["topic"], int(query.get("part", 0)))
        names = sorted(key for key in newest if key > query.get("after", ""))
        items = [{"key": key, "offset": newest[key][0],
                  "value": base64.b64encode(newest[key][1]).decode()} for key in names[:size]]
        end = len(self.log(query["topic"], int(query.get("part", 0))).records)
        return json.dumps({"items": items, "hasMore": len(names) > size, "end": end}).encode()

    async def read(self, query):
        log = self.log(query["topic"], int(query.get("part", 0)))
        start = int(query["from"])
        if start > len(log.records):
            return 410, b'{"first":0}'
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while start >= len(log.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(log.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(log.records), 0)
        for key, value in log.records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def append(self, query, body):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        log = self.log(topic, int(query.get("part", 0)))
        end = len(log.records)
        if "asOf" in query and int(query["asOf"]) != end:
            return 412, {"end": end}
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key = content[1:1 + content[0]].decode()
            log.append((key, content[1 + content[0]:] or None))
        return 200, {"offset": end, "end": len(log.records)}

    def expire(self, group):
        now = time.monotonic()
        gone = [name for name, until in group["members"].items() if until <= now]
        for name in gone:
            del group["members"][name]
        group["generation"] += bool(gone)

    def join(self, call):
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}})
        self.expire(group)
        group["topics"] = call["topics"]
        group["generation"] += call["member"] not in group["members"]
        group["members"][call["member"]] = time.monotonic() + call["ttlMs"] / 1000
        mine = [row[:2] + [0] for row in self.rows(group) if row[2] == call["member"]]
        return {"generation": group["generation"], "ttlMs": call["ttlMs"], "parts": mine}

    def rows(self, group):
        members = sorted(group["members"])
        parts = [(topic, part) for topic in group.get("topics", []) for part in range(self.parts)]
        return [[topic, part, members[index % len(members)], 0]
                for index, (topic, part) in enumerate(parts) if members]

    def owners(self, name):
        group = self.groups.setdefault(name, {"generation": 0, "members": {}})
        self.expire(group)
        return {"owners": self.rows(group)}


# ---------------------------------------------------------------- upstreams

class Upstream:
    """A server of a service: registers itself, takes grants, runs requests, and leaves."""

    def __init__(self, fleet, name, service, zone, keyed, capacity=4, work=0.03):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.keyed, self.capacity, self.work = keyed, capacity, work
        self.state, self.sequence, self.up, self.registered = "ready", 0, False, False
        self.holds = []  # [first, last, fence, end of the hold], disjoint
        self.fences = []  # [first, last, fence]: highest seen, disjoint
        self.running = {}  # number of the run: key
        self.runs = 0
        self.writers = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.up = self.registered = True
        self.fleet.spawn(self.beat())

    def entry(self):
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "zone": self.zone, "version": "v1",
                     "capacity": self.capacity},
            "status": {"state": self.state, "sequence": self.sequence, "warmupLeftMs": 0},
        }).encode()

    def report(self):
        self.sequence += 1
        return self.fleet.store.write("keyed.servers", self.name, self.entry())

    async def beat(self):
        while self.up and self.registered:
            self.report()
            await asyncio.sleep(0.87)

    def unregister(self):
        """Its entry is removed without a report; it serves on."""
        self.registered = False
        return self.fleet.store.write("keyed.servers", self.name, None)

    def stop(self):
        self.up = self.registered = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.holds.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                request = Request(method, target, headers, body)
                await self.handle(request, reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError,
                OSError):
            pass  # Cancelled only when the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, status, headers, body=b""):
        running = min(len(self.running), self.capacity)
        load = f"{running},{len(self.running) - running},{self.capacity},100"
        writer.write(response_bytes(status, {"Upstream-Instance": self.name,
                                             "Upstream-Load": load, **headers}, body))

    async def handle(self, request, reader, writer):
        identity = request.headers.get("request-id")
        names = {"Request-Id": identity} if identity else {}
        target = request.headers.get("target-instance")
        if target not in (None, self.name):
            return self.reply(writer, 421, {"Not-Executed": "1", **names})
        if request.path == "/health":
            return self.reply(writer, 200 if self.state == "ready" else 503, {})
        if request.path == "/grant":
            return self.reply(writer, self.grant(json.loads(request.body)), {})
        if request.path == "/release":
            return await self.release(json.loads(request.body), writer)
        await self.run(request, writer, names)

    @staticmethod
    def cut(ranges, first, last):
        """Removes keys from a list of ranges."""
        rest = []
        for item in ranges:
            if item[1] < first or item[0] > last:
                rest.append(item)
                continue
            if item[0] < first:
                rest.append([item[0], first - 1, *item[2:]])
            if item[1] > last:
                rest.append([last + 1, item[1], *item[2:]])
        return rest

    def grant(self, call):
        now = time.monotonic()
        first, last, fence = call["from"], call["to"], call["fence"]
        seen = [f for a, b, f in self.fences if a <= last and b >= first]
        if seen and max(seen) > fence:
            self.fleet.note("grant refused", self.name, first, last, fence, max(seen))
            return 409
        self.fleet.owners.on_grant(self, first, last, fence, now)
        self.holds = self.cut(self.holds, first, last)
        self.holds.append([first, last, fence, now + call["holdMs"] / 1000])
        self.fences = self.cut(self.fences, first, last)
        self.fences.append([first, last, fence])
        return 200

    async def release(self, call, writer):
        first, last = call["from"], call["to"]
        self.holds = self.cut(self.holds, first, last)
        self.fleet.note("released", self.name, first, last, call["fence"])
        while any(key is not None and first <= key <= last for key in self.running.values()):
            await asyncio.sleep(0.005)
        self.reply(writer, 200, {"Handover": "%016x" % random.getrandbits(64)})

    def held(self, now):
        return [item for item in self.holds if item[3] > now]

    def holds_key(self, key, now):
        return any(a <= key <= b and end > now for a, b, _, end in self.holds)

    async def run(self, request, writer, names):
        now = time.monotonic()
        identity = request.headers.get("request-id")
        key = int(request.headers["shard-key"]) if self.keyed else None
        self.fleet.note("arrives", self.name, identity, key)
        if key is not None and not self.holds_key(key, now):
            return self.reply(writer, 421, {"Not-Executed": "1", **names})
        if len(self.running) >= self.capacity + 8:
            return self.reply(writer, 503, {"Not-Executed": "1", **names})
        self.runs += 1
        number = self.runs
        self.running[number] = key
        self.fleet.on_run(self, identity, key, now)
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running.pop(number, None)
        body = f"{identity} by {self.name} ".encode() * 20
        self.reply(writer, 200, {"Upstream-Signature": f"{self.name}.{number}", **names}, body)


class Owners:
    """The check of OWNER in RULES.md over all upstreams of keyed services."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.since = {}  # pair of upstreams: since when they hold the same keys
        self.broken = []

    def others(self, upstream):
        return [u for u in self.fleet.upstreams
                if u is not upstream and u.service == upstream.service and u.keyed]

    def on_grant(self, upstream, first, last, fence, now):
        mine = [item for item in upstream.fences if item[0] <= last and item[1] >= first]
        covered = sum(min(b, last) - max(a, first) + 1 for a, b, f in mine if f == fence)
        if covered == last - first + 1:
            return  # The same grant once more.
        self.fleet.note("granted", upstream.name, first, last, fence)
        for other in self.others(upstream):
            for a, b, f in other.fences:
                if a <= last and b >= first and f >= fence:
                    self.broke(f"{upstream.name} takes keys {max(a, first)} to {min(b, last)} with "
                               f"fence {fence}, {other.name} had them with {f}")
                    return

    def broke(self, text):
        if len(self.broken) < 200:
            self.broken.append((self.fleet.now(), text))
            self.fleet.note("OWNER broken", text)

    async def watch(self):
        while True:
            now = time.monotonic()
            found = {}
            for service in {u.service for u in self.fleet.upstreams if u.keyed}:
                held = sorted((item[0], item[1], u.name) for u in self.fleet.upstreams
                              if u.up and u.keyed and u.service == service for item in u.held(now))
                for index, (first, last, name) in enumerate(held):
                    for a, b, other in held[index + 1:]:
                        if a > last:
                            break
                        if other != name:
                            found[tuple(sorted((name, other)))] = (a, min(b, last))
            for pair, keys in found.items():
                begin = self.since.setdefault(pair, now)
                if begin is not None and now - begin > 0.5:
                    self.since[pair] = None  # Reported once for each span.
                    self.broke(f"{pair[0]} and {pair[1]} hold the same keys for over 0.5 s, "
                               f"among them {keys[0]} to {keys[1]}")
            for pair in list(self.since):
                if pair not in found:
                    del self.since[pair]
            await asyncio.sleep(0.05)


# ---------------------------------------------------------------- processes of the project

class Edge:
    """A machine that runs the program of the deploy file."""

    def __init__(self, fleet, index, zone):
        self.fleet, self.index, self.zone = fleet, index, zone
        self.name = f"edge-{zone}-{index}"
        self.ip = f"127.9.{fleet.net}.{index + 10}"
        self.process, self.starts = None, 0
        self.misses, self.rotation = 2, False

    def address(self, name):
        return f"{self.ip}:{self.fleet.ports[name]}"

    def fields(self, store, seeds):
        fleet = self.fleet
        return {
            "node": self.name, "zone": self.zone, "region": "r1", "ip": self.ip,
            "portRange": [fleet.ports["peers"], fleet.ports["metrics"]], "seeds": seeds,
            "bind": {"http": self.address("http"), "readiness": self.address("readiness"),
                     "admin": self.address("admin")},
            "limits": {"cpuQuota": 0.2, "cpus": fleet.cpus, "memoryMb": 260, "maxFds": 4100},
            "bounds": fleet.bounds, "platform": {"address": store, "parts": 24},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "places",
                          "platform"],
        }

    async def prepare(self, seeds):
        deploy = fill_deploy(self.fields(await self.fleet.store.listen(self.name), seeds))
        self.settings = os.path.join(self.fleet.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(deploy["settings"])
        self.command = deploy["run"]
        self.environment = {"PATH": os.environ.get("PATH", ""), "LANG": "C", "HOME": "/tmp",
                            "AMARANTHDALE_NODE_FILE": self.settings, **deploy["env"]}

    def start(self):
        self.starts += 1
        with open(os.path.join(self.fleet.folder, f"{self.name}.{self.starts}.log"), "w",
                  encoding="utf-8") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=self.environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.fleet.note("edge started", self.name)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)
            self.fleet.note("signal", self.name, signal.Signals(number).name)

    async def ended(self, timeout):
        until = time.monotonic() + timeout
        while self.running() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return not self.running()

    async def restart(self, grace):
        """SIGTERM, SIGKILL after the grace period, and a start after a short delay."""
        self.signal(signal.SIGTERM)
        if not await self.ended(grace):
            self.signal(signal.SIGKILL)
            await self.ended(2)
        await asyncio.sleep(0.3)
        self.start()

    async def ready(self):
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.fleet.ports["readiness"])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: platform\r\n"
                             b"Connection: close\r\n\r\n")
                line, _, _ = await read_message(reader)
                writer.close()
                return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError):
            return False

    async def watch(self):
        """The platform's readiness checks: two misses take the machine out of rotation."""
        while True:
            ok = await self.ready()
            self.misses = 0 if ok else self.misses + 1
            rotation = ok or (self.rotation and self.misses < 2)
            if rotation != self.rotation:
                self.rotation = rotation
                self.fleet.note("in rotation" if rotation else "out of rotation", self.name)
            await asyncio.sleep(1)


def fill(text, fields):
    """Fills in the placeholders of the forms that the deploy file of the project uses."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([a-zA-Z0-9_.]+)\}\}", value, text)


def fill_deploy(fields):
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
        settings = fill(file.read(), fields)
    run = fill(role["run"], fields).split()
    run[0] = os.path.join(ROOT, run[0])
    if not os.path.exists(run[0]):
        raise CannotRun(f"{role['run']} isn't built")
    env = {name: fill(text, fields) for name, text in role.get("env", {}).items()}
    return {"settings": settings, "run": run, "env": env}


def free_ports(count, ip):
    ports = []
    for port in random.sample(range(20000, 32000), 2000):
        try:
            with socket.socket() as probe:
                probe.bind((ip, port))
            ports.append(port)
        except OSError:
            continue
        if len(ports) == count:
            return sorted(ports)
    raise CannotRun("too few free ports")


# ---------------------------------------------------------------- clients

class Client:
    """One request at a time, on a kept connection to a machine that the platform picks."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.edge = self.reader = self.writer = None

    async def connect(self):
        machines = [e for e in self.fleet.edges if e.rotation] or self.fleet.edges
        self.edge = random.choice(machines)
        async with asyncio.timeout(1):
            self.reader, self.writer = await asyncio.open_connection(
                self.edge.ip, self.fleet.ports["http"])

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, key=None, deadline=2000, host="review.example", body=b""):
        """Sends one attempt. Returns (status or None, headers, body); None: no complete answer."""
        identity = "%016x" % random.getrandbits(64)
        result = None, {}, b""
        try:
            if self.writer is None:
                await self.connect()
            head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {identity}\r\n"
                    f"Deadline-Ms: {deadline}\r\n")
            head += f"Shard-Key: {key}\r\n" if key is not None else ""
            head += f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
            self.fleet.on_sent(self, identity, method, path, key)
            async with asyncio.timeout(deadline / 1000 + 0.5):
                self.writer.write(head.encode() + b"\r\n" + body)
                line, headers, answer = await read_message(self.reader)
            result = int(line.split(" ")[1]), headers, answer
            if headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        self.fleet.on_answer(self, identity, *result)
        return result


# ---------------------------------------------------------------- a deployment

class Fleet:
    """A small deployment, its record and its checks."""

    def __init__(self, folder, cpus=1):
        self.case = folder
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.begin = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.cpus = cpus
        self.net = random.randrange(1, 250)
        self.bounds = {"holdMaxMs": 10000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 58,
                       "graceS": 6}
        self.store = Store(self)
        self.owners = Owners(self)
        self.upstreams, self.edges, self.tasks = [], [], []
        self.answers, self.sent, self.ran = {}, {}, {}
        self.version = 7

    def now(self):
        return time.monotonic() - self.begin

    def note(self, what, *details):
        if not self.record.closed:
            self.record.write(f"{self.now():9.3f} {what} " + " ".join(map(str, details)) + "\n")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def on_sent(self, client, identity, method, path, key):
        self.sent[identity] = (self.now(), client.edge.name, method, path, key)
        self.note("sent", identity, method, path, key, "to", client.edge.name)

    def on_answer(self, client, identity, status, headers, body):
        kind = "server" if "upstream-signature" in headers else "edge"
        self.answers[identity] = (self.now(), status, kind)
        self.note("answer", identity, status, kind)

    def on_run(self, upstream, identity, key, now):
        self.ran.setdefault(identity, []).append((self.now(), upstream.name, key))
        self.note("runs", upstream.name, identity, key)

    def configuration(self, routes, services):
        def service(name, keyed):
            found = {"name": name, "healthPath": "/health", "maxConnections": 110,
                     "protocol": "h1", "tls": False, "warmupS": 0, "warmupPerS": 0}
            return {**found, "sharded": True, "warmS": 0, "grants": "call"} if keyed else found
        rules = [{"name": name, "pathPrefix": prefix, "type": kind, "timeoutMs": 2000,
                  "targetLatencyMs": 400, "priority": 1, "service": target, "attempts": 2}
                 for name, prefix, kind, target in routes]
        return json.dumps({
            "version": f"r{self.version}",
            "services": [service(name, keyed) for name, keyed in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": "review.example", "pathRules": rules}],
        }).encode()

    async def start(self, zones, per_zone):
        self.ports = dict(zip(("admin", "http", "readiness", "peers", "metrics"),
                              free_ports(5, f"127.9.{self.net}.10")))
        self.edges = [Edge(self, index, zones[index // per_zone])
                      for index in range(len(zones) * per_zone)]
        seeds = [self.edges[index * per_zone].address("admin") for index in range(min(3, len(zones)))]
        for upstream in self.upstreams:
            if not upstream.up:
                await upstream.start()
        for edge in self.edges:
            await edge.prepare(seeds)
        for edge in self.edges:
            edge.start()
            self.spawn(edge.watch())
        self.spawn(self.owners.watch())
        until = time.monotonic() + 20
        while not all(edge.rotation for edge in self.edges):
            if time.monotonic() > until or not all(edge.running() for edge in self.edges):
                raise CannotRun("the processes did not become ready")
            await asyncio.sleep(0.1)

    def finish(self):
        for task in self.tasks:
            task.cancel()
        for edge in self.edges:
            if edge.running():
                edge.process.kill()
                edge.process.wait()
        self.record.close()

    def event_lines(self, pattern):
        """Lines of the processes' logs, for the record only: no check reads them."""
        found = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as log:
                    found += [f"{name}: {line.rstrip()}" for line in log
                              if re.search(pattern, line)]
        return found


def main(case, folder):
    """Runs `case(fleet)`, which returns the breaches. Exit: 0 none, 1 some, 2 can't run."""
    async def play():
        fleet = Fleet(folder, int(os.environ.get("CPUS", "1")))
        try:
            async with asyncio.timeout(115):
                breaches = await case(fleet)
            for text in breaches:
                fleet.note("BROKEN", text)
            fleet.note("verdict", "broken" if breaches else "held")
            print("\n".join(breaches[:10]) or "held")
            return 1 if breaches else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            fleet.note("can't run", repr(error))
            print("can't run:", repr(error))
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                print("logs:", fleet.folder)
            fleet.finish()
            if not os.environ.get("KEEP_LOGS"):
                for name in os.listdir(fleet.folder):
                    os.unlink(os.path.join(fleet.folder, name))
                os.rmdir(fleet.folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(play()))
