"""Stand-ins of the platform for the scripted cases: store, searchers, callers, and edge processes.

They follow the users' pages: PROTOCOL.md for what is spoken, DEPLOY.md for the settings. Everything
runs on loopback addresses and on free ports.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "pupu76.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


def clock():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{clock():8.3f} {text}\n")

    def close(self):
        self.file.close()


class CannotRun(Exception):
    """The case cannot run on this machine."""


# HTTP/1.1 ------------------------------------------------------------------------------------------


async def read_head(reader):
    """Reads one head: its first line and its headers by lower-case name, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise ConnectionError("closed within a head") from e
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Resets a connection."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


# The store -----------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store. Its answers are linearizable unless `stale` says otherwise."""

    PAGE = 50

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.history = []  # (revision, key, value or None, time)
        # Age in seconds of a read that allows it, by kind of call.
        self.stale = {"kv-key": 0.0, "kv-range": 0.0}
        self.refuse = set()

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{address}:{port}"

    def put(self, key, value):
        """Writes an item; returns the time of the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.change(key, raw)

    def delete(self, key):
        return self.change(key, None)

    def change(self, key, raw):
        self.revision += 1
        at = clock()
        self.history.append((self.revision, key, raw, at))
        return at

    def state(self, age):
        """The items and the revision as of `age` seconds ago."""
        items, revision = {}, 100
        for changed, key, raw, at in self.history:
            if at > clock() - age and age > 0:
                break
            revision = changed
            if raw is None:
                items.pop(key, None)
            else:
                items[key] = (changed, raw)
        if age <= 0:
            revision = self.revision
        return items, revision

    @staticmethod
    def item(key, revision, raw):
        value = base64.b64encode(raw).decode()
        return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                status, answer = await self.answer(path.strip("/"), query)
                body = json.dumps(answer).encode()
                kind = [("Content-Type", "application/json")]
                writer.write(message(f"HTTP/1.1 {status}", kind, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, call, query):
        import urllib.parse

        get = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        age = self.stale.get(call, 0.0) if get.get("allow_stale") == "1" else 0.0
        items, revision = self.state(age)
        if call == "kv-key":
            key = get.get("key", "")
            if key not in items:
                return "404 Not Found", {"current_rev": revision}
            return "200 OK", {**self.item(key, *items[key]), "current_rev": revision}
        if call == "kv-range":
            prefix, after = get.get("prefix", ""), get.get("after", "")
            keys = sorted(k for k in items if k.startswith(prefix) and k > after)
            page = [self.item(key, *items[key]) for key in keys[: self.PAGE]]
            more = len(keys) > self.PAGE
            return "200 OK", {"items": page, "has_more": more, "current_rev": revision}
        if call == "kv-watch":
            prefix, after = get.get("prefix", ""), int(get.get("after", "0"))
            wait = min(int(get.get("wait_ms", "0")), 30_000) / 1000
            end = clock() + wait
            while True:
                events = []
                for changed, key, raw, _ in self.history:
                    if changed > after and key.startswith(prefix):
                        event = {"key": key, "revision": changed, "deleted": True}
                        events.append(event if raw is None else self.item(key, changed, raw))
                if events or clock() >= end:
                    return "200 OK", {"events": events, "current_rev": self.revision}
                await asyncio.sleep(0.01)
        return "404 Not Found", {}


# Searchers -----------------------------------------------------------------------------------------


class Searcher:
    """A sound searcher: a few slots, a short queue, an answer that echoes the request's id."""

    numbers = 0

    def __init__(self, record, store, id, service, zone, slots, queue, work, body=b"a record"):
        self.record, self.store = record, store
        self.id, self.service, self.zone = id, service, zone
        self.slots, self.queue, self.work, self.body = slots, queue, work, body
        self.busy = 0
        self.free = asyncio.Semaphore(slots)
        self.draining = False
        self.runs = []  # (time, request id)
        self.arrivals = []  # (time, request id)
        self.answers = 0
        self.sheds = 0
        self.keep_alive = [("Keep-Alive", "timeout=15")]
        self.max_conns = 10_000
        # Connections accepted while the queue is at least half full.
        self.max_conns_busy = 10_000
        self.resets = 0
        self.tasks = set()

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{address}:{port}"
        self.born = int(time.time() * 1000)
        self.register()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.slots,
            "state": "draining" if self.draining else "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def register(self):
        return self.store.put(f"servers/{self.id}", self.entry())

    def notice(self):
        return [("Server-Leaving", "1")] if self.draining else []

    async def stop(self):
        """Ends as a process does: its port is closed and its connections with it."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        queue_is_long = self.busy >= self.slots + self.queue / 2
        if len(self.tasks) >= (self.max_conns_busy if queue_is_long else self.max_conns):
            self.resets += 1
            reset(writer)
            return
        self.tasks.add(asyncio.current_task())
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.handle(head[0], head[1], body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, first, headers, body, reader, writer):
        """Answers one request. Returns whether the connection goes on."""
        method, target, _ = first.split(" ")
        if target == "/healthz":
            await self.send(writer, await self.health(), "health")
            return True
        request = headers.get("request-id")
        echo = [("Request-Id", request)] if request else []
        own = echo + self.notice() + self.keep_alive
        if request is None:
            refused = message("HTTP/1.1 400 Bad Request", [("Not-Executed", "1")] + own)
            await self.send(writer, refused, "no id")
            return True
        if headers.get("expected-instance", self.id) != self.id:
            moved = [("Instance-Id", self.id)] + own
            await self.send(writer, message("HTTP/1.1 421 Misdirected Request", moved), "moved")
            return True
        self.arrivals.append((clock(), request))
        if self.busy >= self.slots + self.queue:
            shed = [("Not-Executed", "1")] + own
            self.sheds += 1
            self.record.line(f"searcher {self.id} sheds {request}")
            await self.send(writer, message("HTTP/1.1 503 Service Unavailable", shed), "shed")
            return True
        self.busy += 1
        try:
            async with self.free:
                if reader.at_eof():
                    # Dropped in the queue, since its connection was closed.
                    return False
                self.runs.append((clock(), request))
                self.record.line(f"searcher {self.id} runs {method} {target} {request}")
                await asyncio.sleep(self.work())
        finally:
            self.busy -= 1
        if reader.at_eof():
            return False
        Searcher.numbers += 1
        stamp = [("Server-Stamp", f"{Searcher.numbers:x}.{self.id}")]
        await self.send(writer, message("HTTP/1.1 200 OK", stamp + own, self.answer_body()), request)
        return True

    def answer_body(self):
        return self.body

    async def health(self):
        """A health request waits for a slot or is rejected as any other request."""
        name = [("Instance-Id", self.id)] + self.notice() + self.keep_alive
        if self.busy >= self.slots + self.queue:
            self.record.line(f"searcher {self.id} rejects a health request")
            rejected = [("Not-Executed", "1")] + name
            return message("HTTP/1.1 503 Service Unavailable", rejected)
        self.busy += 1
        try:
            async with self.free:
                await asyncio.sleep(0.001)
        finally:
            self.busy -= 1
        if self.draining:
            return message("HTTP/1.1 503 Service Unavailable", name)
        return message("HTTP/1.1 200 OK", name)

    async def send(self, writer, data, what):
        self.answers += 1
        writer.write(data)
        await writer.drain()


# The operator's configuration ----------------------------------------------------------------------


def configuration(version, routes, services, max_conns=100, idle_timeout_ms=15000):
    listed = [
        {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1", "tls": False}
        for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": idle_timeout_ms,
    }
    return {"version": version, "routes": routes, "services": listed, "limits": limits}


def single_route(name, prefix, kind, service, timeout_ms=4000, target_ms=500, attempts=2):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
    }


def gather_route(name, prefix, shards, timeout_ms=1200, target_ms=80, top=50, least=0.89):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "gather": shards,
        "max_attempts": 2,
        "top_k": top,
        "min_coverage": least,
    }


# Edge hosts ----------------------------------------------------------------------------------------


def free_ports(address, count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((address, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Edges:
    """The edge processes of one deployment, each on its own loopback address."""

    def __init__(self, record, store, zones):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="galenaloft-review-")
        self.ports = free_ports("127.0.0.1", 4)
        self.hosts = [
            {"name": f"edge-{zone}-{i + 1}", "zone": zone, "ip": f"127.0.0.{11 + i}", "process": None}
            for i, zone in enumerate(zones)
        ]
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as f:
            run = next(line for line in f if line.startswith("run ="))
        self.command = run.split('"')[1].split(" ")
        program = os.path.join(ROOT, self.command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")
        self.store = store

    def settings(self, host):
        """The deployment's template, filled in for one host."""
        front, ready, metrics, peers = self.ports
        seeds = ", ".join(f'"{h["ip"]}:{peers}"' for h in self.hosts[:3])
        return (
            f'host: "{host["name"]}"\nzone: "{host["zone"]}"\nlisten:\n'
            f'  callers: "{host["ip"]}:{front}"\n  readiness: "{host["ip"]}:{ready}"\n'
            f'  peers: "{host["ip"]}:{peers}"\n  metrics: "{host["ip"]}:{metrics}"\n'
            f'store: "{self.store.address}"\nseeds: [{seeds}]\n'
            "processor: { share: 0.25, speed: 1 }\n"
            "extra-requests: { ratio: 0.2, slack: 54, window-seconds: 10 }\ngrace-seconds: 6\n"
        )

    def front(self, i):
        return self.hosts[i]["ip"], self.ports[0]

    def start(self, i, on_line=None):
        """Starts a host; `on_line` gets each line of its log, on a thread of its own."""
        host = self.hosts[i]
        path = os.path.join(self.folder, f"{host['name']}.yaml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings(host))
        command = [
            path if word.startswith("/etc/") else word
            for word in self.command
        ]
        log = open(os.path.join(self.folder, f"{host['name']}.log"), "ab")
        output = log if on_line is None else subprocess.PIPE
        process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=log)
        host["process"] = process
        self.record.line(f"{host['name']} starts")
        if on_line is None:
            log.close()
            return

        def read():
            with log, process.stdout:
                for line in process.stdout:
                    on_line(i, process, line)
                    log.write(line)

        threading.Thread(target=read, daemon=True).start()

    async def ready(self, i, limit=15.0):
        """Asks as the balancer does until the host answers 200."""
        end = clock() + limit
        while clock() < end:
            try:
                status, _, _ = await asyncio.wait_for(
                    call(self.hosts[i]["ip"], self.ports[1], "GET", "/readyz", []), 1.0
                )
                if status == 200:
                    self.record.line(f"{self.hosts[i]['name']} is ready")
                    return True
            except (OSError, ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def start_all(self):
        for i in range(len(self.hosts)):
            self.start(i)
        for i in range(len(self.hosts)):
            if not await self.ready(i):
                raise CannotRun(f"{self.hosts[i]['name']} does not become ready")

    def signal(self, i, number):
        self.record.line(f"{self.hosts[i]['name']} gets signal {number}")
        self.hosts[i]["process"].send_signal(number)

    async def ended(self, i, limit=8.0):
        end = clock() + limit
        while clock() < end and self.hosts[i]["process"].poll() is None:
            await asyncio.sleep(0.02)
        return self.hosts[i]["process"].poll()

    def log(self, i):
        path = os.path.join(self.folder, f"{self.hosts[i]['name']}.log")
        with open(path, encoding="utf-8", errors="replace") as f:
            return f.read()

    def end(self):
        for host in self.hosts:
            process = host["process"]
            if process is not None and process.poll() is None:
                process.kill()
            if process is not None:
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Callers -------------------------------------------------------------------------------------------


class NoAnswer(ConnectionError):
    """The connection ended without a complete answer."""


class Connection:
    """One connection of a caller."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.port), 1.0
        )

    async def exchange(self, method, target, headers, body=b""):
        if self.writer is None:
            await self.open()
        self.writer.write(message(f"{method} {target} HTTP/1.1", [("Host", HOST)] + headers, body))
        await self.writer.drain()
        try:
            head = await read_head(self.reader)
            if head is None:
                raise NoAnswer("closed without an answer")
            answer = await read_body(self.reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            self.close()
            raise NoAnswer(str(e)) from e
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), head[1], answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(ip, port, method, target, headers, body=b""):
    """Sends one request on a connection of its own."""
    connection = Connection(ip, port)
    try:
        return await connection.exchange(method, target, headers, body)
    finally:
        connection.close()


_number = 0


def request_id():
    global _number
    _number += 1
    return f"{os.getpid():08x}{_number:08x}"


# Running a case ------------------------------------------------------------------------------------


def run(folder, case, limit=110.0):
    """Runs `case(record)`, which returns the list of breaches, and exits as run.sh has to."""
    record = Record(folder)
    # A SIGTERM ends the script as Ctrl-C does, so that it still ends what it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def bounded():
        return await asyncio.wait_for(case(record), limit)

    try:
        broken = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as e:
        record.line(f"could not run: {type(e).__name__} {e}")
        print(f"could not run: {type(e).__name__} {e}")
        record.close()
        sys.exit(2)
    for line in broken[:10]:
        print(line)
        record.line(f"BROKEN {line}")
    verdict = f"{len(broken)} breaches, trouble {'on' if TROUBLE else 'off'}"
    print(verdict)
    record.line(verdict)
    record.close()
    sys.exit(1 if broken else 0)
