"""A request crashes three searchers and is refused from then on; then the hosts are restarted in turn."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from harness import *
from crashing import *

GRACE_S = 6


async def restart(record, host):
    host.usable = False
    host.signal(signal.SIGTERM)
    if not await host.ended(GRACE_S):
        raise CannotRun(f"{host.name} does not stop")
    record.say(f"{host.name} was stopped and starts again")
    host.start()
    await host.wait_ready()
    host.usable = True


async def case(record, temp, hosts):
    store = Store()
    await store.start()
    request = CrashingRequest(record, store, keeps_id=False)
    for zone in ("a", "b", "c"):
        await request.add_searcher(zone)
    store.put("op/config", configuration(7, routes(), [service("archive", 100)]))
    hosts += edges(temp, store, ["a", "b", "c"])
    for host in hosts:
        host.usable = True
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(STABILITY_S)
    others = asyncio.create_task(request.fetch_always(hosts))
    for host in hosts:
        await request.send(host)
        await asyncio.sleep(STABILITY_S)
    for host in hosts:
        if TROUBLE:
            await restart(record, host)
        # Its caller comes again once the host is in touch, and again when the searchers are back.
        for _ in range(2):
            await asyncio.sleep(STABILITY_S + 0.5)
            await request.send(host)
    others.cancel()
    return request.breaks_budget()


play(FOLDER, case)
