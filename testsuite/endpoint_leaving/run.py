#!/usr/bin/env python3
"""An endpoint that is leaving gets no new work after a few seconds, whether it says so itself or the platform's lagging list does."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import time

from harness import caller, http_client
from harness.case import run_case

FEW_SECONDS = 5
CALLS_AFTER = 30


def ran(desk, engine):
    return len(desk.runs([engine]))


def expect_no_new_work(desk, domain, engine):
    """After a few seconds of traffic none of many calls reaches the engine."""
    hosts = desk.hosts_in(domain)
    until = time.monotonic() + FEW_SECONDS
    while time.monotonic() < until:
        assert caller.chat(hosts[0], "Busy.").done
    before = ran(desk, engine)
    for i in range(CALLS_AFTER):
        answer = caller.chat(hosts[i % 2], f"Call {i}.")
        assert answer.done, answer
    assert ran(desk, engine) == before, "it got new work"


def list_as_leaving(desk, engine):
    reply = http_client.request(
        desk.platform.http, "PUT",
        f"/apis/dotterelshed/v1/endpoints/{engine.name}",
        {"metadata": {"name": engine.name}, "spec": {"leaving": True}})
    assert reply.status in (200, 201), reply.body


def main(case):
    desk = case.desk(engines_per_domain=3).start()
    http_client.set_fault(desk.platform, list_lag_ms=1000)
    for domain in desk.options.domains:
        engines = [e for e in desk.engines if desk.domain_of[e.name] == domain]
        table = desk.table(domain)
        print(domain, "lead", table["lead"]["host"],
              "primary", desk.primary_of(domain).name)
        for i in range(CALLS_AFTER):
            assert caller.chat(desk.hosts_in(domain)[0], f"First {i}.").done
        http_client.set_fault(engines[0], leaving=True)
        expect_no_new_work(desk, domain, engines[0])
        list_as_leaving(desk, engines[1])
        expect_no_new_work(desk, domain, engines[1])


if __name__ == "__main__":
    run_case(main)
