"""A program's token budget where one storage machine is all there is.

The store turns the lead away. The lead records what it grants on the only disk
host. That one ends and starts again, and the zone gets a new lead meanwhile.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from common import world as w  # noqa: E402

BUDGET = 1080
TURN_MOST = 135
TOKENS_PER_EVENT = 3
EVENTS = TURN_MOST // TOKENS_PER_EVENT
EVENT_GAP_S = 0.005
SUB_AGENTS = 3
ZONES = ["zone-a"]
# Leads give no advance on unknown programs before this time.
SETTLE_S = 9
# From the start of the store's silence.
DISKS_DARK_AT_S = 1.8
DISKS_DARK_S = 2.8
STORE_SILENT_S = 7.0
PROGRAM_S = 16.0

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-turns", "host": "desk.example", "pathPrefix": "/turns/",
            "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 200,
            "priority": 0, "service": "engine", "maxAttempts": 1,
            "retain": False, "retentionS": 60.0, "sticky": True,
            "resumable": True, "targetGapMs": 300,
        }
    ],
    "services": [
        {
            "name": "engine", "healthPath": "/health", "maxConns": 720,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvCapacity": 356136,
                       "tokensPerEvent": TOKENS_PER_EVENT},
        }
    ],
    "limits": {"headerBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


class Engine(w.Server):
    async def run(self, request, writer, own):
        await w.send_events(writer, own, request, EVENTS, EVENT_GAP_S)


class Program:
    """A program that loops without end; counts the tokens that it got."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.tokens = 0
        self.refused = 0

    async def turn(self, hosts):
        for host in hosts:
            answer = await w.send(
                self.world, host, "POST", "/turns/1",
                {
                    "Host": "desk.example",
                    "Request-Id": self.world.request_id(),
                    "Program-Id": self.name,
                    "Session-Id": self.name + "1",
                    "Finish-Ms": 30000,
                    "Model": "m",
                    "Token-Budget": BUDGET,
                    "Token-Counts": f"1840,{TURN_MOST}",
                    "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410",
                    "Deadline-Ms": 5000,
                }, b"p" * 5000)
            self.tokens += answer.events * TOKENS_PER_EVENT
            if answer.status == 402:
                self.refused += 1
            if answer.status not in (0, 503):
                return

    async def loop(self, hosts, seconds):
        """Sub-agents that run turns side by side until the time is over."""
        async def agent():
            end = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < end:
                before = self.refused
                await self.turn(hosts)
                await asyncio.sleep(0.3 if self.refused > before else 0.02)
        await asyncio.gather(*(agent() for _ in range(SUB_AGENTS)))


async def case(world):
    await world.store.put("config", "main", CONFIG)
    for number, zone in enumerate(ZONES):
        await Engine(world, f"i-{number}", "engine", zone, 64).start()
    disks = [await world.add_host(f"storage-{zone}", zone, disk=True)
             for zone in ZONES]
    await asyncio.sleep(0.5)
    entries = [await world.add_host(f"edge-{zone}-1", zone) for zone in ZONES]
    entries += [await world.add_host(f"edge-zone-a-{n}", "zone-a")
                for n in (2, 3)]
    await world.wait_ready(entries)
    await world.wait_until(
        lambda: all(world.find_ledger(zone) for zone in ZONES), 20,
        "each zone has a lead")
    await asyncio.sleep(SETTLE_S)
    lead = world.lead_of("zone-a")
    hosts = [host for host in entries
             if host.zone == "zone-a" and host.name != lead]
    world.record("lead", zone="zone-a", host=lead)

    program = Program(world, "3fa81c")
    await program.turn(hosts)
    await world.wait_until(
        lambda: program.name in
        world.find_ledger("zone-a")["spec"]["bounds"], 5,
        "the program is on record")
    await asyncio.sleep(1.5)
    world.record("on_record",
                 bound=world.find_ledger("zone-a")["spec"]["bounds"]
                 [program.name])

    async def trouble():
        port = world.store.ports[lead]
        port.silent = True
        world.record("store_silent", host=lead)
        await asyncio.sleep(DISKS_DARK_AT_S)
        for disk in disks:
            disk.kill()
        await asyncio.sleep(DISKS_DARK_S)
        for disk in disks:
            await disk.start()
        await asyncio.sleep(STORE_SILENT_S - DISKS_DARK_AT_S - DISKS_DARK_S)
        port.silent = False
        world.record("store_back", host=lead)

    if w.TROUBLE:
        world.spawn(trouble())
    await program.loop(hosts, PROGRAM_S)
    world.record("tokens", handed=program.tokens, budget=BUDGET,
                 turn_most=TURN_MOST, refused=program.refused,
                 lead_then=world.lead_of("zone-a"))
    if program.tokens < BUDGET // 2:
        raise w.CannotRun(f"the program got {program.tokens} tokens only")
    if program.tokens > BUDGET + TURN_MOST:
        return (f"BUDGET: {program.tokens} tokens were handed out, "
                f"at most {BUDGET} + {TURN_MOST} may be")
    return None


w.main(HERE, case)
