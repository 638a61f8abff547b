"""Stand-ins for scripts of this review: the platform's store, searchers and callers, and the start of
edge hosts as processes. Everything listens on loopback addresses and free ports."""

import asyncio
import base64
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
EDGE = os.path.join(ROOT, "target", "release", "galenaloft-edge")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
T0 = time.monotonic()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder):
        self.f = open(os.path.join(folder, "record.txt"), "w")
        self.line(f"TROUBLE={int(TROUBLE)}")

    def line(self, text):
        self.f.write(f"{time.monotonic() - T0:8.3f} {text}\n")
        self.f.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def free_ports(ips, count):
    """Ports that are free on all of these addresses."""
    while True:
        ports = random.sample(range(20_000, 32_000), count)
        held = []
        try:
            for ip in ips:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        s = socket.socket(socket.AF_INET, kind)
                        held.append(s)
                        s.bind((ip, port))
            return ports
        except OSError:
            continue
        finally:
            for s in held:
                s.close()


async def read_head(reader):
    """Reads a request or response head; returns its first line and its headers in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers, body=b""):
    head = f"HTTP/1.1 {status} X\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Store:
    """The platform's store: keys with revisions, ranges and watches."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.note(item)

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                path, _, query = line.split(" ")[1].partition("?")
                args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                args = {k: v.replace("%2F", "/") for k, v in args.items()}
                status, body = await self.answer(path, args)
                writer.write(
                    response(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, args):
        if path == "/kv-key":
            item = self.items.get(args["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "current_rev": self.revision}
        if path == "/kv-range":
            after = args.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(args.get("prefix", "")) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "current_rev": self.revision}
        if path == "/kv-watch":
            after, until = int(args["after"]), time.monotonic() + int(args["wait_ms"]) / 1000
            while True:
                prefix = args.get("prefix", "")
                events = [
                    e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    page = events[:500]
                    rev = page[-1]["revision"] if len(events) > 500 else self.revision
                    return 200, {"events": page, "current_rev": rev}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Searcher:
    """A sound searcher; `behave` may replace what it does with a request that it runs."""

    def __init__(self, store, service, zone, slots=6, queue=24, name=None, work_s=0.02):
        self.store, self.service, self.zone = store, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.id = name or "i-%08x" % random.getrandbits(32)
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.arrivals = []
        self.behave = None
        self.refuse = None
        self.extra_headers = {}
        self.up = False
        self.port = 0
        self.writers = set()

    async def start(self, ip="127.0.0.1"):
        self.born = int(time.time() * 1000)
        self.running = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.server = await asyncio.start_server(self.serve, ip, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self.port}"
        self.up = True
        self.beat()
        self.beats = asyncio.create_task(self.heartbeat())

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0.0",
            "max_concurrency": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def crash(self):
        """Ends like a killed process: connections are reset and nothing listens any more."""
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.sequence = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(line, headers, body, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body, writer):
        path = line.split(" ")[1]
        if path == "/healthz":
            status = 503 if self.state == "draining" else 200
            writer.write(response(status, {"Instance-Id": self.id, **self.extra_headers}))
            return
        rid = headers.get("request-id", "")
        now = time.monotonic()
        self.arrivals.append((now, rid, path))
        echo = {"Request-Id": rid, **self.extra_headers}
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(response(421, {**echo, "Not-Executed": "1"}))
            return
        if self.refuse is not None:
            writer.write(response(503, {**echo, "Not-Executed": "1", **self.refuse()}))
            return
        if self.running.locked() and self.waiting >= self.queue:
            writer.write(response(503, {**echo, "Not-Executed": "1"}))
            return
        self.waiting += 1
        async with self.running:
            self.waiting -= 1
            self.runs.append((time.monotonic(), rid, path))
            if self.behave is not None and await self.behave(self, line, headers, body, writer):
                return
            await asyncio.sleep(self.work_s)
            stamp = "%08x.%02x" % (random.getrandbits(32), random.getrandbits(8))
            records = os.urandom(16 * 6)
            writer.write(response(200, {**echo, "Server-Stamp": stamp}, records))


class Edge:
    """One edge host, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, ip, ports, store, seeds, memory_mb=260):
        self.folder, self.name, self.zone, self.ip = folder, name, zone, ip
        self.front = (ip, ports["front"])
        self.readiness = (ip, ports["readiness"])
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.settings, "w") as f:
            f.write(
                f'host: "{name}"\nzone: "{zone}"\nlisten:\n'
                f'  callers: "{ip}:{ports["front"]}"\n  readiness: "{ip}:{ports["readiness"]}"\n'
                f'  peers: "{ip}:{ports["peers"]}"\n  metrics: "{ip}:{ports["metrics"]}"\n'
                f'store: "{store}"\nseeds: [{",".join(json.dumps(s) for s in seeds)}]\n'
                "processor: { share: 0.25, speed: 1 }\n"
                "extra-requests: { ratio: 0.2, slack: 54, window-seconds: 10 }\n"
                f"grace-seconds: 6\nadmission: by-cost\nmemory-mb: {memory_mb}\n"
            )
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [EDGE, "--settings", self.settings], stdout=log, stderr=log, cwd=ROOT
            )
        self.started_at = time.monotonic()

    def signal(self, number):
        self.process.send_signal(number)

    async def ended(self, limit_s):
        until = time.monotonic() + limit_s
        while self.process.poll() is None:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.05)
        return True

    def memory_mb(self):
        """Most memory that was resident so far, in MB."""
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmHWM"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await call(self.readiness, "GET", "/readyz", {"Host": "x"}, limit_s=1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class KeptConnection:
    """A caller's connection that is kept for many requests, and opened anew once it is lost."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.answered = 0

    async def request(self, method, path, headers, body=b"", limit_s=5.0):
        """Returns the status, or None if the connection was closed without a whole answer, and whether
        the connection had carried an earlier request."""
        kept = self.writer is not None and self.answered > 0
        try:
            return await asyncio.wait_for(self.exchange(method, path, headers, body), limit_s), kept
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None, kept

    async def exchange(self, method, path, headers, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address, limit=1 << 22)
            self.answered = 0
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        line, answer = await read_head(self.reader)
        await read_body(self.reader, answer)
        self.answered += 1
        if answer.get("connection") == "close":
            self.close()
        return int(line.split(" ")[1])

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


async def call(address, method, path, headers, body=b"", limit_s=5.0):
    """Sends one request on a new connection; returns status, headers and body of the answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            if body or method != "GET":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            line, answer = await read_head(reader)
            return int(line.split(" ")[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit_s)


def request_id():
    return "%016x" % random.getrandbits(64)


def configuration(version, routes, services, body_bytes=262_144):
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": body_bytes,
                "header_timeout_ms": 5_000,
                "idle_timeout_ms": 15_000,
            },
        }
    ).encode()


def service(name, max_conns):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns}


def edges(folder, store, zones, memory_mb=260):
    """Prepares one edge host for each zone named, on addresses and ports of its own."""
    base = random.randrange(1, 200)
    ips = [f"127.0.{base}.{i + 1}" for i in range(len(zones))]
    names = ["front", "readiness", "peers", "metrics", "control"]
    ports = dict(zip(names, free_ports(ips, len(names))))
    seeds = [f"{ip}:{ports['control']}" for ip in ips[:3]]
    return [
        Edge(folder, f"edge-{zone}-{i + 1}", zone, ip, ports, store.address, seeds, memory_mb)
        for i, (zone, ip) in enumerate(zip(zones, ips))
    ]


def play(folder, case, limit_s=110):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held and 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    temp = tempfile.mkdtemp(prefix="galenaloft-review-")
    hosts = []

    async def run():
        return await asyncio.wait_for(case(record, temp, hosts), limit_s)

    try:
        if not os.access(EDGE, os.X_OK):
            raise CannotRun("target/release/galenaloft-edge is not built")
        broken = asyncio.run(run())
        record.say("RULE BROKEN" if broken else "rule held")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        record.say(f"could not run: {type(e).__name__} {e}")
        code = 2
    finally:
        for host in hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            record.say(f"logs of the hosts: {temp}")
        else:
            shutil.rmtree(temp, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)


class MemoryWatch:
    """Ends a host that exceeds its memory and starts it again, as the platform does."""

    def __init__(self, record, hosts, limit_mb=260, down_s=1.0):
        self.record, self.hosts, self.limit_mb, self.down_s = record, hosts, limit_mb, down_s
        self.ends = {host.name: 0 for host in hosts}
        self.most = {host.name: 0.0 for host in hosts}
        self.tasks = [asyncio.create_task(self.watch(host)) for host in hosts]

    async def watch(self, host):
        while True:
            await asyncio.sleep(0.02)
            if host.process.poll() is not None:
                why = f"ended by itself with status {host.process.returncode}"
            else:
                used = host.memory_mb()
                self.most[host.name] = max(self.most[host.name], used)
                if used <= self.limit_mb:
                    continue
                why = f"used {used:.0f} MB of {self.limit_mb} and is ended"
                host.signal(signal.SIGKILL)
                host.process.wait()
            self.ends[host.name] += 1
            self.record.say(f"{host.name} {why}, for the {self.ends[host.name]}. time")
            await asyncio.sleep(self.down_s)
            host.start()

    def breaks_fault(self):
        """Whether processes ended three times on a tenth of the machines, two at least."""
        often = [name for name, count in self.ends.items() if count >= 3]
        self.record.say(f"most memory in MB: { {n: round(mb) for n, mb in self.most.items()} }")
        self.record.say(f"ends by memory: {self.ends}")
        return len(often) >= max(2, len(self.hosts) / 10)

    def stop(self):
        for task in self.tasks:
            task.cancel()
