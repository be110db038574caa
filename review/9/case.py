"""All hosts but one lose power, and a route moves to another service at the same time."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand2 import *

HOSTS = 12
# A host that learns of changes from others, as three of the hosts watch the store.
SURVIVOR = "front-4"
DARK_S = 4.0


async def case(fleet):
    note = fleet.record.note
    services = [plain_service("old"), plain_service("new")]

    def version(number, service):
        return configuration(number, [plain_route("/order/", service, "non_idempotent")], services)

    await fleet.store.write("op/config", version(7, "old"))
    for service in ("old", "old", "new", "new"):
        await fleet.add_replica(service, slots=6, behave=plain)
    zones = ["zone-a", "zone-b", "zone-c"]
    names = [f"front-{number}" for number in range(1, HOSTS + 1)]
    await fleet.add_nodes(names, [zones[index % 3] for index in range(HOSTS)])
    await asyncio.sleep(5)
    survivor = next(node for node in fleet.nodes if node.name == SURVIVOR)
    if survivor.store_host in fleet.store.watching():
        raise RuntimeError("the survivor watches the store")
    callers = Callers(fleet)
    send = callers.send(50, 8, [survivor], "POST", "/order/x", [], b"order")
    traffic = asyncio.create_task(send)
    await asyncio.sleep(1)
    lost = [node for node in fleet.nodes if node is not survivor]
    if TROUBLE:
        note(f"all hosts but {SURVIVOR} lose power")
        for node in lost:
            node.process.kill()
        for node in lost:
            node.kill()
    await asyncio.sleep(0.05)
    acknowledged = await fleet.store.write("op/config", version(9, "new"))
    note("version 9 is acknowledged: /order/ moves from service old to service new")
    await asyncio.sleep(DARK_S)
    if TROUBLE:
        for node in lost:
            node.start()
    await traffic
    await callers.finish()
    bound = BOUNDS["config-ms"] / 1e3
    runs = [(replica, attempt) for replica in fleet.replicas for _, attempt, _ in replica.runs]
    if not any(replica.service == "new" for replica, _ in runs):
        raise RuntimeError("nothing was run by the new service")
    late = {attempt: callers.sent[attempt] - acknowledged for replica, attempt in runs
            if replica.service == "old" and callers.sent[attempt] > acknowledged + bound}
    for attempt, after in late.items():
        note(f"CONFIG: {attempt}, sent {after:.3f} s after the acknowledgement, was run by old")
    return bool(late)


run(FOLDER, case)
