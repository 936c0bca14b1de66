#!/usr/bin/env python3
"""Each caller gets the whole answer to its own request: a stream whose primary dies (kill -9) midway ends whole, or can be asked for whole by its id."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller
from harness.case import run_case

QUESTION = "TOKENS 120 of inflow, please"


def main(case):
    desk = case.desk(engine_args=["--token-rate", "60"]).start()
    expected = caller.expected_text(desk.engines[0], QUESTION)
    primary = desk.primary_of("nord")
    entry = desk.holder_of("nord")
    running = caller.Stream(entry, QUESTION, request="the-stream-1")
    running.read_until(lambda s: len(s.text) > 100)
    assert expected.startswith(running.text), running.text
    primary.kill()
    try:
        answer = running.read_all()
    except OSError:
        answer = running.answer()
    if not answer.done or running.fields.get("text_replaced"):
        print("asked again after", answer.outcome, answer.reason)
        answer = caller.until_done(
            lambda host: caller.chat(host, QUESTION, max_tokens=4000,
                                     request="the-stream-1"),
            [h for h in desk.hosts if h is not primary])
    assert answer.text == expected, (answer, expected)


if __name__ == "__main__":
    run_case(main)
