#!/usr/bin/env python3
"""Engine memory held for ended programs is always freed: at the end, after kill of the owner, with the endpoint unreachable at release, and for callers that vanish."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for


def begin(desk, host, question):
    """A program whose engine memory is kept for its next call."""
    answer = caller.until_done(
        lambda h: caller.chat(h, question + " and so on" * 300, pause_ms=1000), [host])
    return answer


def holds_of(desk, program):
    return [h for h in desk.held() if names(h, program)]


def names(hold, program):
    return hold["program"] == program or program in hold["id"]


def main(case):
    desk = case.desk(idle_limit="3s").start()
    host = desk.hosts_in("syd")[0]
    plain = begin(desk, host, "Plain end.")
    held = holds_of(desk, plain.program)
    print("held after a call with an announced pause:", held)
    assert held, "a call with a short announced pause keeps its prefix"
    caller.end_program(host, plain.program)
    wait_for(lambda: not holds_of(desk, plain.program), "freed at the end")

    vanished = begin(desk, host, "The caller vanishes.")
    wait_for(lambda: not holds_of(desk, vanished.program),
             "freed at the idle limit")

    stuck = begin(desk, host, "The endpoint is away.")
    frozen = [e for e in desk.engines if any(
        names(h, stuck.program) for h in held_by(e))]
    assert frozen, "the prefix is kept"
    for engine in frozen:
        engine.pause()
        case.on_end(engine.resume)
    caller.end_program(host, stuck.program)
    for engine in frozen:
        engine.resume()
    wait_for(lambda: not holds_of(desk, stuck.program),
             "freed after the endpoint is back")

    orphan = begin(desk, desk.hosts_in("nord")[0], "The owner dies.")
    primary = desk.primary_of("nord")
    primary.kill()
    wait_for(lambda: not holds_of(desk, orphan.program),
             "freed after the owner's death")


def held_by(engine):
    return http_client.get_json(engine.http, "/v1/holds")["holds"]


if __name__ == "__main__":
    run_case(main)
