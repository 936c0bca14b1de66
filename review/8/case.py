"""A host that the store serves again goes on with an old list of servers while
the leads of its zone stand still, one after the other."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(
    os.path.dirname(__file__), "..", "common-2"))
import stand  # noqa: E402

ZONE = "aarhus-a"
HOSTS = 7
AWAY = 3
AWAY_S = 7.0
FREEZE_S = 1.5
CONTACT_S = 3.0
DRAIN_S = 2.0
WATCHED_TURN_S = 0.8
TURN_S = 0.1


class Store(stand.Store):
    """Turns some callers away with a reset: those that connect to a port of
    its own."""

    def __init__(self, record):
        super().__init__(record)
        self.other_port = stand.free_port()
        self.away = False
        self.on_lead = None
        self.other_writers = set()

    async def start(self):
        await super().start()
        await asyncio.start_server(self.serve_other, "127.0.0.1",
                                   self.other_port, limit=1 << 24)

    async def serve_other(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.other_writers.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self.other_writers.discard(writer)

    def turn_away(self):
        self.away = True
        for writer in list(self.other_writers):
            writer.transport.abort()

    async def handle(self, method, target, body):
        status, reply = await super().handle(method, target, body)
        if status == 200 and method in ("PUT", "POST") and "/leads" in target:
            self.record("claimed by", reply["spec"]["host"])
            if self.on_lead:
                self.on_lead(reply["spec"]["host"])
        return status, reply


async def turn_at_server(server, method, target, fields, body, reader, writer):
    await stand.run_stream(server, fields, writer, 11, 0.02)


runs = []


async def tool_at_server(server, method, target, fields, body, reader, writer):
    runs.append((server.world.record.now(), server.name,
                 fields["request-id"]))
    server.world.record("run", fields["request-id"], "at", server.name)
    await asyncio.sleep(0.02)
    writer.write(stand.answer(200, b"level", [
        ("Request-Id", fields["request-id"]), ("Response-Signature", "sig")]))


class Leaving(stand.Server):
    """Reports that it leaves, and goes on serving for the rest of the run: a
    server may do so for many seconds."""

    async def leave(self):
        self.beats.cancel()
        entry = self.world.store.objects["servers"][self.name]["spec"]
        await self.world.store.put("servers", self.name,
                                   dict(entry, state="draining"))
        self.world.record("acknowledged:", self.name, "is draining")


def make_world(world):
    """Two zones, the first of seven hosts as aarhus-a. The last three of them,
    and they alone, reach the store by the port at which they may be turned
    away."""
    world.zones = [ZONE, "silkeborg-b"]
    for number in range(1, HOSTS + 1):
        world.add_host(f"edge-{ZONE}-{number}", ZONE)
    world.add_host("edge-silkeborg-b-1", "silkeborg-b")
    for zone in world.zones:
        world.add_host(f"storage-{zone}-1", zone, "disk")
        for number in (1, 2):
            name = f"m-{zone}-{number}"
            world.servers[name] = stand.Server(world, name, "sprog-pool", zone,
                                               turn_at_server)
    for number in (1, 2):
        name = f"t-{number}"
        world.servers[name] = Leaving(world, name, "tavle-app", ZONE,
                                      tool_at_server, 6)
    watched = [world.hosts[f"edge-{ZONE}-{number}"]
               for number in range(HOSTS - AWAY + 1, HOSTS + 1)]
    for one in watched:
        one.settings["platform_address"] = \
            f"127.0.0.1:{world.store.other_port}"
    return watched


class Traffic:
    """Turns through the hosts of the zone; calls of a tool through those that
    are watched, and through no other."""

    def __init__(self, world, watched):
        self.world = world
        self.watched = watched
        self.going = True
        self.count = 0
        self.sent = {}
        self.tasks = [asyncio.ensure_future(self.turns(one))
                      for one in world.entries(ZONE)]
        self.tasks += [asyncio.ensure_future(self.tools(one))
                       for one in watched]

    async def turns(self, host):
        pause = WATCHED_TURN_S if host in self.watched else TURN_S
        while self.going:
            self.count += 1
            asyncio.ensure_future(stand.call(host.front, "POST", "/turn/1", {
                "Request-Id": stand.new_id(),
                "Program-Id": f"program-{self.count}", "Session-Id": "77d20b",
                "Deadline-Ms": "5000", "Token-Budget": "366",
                "Token-Counts": "1840,36", "Model": "m"}, b"x" * 600, 6))
            await asyncio.sleep(pause)

    async def tools(self, host):
        while self.going:
            request = stand.new_id()
            self.sent[request] = (self.world.record.now(), host.name)
            reply = await stand.call(host.front, "GET", "/level/1", {
                "Request-Id": request, "Deadline-Ms": "2000"})
            self.world.record("sent", request, "to", host.name,
                              "answered", reply.status)
            await asyncio.sleep(0.1)


async def case(world):
    world.store = Store(world.record)
    watched = make_world(world)
    await world.start(stand.configuration(7, [
        stand.route("turns", "/turn/", "stream", "sprog-pool"),
        stand.route("levels", "/level/", "safe", "tavle-app")],
        [stand.model_service("sprog-pool"), stand.plain_service("tavle-app")]))
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    loop = asyncio.get_event_loop()
    traffic = Traffic(world, watched)
    await asyncio.sleep(2)

    frozen = set()

    def freeze(name):
        """node_freeze, how = leader: the host that has just written."""
        host = world.hosts.get(name)
        if host is None or host.zone != ZONE:
            return
        frozen.add(name)
        world.record("SIGSTOP", name)
        host.child.send_signal(signal.SIGSTOP)

        def wake():
            world.record("SIGCONT", name)
            host.child.send_signal(signal.SIGCONT)
        loop.call_later(FREEZE_S, wake)

    if stand.TROUBLE:
        world.record("the store turns away:",
                     *(one.name for one in watched))
        world.store.turn_away()
        await asyncio.sleep(AWAY_S - 1)
        world.store.on_lead = lambda name: loop.call_later(0.02, freeze, name)
        freeze(world.lead_of(ZONE).name)
        await asyncio.sleep(1)
        world.store.away = False
    back_at = world.record.now()
    world.record("the store serves all")
    # In touch, and the store stable, after contactMs.
    await asyncio.sleep(CONTACT_S + 0.2)
    await world.servers["t-1"].leave()
    acked_at = world.record.now()
    await asyncio.sleep(DRAIN_S + 2)
    world.store.on_lead = None
    await asyncio.sleep(FREEZE_S + 1)
    traffic.going = False
    # Only hosts that never stood still, and requests sent to them later than
    # contactMs after the store served them again.
    calm = {one.name for one in watched} - frozen
    late = []
    for at, server, request in runs:
        sent_at, host = traffic.sent.get(request, (0, ""))
        if server == "t-1" and at > acked_at + DRAIN_S and host in calm \
                and sent_at > back_at + CONTACT_S:
            late.append(f"{host} {at - acked_at:.2f}")
            world.record("late:", request, "by", host, f"{at - acked_at:.2f}")
    world.record("hosts in touch all the while:", *sorted(calm))
    world.record("runs later than drainMs after the acknowledgement:",
                 len(late), "by", *sorted({one.split()[0] for one in late}),
                 "until", max((float(one.split()[1]) for one in late),
                              default=0))
    if not calm:
        raise stand.CannotRun("each watched host became lead")
    for one in traffic.tasks:
        one.cancel()
    await asyncio.sleep(0.1)
    return not late


stand.main(__file__, case)
