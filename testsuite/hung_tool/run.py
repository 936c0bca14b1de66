#!/usr/bin/env python3
"""A plain service that hangs costs its callers no more than the service's timeout: a repeatable call ends as failed or unknown, one that must run at most once as unknown and listed; the program goes on, and nothing is left running."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import json
import time

from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for

DEADLINE_MS = 8000


def set_hanging(desk, hang):
    for service in desk.controls + desk.dashboards:
        http_client.set_fault(service, hang=hang)


def ended_in_time(call):
    """The answer of call(), which must come within the call's deadline."""
    started = time.monotonic()
    answer = call()
    took = time.monotonic() - started
    assert took * 1000 < DEADLINE_MS, (took, answer)
    return answer


def open_requests(host):
    status = http_client.get_json(host.http, "/admin/status")
    return status["requests"]["callers"] + status["requests"]["open"]


def main(case):
    desk = case.desk(plain_timeout="1s").start()
    entry = desk.hosts[0]
    question = "Is the gate open?"
    first = caller.until_done(lambda h: caller.chat(h, question), [entry])
    set_hanging(desk, True)

    read = ended_in_time(lambda: caller.call_service(
        entry, "dashboards", "level", {"gate": 4}, token=first.token,
        deadline_ms=DEADLINE_MS))
    assert read.outcome in ("failed", "unknown"), read
    assert read.reason in ("timed_out", "endpoint_error"), read
    token = read.token or first.token

    act = ended_in_time(lambda: caller.call_service(
        entry, "controls", "gates/open", {"gate": 4}, token=token,
        key="hung-1", deadline_ms=DEADLINE_MS))
    assert act.outcome == "unknown", act
    listed = json.loads(desk.control("actions", "--json").stdout)
    assert any(c["key"].endswith("hung-1") for c in listed), listed

    set_hanging(desk, False)
    repeat = caller.call_service(entry, "controls", "gates/open", {"gate": 4},
                                 key="hung-1")
    assert repeat.outcome == "unknown", repeat
    assert desk.runs_of_key("hung-1") == 1, "sent again"

    token = act.token or token
    messages = [{"role": "user", "content": question},
                {"role": "assistant", "content": first.text},
                {"role": "user", "content": "And without the tool?"}]
    go_on = caller.until_done(
        lambda h: caller.chat(h, messages, token=token), desk.hosts_in("nord"))
    assert go_on.program == first.program, go_on
    assert go_on.text == caller.expected_text(desk.engines[0], messages,
                                              max_tokens=400), go_on
    for host in desk.hosts:
        wait_for(lambda h=host: not open_requests(h),
                 f"{host.name} has no open request")
    codes = desk.stop_hosts()
    assert set(codes.values()) == {0}, codes


if __name__ == "__main__":
    run_case(main)
