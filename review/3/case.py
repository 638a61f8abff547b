"""The host that has just read a changed configuration is killed; no other host adopts the change."""

import asyncio
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

import standin
from standin import clock

ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICES = ["archive", "notify"]
CHANGES = 11
APPLY_S = 3.0  # config_apply_ms
STABLE_S = 4.0  # stability_window_ms
DOWN_S = 3.0  # `after_ack_kill`
KILL_WITHIN_S = 0.0005  # after the host logged that it adopted the change; `after_ack_kill`: 4 ms


async def case(record):
    random.seed(28)
    store = standin.Store(record)
    await store.start()
    searchers = []
    for service in SERVICES:
        for i, zone in enumerate(ZONES):
            s = standin.Searcher(
                record, store, f"i-{service[0]}{i}", service, zone, 6, 24,
                lambda: random.uniform(0.004, 0.008),
            )
            await s.start()
            searchers.append(s)
    version = 8

    def change():
        """Moves the route to the service of the next version; returns the acknowledgement's time."""
        routes = [standin.single_route("r-fetch", "/fetch/", "safe", SERVICES[version % 2])]
        at = store.put("op/config", standin.configuration(version, routes, SERVICES))
        record.line(f"store acknowledges configuration {version}: {SERVICES[version % 2]}")
        return at

    change()
    edges = standin.Edges(record, store, ZONES)
    armed, killed, started = threading.Event(), [], {}

    def on_line(i, process, line):
        if armed.is_set() and b"event=config_adopted" in line:
            armed.clear()
            end = time.perf_counter() + random.uniform(0, KILL_WITHIN_S)
            while time.perf_counter() < end:
                pass
            process.kill()
            killed.append((i, clock()))

    def start(i):
        edges.start(i, on_line)
        started[i] = clock()

    broken, sent, changes_lost, served = [], {}, 0, 0

    async def caller(host, until):
        while clock() < until:
            id = standin.request_id()
            sent[id] = (clock(), host)
            headers = [("Request-Id", id), ("Deadline-Ms", "1000")]
            try:
                answer = standin.call(*edges.front(host), "GET", "/fetch/2f", headers)
                status, _, _ = await asyncio.wait_for(answer, 1.5)
            except (OSError, asyncio.TimeoutError) as e:
                status = type(e).__name__
            record.line(f"caller gets {status} for {id} from host {host}")
            await asyncio.sleep(0.05)

    try:
        for i in range(len(ZONES)):
            start(i)
        for i in range(len(ZONES)):
            if not await edges.ready(i):
                raise standin.CannotRun("a host does not become ready")
        await asyncio.sleep(STABLE_S + 1)
        for _ in range(CHANGES):
            killed.clear()
            sent.clear()
            for s in searchers:
                s.runs.clear()
            if standin.TROUBLE:
                armed.set()
            version += 1
            await asyncio.sleep(random.uniform(0, 0.9))
            acknowledged = change()
            while standin.TROUBLE and not killed and clock() < acknowledged + APPLY_S:
                await asyncio.sleep(0.005)
            down, at = killed[0] if killed else (0, acknowledged)
            if killed:
                record.line(f"host {down} is killed")
            until = at + DOWN_S + 1.5
            others = [i for i in range(len(ZONES)) if i != down or not killed]
            loads = [asyncio.create_task(caller(i, until)) for i in others]
            await asyncio.sleep(at + DOWN_S - clock())
            if killed:
                await edges.ended(down)
                start(down)
            await asyncio.gather(*loads)
            before = len(broken)
            for s in searchers:
                for _, id in s.runs:
                    if id not in sent:
                        continue
                    served += 1
                    when, host = sent[id]
                    in_touch = when >= started[host] + STABLE_S
                    if s.service != SERVICES[version % 2] and when > acknowledged + APPLY_S and in_touch:
                        broken.append(
                            f"CONFIG: {id}, sent to host {host} {when - acknowledged:.2f} s after "
                            f"configuration {version} was acknowledged, was run by {s.service}"
                        )
            changes_lost += len(broken) > before
    finally:
        edges.end()
    print(f"{changes_lost} of {CHANGES} changes were not in force in time, {served} requests served")
    if not served:
        raise standin.CannotRun("no request was served")
    return broken


standin.run(FOLDER, case)
