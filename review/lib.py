"""Stand-ins for the review: the platform's store, replicas, a client, and the daemon's processes.

Only the standard library is used. All addresses are loopback addresses. The stand-ins follow
PROTOCOL.md; what a case makes them do beyond a sound answer is written in the case itself.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-1"
TENANT = "tenant-1"
HOST = "shop.example"


class CannotRun(Exception):
    """The case couldn't run."""


def deploy_command():
    """Returns the command of the deploy file, split at spaces."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run ="):
                return line.split('"')[1].split()
    raise CannotRun("the deploy file has no command")


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()


class Network:
    """Free loopback addresses: a random block of 127.0.0.0/8 for this run."""

    def __init__(self):
        self.block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.last = 1

    def host(self):
        self.last += 1
        return f"{self.block}.{self.last}"


# ---------------------------------------------------------------------------------------------
# HTTP/1.1


async def read_head(reader):
    """Reads a head. Returns its first line and its headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Request:
    def __init__(self, line, headers, body):
        self.method, self.target = line.split(" ")[:2]
        self.path, _, query = self.target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    @property
    def attempt(self):
        return self.headers.get("x-attempt-id", "")


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def response(status, headers=(), body=b""):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A server of HTTP/1.1 connections; `answer` writes the answer to one request and returns
    whether the connection stays open."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((self.host, self.port))
        self.port = self.sock.getsockname()[1]
        self.sock.listen(512)
        self.server = asyncio.create_task(self.accept())

    async def accept(self):
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.sock)
            reader, writer = await asyncio.open_connection(sock=connection, limit=1 << 20)
            asyncio.create_task(self.serve(reader, writer))

    async def drop_opening_packets(self):
        """Fills the queue of new connections, so that further opening packets are dropped."""
        self.server.cancel()
        self.sock.listen(0)
        fillers = []
        while True:
            filler = socket.socket()
            filler.setblocking(False)
            fillers.append(filler)
            try:
                connecting = asyncio.get_running_loop().sock_connect(filler, (self.host, self.port))
                await asyncio.wait_for(connecting, 0.02)
            except asyncio.TimeoutError:
                return fillers

    def take_opening_packets(self, fillers):
        for filler in fillers:
            filler.close()
        self.sock.listen(512)
        self.server = asyncio.create_task(self.accept())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                request = Request(head[0], head[1], await read_body(reader, head[1]))
                if not await self.answer(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def crash(self):
        """Ends as a process that is killed does: the listener first, then the connections."""
        if self.server is not None:
            self.server.cancel()
            self.sock.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    def is_listening(self):
        return self.server is not None


# ---------------------------------------------------------------------------------------------
# The platform's store


class Store:
    """The platform's store."""

    def __init__(self, page_items=500, page_bytes=1_000_000):
        self.items = {}
        self.rev = 100
        self.leases = {}
        self.changed = asyncio.Event()
        self.page_items, self.page_bytes = page_items, page_bytes
        self.compacted = 0

    def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key]["created"] if self.is_present(key) else self.rev
        if isinstance(value, str):
            value = value.encode()
        self.items[key] = {"value": value, "rev": self.rev, "created": created, "lease": lease}
        self.notify()
        return self.rev

    def remove(self, key):
        if self.is_present(key):
            self.rev += 1
            self.items[key] = {"value": None, "rev": self.rev, "created": 0, "lease": 0}
            self.notify()
        return self.rev

    def is_present(self, key):
        return key in self.items and self.items[key]["value"] is not None

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease and item["value"] is not None:
                self.remove(key)


