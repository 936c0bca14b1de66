#!/usr/bin/env python3
"""A non-idempotent call runs at most once and is never silently dropped: killed after the send, it is unknown to caller and operator and is not sent again."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import threading

from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for


def main(case):
    desk = case.desk().start()
    for service in desk.controls:
        http_client.set_fault(service, hang=True)
    primary = desk.primary_of("nord")
    rest = [h for h in desk.hosts if h is not primary]
    entry = desk.holder_of("nord")
    answers = []

    def call():
        try:
            answers.append(caller.call_service(
                entry, "controls", "gates/open", {"gate": 2}, key="sent-1"))
        except OSError as error:
            answers.append(error)

    thread = threading.Thread(target=call)
    thread.start()
    wait_for(lambda: desk.runs_of_key("sent-1") == 1, "the call ran")
    primary.kill()
    thread.join()
    first = answers[0]
    if isinstance(first, caller.Answer):
        assert first.outcome == "unknown", first
    wait_for(lambda: desk.primary_of("nord") is not primary,
             "another primary takes over")
    for service in desk.controls:
        http_client.set_fault(service, hang=False)
    for host in rest:
        again = caller.call_service(host, "controls", "gates/open",
                                    {"gate": 2}, key="sent-1")
        assert again.outcome == "unknown", again
    assert desk.runs_of_key("sent-1") == 1
    listed = desk.control("actions")
    assert "sent-1" in listed.stdout, listed.stdout + listed.stderr


if __name__ == "__main__":
    run_case(main)
