"""Stand-ins for the second review: the platform's store, replicas, callers, and node processes.

They follow PROTOCOL.md and DEPLOY.md; where these are silent they behave like sound ones. All
addresses are loopback addresses: each host has one of its own, and the ports are the same on all.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
# A loopback network of this run, so that runs at the same time don't meet.
NETWORK = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
FRONT, READY, DIRECTORY, CONTROL, PEERS = 8227, 8220, 8224, 8229, 7340
REPLICA, STORE = 8080, 8223


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in `record.txt` beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


class Unread(Exception):
    """The other end closed the connection or sent no message."""


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Unread(str(error)) from error
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        return data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Unread(str(error)) from error


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while data := await read_chunk(reader):
            body += data
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Unread(str(error)) from error


def head_bytes(first, headers):
    return (first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode()


def close(writer):
    try:
        writer.close()
    except RuntimeError:
        pass


def reset(writer):
    transport = writer.transport
    if transport:
        transport.abort()


class Store:
    """The platform's store: keys with revisions, ranges, watches, transactions and leases."""

    def __init__(self, record):
        self.record = record
        self.items, self.events, self.rev = {}, [], 100
        self.leases, self.next_lease = {}, 1
        self.changed = None
        self.watches = {}

    async def start(self):
        self.changed = asyncio.Condition()
        self.expiry = asyncio.create_task(self.expire())

    async def listen(self, host):
        """Listens at an address for one node, which tells the nodes apart."""
        return await asyncio.start_server(self.serve, host, STORE)

    async def write(self, key, value, lease=0):
        """Writes or removes a key; the return is the acknowledgement."""
        async with self.changed:
            self.rev += 1
            if value is None:
                self.items.pop(key, None)
                self.events.append({"key": key, "rev": self.rev, "tombstone": True})
            else:
                created = self.items.get(key, {}).get("created", self.rev)
                item = {
                    "key": key,
                    "value": base64.b64encode(value.encode()).decode(),
                    "rev": self.rev,
                    "created": created,
                    "lease": lease,
                }
                self.items[key] = item
                self.events.append(item)
            self.changed.notify_all()
        return now()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, until) in list(self.leases.items()):
                if now() > until:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.write(key, None)

    def watching(self):
        """Returns the addresses at which watches wait."""
        return {writer.get_extra_info("sockname")[0] for writer in self.watches.values()}

    def cut_watches(self):
        """Closes the connections of the watches that wait."""
        waiting = list(self.watches.values())
        for writer in waiting:
            close(writer)
        return len(waiting)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, unquote(url.path), query, body, writer)
                text = json.dumps(answer).encode()
                head = [("Content-Type", "application/json"), ("Content-Length", len(text))]
                writer.write(head_bytes(f"HTTP/1.1 {status} X", head) + text)
                await writer.drain()
        except (Unread, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    async def answer(self, method, path, query, body, writer):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current-rev": self.rev}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "current-rev": self.rev}
        if path == "/kv-watch":
            return await self.watch(query, writer)
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/kv-lease":
            ttl, lease = json.loads(body)["ttl-ms"], self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl, now() + ttl / 1e3)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, now() + ttl / 1e3)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query, writer):
        prefix, after = query.get("prefix", ""), int(query["after"])

        def found():
            return [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]

        self.watches[id(writer)] = writer
        try:
            async with self.changed:
                wait = self.changed.wait_for(found)
                await asyncio.wait_for(wait, int(query.get("wait-ms", 0)) / 1e3)
        except asyncio.TimeoutError:
            pass
        finally:
            self.watches.pop(id(writer), None)
        return 200, {"events": found(), "current-rev": self.rev}

    async def transact(self, call):
        for row in call.get("expected", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                keys = [r["key"] for r in call["expected"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        for row in call.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in call.get("writes", []):
            value = base64.b64decode(row["value"]).decode()
            await self.write(row["key"], value, row.get("lease", 0))
        for key in call.get("remove", []):
            await self.write(key, None)
        return 200, {"rev": self.rev}


def plain_service(name, cold_per_s=0.0):
    warmup = 3.0 if cold_per_s else 0.0
    return {"name": name, "health-path": "/health", "max-conns": 110, "warmup-s": warmup,
            "cold-per-s": cold_per_s}


def plain_route(prefix, service, kind="idempotent"):
    attempts = 2 if kind == "idempotent" else 1
    return {"name": service, "host": "shop.example", "prefix": prefix, "kind": kind,
            "timeout-ms": 2000, "goal-ms": 100, "service": service, "max-attempts": attempts}


def configuration(version, routes, services, **more):
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": LIMITS, **more})


class Replica:
    """A replica of a plain service, or of a model; `behave` writes the answer to a request."""

    numbers = itertools.count(101)

    def __init__(self, record, store, service, zone="zone-a", slots=4, behave=None):
        self.record, self.store, self.service = record, store, service
        self.zone, self.slots, self.behave = zone, slots, behave
        number = next(self.numbers)
        self.id, self.host = f"i-{service}-{number}", f"{NETWORK}.{number}"
        self.born = int(time.time() * 1e3)
        self.cold_until, self.state, self.seq = 0.0, "ready", 0
        self.running, self.arrivals, self.runs = 0, [], []
        self.beat_task = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{REPLICA}"

    def cold_ms(self):
        return max(0, int((self.cold_until - now()) * 1e3))

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold-left-ms": self.cold_ms(), "seq": self.seq, "born": self.born,
        })

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, REPLICA)
        await self.register()
        self.beat_task = asyncio.create_task(self.beat())

    async def register(self):
        return await self.store.write(f"servers/{self.id}", self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def unregister(self):
        self.beat_task.cancel()
        return await self.store.write(f"servers/{self.id}", None)

    def stop(self):
        """Exits: no listener and no connections any more."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(first, headers, body, writer)
        except (Unread, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    async def reply(self, writer, status, headers, text=b"ok"):
        headers = [*headers, ("Content-Length", len(text))]
        writer.write(head_bytes(f"HTTP/1.1 {status} X", headers) + text)
        await writer.drain()

    async def handle(self, first, headers, body, writer):
        method, path, _ = first.split(" ")
        own = [("X-Replica-Id", self.id)]
        expected = headers.get("x-expect-replica")
        if expected and expected != self.id:
            self.record.note(f"{self.id} rejects {headers.get('x-attempt-id')} (421)")
            return await self.reply(writer, 421, [("X-Not-Executed", "1")])
        if path == "/health":
            cold = ("X-Cold-Ms", self.cold_ms())
            status = 200 if self.state == "ready" else 503
            return await self.reply(writer, status, own + [cold])
        if path == "/order":
            return await self.reply(writer, 200, [], b'{"free":0}')
        attempt = headers.get("x-attempt-id")
        if not attempt:
            return await self.reply(writer, 400, [("X-Not-Executed", "1")])
        self.arrivals.append((now(), attempt))
        echo = [("X-Attempt-Id", attempt)]
        if self.running >= self.slots:
            self.record.note(f"{self.id} is full, rejects {attempt}")
            full = echo + [("X-Not-Executed", "1")]
            return await self.reply(writer, 503, full)
        self.running += 1
        self.runs.append((now(), attempt, path))
        self.record.note(f"{self.id} ({self.service}) runs {attempt} {method} {path}")
        try:
            await self.behave(self, headers, body, writer, echo + [("X-Replica-Seal", "seal")])
            self.record.note(f"{self.id} ends {attempt}")
        finally:
            self.running -= 1


async def plain(replica, headers, body, writer, echo, work=0.015):
    await asyncio.sleep(work)
    await replica.reply(writer, 200, echo, b"x" * 800)


async def stream(replica, headers, body, writer, echo, events, gap, released=None):
    """Writes events; after the last but one it waits for `released`, if there is one."""
    begin = int(headers.get("last-event-id", 0)) + 1
    kind = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
    writer.write(head_bytes("HTTP/1.1 200 X", echo + kind))
    for number in range(begin, events + 1):
        if number == events and released:
            await released.wait()
        text = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        await writer.drain()
        await asyncio.sleep(gap)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Node:
    """A daemon as a process, with the command of the deploy file."""

    def __init__(self, name, number, folder, store, seeds, zone="zone-a", **bounds):
        self.name, self.host = name, f"{NETWORK}.{number}"
        self.folder, self.process = folder, None
        self.store, self.store_host = store, f"{NETWORK}.{200 + number}"
        at = lambda port: f"{self.host}:{port}"
        self.front, self.ready_at, self.directory = at(FRONT), at(READY), at(DIRECTORY)
        self.log = os.path.join(folder, f"{name}.log")
        self.settings = {
            "node": name, "role": "entry", "machine-class": "front",
            "serves": ["front", "control", "directory"], "ip": self.host, "zone": zone,
            "region": "region", "zones": {"zone-a": "region", "zone-b": "region"},
            "listen": {"front": self.front, "ready": self.ready_at, "control": at(CONTROL),
                       "directory": self.directory},
            "port-range": [PEERS, PEERS + 15], "seeds": seeds, "bootstrap": True,
            "tolerance-member": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory", "beat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "places", "platform", "spans"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, **bounds},
            "platform": {"address": f"{self.store_host}:{STORE}", "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "ttl-min-ms": 1000},
        }

    def start(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
        self.settings["bootstrap"] = False
        with open(os.path.join(ROOT, "deploy/system.toml")) as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)[1].split(" ")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            command, cwd=ROOT, env={**kept, "HICKORYRUN_NODE_FILE": path},
            stdin=subprocess.DEVNULL, stdout=open(self.log, "a"), stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.ready_at, "GET", "/ready", [], limit=1.0)
            return answer.status == 200
        except Unread:
            return False

    async def until_ready(self, limit=10.0):
        until = now() + limit
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.005)
        raise RuntimeError(f"{self.name} isn't ready")

    def lines(self):
        with open(self.log) as file:
            return file.readlines()


# The bounds of the small deployments in SYSTEM.md.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-ms": 2000, "revert-ms": 250,
    "stretch-ms": 5000, "strict-revoke": False, "revoke-ms": 5000, "budget-ratio": 0.2,
    "budget-window-s": 10, "budget-extra": 106, "cold-excess": 1.5, "cold-slack": 5,
    "evac-ms": 5000, "recover-s": 12, "pass-ms": 120, "retry-after-s": 0, "stall_ms": 1500,
    "hold-max-ms": 20000, "free-ms": 4000, "idle-max-ms": 9000, "ttl_max_s": 5,
}

# The engine of the small deployments in SYSTEM.md.
ENGINE = {
    "slots": 16, "kv-capacity": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
    "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184,
    "usual": {"prompt": 11094, "answer": 1622}, "hop-ms": 0.05,
}

LIMITS = {"header-bytes": 16384, "body-bytes": 4194304, "header-ms": 3000, "idle-ms": 15000}


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def connect(address, limit=1.0):
    host, port = address.rsplit(":", 1)
    opened = asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        return await asyncio.wait_for(opened, limit)
    except (OSError, asyncio.TimeoutError) as error:
        raise Unread(str(error)) from error


async def call(address, method, path, headers, body=b"", limit=10.0, host="shop.example"):
    """Makes a call on a new connection. Leaves when `limit` has passed."""
    reader, writer = await connect(address)
    try:
        length = [("Content-Length", len(body))] if body else []
        first = f"{method} {path} HTTP/1.1"
        writer.write(head_bytes(first, [("Host", host), *headers, *length]) + body)
        return await asyncio.wait_for(read_answer(reader), limit)
    except (ConnectionError, asyncio.TimeoutError) as error:
        raise Unread(f"{type(error).__name__} {error}") from error
    finally:
        reset(writer)


async def read_answer(reader):
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return Answer(status, headers, await read_body(reader, headers), True)
    body = b""
    try:
        while data := await read_chunk(reader):
            body += data
    except Unread:
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


class Callers:
    """Callers that each send a request, and send it again after a refusal or a broken connection."""

    numbers = itertools.count(1)

    def __init__(self, fleet, tries=1, pause=0.1):
        self.record, self.tries, self.pause = fleet.record, tries, pause
        self.tasks, self.statuses = set(), {}
        self.sent = {}

    async def ask(self, nodes, method, path, headers=(), body=b"", deadline=1.5):
        """Sends a request to one of the nodes. Returns the last answer, if there was one."""
        until, answer = now() + deadline, None
        for _ in range(self.tries):
            left = until - now()
            if left <= 0:
                break
            attempt, node = f"r{next(self.numbers)}", random.choice(nodes)
            self.sent[attempt] = now()
            self.record.note(f"a caller sends {attempt} {method} {path} to {node.name}")
            own = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", int(left * 1e3))]
            try:
                answer = await call(node.front, method, path, [*own, *headers], body, left)
            except Unread as error:
                self.count("none")
                self.record.note(f"the caller of {attempt} gets no answer: {error}")
                await asyncio.sleep(self.pause)
                continue
            self.count(answer.status)
            self.record.note(f"the caller of {attempt} gets {answer.status}")
            if answer.status not in (408, 421, 429, 503):
                break
            # Callers wait for a third of the time that is left at most.
            after = float(answer.headers.get("retry-after", self.pause))
            await asyncio.sleep(min(after, max(0.0, until - now()) / 3))
        return answer

    def count(self, status):
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def begin(self, *arguments, **options):
        task = asyncio.create_task(self.ask(*arguments, **options))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, per_s, seconds, *arguments, **options):
        """Sends requests at a rate for some time; `path` may be a function."""
        until = now() + seconds
        while now() < until:
            nodes, method, path, *rest = arguments
            self.begin(nodes, method, path() if callable(path) else path, *rest, **options)
            await asyncio.sleep(random.expovariate(per_s))

    async def finish(self):
        while self.tasks:
            await asyncio.gather(*self.tasks)


class Fleet:
    """A store, replicas and nodes; all processes end with it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.replicas, self.nodes = [], []

    async def add_replica(self, *args, **options):
        replica = Replica(self.record, self.store, *args, **options)
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def add_nodes(self, names, zones=None, **bounds):
        seeds = [f"{NETWORK}.{1 + index}:{CONTROL}" for index in range(min(3, len(names)))]
        for index, name in enumerate(names):
            zone = zones[index] if zones else "zone-a"
            node = Node(name, 1 + index, self.folder, self.store, seeds, zone=zone, **bounds)
            self.nodes.append(node)
            await self.store.listen(node.store_host)
            node.start()
        await asyncio.gather(*(node.until_ready() for node in self.nodes))

    def end(self):
        for node in self.nodes:
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case, limit=110.0):
    """Runs a case and exits with 1 if it returns that the rule was broken, and with 0 if it held."""
    fleet = Fleet(folder)

    def leave(status):
        # Ends the processes, and doesn't wait for the connections that are still open.
        fleet.end()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)

    def fail(reason):
        print(f"couldn't run: {reason}", file=sys.stderr)
        leave(2)

    async def main():
        fleet.record.note(f"with the disruption: {TROUBLE}")
        await fleet.store.start()
        broken = await case(fleet)
        fleet.record.note(f"the rule was {'broken' if broken else 'kept'}")
        leave(1 if broken else 0)

    signal.signal(signal.SIGTERM, lambda *_: fail("stopped"))
    watchdog = threading.Timer(limit, fail, ["it took too long"])
    watchdog.daemon = True
    watchdog.start()
    try:
        asyncio.run(main())
    except BaseException as error:
        fail(f"{type(error).__name__}: {error}")
