"""A request that crashes each searcher that begins to run it, and its caller, who sends it again."""

from harness import *

PATH = "/fetch/crashes"
STABILITY_S = 4.0
BACK_AFTER_S = 2.0  # a searcher that crashed is back after some seconds


class CrashingRequest:
    """Searchers that crash when they begin to run the request, and what is counted of it."""

    def __init__(self, record, store, keeps_id):
        self.record, self.store, self.keeps_id = record, store, keeps_id
        self.crashes = []
        self.arrivals = []
        self.sent = {}
        self.others = {}
        self.searchers = []

    async def add_searcher(self, zone):
        searcher = Searcher(self.store, "archive", zone, work_s=0.06)
        searcher.behave = self.run
        await searcher.start()
        self.searchers.append(searcher)

    async def run(self, searcher, line, headers, body, writer):
        if PATH not in line:
            return False
        self.arrivals.append((time.monotonic(), headers["request-id"]))
        self.crashes.append(time.monotonic())
        self.record.line(f"searcher {searcher.id} runs {headers['request-id']} and crashes")
        await searcher.crash()
        asyncio.create_task(self.start_again(searcher))
        return True

    async def start_again(self, searcher):
        old = searcher.id
        await asyncio.sleep(BACK_AFTER_S)
        if not self.keeps_id:
            searcher.id = "i-%08x" % random.getrandbits(32)
        await searcher.start()
        self.record.line(f"searcher {old} is back as {searcher.id}")
        if not self.keeps_id:
            await asyncio.sleep(3 * HEARTBEAT_S - BACK_AFTER_S)
            self.store.delete(f"servers/{old}")

    async def send(self, host):
        """Sends the request as its caller does, at a host that is in touch or not."""
        rid, now = request_id(), time.monotonic()
        in_touch = now - host.started_at > STABILITY_S
        self.sent[rid] = in_touch
        self.record.line(f"crashing request {rid} goes to {host.name}, in touch: {in_touch}")
        headers = {"Host": "atlas.example", "Request-Id": rid, "Deadline-Ms": 4_000}
        try:
            status, _, _ = await call(host.front, "GET", PATH, headers, limit_s=5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            status = type(e).__name__
        self.record.line(f"crashing request {rid} at {host.name}: {status}")

    async def fetch(self, host):
        """Sends a request of another caller, which cannot be repeated."""
        rid = request_id()
        headers = {"Host": "atlas.example", "Request-Id": rid, "Deadline-Ms": 4_000}
        try:
            status, _, _ = await call(host.front, "POST", "/file/1", headers, b"x", limit_s=5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            status = type(e).__name__
        self.record.line(f"filing {rid} at {host.name}: {status}")
        self.others[status] = self.others.get(status, 0) + 1

    async def fetch_always(self, hosts):
        while True:
            for host in hosts:
                if host.process and host.process.poll() is None and host.usable:
                    asyncio.create_task(self.fetch(host))
                await asyncio.sleep(0.05)

    def breaks_budget(self):
        """Whether it reached searchers in more than three retries, sent by machines in touch later
        than the stability window after it had crashed the third searcher."""
        if len(self.crashes) < 3:
            raise CannotRun("the request did not crash three searchers")
        from_then = self.crashes[2] + STABILITY_S
        late = [rid for at, rid in self.arrivals if at > from_then and self.sent[rid]]
        self.record.say(f"searchers that it crashed: {len(self.crashes)}")
        self.record.say(f"answers to filings of other callers: {self.others}")
        self.record.say(
            f"retries that reached searchers, sent by machines in touch later than {STABILITY_S} s "
            f"after the third crash: {len(set(late))} (runs: {len(late)})"
        )
        return len(set(late)) > 3


def routes():
    common = {
        "host": "atlas.example",
        "timeout_ms": 4_000,
        "target_latency_ms": 500,
        "priority": 2,
        "service": "archive",
        "max_attempts": 2,
    }
    return [
        {"name": "fetch", "prefix": "/fetch/", "kind": "safe", **common},
        {"name": "file", "prefix": "/file/", "kind": "unsafe", **common},
    ]
