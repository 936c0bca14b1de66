#!/usr/bin/env python3
"""An accepted edit is in force everywhere within seconds: a domain cut off from the platform is reported by name, and has it within 4 s of its return."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import time

from harness.case import run_case
from harness.relay import Relay
from harness.waiting import wait_for

IN_FORCE_LIMIT_S = 4.0


def main(case):
    desk = case.desk()
    desk.start_standins()
    relay = Relay(desk.platform.http)
    case.on_end(relay.close)
    desk.platform_address_of["syd"] = relay.address
    desk.start_hosts()
    desk.apply()
    desk.wait_serving()
    for base, fail in ((1, relay.cut), (2, relay.black_hole)):
        fail()
        path = desk.write_text(shares={"short_calls": f"{20 + base}%",
                                       "retries": "10%", "escrow": "25%"})
        result = desk.control("apply", path, "--wait", "6")
        for host in desk.hosts_in("nord"):
            wait_for(lambda h=host: h.generation() == base + 1, "nord has it")
        behind = [h for h in desk.hosts_in("syd")
                  if h.generation() != base + 1]
        if behind:
            assert result.returncode == 5, result.stdout + result.stderr
            assert "syd" in result.stdout + result.stderr, result.stdout
        relay.heal()
        healed = time.monotonic()
        for host in desk.hosts_in("syd"):
            wait_for(lambda h=host: h.generation() == base + 1, "syd has it")
        taken = time.monotonic() - healed
        print(f"in force {taken:.2f} s after the return")
        assert taken <= IN_FORCE_LIMIT_S, taken
        wait_for(lambda: desk.control("status").returncode in (0, 1), "status")


if __name__ == "__main__":
    run_case(main)
