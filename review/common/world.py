"""Stand-ins and process control for the review's scripts.

A small deployment on loopback: the platform's store, servers and clients are
stand-ins in this process; the hosts are the project's own programs, started
with the commands and the settings template of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/dotterelshed/boot.toml"
HEARTBEAT_MS = 1200
# Bounds of the sites under sites/.
BOUNDS = {"contactMs": 3000, "graceS": 8, "configMs": 2000, "drainMs": 2000}
MAX_RUN_S = 115

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{time.monotonic() - self._start:8.3f} {what} {text}"
        self._file.write(line.rstrip() + "\n")
        self._file.flush()


# Below the range from which Linux takes the ports of outgoing connections, so
# that a host that starts again finds its ports free.
PORTS = (12000, 32000)
# Ports that were handed out, so that none is handed out twice.
_taken_ports = set()
# Not the seeded generator of a case: several may run at once.
_port_draw = random.SystemRandom()


def free_port():
    for _ in range(1000):
        port = _port_draw.randrange(*PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port
    raise CannotRun("no free port")


# HTTP.


class Message:
    """A request or response: first line, header fields in lower case, body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in lines:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_message(reader):
    first, fields = await read_head(reader)
    if fields.get("transfer-encoding", "") == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(first, fields, body)


def head_bytes(status, fields):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, fields, body=b""):
    return head_bytes(status, {**fields, "Content-Length": len(body)}) + body


# The platform's store.


