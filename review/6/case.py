"""A lookup that crashes each replica which runs it, beside sound lookups of the same path whose
queries differ. With OWN_PATH=1 it has a path of its own, for comparison."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand2 import *

DEADLY = "/stock/deadly?id=13" if os.environ.get("OWN_PATH") else "/stock/item?id=deadly"
# The time for which a replica works on it before it crashes.
CRASH_AFTER = 0.25
KEY = [("X-Credential", "k3yofmawe")]


async def case(fleet):
    tenants = [{"name": "mawe", "api-keys": ["k3yofmawe"]}]
    routes, services = [plain_route("/stock/", "shop")], [plain_service("shop")]
    await fleet.store.write("op/config", configuration(7, routes, services, tenants=tenants))
    crashes, reached, running = [], {}, set()

    async def come_back():
        await asyncio.sleep(3)
        await fleet.add_replica("shop", slots=6, behave=behave)

    async def expire(replica):
        # Three heartbeat intervals of silence.
        await asyncio.sleep(3.6)
        await fleet.store.write(f"servers/{replica.id}", None)

    def keep(task):
        running.add(task)
        task.add_done_callback(running.discard)

    async def behave(replica, headers, body, writer, echo):
        _, attempt, path = replica.runs[-1]
        if path == DEADLY:
            reached.setdefault(attempt, now())
            await asyncio.sleep(CRASH_AFTER)
            if replica.beat_task.done():
                raise ConnectionError
            crashes.append(now())
            fleet.record.note(f"{replica.id} crashes under {attempt}")
            replica.beat_task.cancel()
            replica.stop()
            keep(asyncio.create_task(expire(replica)))
            keep(asyncio.create_task(come_back()))
            raise ConnectionError
        await plain(replica, headers, body, writer, echo)

    for _ in range(6):
        await fleet.add_replica("shop", slots=6, behave=behave)
    await fleet.add_nodes(["front-1", "front-2", "front-3"])
    await asyncio.sleep(3)
    callers, others = Callers(fleet), Callers(fleet)
    sound = lambda: f"/stock/item?id={random.randint(1, 10**6)}"
    traffic = asyncio.create_task(callers.send(33, 31, fleet.nodes, "GET", sound, KEY))
    await asyncio.sleep(1)
    for _ in range(20 if TROUBLE else 0):
        await others.ask(fleet.nodes, "GET", DEADLY, KEY)
        await asyncio.sleep(1.5)
    await traffic
    await callers.finish()
    note = fleet.record.note
    note(f"{len(crashes)} crashes; answers to the sound lookups: {callers.statuses}")
    if callers.statuses.get(200, 0) < 100:
        raise RuntimeError("hardly a request was served")
    if len(crashes) < 3:
        return False
    since = sorted(crashes)[2] + BOUNDS["contact-ms"] / 1e3
    late = [attempt for attempt, at in reached.items() if at > since]
    note(f"BUDGET: {len(late)} later attempts of the deadly lookup reached replicas: {late}")
    return len(late) > 3


run(FOLDER, case)
