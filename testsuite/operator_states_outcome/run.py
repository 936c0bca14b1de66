#!/usr/bin/env python3
"""A non-idempotent call whose outcome is unknown is settled by an operator: not while it may run, and its repeats are answered without a second run."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import json

from harness import caller, http_client
from harness.case import run_case

LANES = "/apis/dotterelshed/v1/lanes"


def make_older(desk, key, seconds):
    """Writes the claim of @key back into its lane as an older one."""
    listed = http_client.get_json(desk.platform.http, LANES)
    for lane in listed["items"]:
        claims = lane["spec"]["claims"]
        if not any(claim["key"].endswith(key) for claim in claims):
            continue
        for claim in claims:
            claim["claimed_at_s"] -= seconds
        reply = http_client.request(
            desk.platform.http, "PUT", f"{LANES}/{lane['metadata']['name']}",
            json.dumps(lane))
        assert reply.status == 200, reply
        return
    raise AssertionError(f"no lane has a claim of {key}")


def main(case):
    desk = case.desk(plain_timeout="1s").start()
    for service in desk.controls:
        http_client.set_fault(service, hang=True)
    entry = desk.hosts[0]

    def call():
        return caller.call_service(entry, "controls", "gates/open",
                                   {"gate": 3}, key="lost-1")

    assert call().outcome == "unknown"
    for service in desk.controls:
        http_client.set_fault(service, hang=False)
    listed = json.loads(desk.control("actions", "--json").stdout)
    key = next(c["key"] for c in listed if c["key"].endswith("lost-1"))

    early = desk.control("resolve", key, "--outcome", "done")
    assert early.returncode == 1, early.stdout + early.stderr
    assert "may still be running" in early.stderr, early.stderr

    make_older(desk, key, 3600)
    status = desk.control("status")
    assert f"action {key} has an unknown outcome" in status.stdout, status
    settled = desk.control("resolve", key, "--outcome", "done")
    assert settled.returncode == 0, settled.stdout + settled.stderr
    assert call().outcome == "done"
    assert desk.runs_of_key("lost-1") == 1
    assert "no call is without" in desk.control("actions").stdout


if __name__ == "__main__":
    run_case(main)
