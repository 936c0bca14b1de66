"""Programs that loop until their budget is spent, and two leads that are
killed, each soon after such programs began in its zone."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-2"))
import stand  # noqa: E402

LOOPS = 14
BUDGET = 366
MOST = 36
EVENTS = 11
TOKENS_PER_EVENT = 3


async def at_server(server, method, target, fields, body, reader, writer):
    server.world.record("run", fields["request-id"], "of",
                        fields.get("program-id"), "at", server.name)
    await stand.run_stream(server, fields, writer, EVENTS, 0.02)


class Program:
    def __init__(self, world, name):
        self.world = world
        self.id = name
        self.tries = 0
        self.tokens = 0
        self.ended = ""

    async def attempt(self, zone):
        hosts = [one for one in self.world.entries(zone) if one.running()]
        self.tries += 1
        host = hosts[self.tries % len(hosts)]
        request = stand.new_id()
        reply = await stand.call(host.front, "POST", "/turn/1", {
            "Request-Id": request, "Program-Id": self.id,
            "Session-Id": self.id + "-line", "Deadline-Ms": "5000",
            "Token-Budget": str(BUDGET), "Token-Counts": f"1840,{MOST}",
            "Model": "m", "Prompt-Prefix": "5c1e07a2:800"}, b"x" * 600)
        tokens = 0
        if reply.status == 200:
            tokens = reply.body.count(b"data: ") * TOKENS_PER_EVENT
        self.tokens += tokens
        self.world.record("sent", request, "of", self.id, "to", host.name,
                          "answered", reply.status, "tokens", tokens,
                          "of this program so far", self.tokens)
        return reply

    async def turn(self, zone):
        for _ in range(3):
            for _ in range(2):
                reply = await self.attempt(zone)
                if reply.status == 200 and reply.complete:
                    return
                if reply.status == 402:
                    self.ended = "402"
                    return
                await asyncio.sleep(
                    float(reply.fields.get("retry-after", "0.05")))
            await asyncio.sleep(0.3)
        self.ended = "failed"

    async def loop(self, zone):
        while not self.ended:
            await self.turn(zone)
            await asyncio.sleep(0.25)


async def kill_lead(world, zone):
    """node_kill, how = leader: the process that last wrote to the store under
    a condition; it starts again after a short delay."""
    lead = world.lead_of(zone)
    if lead is None:
        raise stand.CannotRun("no lead")
    lead.kill()
    await asyncio.sleep(1.0)
    lead.start(False)


async def begin(world, programs, zone):
    """They begin within 0.3 s; the lead is killed 0.3 s later."""
    async def one_by_one():
        turns = []
        for program in programs:
            turns.append(asyncio.ensure_future(program.turn(zone)))
            await asyncio.sleep(0.3 / len(programs))
        await asyncio.gather(*turns)
    begun = asyncio.ensure_future(one_by_one())
    await asyncio.sleep(0.6)
    if stand.TROUBLE:
        await kill_lead(world, zone)
    await begun


async def case(world):
    world.zones = ["aarhus-a", "silkeborg-b"]
    for zone in world.zones:
        for number in (1, 2, 3):
            world.add_host(f"edge-{zone}-{number}", zone)
        for number in (1, 2):
            world.add_host(f"storage-{zone}-{number}", zone, "disk")
            name = f"m-{zone}-{number}"
            world.servers[name] = stand.Server(world, name, "sprog-pool", zone,
                                               at_server)
    await world.start(stand.configuration(7, [
        stand.route("turns", "/turn/", "stream", "sprog-pool")],
        [stand.model_service("sprog-pool")]))
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    others = []

    async def usual(zone, number):
        """The usual traffic: programs of three turns with tools between."""
        while True:
            program = Program(world, f"usual-{zone}-{number}-{len(others)}")
            others.append(program)
            for _ in range(3):
                if not program.ended:
                    await program.turn(zone)
                    await asyncio.sleep(2)

    flow = [asyncio.ensure_future(usual(zone, number))
            for zone in world.zones for number in (1, 2)]
    await asyncio.sleep(3)
    loops = [Program(world, f"loop-{number}") for number in range(LOOPS)]
    await begin(world, loops, world.zones[0])
    # They are stopped, and return within retentionS (60 s).
    await asyncio.sleep(11)
    await begin(world, [one for one in loops if not one.ended],
                world.zones[0])
    await asyncio.sleep(2)
    await asyncio.gather(*(one.loop(world.zones[0]) for one in loops))
    for one in flow:
        one.cancel()
    over = 0
    for one in loops:
        over += one.tokens > BUDGET + MOST
        world.record(one.id, "ended with", one.ended, "tokens", one.tokens,
                     "budget", BUDGET, "and one turn's most", MOST)
    world.record("programs over budget and one turn's most:", over, "of",
                 len(loops))
    return over == 0


stand.main(__file__, case)
