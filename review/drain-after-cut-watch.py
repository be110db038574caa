"""A replica leaves just after the store has cut the watches that waited. No case: see REPORT-2.md.
Run it as `python3 review/drain-after-cut-watch.py`; it exits like the cases, and with 1 while the fault
is there. Its record goes to a temporary folder."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from stand2 import *

# The time from the cut of the watches to the removal of the replica's entry.
PAUSE = 0.05


async def case(fleet):
    note = fleet.record.note
    routes, services = [plain_route("/order/", "shop", "non_idempotent")], [plain_service("shop")]
    await fleet.store.write("op/config", configuration(7, routes, services))
    for _ in range(3):
        await fleet.add_replica("shop", slots=6, behave=plain)
    await fleet.add_nodes(["front-1", "front-2", "front-3"])
    await asyncio.sleep(5)
    callers = Callers(fleet, tries=2)
    send = callers.send(50, 6, fleet.nodes, "POST", "/order/x", [], b"order")
    traffic = asyncio.create_task(send)
    await asyncio.sleep(1)
    if TROUBLE:
        note(f"the store closes the connections of {fleet.store.cut_watches()} waiting watches")
    await asyncio.sleep(PAUSE)
    leaving = max(fleet.replicas, key=lambda replica: len(replica.runs))
    removed = await leaving.unregister()
    note(f"the entry of {leaving.id} is removed; it goes on serving for a while")
    drain = BOUNDS["drain-ms"] / 1e3
    # It serves for drain-ms and a little longer.
    await asyncio.sleep(drain + 0.5)
    leaving.stop()
    note(f"{leaving.id} exits")
    await traffic
    await callers.finish()
    if callers.statuses.get(200, 0) < 100:
        raise RuntimeError("hardly a request was served")
    late = {attempt: at - removed for at, attempt, _ in leaving.runs if at > removed + drain}
    for attempt, after in late.items():
        note(f"DRAIN: {attempt} reached {leaving.id} {after:.3f} s after it was gone")
    return bool(late)


run(tempfile.mkdtemp(prefix="review-"), case)
