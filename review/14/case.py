"""The entry of a searcher is removed after the store came back from a copy some seconds old (DRAIN)."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import standin  # noqa: E402

# Bounds of the deployment kh-atlas.
DRAIN_S = 3.0
STABILITY_S = 4.0
AWAY_S = 0.5
COPY_AGE_S = 8.0
ZONES = ["ch-mitte-a", "ch-mitte-b", "ch-mitte-c"]
SHARDS = 20
SETTINGS = """processor: { share: 0.25, speed: 1 }
extra-requests: { ratio: 0.2, slack: 54, window-seconds: 10 }
grace-seconds: 6
admission: by-cost
memory-mb: 260
"""


async def play(record, work, hosts, trouble):
    ips = [f"127.0.0.{n}" for n in (11, 12, 13)]
    front, ready, peers, metrics, store_port = standin.free_ports(["127.0.0.1"] + ips, 5)
    ports = {"callers": front, "readiness": ready, "peers": peers, "metrics": metrics}
    store = standin.Store(record)
    await store.serve("127.0.0.1", store_port)
    places = [("archive", zone, 6, 24) for zone in ZONES]
    shards = [f"counter{n}" for n in range(SHARDS)]
    places += [(shard, zone, 2, 12) for shard in shards for zone in ZONES[:2]]
    searchers = []
    for (service, zone, slots, queue), port in zip(
            places, standin.free_ports(["127.0.0.1"], len(places))):
        searcher = standin.Searcher(
            record, store, service, zone, "127.0.0.1", port, work_s=0.06, slots=slots, queue=queue)
        await searcher.serve()
        searchers.append(searcher)
    fetch = {"name": "fetch", "host": "atlas.example", "prefix": "/fetch/", "kind": "safe",
             "timeout_ms": 4000, "target_latency_ms": 500, "priority": 2, "service": "archive",
             "max_attempts": 2}
    sweep = {"name": "sweep", "host": "atlas.example", "prefix": "/sweep/", "kind": "safe",
             "timeout_ms": 1200, "target_latency_ms": 80, "priority": 1, "gather": shards,
             "max_attempts": 2, "top_k": 50, "min_coverage": 0.89}
    config = standin.configuration(7, [fetch, sweep], ["archive"] + shards, 26)
    store.put("op/config", config)
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

    async def ask(host):
        request, status, _, _ = await standin.ask(host.ip, front, "atlas.example", "/fetch/2f", 4000)
        record.line(f"client of {host.name}: {request} answered {status}")

    async def ask_all():
        """Two clients of each host ask at the same time."""
        await asyncio.gather(*(ask(host) for host in hosts for _ in range(2)))

    await asyncio.sleep(11)
    await ask_all()
    if trouble:
        store.go_down()
        record.line("store: away")
        await asyncio.sleep(AWAY_S)
        lost = store.come_back(COPY_AGE_S)
        record.line(
            f"store: back from a copy {COPY_AGE_S} s old, era {store.era}, revision {store.revision}, "
            f"{lost} changes lost")
        store.put("op/config", config)
        record.line("operator: op/config written again")
    else:
        await asyncio.sleep(AWAY_S)
    calm_at = record.now()
    await asyncio.sleep(STABILITY_S - 0.6)
    await ask_all()
    await asyncio.sleep(calm_at + STABILITY_S + 0.1 - record.now())
    # This searcher never reports draining: its entry is removed, and it goes on serving.
    gone = searchers[0]
    gone.registered, gone.leaving = False, True
    revision = store.delete(gone.key)
    removed_at = record.now()
    record.line(f"searcher {gone.id}: leaves; removal acknowledged at revision {revision}")
    await asyncio.sleep(DRAIN_S + 0.6)
    for _ in range(5):
        await ask_all()
        await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    if any(host.has_ended() for host in hosts):
        record.line("a host ended")
        return standin.COULD_NOT_RUN
    late = [(at, request) for at, request in gone.ran if at > removed_at + DRAIN_S]
    record.line(
        f"DRAIN: {len(late)} requests reached {gone.id} later than {DRAIN_S} s after its removal was "
        f"acknowledged at {removed_at:.3f}: {[round(at, 3) for at, _ in late]}")
    return standin.BROKEN if late else standin.HELD


standin.run(FOLDER, play)
