"""A machine is killed while it forwards an answer without a length for another one."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lib
from lib import TROUBLE, Network, Node, Replica, Store, View

# As at mawe-ai: nine machines in three zones, three replicas of the shop.
ZONES = ["nbi-a", "nbi-b", "nbi-c"]
MACHINES = [("nbi-a", 4), ("nbi-b", 3), ("nbi-c", 2)]
PART = 600
EVENTS = 6
DROP_S = 0.105
AWAY_S = 3.0

ROUTES = [
    {
        "name": "stock-lookup", "host": lib.HOST, "prefix": "/lookup/", "kind": "idempotent",
        "timeout-ms": 8000, "goal-ms": 1000, "priority": 2, "service": "shop",
        "max-attempts": 2, "public": False,
    },
    {
        "name": "place-order", "host": lib.HOST, "prefix": "/order-it/", "kind": "non_idempotent",
        "timeout-ms": 8000, "goal-ms": 1000, "priority": 2, "service": "shop",
        "max-attempts": 1, "public": False,
    },
    {
        "name": "advice", "host": lib.HOST, "prefix": "/stream/", "kind": "streaming",
        "timeout-ms": 8000, "goal-ms": 1000, "priority": 2, "service": "shop",
        "max-attempts": 2, "public": False, "resumable": True, "gap-target-ms": 1000,
    },
]
SERVICES = [
    {"name": "shop", "health-path": "/health", "max-conns": 110, "warmup-s": 0.0, "cold-per-s": 0.0}
]


class Hold:
    """Where a replica waits in the middle of its answers, and which one does."""

    def __init__(self):
        self.is_active = False
        self.halfway, self.go_on = asyncio.Event(), asyncio.Event()
        self.last = None


async def case(folder, record):
    network, store, hold = Network(), Store(), Hold()

    async def run(replica, request, reader, writer):
        """Answers without a length, so the answer ends with the connection. Half of it is sent at
        once and, if the case holds it, the rest when the case says so."""
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in replica.seal(request))
        if request.path.startswith("/stream/"):
            head += "Content-Type: text/event-stream\r\n"
            first = int(request.headers.get("last-event-id", "0")) + 1
            parts = [f"id: {number}\ndata: {replica.name}\n\n" for number in range(first, EVENTS + 1)]
            begin, rest = "".join(parts[: EVENTS // 2]), "".join(parts[EVENTS // 2 :])
        else:
            begin, rest = "x" * PART, "y" * PART
        hold.last = replica
        writer.write((head + "\r\n" + begin).encode())
        await writer.drain()
        if hold.is_active:
            hold.halfway.set()
            await hold.go_on.wait()
        writer.write(rest.encode())
        await writer.drain()
        return False

    replicas = [Replica(network, f"i-{n}", "shop", ZONES[n], run, record) for n in range(3)]
    for replica in replicas:
        await replica.listen()
        store.put(f"servers/{replica.name}", replica.entry())
    store.put("op/config", lib.configuration(3, ROUTES, SERVICES))

    zones = [zone for zone, count in MACHINES for _ in range(count)]
    nodes = [Node(network, f"node-{n + 1}", zone, folder, record) for n, zone in enumerate(zones)]
    for node in nodes:
        view = View(store, network.host())
        await view.listen()
        node.write_settings(view.address, [nodes[0], nodes[4], nodes[7]], ZONES)
    await asyncio.gather(*(node.start() for node in nodes))
    await asyncio.gather(*(node.wait_ready() for node in nodes))
    await asyncio.sleep(4)

    def send(method, path, attempt):
        record(f"client sends {attempt} {method} {path} to node-1")
        headers = lib.client_headers(attempt, 7000)
        return asyncio.create_task(lib.call(nodes[0].address(8227), method, path, headers))

    async def find_relay():
        for node in nodes[1:]:
            if await node.metric("hickory_relayed_connections ") > 0:
                return node
        return None

    async def attempt_once(method, path, attempt):
        """Returns the answer, or None if the request went another way than over a relay."""
        # The replica that the next request most likely goes to, while all are idle.
        await send("GET", "/lookup/0", f"{attempt}-before")
        replica = hold.last
        hold.is_active = True
        hold.halfway.clear()
        hold.go_on.clear()
        # The opening packet of the next connection to it is dropped, as when its queue of new
        # connections is full or the packet is lost on the way.
        fillers = await replica.drop_opening_packets()
        record(f"{replica.name} drops opening packets")
        sent = send(method, path, attempt)
        await asyncio.sleep(DROP_S)
        replica.take_opening_packets(fillers)
        record(f"{replica.name} takes opening packets")
        await asyncio.wait_for(hold.halfway.wait(), 5)
        relay = await find_relay()
        if relay is not None:
            record(f"{relay.name} forwards the connection to {hold.last.name}")
        if TROUBLE and relay is not None:
            relay.signal(signal.SIGKILL)
            await relay.wait()
            await asyncio.sleep(0.3)
        record(f"{hold.last.name} sends the rest of its answer and closes the connection")
        hold.go_on.set()
        answer = await sent
        hold.is_active = False
        record(f"client gets for {attempt}: {answer}")
        if TROUBLE and relay is not None:
            await asyncio.sleep(AWAY_S)
            relay.is_first_start = False
            await relay.start()
            await relay.wait_ready()
        await asyncio.sleep(4)
        return answer if relay is not None else None

    violations = []
    tries = [("GET", "/lookup/1", "lookup"), ("POST", "/order-it/1", "order"), ("POST", "/stream/1", "stream")]
    for method, path, name in tries:
        for number in range(5):
            attempt = f"{name}-{number}"
            answer = await attempt_once(method, path, attempt)
            if answer is not None:
                break
        else:
            raise lib.CannotRun("no request went over a relay")
        is_stream = path.startswith("/stream/")
        whole = answer.body.count(b"\n\n") == EVENTS if is_stream else len(answer.body) == 2 * PART
        if answer.status == 200 and answer.is_complete and not whole:
            rule = (
                "ORDER: the stream ends as complete before its last piece"
                if is_stream
                else "MIXED: a success with a body that isn't the replica's whole body"
            )
            violations.append(f"{attempt}: {rule} ({len(answer.body)} bytes)")
        if not TROUBLE and not (answer.status == 200 and answer.is_complete and whole):
            violations.append(f"{attempt}: not served without the disruption: {answer}")
    return violations


lib.main(HERE, case)