class View(Server):
    """The store at one address."""

    def __init__(self, store, host):
        super().__init__(host)
        self.store = store

    def row(self, key, item):
        if item["value"] is None:
            return {"key": key, "rev": item["rev"], "tombstone": True}
        return {
            "key": key,
            "value": base64.b64encode(item["value"]).decode(),
            "rev": item["rev"],
            "created": item["created"],
            "lease": item["lease"],
        }

    async def answer(self, request, reader, writer):
        status, body = await self.call(request)
        writer.write(
            response(status, [("Content-Type", "application/json")], json.dumps(body))
        )
        await writer.drain()
        return True

    async def call(self, request):
        store, query = self.store, request.query
        store.expire()
        method, path = request.method, request.path
        if (method, path) == ("GET", "/kv-key"):
            key = query["key"]
            if not store.is_present(key):
                return 404, {}
            return 200, {**self.row(key, store.items[key]), "current-rev": store.rev}
        if (method, path) == ("GET", "/kv-range"):
            return self.range(query)
        if (method, path) == ("GET", "/kv-watch"):
            return await self.watch(query)
        body = json.loads(request.body) if request.body else {}
        if (method, path) == ("POST", "/kv-txn"):
            return self.transact(body)
        if (method, path) == ("POST", "/kv-lease"):
            lease = 1000 + len(store.leases) + store.rev
            while lease in store.leases:
                lease += 1
            store.leases[lease] = (time.monotonic() + body["ttl-ms"] / 1e3, body["ttl-ms"])
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else -1
        if lease not in store.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = store.leases[lease][1]
            store.leases[lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"ttl-ms": ttl}
        store.end(lease)
        return 200, {}

    def range(self, query):
        store, after = self.store, query.get("after", "")
        rows, size, more = [], 0, False
        for key in sorted(store.items):
            item = store.items[key]
            if not key.startswith(query["prefix"]) or key <= after or item["value"] is None:
                continue
            if len(rows) == store.page_items or size > store.page_bytes:
                more = True
                break
            rows.append(self.row(key, item))
            size += len(item["value"])
        return 200, {"items": rows, "has-more": more, "current-rev": store.rev}

    async def watch(self, query):
        store, after = self.store, int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1e3
        while True:
            if after < store.compacted:
                return 410, {}
            changed = store.changed
            events = [
                (item["rev"], self.row(key, item))
                for key, item in store.items.items()
                if key.startswith(query["prefix"]) and item["rev"] > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                events = [row for _, row in sorted(events, key=lambda event: event[0])]
                return 200, {"events": events, "current-rev": store.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        store = self.store
        for row in body.get("expected", []):
            rev = store.items[row["key"]]["rev"] if store.is_present(row["key"]) else 0
            if rev != row["rev"]:
                present = [r["key"] for r in body["expected"] if store.is_present(r["key"])]
                return 412, {"items": [self.row(key, store.items[key]) for key in present]}
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in store.leases:
                return 404, {}
        for row in body.get("writes", []):
            store.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            store.remove(key)
        return 200, {"rev": store.rev}


# ---------------------------------------------------------------------------------------------
# Replicas


class Replica(Server):
    """A replica. `run` is the work on a request: a coroutine that writes the answer."""

    def __init__(self, network, name, service, zone, run, record, slots=6):
        super().__init__(network.host())
        self.name, self.service, self.zone = name, service, zone
        self.run, self.record, self.slots = run, record, slots
        self.born = int(time.time() * 1e3)

    def entry(self, state="ready"):
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold-left-ms": 0,
                "seq": 0,
                "born": self.born,
            }
        )

    def seal(self, request):
        return [
            ("X-Attempt-Id", request.attempt),
            ("X-Replica-Seal", f"seal.{self.name}.{request.attempt}"),
        ]

    async def answer(self, request, reader, writer):
        if request.path == "/health":
            writer.write(response(200, [("X-Replica-Id", self.name)]))
            await writer.drain()
            return True
        expected = request.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            self.record(f"{self.name} rejects {request.attempt} with 421: not {expected}")
            writer.write(response(421, [("X-Replica-Id", self.name)]))
            await writer.drain()
            return True
        self.record(f"{self.name} runs {request.attempt} {request.method} {request.target}")
        return await self.run(self, request, reader, writer)


def configuration(version, routes, services):
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "header-bytes": 16384,
                "body-bytes": 4194304,
                "header-ms": 3000,
                "idle-ms": 15000,
            },
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
        }
    )


# ---------------------------------------------------------------------------------------------
# Entry daemons


