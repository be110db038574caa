"""A node is killed and started again while prompts for two models wait."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand2 import *

SLOTS, PROMPTS = 4, 3
# The delay until a process that was killed is started again.
RESTART_DELAY = 0.3


def prompt(callers, number):
    return [("X-Model", "m"), ("X-Token-Count", "4960,1600"),
            ("X-Prompt-Prefix", f"aa:40,{number + 0xb00:x}:4920")]


async def case(fleet):
    note, released = fleet.record.note, {"a": asyncio.Event(), "b": asyncio.Event()}
    route = {"host": "shop.example", "kind": "streaming", "timeout-ms": 10000, "goal-ms": 3000,
             "gap-target-ms": 2000, "max-attempts": 2, "resumable": True, "affinity": True}
    routes = [{**route, "name": n, "prefix": f"/{n}/", "service": f"model-{n}"} for n in "ab"]
    engine = {**ENGINE, "slots": SLOTS}
    services = [{"name": f"model-{n}", "health-path": "/health", "max-conns": 100,
                 "warmup-s": 3.0, "cold-per-s": 38.0, "engine": engine} for n in "ab"]
    await fleet.store.write("op/config", configuration(7, routes, services))
    for name in "ab":
        async def behave(replica, headers, body, writer, echo, name=name):
            await stream(replica, headers, body, writer, echo, 4, 0.03, released[name])
        await fleet.add_replica(f"model-{name}", slots=SLOTS, behave=behave)
    await fleet.add_nodes(["front-1", "front-2", "front-3"])
    await asyncio.sleep(3)

    # The node that is killed places no requests for others.
    def places(node):
        lines = [line for line in node.lines() if "groups owned by this node" in line]
        return bool(lines) and '"groups":""' not in lines[-1]

    killed = next((node for node in fleet.nodes if not places(node)), None)
    if not killed:
        raise RuntimeError("each node places requests")
    entry = next(node for node in fleet.nodes if node is not killed)
    callers, numbers = Callers(fleet), itertools.count()

    def send(node, name, count):
        for _ in range(count):
            headers = prompt(callers, next(numbers))
            callers.begin([node], "POST", f"/{name}/x", headers, b"p" * 1200, deadline=10.0)

    # All slots of both models are taken; further prompts wait.
    send(entry, "a", SLOTS)
    send(entry, "b", SLOTS)
    await asyncio.sleep(1)
    send(killed, "a", PROMPTS)
    await asyncio.sleep(0.2)
    if TROUBLE:
        note(f"{killed.name} is killed")
        killed.kill()
        await asyncio.sleep(RESTART_DELAY)
        killed.start()
        await killed.until_ready()
        note(f"{killed.name} is ready again")
    send(killed, "b", PROMPTS)
    await asyncio.sleep(0.05)
    note("the streams of model-a go on and end")
    released["a"].set()
    await asyncio.sleep(1.5)
    released["b"].set()
    await callers.finish()
    if callers.statuses.get(200, 0) < 2 * SLOTS:
        raise RuntimeError("hardly a request was served")
    wrong = [(replica, run) for replica in fleet.replicas for run in replica.runs
             if run[2][1] != replica.service[-1]]
    for replica, (_, attempt, path) in wrong:
        note(f"ROUTE: {replica.id} of {replica.service} ran {attempt} for {path}")
    return bool(wrong)


run(FOLDER, case)