class StorePort:
    """One host's way to the store."""

    def __init__(self, store):
        self.store = store
        self.port = free_port()
        # Calls get no answer, and what was asked is not done.
        self.silent = False

    async def start(self):
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if self.silent:
                    await asyncio.sleep(3600)
                status, body = await self.store.handle(request)
                if self.silent:
                    await asyncio.sleep(3600)
                writer.write(
                    answer_bytes(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Store:
    """Objects by kind and name with one revision counter."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.ports = {}

    async def add_port(self, host):
        port = StorePort(self)
        await port.start()
        self.ports[host] = port
        return port

    def find(self, kind, name):
        return self.objects.get(kind, {}).get(name)

    async def put(self, kind, name, spec):
        """A write of the operator or of a server."""
        known = self.find(kind, name)
        if known is not None and known["spec"] == spec:
            return
        await self._write(kind, name, {"spec": spec})

    async def remove(self, kind, name):
        removed = self.objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self.history.append((self.revision, kind, removed, True))
            async with self.changed:
                self.changed.notify_all()

    async def _write(self, kind, name, change):
        self.revision += 1
        known = self.find(kind, name)
        created = known["metadata"]["created"] if known else self.revision
        made = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": known["spec"] if known else None,
            "status": known["status"] if known else None,
            **change,
        }
        self.objects.setdefault(kind, {})[name] = made
        self.history.append((self.revision, kind, made, False))
        async with self.changed:
            self.changed.notify_all()
        return made

    async def handle(self, request):
        path, _, query = request.target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        body = json.loads(request.body) if request.body else {}
        if request.method == "GET" and name:
            found = self.find(kind, name)
            return (200, found) if found else (404, {})
        if request.method == "GET" and "watch" in query:
            since = int(query["watch"])
            return await self._watch(kind, since, int(query.get("waitMs", 0)))
        if request.method == "GET":
            names = sorted(self.objects.get(kind, {}))
            items = [self.objects[kind][one] for one in names
                     if one > query.get("after", "")]
            return 200, {
                "items": items,
                "hasMore": False,
                "storeRevision": self.revision,
            }
        if request.method == "POST":
            name = body["metadata"]["name"]
            if self.find(kind, name):
                return 409, self.find(kind, name)
            return 200, await self._write(kind, name, {"spec": body["spec"]})
        if request.method == "PUT":
            return await self._replace(kind, name, parts, body)
        return 404, {}

    async def _replace(self, kind, name, parts, body):
        known = self.find(kind, name)
        if known is None:
            return 404, {}
        revision = body.get("metadata", {}).get("revision")
        if revision is not None and revision != known["metadata"]["revision"]:
            return 409, known
        part = "status" if parts[2:] == ["status"] else "spec"
        if known[part] == body.get(part):
            return 200, known
        return 200, await self._write(kind, name, {part: body.get(part)})

    async def _watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": changed, "removed": removed}
                for revision, one, changed, removed in self.history
                if one == kind and revision > since
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# Servers.


class Server:
    """A server of a service: registers itself and answers requests.

    Subclasses give `run`, which answers a request that the server works on.
    """

    def __init__(self, world, name, service, zone, slots, queue=192):
        self.world = world
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.places = asyncio.Semaphore(slots)
        self.port = free_port()
        self.born = int(time.time() * 1000)
        # Requests that run or wait.
        self.taken = 0
        self.seq = 0

    async def start(self):
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        await self._register()
        self.world.spawn(self._beat())

    def entry(self):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def _register(self):
        self.seq += 1
        await self.world.store.put("servers", self.id, self.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            await self._register()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        own = {"Instance-Id": self.id}
        if request.target == "/health":
            writer.write(answer_bytes(200, own))
            return
        own["Request-Id"] = request.fields.get("request-id", "")
        if request.fields.get("expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, own))
            return
        if self.taken >= self.slots + self.queue:
            self.world.record("server_full", server=self.id,
                              request=own["Request-Id"])
            writer.write(answer_bytes(503, {**own, "Not-Executed": "1"}))
            return
        self.taken += 1
        try:
            async with self.places:
                self.world.record("run", server=self.id,
                                  request=own["Request-Id"])
                self.world.runs.append((own["Request-Id"], self.id))
                await self.run(request, writer, own)
        finally:
            self.taken -= 1

    async def run(self, request, writer, own):
        raise NotImplementedError


async def send_events(writer, own, request, events, gap_s):
    """Streams `events` events with ids from 1, after a Last-Event-Id."""
    first = int(request.fields.get("last-event-id", "0")) + 1
    writer.write(
        head_bytes(
            200,
            {
                **own,
                "Response-Signature": "sig." + own["Request-Id"],
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
    )
    for number in range(first, events + 1):
        await asyncio.sleep(gap_s)
        event = f"id: {number}\ndata: e{number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


# Hosts.


def render(template, fields):
    """Fills in the template as DEPLOY.md says, as far as ours needs it."""

    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if value else None
            if value is None:
                return None
        return value

    def section(match):
        present = bool(find(match[2]))
        return match[3] if present == (match[1] == "#") else ""

    def value(match):
        path, _, form = match[1].partition("|")
        found = find(path)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])(\w+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


class Host:
    """A process of the project."""

    def __init__(self, world, name, zone, disk):
        self.world = world
        self.name = name
        self.zone = zone
        self.disk = disk
        self.process = None
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.peer_port = free_port()
        self.started = False

    async def start(self):
        kind = "disk" if self.disk else "entry"
        role = self.world.deploy["roles"][kind]
        store = self.world.store.ports.get(self.name)
        if store is None:
            store = await self.world.store.add_port(self.name)
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "portRange": [self.peer_port, self.peer_port],
            "bootstrap": not self.started,
            "heartbeatMs": HEARTBEAT_MS,
            "listen": {} if self.disk else
            {"front": self.front, "readyAddr": self.ready},
            "limits": {"cpuShare": 0.17, "maxFds": 2870},
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{store.port}"},
        }
        folder = self.world.folder / self.name
        folder.mkdir(exist_ok=True)
        if self.disk:
            data = folder / "data"
            data.mkdir(exist_ok=True)
            fields["dataDir"] = str(data)
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = folder / "settings.jsonc"
        settings.write_text(render(template, fields), encoding="utf-8")
        words = [str(settings) if word == SETTINGS_PATH else word
                 for word in shlex.split(role["run"])]
        words[0] = str(ROOT / words[0])
        if not Path(words[0]).exists():
            raise CannotRun(f"{words[0]} has not been built")
        log = open(folder / "log.txt", "ab")
        self.process = subprocess.Popen(
            words, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.started = True
        self.world.record("host_start", host=self.name)

    def signal(self, number):
        self.world.record("host_signal", host=self.name,
                          signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def ended(self):
        return self.process is not None and self.process.poll() is not None

    async def is_ready(self):
        address, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


# The whole deployment.


class World:
    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="dotterelshed-review-"))
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.deploy = tomllib.load(file)
        self.store = Store(self.record)
        self.hosts = {}
        self.runs = []
        self.tasks = []
        self.sent = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def add_host(self, name, zone, disk=False):
        host = Host(self, name, zone, disk)
        self.hosts[name] = host
        await host.start()
        return host

    async def wait_until(self, condition, seconds, what):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            met = condition()
            if asyncio.iscoroutine(met):
                met = await met
            if met:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"waited {seconds} s in vain: {what}")

    async def wait_ready(self, hosts):
        for host in hosts:
            await self.wait_until(host.is_ready, 20, f"{host.name} is ready")
            self.record("host_ready", host=host.name)

    def lead_of(self, zone):
        entry = self.store.find("leads", zone)
        return entry["spec"]["host"] if entry else None

    def find_ledger(self, zone):
        return self.store.find("ledgers", zone)

    def request_id(self):
        self.sent += 1
        return f"{os.getpid():06x}{self.sent:06x}"

    def end(self):
        for host in self.hosts.values():
            if host.process is not None and not host.ended():
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: a status or 0, the tokens of a stream's events."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.events = 0
        self.whole = False


async def exchange(reader, writer, data, answer):
    writer.write(data)
    first, answer.fields = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if answer.fields.get("transfer-encoding") == "chunked":
        async for chunk in read_chunks(reader):
            answer.body += chunk
            answer.events = answer.body.count(b"\n\n")
    else:
        length = int(answer.fields.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        answer.events = answer.body.count(b"\n\n")
    answer.whole = True


async def send(world, host, method, path, fields, body=b"", timeout=6.0):
    """Sends one client attempt on a new connection."""
    answer = Answer()
    address, port = host.front.split(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    request = fields["Request-Id"]
    world.record("sent", host=host.name, request=request)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(address, int(port)), 1)
        await asyncio.wait_for(exchange(reader, writer, data, answer), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    world.record("answered", host=host.name, request=request,
                 status=answer.status, events=answer.events,
                 whole=answer.whole)
    return answer


def main(case_folder, case):
    """Runs `case(world)`, which returns a description of the breach or None."""

    async def run():
        world = World(case_folder)
        try:
            breach = await asyncio.wait_for(case(world), MAX_RUN_S)
            world.record("result", broken=breach or "no")
            return breach
        finally:
            for task in world.tasks:
                task.cancel()
            world.end()

    # SIGTERM ends the hosts too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breach = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"could not run: {error or 'took too long'}")
        sys.exit(2)
    print(breach or "held")
    sys.exit(1 if breach else 0)