class Node:
    """An entry host with its daemon, started with the command of the deploy file."""

    all = []

    def __init__(self, network, name, zone, folder, record):
        self.name, self.zone, self.folder, self.record = name, zone, folder, record
        self.ip = network.host()
        self.process = None
        self.is_first_start = True
        Node.all.append(self)

    def address(self, port):
        return f"{self.ip}:{port}"

    def write_settings(self, store, seeds, zones):
        self.file = os.path.join(self.folder, f"{self.name}.json")
        settings = {
            "node": self.name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": {zone: "region" for zone in zones},
            "listen": {
                "front": self.address(8227),
                "ready": self.address(8220),
                "control": self.address(8229),
                "directory": self.address(8224),
            },
            "port-range": [7340, 7355],
            "seeds": [seed.address(8229) for seed in seeds],
            "bootstrap": self.is_first_start,
            "tolerance-member": False,
            "limits": {
                "cpu-share": 0.25,
                "cores": 1,
                "memory-mb": 260,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "directory",
            "beat-ms": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                "tenants", "places", "platform", "spans",
            ],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
                "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
                "config-ms": 2000, "revert-ms": 250, "stretch-ms": 5000, "strict-revoke": False,
                "revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10,
                "budget-extra": 106, "cold-excess": 1.5, "cold-slack": 5, "evac-ms": 5000,
                "recover-s": 12, "pass-ms": 120, "retry-after-s": 0, "stall_ms": 1500,
                "hold-max-ms": 20000, "free-ms": 4000, "idle-max-ms": 9000, "ttl_max_s": 5,
            },
            "platform": {
                "address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000,
                "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000,
            },
        }
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HICKORYRUN_NODE_FILE"] = self.file
        command = deploy_command()
        try:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        except OSError as error:
            raise CannotRun(f"{command[0]}: {error}") from error
        self.record(f"{self.name} started as process {self.process.pid} at {self.address(8227)}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def wait(self):
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        answer = await call(self.address(8220), "GET", "/ready", timeout=1)
        return answer.status == 200

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended by itself")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready after {limit} s")

    async def metric(self, name):
        answer = await call(self.address(9464), "GET", "/metrics", timeout=2)
        total = 0.0
        for line in answer.body.decode(errors="replace").splitlines():
            if line.startswith(name):
                total += float(line.rsplit(" ", 1)[1])
        return total


# ---------------------------------------------------------------------------------------------
# Clients


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.end = ""

    def __str__(self):
        end = "complete" if self.is_complete else f"not complete ({self.end})"
        return f"status {self.status or 'none'}, {len(self.body)} bytes, {end}"


async def call(address, method, target, headers=(), body=b"", timeout=10, connect_timeout=1):
    """Sends a request on a connection of its own and reads the answer."""
    answer = Answer()
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), connect_timeout
        )
    except (OSError, asyncio.TimeoutError) as error:
        answer.end = f"no connection: {type(error).__name__}"
        return answer
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if not any(name == "Host" for name, _ in headers):
            lines.append(f"Host: {HOST}")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, answer), timeout)
    except asyncio.TimeoutError:
        answer.end = "no further bytes in time"
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        answer.end = f"connection ended: {type(error).__name__}"
    finally:
        writer.close()
    return answer


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readexactly(2)
                break
            answer.body += (await reader.readexactly(size + 2))[:-2]
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        while len(answer.body) < length:
            data = await reader.read(min(65536, length - len(answer.body)))
            if not data:
                raise ConnectionResetError
            answer.body += data
    else:
        while data := await reader.read(65536):
            answer.body += data
    answer.is_complete = True


def client_headers(attempt, deadline_ms, extra=()):
    return [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("X-Credential", KEY),
        *extra,
    ]


# ---------------------------------------------------------------------------------------------


async def end_all(record):
    for node in Node.all:
        if node.process is not None and node.process.returncode is None:
            node.process.send_signal(signal.SIGCONT)
            node.process.kill()
    for node in Node.all:
        await node.wait()
    record("all processes ended")


def main(folder, case):
    """Runs a case: a coroutine that gets a temporary folder and the record and returns a list of
    violations. Exits with 1 if there are any, with 0 if not, and with 2 if it couldn't run."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")

    async def run():
        try:
            return await asyncio.wait_for(case(temporary, record), 110)
        finally:
            await end_all(record)

    try:
        violations = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record(f"the case couldn't run: {type(error).__name__} {error}")
        print(f"couldn't run: {type(error).__name__} {error}")
        sys.exit(2)
    finally:
        if os.environ.get("KEEP"):
            print(f"logs: {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    for violation in violations:
        record(f"BROKEN {violation}")
        print(f"BROKEN {violation}")
    record("rule broken" if violations else "rule held")
    print("rule broken" if violations else "rule held")
    sys.exit(1 if violations else 0)
