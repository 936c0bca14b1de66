#!/usr/bin/env python3
"""Not run is true: a retry of a call that ran, whose answer was lost, is never told not_run, through any host, with the platform up or down."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case


def retry(host):
    return caller.call_service(host, "controls", "gates/open", {"gate": 4},
                               key="ran-1")


def main(case):
    desk = case.desk().start()
    for service in desk.controls:
        http_client.set_fault(service, lose_answers=1)
    first = retry(desk.hosts[0])
    assert first.outcome == "unknown", first
    assert desk.runs_of_key("ran-1") == 1
    for host in desk.hosts:
        answer = retry(host)
        assert answer.outcome == "unknown", answer
    http_client.set_fault(desk.platform, outage=True)
    for host in desk.hosts:
        answer = retry(host)
        assert answer.outcome == "unknown", answer
    http_client.set_fault(desk.platform, outage=False)
    for host in desk.hosts:
        answer = retry(host)
        assert answer.outcome == "unknown", answer
    assert desk.runs_of_key("ran-1") == 1
    listed = desk.control("actions")
    assert "ran-1" in listed.stdout, listed.stdout + listed.stderr


if __name__ == "__main__":
    run_case(main)
