"""Stand-ins of the users' platform on loopback: the store, searchers, and clients.

They follow PROTOCOL.md of the users' pages. Everything runs in one process; edge hosts are separate
processes that run the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
EDGE = os.path.join(ROOT, "target", "release", "galenaloft-edge")
BEAT_S = 1.2
HISTORY_S = 20.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The case's record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a head. Returns its first line and its headers by lower-case name, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def write_answer(writer, status, headers, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    writer.write(head.encode("latin-1") + b"\r\n" + body)


class Store:
    """The platform's metadata store, which only the operator and searchers write.

    `go_down` and `come_back(age_s)` play the drill of the news: the store is away for a moment and
    comes back from a copy that is some seconds old. Revisions go back and are given out again, a
    watch from one that it doesn't have gets 410, and Store-Era rises by one.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.era = 1
        self.items = {}  # key -> (value, revision, created)
        self.history = []  # (time, revision, key, value or None)
        self.beats = {}  # key -> time of the last write of a searcher
        self.down = False
        self.silent = False
        self.server = None
        self.writers = set()
        self.calls = 0

    async def serve(self, host, port):
        self.server = await asyncio.start_server(self._client, host, port)

    def put(self, key, value):
        """Writes an item. Returns its revision: the acknowledgement."""
        if self.down:
            raise ConnectionError("the store is down")
        return self._change(key, json.dumps(value).encode())

    def delete(self, key):
        if self.down:
            raise ConnectionError("the store is down")
        if key in self.items:
            return self._change(key, None)
        return self.revision

    def _change(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.beats.pop(key, None)
        else:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created)
        now = time.monotonic()
        self.history.append((now, self.revision, key, value))
        return self.revision

    def go_down(self, silent=False):
        """Resets connections from now on or, if `silent`, answers nothing on them."""
        self.down = True
        self.silent = silent
        if not silent:
            self._reset_all()

    def _reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self, age_s, lapse=False):
        """Comes back from a copy that was taken `age_s` seconds ago. If `lapse`, the entries of
        searchers have expired meanwhile, and are removed at once. Returns how many changes are lost."""
        self._reset_all()
        taken = time.monotonic() - age_s
        kept = [change for change in self.history if change[0] <= taken]
        lost = len(self.history) - len(kept)
        self.history = kept
        self.items = {}
        self.revision = kept[-1][1]
        for _, revision, key, value in kept:
            if value is None:
                self.items.pop(key, None)
            else:
                created = self.items[key][2] if key in self.items else revision
                self.items[key] = (value, revision, created)
        now = time.monotonic()
        self.beats = {key: now for key in self.items if key.startswith("servers/")}
        self.era += 1
        self.down = False
        if lapse:
            for key in list(self.beats):
                self.delete(key)
        return lost

    async def expire(self):
        """Removes the entries of searchers that were silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            if self.down:
                continue
            now = time.monotonic()
            for key, at in list(self.beats.items()):
                if now - at > 3 * BEAT_S:
                    self.delete(key)
                    self.record.line(f"store: {key} expired, revision {self.revision}")

    async def _client(self, reader, writer):
        if self.down and not self.silent:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if self.down and self.silent:
                    # Nothing further comes on this connection.
                    await asyncio.sleep(3600)
                if head is None or self.down:
                    break
                self.calls += 1
                line, headers = head
                await read_body(reader, headers)
                await asyncio.sleep(0.004)
                url = urlsplit(line.split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                status, body = await self._answer(url.path, query)
                if self.down:
                    break
                answer = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                write_answer(writer, status, answer, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _item(self, key):
        value, revision, created = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "created": created, "lease": 0}

    async def _answer(self, path, query):
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, b"{}"
            return 200, json.dumps({**self._item(key), "current_rev": self.revision}).encode()
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self._item(key) for key in keys[:500]]
            answer = {"items": page, "has_more": len(keys) > 500, "current_rev": self.revision}
            return 200, json.dumps(answer).encode()
        if path == "/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                oldest = time.monotonic() - HISTORY_S
                first = next((c[1] for c in self.history if c[0] >= oldest), self.revision + 1)
                if after > self.revision or after < first - 1:
                    return 410, b"{}"
                events = [c for c in self.history if c[1] > after and c[2].startswith(prefix)]
                if events or time.monotonic() >= until:
                    break
                await asyncio.sleep(0.002)
            current = self.revision
            if len(events) > 500:
                events = events[:500]
                current = events[-1][1]
            shown = []
            for _, revision, key, value in events:
                if value is None:
                    shown.append({"key": key, "revision": revision, "deleted": True})
                else:
                    text = base64.b64encode(value).decode()
                    item = {"key": key, "value": text, "revision": revision}
                    shown.append({**item, "created": revision, "lease": 0})
            return 200, json.dumps({"events": shown, "current_rev": current}).encode()
        return 404, b"{}"


class Searcher:
    """One searcher: registers itself, answers requests that are meant for it, and logs what it ran."""

    def __init__(self, record, store, service, zone, host, port, work_s=0.005, slots=6, queue=24):
        self.record, self.store = record, store
        self.service, self.zone = service, zone
        self.host, self.port = host, port
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.leaving = False
        self.registered = True
        self.sequence = 0
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.running = asyncio.Semaphore(slots)
        self.waiting = 0
        self.ran = []  # (time, request id)
        self.retry_s = 0.3
        self.quiet = False
        self.bytes_in = 0
        self.writers = set()

    @property
    def key(self):
        return f"servers/{self.id}"

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "max_concurrency": self.slots, "state": self.state,
            "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born,
        }

    async def serve(self):
        self.server = await asyncio.start_server(self._client, self.host, self.port, limit=1 << 20)

    async def crash(self, back_after_s):
        """Ends like a process that crashes, and starts again later under the same id."""
        self.record.line(f"searcher {self.id}: crashes")
        self.registered = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(back_after_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = asyncio.Semaphore(self.slots)
        self.waiting = 0
        await self.serve()
        self.registered = True
        self.store.put(self.key, self.entry())
        self.store.beats[self.key] = time.monotonic()
        self.record.line(f"searcher {self.id}: is back")

    async def beat(self):
        """Writes the entry every heartbeat, and once more soon after a write that failed."""
        await asyncio.sleep(random.random() * BEAT_S)
        while True:
            wait = BEAT_S
            if self.registered:
                try:
                    self.store.put(self.key, self.entry())
                    self.store.beats[self.key] = time.monotonic()
                except ConnectionError:
                    wait = self.retry_s
            await asyncio.sleep(wait)

    def headers(self, headers, extra):
        answer = list(extra)
        if "request-id" in headers:
            answer.append(("Request-Id", headers["request-id"]))
        if self.leaving:
            answer.append(("Server-Leaving", "1"))
        return answer

    async def _client(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                self.bytes_in += len(body)
                status, extra, answer = await self._answer(line, headers)
                write_answer(writer, status, self.headers(headers, extra), answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, line, headers):
        path = line.split(" ")[1]
        if path == "/healthz":
            status = 503 if self.leaving else 200
            return status, [("Instance-Id", self.id)], b""
        request = headers.get("request-id")
        if headers.get("expected-instance", self.id) != self.id:
            return 421, [("Not-Executed", "1")], b""
        if request is None:
            return 400, [("Not-Executed", "1")], b""
        if self.waiting >= self.queue:
            return 503, [("Not-Executed", "1")], b""
        self.waiting += 1
        try:
            async with self.running:
                self.ran.append((self.record.now(), request))
                if not self.quiet:
                    self.record.line(f"searcher {self.id} in {self.zone}: runs {request}")
                await asyncio.sleep(self.work_s)
        finally:
            self.waiting -= 1
        stamp = f"{request[:8]}.{self.id[2:]}"
        return 200, [("Server-Stamp", stamp)], bytes(random.randrange(256) for _ in range(64))


class EdgeHost:
    """One edge host in its own process."""

    def __init__(self, folder, name, zone, ip, ports, store, seeds, extra=""):
        self.name, self.zone, self.ip, self.ports = name, zone, ip, ports
        self.process = None
        self.file = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.file, "w") as f:
            f.write(
                f'host: "{name}"\nzone: "{zone}"\nlisten:\n'
                f'  callers: "{ip}:{ports["callers"]}"\n  readiness: "{ip}:{ports["readiness"]}"\n'
                f'  peers: "{ip}:{ports["peers"]}"\n  metrics: "{ip}:{ports["metrics"]}"\n'
                f'store: "{store}"\nseeds: {json.dumps(seeds)}\n' + extra)

    def start(self):
        import subprocess
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            [EDGE, "--settings", self.file], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def has_ended(self):
        return self.process.poll() is not None

    def memory_mb(self):
        """Returns the resident memory in MB, now and at its peak."""
        found = {}
        with open(f"/proc/{self.process.pid}/status") as f:
            for line in f:
                if line.startswith(("VmRSS:", "VmHWM:")):
                    found[line[:5]] = int(line.split()[1]) / 1024
        return found["VmRSS"], found["VmHWM"]

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["readiness"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def until_ready(hosts, limit_s):
    end = time.monotonic() + limit_s
    for host in hosts:
        while not await host.is_ready():
            if time.monotonic() > end or host.has_ended():
                return False
            await asyncio.sleep(0.1)
    return True


def free_ports(ips, count):
    """Returns ports that are free on all of these addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(12_000, 18_000)
        if port in found:
            continue
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((ip, port))
            found.append(port)
        except OSError:
            continue
    return found


