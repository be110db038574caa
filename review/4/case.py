"""A request crashes each replica that runs it, 0.6 s after its first token, and comes again."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lib
from lib import TROUBLE, Network, Node, Replica, Store, View

ZONES = ["zone-a", "zone-b", "zone-c"]
REPLICAS = 8
EVENTS = 20
GAP = 0.1
CRASH_AFTER = float(os.environ.get("CRASH_AFTER", "0.6"))
BACK_AFTER = 4.0
BEAT = 1.2
CONTACT = 3.0
RETRIES = 12
PAUSE = 5.0

ENGINE = {
    "slots": 16, "kv-capacity": 315000, "kv-token-bytes": 163840, "link-mbps": 400000.0,
    "stride": 51, "models": [{"name": "m"}], "step_ms": 0.85, "per_seq_ms": 0.00425,
    "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
    "report_lag_ms": 200.0, "usual": {"prompt": 11094, "answer": 1622}, "hop-ms": 0.05,
}
ROUTES = [
    {
        "name": "quick", "host": lib.HOST, "prefix": "/quick/", "kind": "streaming",
        "timeout-ms": 10000, "goal-ms": 300, "priority": 1, "service": "llm",
        "max-attempts": 2, "public": False, "affinity": True, "resumable": True,
        "gap-target-ms": 250,
    },
]
SERVICES = [
    {"name": "llm", "health-path": "/health", "max-conns": 434, "warmup-s": 0.0, "cold-per-s": 0.0, "engine": ENGINE}
]
POISON_BODY = b"the request that crashes replicas"
PROMPT = [("X-Model", "m"), ("X-Token-Count", "1460,1600"), ("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:1420")]


async def case(folder, record):
    network, store = Network(), Store()
    crashes, arrivals = [], []
    began = time.monotonic()
    tasks = set()

    async def crash_and_return(replica):
        await asyncio.sleep(CRASH_AFTER)
        if not replica.is_listening():
            return
        crashes.append(time.monotonic())
        record(f"{replica.name} crashes, as number {len(crashes)}")
        old = f"servers/{replica.name}"
        replica.crash()
        await asyncio.sleep(3 * BEAT)
        store.remove(old)
        await asyncio.sleep(BACK_AFTER - 3 * BEAT)
        replica.number += 1
        replica.name = f"i-{replica.index}-{replica.number}"
        replica.born = int(time.time() * 1e3)
        await replica.listen()
        store.put(f"servers/{replica.name}", replica.entry())
        record(f"a new replica {replica.name} runs at {replica.address}")

    async def run(replica, request, reader, writer):
        is_poison = request.body == POISON_BODY
        if is_poison:
            arrivals.append((time.monotonic(), request.attempt))
            if TROUBLE:
                task = asyncio.create_task(crash_and_return(replica))
                tasks.add(task)
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in replica.seal(request))
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {'x' * 40}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(GAP)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    for number in range(REPLICAS):
        replica = Replica(network, f"i-{number}-0", "llm", ZONES[number % 3], run, record, 16)
        replica.index, replica.number = number, 0
        await replica.listen()
        store.put(f"servers/{replica.name}", replica.entry())
    store.put("op/config", lib.configuration(3, ROUTES, SERVICES))
    nodes = [Node(network, f"node-{n + 1}", ZONES[n % 3], folder, record) for n in range(3)]
    for node in nodes:
        view = View(store, network.host())
        await view.listen()
        node.write_settings(view.address, nodes, ZONES)
    await asyncio.gather(*(node.start() for node in nodes))
    await asyncio.gather(*(node.wait_ready() for node in nodes))
    await asyncio.sleep(4)

    sent = {}
    for number in range(RETRIES):
        node, attempt = nodes[number % 3], f"poison-{number}"
        sent[attempt] = time.monotonic()
        record(f"client sends {attempt} POST /quick/1 to {node.name}")
        answer = await lib.call(
            node.address(8227), "POST", "/quick/1", lib.client_headers(attempt, 9000, PROMPT), POISON_BODY
        )
        record(f"client gets for {attempt}: {answer}")
        await asyncio.sleep(max(0.0, PAUSE - (time.monotonic() - sent[attempt])))
    record(f"{len(crashes)} crashes, {len(arrivals)} arrivals of the request at replicas")
    if len(crashes) < 3:
        return []
    late = {attempt for at, attempt in arrivals if sent[attempt] > crashes[2] + CONTACT}
    record(f"retries that reached replicas, sent later than {CONTACT} s after the third crash: {len(late)}")
    if len(late) <= 3:
        return []
    return [
        f"BUDGET: a request that crashes replicas reached them in {len(late)} retries, sent by machines in "
        f"touch later than {CONTACT} s after it had crashed the third; {len(crashes)} crashes in all"
    ]


lib.main(HERE, case)
