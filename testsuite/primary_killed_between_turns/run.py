#!/usr/bin/env python3
"""A program's history is never lost: its next turn goes on after kill -9 of its primary, and the old answer can still be asked for."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller
from harness.case import run_case


def main(case):
    desk = case.desk().start()
    entry = desk.hosts_in("syd")[0]
    first = caller.chat(desk.hosts_in("nord")[0], "How high is the water?")
    assert first.done, first
    primary = desk.primary_of("nord")
    primary.kill()
    rest = [h for h in desk.hosts if h is not primary]
    messages = [{"role": "user", "content": "How high is the water?"},
                {"role": "assistant", "content": first.text},
                {"role": "user", "content": "And tomorrow?"}]
    second = caller.until_done(
        lambda host: caller.chat(host, messages, token=first.token), rest)
    assert second.program == first.program, second
    assert second.turn == 2, second
    assert second.spent > first.spent, second
    assert "messages=3" in second.text, second
    again = caller.until_done(
        lambda host: caller.ask_again(host, first), [entry] + rest)
    assert again.text == first.text, again


if __name__ == "__main__":
    run_case(main)
