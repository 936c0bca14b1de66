#!/usr/bin/env python3
"""A caller that hangs up leaves nothing running and no engine memory behind."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for


def main(case):
    desk = case.desk(engine_args=["--token-rate", "20", "--load-lag-ms", "0"],
                     idle_limit="3s").start()
    streams = [caller.Stream(host, f"TOKENS 3000 for {i}", pause_ms=1000)
               for i, host in enumerate(desk.hosts)]
    for stream in streams:
        stream.read_until(lambda s: s.text)
    for stream in streams:
        stream.close()

    def all_idle():
        loads = [http_client.get_json(e.http, "/v1/load")
                 for e in desk.engines]
        return all(load["running"] + load["waiting"] == 0 for load in loads)

    wait_for(all_idle, "engines stop generating for callers that left")
    wait_for(lambda: not desk.held(), "no engine memory stays held")
    for host in desk.hosts:
        assert caller.chat(host, "Next.").done


if __name__ == "__main__":
    run_case(main)