def request_id():
    return f"{random.randrange(1 << 64):016x}"


async def ask(ip, port, host, path, deadline_ms, headers=(), body=b"", method="GET", limit_s=10):
    """Sends one request on a connection of its own. Returns its id, the status or None if there was
    no answer, the headers and the body."""
    request = request_id()
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request}\r\n"
    head += f"Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    except (OSError, asyncio.TimeoutError):
        return request, None, {}, b""
    try:
        writer.write(head.encode() + b"\r\n" + body)
        answer = await asyncio.wait_for(read_head(reader), limit_s)
        if answer is None:
            return request, None, {}, b""
        line, found = answer
        got = await asyncio.wait_for(read_body(reader, found), limit_s)
        return request, int(line.split(" ")[1]), found, got
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return request, None, {}, b""
    finally:
        writer.transport.abort()


def configuration(version, routes, services, max_conns):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1",
             "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


def run(folder, play):
    """Runs `play(record, work, hosts, trouble)`, which returns the exit code, and ends all hosts."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    hosts = []
    code = COULD_NOT_RUN

    def give_up(_number, _frame):
        for host in hosts:
            host.stop()
        record.line("could not run: it takes too long")
        record.close()
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(112)
    with tempfile.TemporaryDirectory() as work:
        loop = asyncio.new_event_loop()
        try:
            if os.path.exists(EDGE):
                # The tasks of the stand-ins end with the process.
                code = loop.run_until_complete(play(record, work, hosts, trouble))
            else:
                record.line("the edge host is not built")
        except Exception as e:  # The case could not run; nothing was shown.
            record.line(f"could not run: {type(e).__name__}: {e}")
        finally:
            for host in hosts:
                host.stop()
            if os.environ.get("KEEP_LOGS"):
                import shutil
                for host in hosts:
                    if os.path.exists(host.log):
                        shutil.copy(host.log, os.environ["KEEP_LOGS"])
    record.line(f"exit code {code}")
    record.close()
    with open(os.path.join(folder, "record.txt")) as f:
        print("\n".join(f.read().splitlines()[-2:]), flush=True)
    # Leaves without the clean-up of connections that are open still.
    os._exit(code)
