#!/usr/bin/env python3
"""History is never mixed: a primary paused past every timeout releases nothing under its old term when it wakes."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import threading

from harness import caller
from harness.case import run_case
from harness.waiting import wait_for

QUESTION = "TOKENS 60 about the sluice"


def main(case):
    desk = case.desk(engine_args=["--token-rate", "60"]).start()
    first = caller.chat(desk.hosts[0], "Start.")
    assert first.done, first
    primary, entry = desk.primary_of("nord"), desk.holder_of("nord")
    messages = [{"role": "user", "content": "Start."},
                {"role": "assistant", "content": first.text},
                {"role": "user", "content": QUESTION}]
    late = []

    def ask_the_paused():
        try:
            late.append(caller.chat(primary, messages, token=first.token,
                                    request="paused-2"))
        except OSError as error:
            late.append(error)

    direct = threading.Thread(target=ask_the_paused)
    direct.start()
    wait_for(lambda: len(desk.runs(desk.engines)) > 1, "the turn runs")
    primary.pause()
    case.on_end(primary.resume)
    wait_for(lambda: desk.primary_of("nord") is not primary,
             "another primary takes over")
    rest = [h for h in desk.hosts if h is not primary]
    second = caller.until_done(
        lambda host: caller.chat(host, messages, token=first.token,
                                 request="paused-2"), [entry] + rest)
    primary.resume()
    direct.join()
    answer = late[0]
    if isinstance(answer, caller.Answer) and answer.done:
        assert answer.text == second.text, (answer, second)
        assert answer.turn == second.turn, (answer, second)
    follow = messages + [{"role": "assistant", "content": second.text},
                         {"role": "user", "content": "Go on."}]
    third = caller.until_done(
        lambda host: caller.chat(host, follow, token=second.token),
        [primary] + rest)
    assert third.turn == 3 and third.program == first.program, third
    wait_for(lambda: desk.primary_of("nord").name, "a primary is named")


if __name__ == "__main__":
    run_case(main)
