"""Stand-ins for the cases of the second review: the platform's store, servers
and clients, all on loopback addresses, and the project's hosts as processes.

Everything in here follows PROTOCOL.md and DEPLOY.md; nothing is disturbed
unless a case says so."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "dotterelshed_entry")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case couldn't be set up; exit code 2."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


TAKEN = set()


def free_port():
    """A port that is free now and wasn't given out before, outside the range
    of outgoing connections."""
    while True:
        port = random.randint(10000, 30000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port


async def read_head(reader):
    """Start line and header fields of a message; None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def answer(status, body=b"", fields=()):
    text = f"HTTP/1.1 {status} S\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, one revision counter."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 24)

    async def put(self, kind, name, spec, status=None):
        old = self.objects.get(kind, {}).get(name)
        if old and old["spec"] == spec and status is None:
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        one = {"metadata": {"name": name, "revision": self.revision,
                            "created": created, "finalizers": [],
                            "deleting": False},
               "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = one
        await self.note(kind, one, False)
        return one

    async def remove(self, kind, name):
        one = self.objects.get(kind, {}).pop(name, None)
        if one:
            self.revision += 1
            one = dict(one, metadata=dict(one["metadata"],
                                          revision=self.revision))
            await self.note(kind, one, True)

    async def note(self, kind, one, removed):
        self.history.append((self.revision, kind,
                             {"removed": removed, "object": one}))
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        return [event for revision, one, event in self.history
                if one == kind and revision > since]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, reply = await self.handle(method, target, body)
                writer.write(answer(status, json.dumps(reply).encode(),
                                    [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(one) for one in path.split("/")[3:]]
        kind = parts[0]
        known = self.objects.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            return await self.read_kind(kind, known, query)
        if method == "GET":
            one = known.get(parts[1])
            return (200, one) if one else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in known:
                return 409, known[name]
            return 200, await self.put(kind, name, sent.get("spec"))
        one = known.get(parts[1])
        if one is None:
            return 404, {}
        wanted = sent.get("metadata", {}).get("revision",
                                              query.get("revision"))
        if wanted is not None and int(wanted) != one["metadata"]["revision"]:
            return 409, one
        if method == "DELETE":
            await self.remove(kind, parts[1])
            return 200, one
        if len(parts) == 3:
            return 200, await self.put(kind, parts[1], one["spec"],
                                       sent.get("status"))
        return 200, await self.put(kind, parts[1], sent.get("spec"))

    async def read_kind(self, kind, known, query):
        if "watch" not in query:
            names = sorted(one for one in known
                           if one > query.get("after", ""))
            items = [known[name] for name in names[:500]]
            return 200, {"items": items, "hasMore": len(names) > 500,
                         "storeRevision": self.revision}
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = self.events(kind, since)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server of a service: registers itself, beats, answers, may crash."""

    def __init__(self, world, name, service, zone, handler, slots=24):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.handler = handler
        self.slots = slots
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.born = 0
        self.seq = 0
        self.up = False
        self.server = None
        self.writers = set()
        self.beats = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 24)
        self.up = True
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while self.up:
            self.seq += 1
            await self.world.store.put("servers", self.name, {
                "service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "coldLeftMs": 0, "seq": self.seq,
                "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, back_s):
        """The process ends: its connections are reset and its port is closed.
        It is back after some seconds, under its id; its entry goes after three
        heartbeats of silence."""
        if not self.up:
            return
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.ensure_future(self.come_back(back_s))

    async def come_back(self, back_s):
        born = self.born
        await asyncio.sleep(min(back_s, 3 * HEARTBEAT_S))
        if back_s > 3 * HEARTBEAT_S:
            await self.world.store.remove("servers", self.name)
            await asyncio.sleep(back_s - 3 * HEARTBEAT_S)
        if self.born == born:
            await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                fields = head[1]
                body = await read_body(reader, fields)
                if target == "/health":
                    writer.write(answer(200, b"", [("Instance-Id",
                                                    self.name)]))
                    continue
                wanted = fields.get("expect-instance", self.name)
                if wanted != self.name:
                    writer.write(answer(421, b"", [("Instance-Id",
                                                    self.name)]))
                    continue
                await self.handler(self, method, target, fields, body, reader,
                                   writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def run_stream(server, fields, writer, events, gap_s):
    """A turn at a model server: events with ids from 1 on, each of three
    tokens (tokensPerEvent); goes on behind Last-Event-Id."""
    first = int(fields.get("last-event-id", "0")) + 1
    writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
                  "Response-Signature: sig\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(first, events + 1):
        text = f"id: {number}\ndata: piece-{number}\n\n".encode()
        writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Host:
    """One host of the project, started as deploy/system.toml says."""

    def __init__(self, world, name, zone, role, settings):
        self.world = world
        self.name = name
        self.zone = zone
        self.role = role
        self.settings = settings
        self.child = None
        self.started_at = 0.0

    @property
    def front(self):
        return self.settings["caller_address"]

    def start(self, first):
        self.settings["first_start"] = first
        file = os.path.join(self.world.folder, self.name + ".jsonc")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        with log:
            self.child = subprocess.Popen(
                [PROGRAM, "--settings", file], stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, cwd=ROOT)
        self.started_at = time.monotonic()
        self.world.record("start", self.name)

    def kill(self):
        self.world.record("SIGKILL", self.name)
        self.child.kill()
        self.child.wait()

    def term(self):
        self.world.record("SIGTERM", self.name)
        self.child.send_signal(signal.SIGTERM)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def clean_up(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store(self.record)
        self.hosts = {}
        self.servers = {}
        self.zones = []

    def settings(self, name, zone, role):
        """What deploy/host.jsonc.in makes of the bounds of vandstand-tavle."""
        def address():
            return f"127.0.0.1:{free_port()}"
        disk = role == "disk"
        folder = os.path.join(self.folder, "data-" + name)
        if disk:
            os.makedirs(folder, exist_ok=True)
        return {
            "role": role, "host": name, "domain": zone, "domains": self.zones,
            "caller_address": "" if disk else address(),
            "ready_address": "" if disk else address(),
            "peer_address": address(), "data_dir": folder if disk else "",
            "first_start": True, "platform_address": self.store.address,
            "stop_grace_s": 8, "view_max_age_ms": 3000,
            "endpoint_heartbeat_ms": 1200, "config_change_ms": 2000,
            "endpoint_leave_ms": 2000,
            "max_descriptors": 8200 if disk else 2870, "tolerated_losses": 1,
            "tolerated_domains": 1, "processor_share": 0.5 if disk else 0.17,
            "obligations": ["base", "drain", "config", "cost", "recover",
                            "agent", "stream", "engine", "platform"],
            "log_level": "info"}

    def add_host(self, name, zone, role="entry"):
        self.hosts[name] = Host(self, name, zone, role,
                                self.settings(name, zone, role))
        return self.hosts[name]

    def entries(self, zone=None):
        return [one for one in self.hosts.values()
                if one.role == "entry" and zone in (None, one.zone)]

    async def start(self, config):
        if not os.path.exists(PROGRAM):
            raise CannotRun("build target/ first")
        await self.store.start()
        await self.store.put("config", "main", config)
        for one in self.servers.values():
            await one.start()
        for one in self.hosts.values():
            one.start(True)
        await self.wait_ready()

    async def wait_ready(self, limit_s=30):
        until = time.monotonic() + limit_s
        for one in self.entries():
            while not await self.is_ready(one):
                if time.monotonic() > until:
                    raise CannotRun(f"{one.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record("all hosts are ready")

    async def is_ready(self, host):
        reply = await call(host.settings["ready_address"], "GET", "/v1/ready",
                           {}, timeout_s=1)
        return reply.status == 200

    def lead_of(self, zone):
        """Host that the store names as the zone's lead: it wrote there last
        under a condition."""
        entry = self.store.objects.get("leads", {}).get(zone)
        return self.hosts.get(entry["spec"]["host"]) if entry else None

    def clean_up(self):
        for one in self.hosts.values():
            one.clean_up()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Reply:
    def __init__(self):
        self.status = 0          # 0: the connection ended without an answer
        self.fields = {}
        self.body = b""
        self.complete = False


def request_text(method, target, fields, body=b""):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode() + body


async def call(address, method, target, fields, body=b"", timeout_s=10):
    """One request on a new connection."""
    reply = Reply()
    fields = {"Host": fields.pop("Host", "desk.example"), **fields,
              "Connection": "close"}
    ip, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), 1)
        writer.write(request_text(method, target, fields, body))
        await asyncio.wait_for(read_reply(reader, reply), timeout_s)
    except (asyncio.TimeoutError, ConnectionError, OSError, ValueError,
            asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    return reply


async def read_reply(reader, reply):
    head = await read_head(reader)
    if head is None:
        return
    reply.fields = head[1]
    reply.status = int(head[0].split(" ")[1])
    if head[1].get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            reply.body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        reply.body = await read_body(reader, head[1])
    reply.complete = True


def new_id():
    return f"{random.getrandbits(64):016x}"


def route(name, prefix, kind, service, **more):
    one = {"name": name, "host": "desk.example", "pathPrefix": prefix,
           "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 400,
           "priority": 1, "service": service, "maxAttempts": 1,
           "retain": False, "retentionS": 60.0, "sticky": kind == "stream",
           "resumable": kind == "stream"}
    one.update(more)
    return one


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"headerBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def model_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 443,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 24, "kvCapacity": 230970,
                       "kvTokenBytes": 18432, "linkMbps": 180000.0,
                       "moves": True, "backups": True, "tokensPerEvent": 3,
                       "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handle_s": 5.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 232,
            "protocol": "h1", "tls": False}


def main(case_file, case):
    """Runs case(world), which returns True if the rule held; ends with 0, 1,
    or 2 if it couldn't run."""
    world = World(os.path.dirname(os.path.abspath(case_file)))
    world.record("TROUBLE", 1 if TROUBLE else 0)

    async def run():
        code = 2
        try:
            held = await asyncio.wait_for(case(world), 100)
            code = 0 if held else 1
        except CannotRun as error:
            world.record("couldn't run:", error)
        except asyncio.TimeoutError:
            world.record("couldn't run: took too long")
        except Exception as error:  # pylint: disable=broad-except
            # A mistake of the case itself says nothing about the rule.
            world.record("couldn't run:", repr(error))
        world.clean_up()
        world.record("exit", code)
        sys.stdout.flush()
        # What the stand-ins still wait for ends with this process.
        os._exit(code)

    asyncio.run(run())
