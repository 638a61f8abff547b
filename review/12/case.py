"""A request crashes both searchers of a service, which start again under their ids (BUDGET)."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import standin  # noqa: E402

# Bounds of the deployment kh-atlas.
STABILITY_S = 4.0
MOST_RETRIES = 3
BACK_AFTER_S = 3.0
RETRY_EVERY_S = 4.5
RETRIES = 9
ZONES = ["ch-mitte-a", "ch-mitte-b", "ch-mitte-c"]
POISON = "/fetch/bad/2f"
SETTINGS = """processor: { share: 0.25, speed: 1 }
extra-requests: { ratio: 0.2, slack: 54, window-seconds: 10 }
grace-seconds: 6
admission: by-cost
memory-mb: 260
"""


class Searcher(standin.Searcher):
    """Crashes as it begins to run the bad request, if `crashes`."""

    crashes = False

    async def _answer(self, line, headers):
        is_meant = headers.get("expected-instance", self.id) == self.id
        if POISON in line and is_meant:
            self.bad.append((self.record.now(), headers.get("request-id")))
            self.record.line(f"searcher {self.id}: begins to run {headers.get('request-id')} (bad)")
            if self.crashes:
                self.crashed_at.append(self.record.now())
                asyncio.create_task(self.crash(BACK_AFTER_S))
                await asyncio.sleep(3600)
        return await super()._answer(line, headers)


async def play(record, work, hosts, trouble):
    ips = [f"127.0.0.{n}" for n in (11, 12, 13)]
    front, ready, peers, metrics, store_port = standin.free_ports(["127.0.0.1"] + ips, 5)
    ports = {"callers": front, "readiness": ready, "peers": peers, "metrics": metrics}
    store = standin.Store(record)
    await store.serve("127.0.0.1", store_port)
    searchers = []
    for zone, port in zip(ZONES, standin.free_ports(["127.0.0.1"], 2)):
        searcher = Searcher(record, store, "archive", zone, "127.0.0.1", port, work_s=0.06)
        searcher.quiet, searcher.crashes = True, trouble
        searcher.bad, searcher.crashed_at = [], []
        await searcher.serve()
        searchers.append(searcher)
    fetch = {"name": "fetch", "host": "atlas.example", "prefix": "/fetch/", "kind": "safe",
             "timeout_ms": 4000, "target_latency_ms": 500, "priority": 2, "service": "archive",
             "max_attempts": 2}
    store.put("op/config", standin.configuration(7, [fetch], ["archive"], 100))
    tasks = [asyncio.create_task(s.beat()) for s in searchers]
    tasks.append(asyncio.create_task(store.expire()))
    seeds = [f"{ip}:{peers}" for ip in ips]
    for ip, zone in zip(ips, ZONES):
        host = standin.EdgeHost(
            work, f"edge-{zone}-1", zone, ip, ports, f"127.0.0.1:{store_port}", seeds, SETTINGS)
        hosts.append(host)
        host.start()
    if not await standin.until_ready(hosts, 15):
        record.line("the hosts did not become ready")
        return standin.COULD_NOT_RUN
    await asyncio.sleep(4)
    answers = {}

    async def ordinary(host):
        while True:
            _, status, _, _ = await standin.ask(host.ip, front, "atlas.example", "/fetch/2f", 4000)
            answers[status] = answers.get(status, 0) + 1
            await asyncio.sleep(0.3)

    tasks += [asyncio.create_task(ordinary(host)) for host in hosts]
    for n in range(RETRIES):
        host = hosts[n % len(hosts)]
        request, status, _, _ = await standin.ask(host.ip, front, "atlas.example", POISON, 4000)
        record.line(f"client of {host.name}: {request} (bad) answered {status}")
        await asyncio.sleep(RETRY_EVERY_S)
    if any(host.has_ended() for host in hosts):
        record.line("a host ended")
        return standin.COULD_NOT_RUN
    crashes = sorted(at for s in searchers for at in s.crashed_at)
    record.line(f"ordinary requests: {answers}")
    record.line(f"crashes: {[round(at, 3) for at in crashes]}")
    late = set()
    if len(crashes) >= 3:
        due = crashes[2] + STABILITY_S
        late = {request for s in searchers for at, request in s.bad if at > due}
    record.line(
        f"BUDGET: the bad request reached searchers in {len(late)} retries later than {STABILITY_S} s "
        f"after the third crash; {MOST_RETRIES} are allowed")
    return standin.BROKEN if len(late) > MOST_RETRIES else standin.HELD


standin.run(FOLDER, play)
