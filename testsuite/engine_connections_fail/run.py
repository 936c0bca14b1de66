#!/usr/bin/env python3
"""Each caller gets the whole answer: streams whose engine connection breaks or goes silent for good resume with no byte lost or doubled; refused connections are tried elsewhere."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case

QUESTION = "TOKENS 80 of the north basin"


def fail_midway(desk, host, fault):
    """Streams an answer while every engine gets a fault midway."""
    expected = caller.expected_text(desk.engines[0], QUESTION)
    running = caller.Stream(host, QUESTION)
    running.read_until(lambda s: len(s.text) > 60)
    for engine in desk.engines:
        http_client.set_fault(engine, **fault)
    answer = running.read_all()
    assert answer.done, answer
    assert answer.text == expected, (answer.text, expected)


def main(case):
    desk = case.desk(engine_args=["--token-rate", "80"]).start()
    for host in desk.hosts:
        fail_midway(desk, host, {"silent": True})
    expected = caller.expected_text(desk.engines[0], QUESTION)
    for cut_at in (1, 50, 200):
        for engine in desk.engines:
            http_client.set_fault(engine, cut_streams=1,
                                  cut_after_bytes=cut_at)
        answer = caller.stream(desk.hosts[0], QUESTION)
        assert answer.done and answer.text == expected, (cut_at, answer)
    for domain in desk.options.domains:
        gone = [e for e in desk.engines if desk.domain_of[e.name] == domain]
        gone[0].kill()
    for host in desk.hosts * 2:
        answer = caller.stream(host, QUESTION)
        assert answer.done and answer.text == expected, answer


if __name__ == "__main__":
    run_case(main)
