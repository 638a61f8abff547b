"""A change of the configuration comes as the store is back from a copy some seconds old (CONFIG)."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import standin  # noqa: E402

# Bounds of the deployment kh-atlas.
APPLY_S = 3.0
STABILITY_S = 4.0
AWAY_S = 4.0
COPY_AGE_S = 6.3
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
    places = [(service, zone, 6, 24) for service in ("archive", "notify") for zone in ZONES]
    shards = [f"counter{n}" for n in range(SHARDS)]
    places += [(shard, zone, 2, 12) for shard in shards for zone in ZONES[:2]]
    searchers = []
    for (service, zone, slots, queue), port in zip(
            places, standin.free_ports(["127.0.0.1"], len(places))):
        searcher = standin.Searcher(
            record, store, service, zone, "127.0.0.1", port, work_s=0.03, slots=slots, queue=queue)
        searcher.quiet = True
        searcher.retry_s = 0.1
        await searcher.serve()
        searchers.append(searcher)

    def configuration(version, service):
        fetch = {"name": "fetch", "host": "atlas.example", "prefix": "/fetch/", "kind": "safe",
                 "timeout_ms": 4000, "target_latency_ms": 500, "priority": 2, "service": service,
                 "max_attempts": 2}
        sweep = {"name": "sweep", "host": "atlas.example", "prefix": "/sweep/", "kind": "safe",
                 "timeout_ms": 1200, "target_latency_ms": 80, "priority": 1, "gather": shards,
                 "max_attempts": 2, "top_k": 50, "min_coverage": 0.89}
        return standin.configuration(version, [fetch, sweep], ["archive", "notify"] + shards, 26)

    store.put("op/config", configuration(7, "archive"))
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
    sent = []

    async def client(host):
        while True:
            at = record.now()
            request, status, _, _ = await standin.ask(
                host.ip, front, "atlas.example", "/fetch/2f", 4000)
            sent.append((request, at))
            record.line(f"client of {host.name}: {request} sent at {at:.3f}, answered {status}")
            await asyncio.sleep(0.2)

    tasks += [asyncio.create_task(client(host)) for host in hosts]
    await asyncio.sleep(8)
    if trouble:
        store.go_down(silent=True)
        record.line("store: away, silent")
    await asyncio.sleep(AWAY_S)
    if trouble:
        known = store.revision
        lost = store.come_back(COPY_AGE_S, lapse=True)
        record.line(
            f"store: back from a copy {COPY_AGE_S} s old, era {store.era}, revision {store.revision}, "
            f"{lost} changes lost; the revision was {known}")
    revision = store.put("op/config", configuration(9, "notify"))
    changed_at = record.now()
    record.line(f"operator: configuration 9 written, acknowledged at revision {revision}")
    due = changed_at + max(APPLY_S, STABILITY_S)
    await asyncio.sleep(16)
    for task in tasks:
        task.cancel()
    if any(host.has_ended() for host in hosts):
        record.line("a host ended")
        return standin.COULD_NOT_RUN
    old = {request for s in searchers if s.service == "archive" for _, request in s.ran}
    new = {request for s in searchers if s.service == "notify" for _, request in s.ran}
    late = [request for request, at in sent if at > due and request in old]
    right = [request for request, at in sent if at > due and request in new]
    record.line(
        f"CONFIG: {len(late)} requests sent later than {due - changed_at} s after the acknowledgement "
        f"were run by the service of configuration 7, {len(right)} by that of 9")
    return standin.BROKEN if late else standin.HELD


standin.run(FOLDER, play)
