"""A host that was restarted uses searchers that had left before it read the store."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

import standin
from standin import clock

SHARDS = 20
LEAVING = 5  # of 40 searchers: share 0.13, as the site file's `scale_in`
DRAIN_S = 3.0  # drain_ms
STABLE_S = 4.0  # stability_window_ms
REPLICA_AGE_S = 2.5  # "may be seconds old"
SERVES_ON_S = 20.0  # "at times many seconds"


class ReplicatedStore(standin.Store):
    """Spreads reads that may be old over two replicas in turn; one is some seconds behind."""

    turn = 0

    async def answer(self, call, query):
        if "allow_stale=1" in query:
            age = REPLICA_AGE_S if self.turn % 2 else 0.0
            self.turn += 1
            self.stale = {call: age}
            self.record.line(f"store answers {call} from a replica that is {age} s behind")
        return await super().answer(call, query)


async def case(record):
    random.seed(28)
    store = ReplicatedStore(record)
    await store.start()
    names = [f"counter-{i}" for i in range(SHARDS)]
    searchers = []
    for i, name in enumerate(names):
        for zone in ("zone-a", "zone-b"):
            body = b"".join(random.randbytes(16) for _ in range(60))
            s = standin.Searcher(
                record, store, f"i-{i:02d}{zone[-1]}", name, zone, 2, 12,
                lambda: random.uniform(0.004, 0.011), body,
            )
            await s.start()
            searchers.append(s)
    leaving = random.sample([s for s in searchers if s.zone == "zone-a"], LEAVING)
    route = standin.gather_route("r-sweep", "/sweep/", names)
    store.put("op/config", standin.configuration(7, [route], names, max_conns=26))
    edges = standin.Edges(record, store, ["zone-a", "zone-b"])
    sent, statuses, removed = {}, {}, {}

    async def caller(host, until, every):
        connection = standin.Connection(*edges.front(host))
        while clock() < until:
            id = standin.request_id()
            sent[id] = (clock(), host)
            record.line(f"caller sends {id} to host {host}")
            headers = [("Request-Id", id), ("Deadline-Ms", "1200")]
            try:
                status, _, _ = await connection.exchange("GET", "/sweep/2f", headers)
            except ConnectionError as e:
                status = str(e)
                connection.close()
            statuses[status] = statuses.get(status, 0) + 1
            record.line(f"caller gets {status} for {id}")
            await asyncio.sleep(every)
        connection.close()

    def leave():
        """They never report that they drain: their entries are removed, and they serve on."""
        for s in leaving:
            s.draining = True
            removed[s.id] = store.delete(f"servers/{s.id}")
            record.line(f"store has acknowledged that {s.id} is gone")

    try:
        await edges.start_all()
        await asyncio.sleep(STABLE_S + 1)
        other = asyncio.create_task(caller(1, clock() + 20, 0.25))
        await caller(0, clock() + 2, 0.25)
        if standin.TROUBLE:
            edges.signal(0, signal.SIGTERM)
            await asyncio.sleep(1.0)
            leave()
            if await edges.ended(0) is None:
                raise standin.CannotRun("the host does not end")
            edges.start(0)
            started = clock()
            if not await edges.ready(0):
                raise standin.CannotRun("the host does not become ready again")
        else:
            await asyncio.sleep(1.0)
            leave()
            started = clock()
        record.line(f"the restart was {started - min(removed.values()):.2f} s after the removal")
        # The next caller that the balancer sends to this host comes once it is in touch.
        await asyncio.sleep(max(0.0, started + STABLE_S + 1 - clock()))
        await caller(0, clock() + 5, 0.25)
        await other
    finally:
        edges.end()
    broken = []
    for s in leaving:
        for at, id in s.arrivals:
            when, host = sent[id]
            in_touch = host == 1 or not standin.TROUBLE or when >= started + STABLE_S
            if at > removed[s.id] + DRAIN_S and in_touch:
                broken.append(
                    f"DRAIN: {id} reached {s.id} from host {host} {at - removed[s.id]:.1f} s "
                    "after the store had acknowledged that it is gone"
                )
    print(f"answers {statuses}")
    if not statuses.get(200):
        raise standin.CannotRun("no sweep was served")
    return broken


standin.run(FOLDER, case)
