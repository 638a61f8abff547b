"""A zone is evacuated soon after the store came back from a copy some seconds old (EVAC)."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import standin  # noqa: E402

# Bounds of the deployment lavwa-archive-grown.
EVACUATE_S = 5.0
STABILITY_S = 5.0
AWAY_S = 1.0
COPY_AGE_S = 6.0
ZONES = ["port-louis", "curepipe", "mahebourg"]
EVACUATED = "mahebourg"
KEY = f"op/evacuate/{EVACUATED}"
SETTINGS = """processor: { share: 0.5, speed: 1 }
extra-requests: { ratio: 0.2, slack: 156, window-seconds: 10 }
grace-seconds: 6
evacuation: true
admission: by-cost
memory-mb: 512
"""


async def play(record, work, hosts, trouble):
    ips = [f"127.0.0.{n}" for n in (11, 12, 13)]
    front, ready, peers, metrics, store_port, base = standin.free_ports(["127.0.0.1"] + ips, 6)
    ports = {"callers": front, "readiness": ready, "peers": peers, "metrics": metrics}
    store = standin.Store(record)
    await store.serve("127.0.0.1", store_port)
    searchers = []
    searcher_ports = standin.free_ports(["127.0.0.1"], 9)
    for n in range(9):
        searcher = standin.Searcher(
            record, store, "copydesk", ZONES[n % 3], "127.0.0.1", searcher_ports[n], slots=4, queue=16)
        await searcher.serve()
        searchers.append(searcher)
    route = {"name": "clip-fetch", "host": "copies.example", "prefix": "/clip/", "kind": "safe",
             "timeout_ms": 6000, "target_latency_ms": 1200, "priority": 2, "service": "copydesk",
             "max_attempts": 2}
    store.put("op/config", standin.configuration(7, [route], ["copydesk"], 410))
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

    async def client(host):
        while True:
            request, status, _, _ = await standin.ask(
                host.ip, front, "copies.example", "/clip/2f", 6000)
            record.line(f"client of {host.name}: {request} answered {status}")
            await asyncio.sleep(0.2)

    tasks += [asyncio.create_task(client(host)) for host in hosts]
    await asyncio.sleep(4)
    revision = store.put(KEY, {})
    record.line(f"operator: {KEY} written, acknowledged at revision {revision}")
    await asyncio.sleep(7)
    revision = store.delete(KEY)
    record.line(f"operator: {KEY} taken back, acknowledged at revision {revision}")
    await asyncio.sleep(2)
    if trouble:
        store.go_down()
        record.line("store: away")
        await asyncio.sleep(AWAY_S)
        lost = store.come_back(COPY_AGE_S)
        record.line(
            f"store: back from a copy {COPY_AGE_S} s old, era {store.era}, revision {store.revision}, "
            f"{lost} changes lost")
        # What the operator wrote is written again: here, that the evacuation was taken back.
        revision = store.delete(KEY)
        record.line(f"operator: {KEY} taken back again, acknowledged at revision {revision}")
    else:
        await asyncio.sleep(AWAY_S)
    calm_at = record.now()
    await asyncio.sleep(1)
    revision = store.put(KEY, {})
    evacuated_at = record.now()
    record.line(f"operator: {KEY} written, acknowledged at revision {revision}")
    due = max(evacuated_at + EVACUATE_S, calm_at + STABILITY_S)
    await asyncio.sleep(EVACUATE_S + 10)
    ended_at = record.now()
    for task in tasks:
        task.cancel()
    if any(host.has_ended() for host in hosts):
        record.line("a host ended")
        return standin.COULD_NOT_RUN
    late = [(at, s.id, request) for s in searchers if s.zone == EVACUATED
            for at, request in s.ran if due < at <= ended_at]
    others = sum(1 for s in searchers if s.zone != EVACUATED
                 for at, _ in s.ran if due < at <= ended_at)
    record.line(f"requests in other zones in that time: {others}")
    record.line(
        f"EVAC: {len(late)} requests reached searchers in {EVACUATED} between {due:.3f} and "
        f"{ended_at:.3f}; the evacuation was acknowledged at {evacuated_at:.3f}")
    return standin.BROKEN if late else standin.HELD


standin.run(FOLDER, play)
