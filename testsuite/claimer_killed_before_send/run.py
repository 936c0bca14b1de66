#!/usr/bin/env python3
"""A call claimed by a host that died before sending never runs twice, and shows as unknown rather than silently not at all."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import threading

from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for


def lanes_hold(desk, key):
    """True once the platform has a claim under the key."""
    items = http_client.get_json(
        desk.platform.http, "/apis/dotterelshed/v1/lanes")["items"]
    return any(key in str(item["spec"]) for item in items)


def main(case):
    desk = case.desk().start()
    primary, entry = desk.primary_of("nord"), desk.holder_of("nord")
    rest = [h for h in desk.hosts if h is not primary]
    http_client.set_fault(desk.platform, lose_answers=1, lose_by="hang",
                          lose_kind="lanes")

    def call():
        try:
            caller.call_service(entry, "controls", "gates/open", {"gate": 2},
                                key="claimed-1")
        except OSError:
            pass

    thread = threading.Thread(target=call)
    thread.start()
    wait_for(lambda: lanes_hold(desk, "claimed-1"), "the claim is written")
    primary.kill()
    thread.join()
    wait_for(lambda: desk.primary_of("nord") is not primary,
             "another primary takes over")
    sent = desk.runs_of_key("claimed-1")
    assert sent <= 1, sent
    for host in rest * 2:
        again = caller.call_service(host, "controls", "gates/open",
                                    {"gate": 2}, key="claimed-1")
        assert again.outcome != "not_run", again
    assert desk.runs_of_key("claimed-1") == sent
    listed = desk.control("actions")
    assert sent == 1 or "claimed-1" in listed.stdout, listed.stdout


if __name__ == "__main__":
    run_case(main)
