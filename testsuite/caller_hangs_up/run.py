#!/usr/bin/env python3
"""A caller that hangs up can ask for its whole answer again on any host; nothing stays open, running or held for one that never comes back."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for


def open_requests(host):
    status = http_client.get_json(host.http, "/admin/status")
    return status["requests"]["callers"] + status["requests"]["open"]


def main(case):
    desk = case.desk(engine_args=["--token-rate", "40", "--load-lag-ms", "0"],
                     idle_limit="3s").start()
    questions = [f"TOKENS 80 for {host.name}" for host in desk.hosts]
    streams = [caller.Stream(host, question, pause_ms=1000)
               for host, question in zip(desk.hosts, questions)]
    for stream in streams:
        stream.read_until(lambda s: len(s.text) > 20)
        stream.close()
    left = streams[0].answer()
    for host in desk.hosts:
        again = caller.until_done(lambda h: caller.ask_again(h, left), [host])
        assert again.text.endswith(questions[0] + "]"), again
        assert again.text.startswith(left.text), (left, again)

    def all_idle():
        loads = [http_client.get_json(e.http, "/v1/load")
                 for e in desk.engines]
        return all(load["running"] + load["waiting"] == 0 for load in loads)

    wait_for(all_idle, "engines have nothing to do any more")
    wait_for(lambda: not desk.held(), "no engine memory stays held")
    wait_for(lambda: not sum(open_requests(h) for h in desk.hosts),
             "no request stays open")
    for host in desk.hosts:
        assert caller.chat(host, "Next.").done


if __name__ == "__main__":
    run_case(main)
