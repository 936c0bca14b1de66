#!/usr/bin/env python3
"""The desk serves through a platform outage: model calls go on, non-idempotent calls are truthfully refused and don't run, and a restarted host gets its configuration from peers."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for


def main(case):
    desk = case.desk().start()
    first = caller.chat(desk.hosts[0], "Before the outage.")
    assert first.done, first
    holder = desk.holder_of("syd")
    http_client.set_fault(desk.platform, outage=True)
    for host in desk.hosts:
        answer = caller.chat(host, "During the outage.")
        assert answer.done, answer
    messages = [{"role": "user", "content": "Before the outage."},
                {"role": "assistant", "content": first.text},
                {"role": "user", "content": "And now?"}]
    second = caller.chat(desk.hosts[-1], messages, token=first.token)
    assert second.done and second.turn == 2, second
    for host in desk.hosts:
        refused = caller.call_service(host, "controls", "gates/open",
                                      {"gate": 3})
        assert refused.outcome == "not_run", refused
        assert refused.status == 503, refused
        # Whether this key ran before can't be read now, so it isn't denied.
        refused = caller.call_service(host, "controls", "gates/open",
                                      {"gate": 3}, key="outage-key")
        assert refused.outcome == "unknown", refused
        assert refused.status == 503, refused
    assert not desk.runs(desk.controls), desk.runs(desk.controls)
    restart_in_outage(desk, holder)
    http_client.set_fault(desk.platform, outage=False)
    done = caller.until_done(
        lambda host: caller.call_service(host, "controls", "gates/open",
                                         {"gate": 3}, key="outage-key"),
        desk.hosts)
    assert done.status == 200, done
    assert desk.runs_of_key("outage-key") == 1


def restart_in_outage(desk, old):
    """A host that restarts empty serves under the same generation."""
    old.kill()
    peers = [h.addresses["peer"] for h in desk.hosts if h is not old]
    host = desk.make_host(old.name, desk.domain_of[old.name],
                          seed_peers=peers)
    desk.hosts[desk.hosts.index(old)] = host
    host.start().wait_ready()
    wait_for(lambda: desk.is_ready(host), "the host serves in the outage")
    answer = caller.until_done(
        lambda _: caller.chat(host, "After a restart."), [host])
    assert answer.done, answer


if __name__ == "__main__":
    run_case(main)
