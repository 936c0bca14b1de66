#!/usr/bin/env python3
"""A failure domain that is cut off from the others and from the platform serves its own callers, refuses the rest truthfully, and goes on after the cut."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller
from harness.case import run_case
from harness.relay import Relay
from harness.waiting import wait_for


def cut_desk(case):
    """A desk of two domains and all relays on the way into the second."""
    desk = case.desk(hosts_per_domain=1)
    desk.start_standins()
    platform = Relay(desk.platform.http)
    desk.platform_address_of["syd"] = platform.address
    for name in ("nord-host-1", "syd-host-1"):
        desk.peer_relay_of[name] = Relay()
    relays = [platform, *desk.peer_relay_of.values()]
    for relay in relays:
        case.on_end(relay.close)
    desk.start_hosts()
    desk.apply()
    desk.wait_serving()
    return desk, relays


def go_on(host, first, question):
    """The program's second turn, with its history."""
    messages = [{"role": "user", "content": "First."},
                {"role": "assistant", "content": first.text},
                {"role": "user", "content": question}]
    return caller.chat(host, messages, token=first.token)


def serves_own(desk, host):
    """New programs and model calls go on; a keyed action is not denied."""
    first = caller.chat(host, "First.")
    assert first.done, first
    second = go_on(host, first, "Second.")
    assert second.done and second.turn == 2, second
    refused = caller.call_service(host, "controls", "gates/open", {"gate": 1})
    assert refused.outcome == "not_run", refused


def main(case):
    desk, relays = cut_desk(case)
    nord, syd = desk.hosts
    # Homes are with the host that took the first call.
    in_nord = caller.chat(nord, "First.")
    in_syd = caller.chat(syd, "First.")
    assert in_nord.done and in_syd.done
    for fail in (Relay.cut, Relay.black_hole):
        for relay in relays:
            fail(relay)
        serves_own(desk, syd)
        assert caller.chat(nord, "Whole domain.").done
        # A program whose home is out of reach is refused with a time to try
        # again, never answered from elsewhere.
        for host, first in ((syd, in_nord), (nord, in_syd)):
            away = go_on(host, first, "Away from home.")
            assert away.outcome in ("not_run", "unknown"), away
            assert away.status == 503, away
            assert away.reason == "home_unreachable", away
        for relay in relays:
            relay.heal()
        for host, first in ((syd, in_nord), (nord, in_syd)):
            wait_for(lambda h=host, f=first:
                     go_on(h, f, "Back again.").done, "reached again")
            repeat = go_on(host, first, "Back again.")
            assert repeat.done and repeat.turn == 2, repeat
        in_nord, in_syd = (caller.chat(nord, "First."),
                           caller.chat(syd, "First."))
    wait_for(lambda: caller.call_service(
        syd, "controls", "gates/open", {"gate": 2}, key="after").done,
        "actions run again")
    assert desk.runs_of_key("after") == 1


if __name__ == "__main__":
    run_case(main)
