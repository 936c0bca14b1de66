#!/usr/bin/env python3
"""A non-idempotent call runs at most once and not silently never: the platform's answer to a claim lost after the effect changes nothing."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case


def main(case):
    desk = case.desk().start()
    for index, lose_by in enumerate(("cut", "hang", "cut")):
        key = f"lost-{index}"
        http_client.set_fault(desk.platform, lose_answers=1, lose_by=lose_by,
                              lose_kind="lanes")
        answer = caller.call_service(desk.hosts[index], "controls",
                                     "gates/open", {"gate": 1}, key=key)
        assert answer.done and answer.status == 200, answer
        assert desk.runs_of_key(key) == 1, key
        # The result follows the answer into the platform a moment later.
        again = caller.until_done(
            lambda host, k=key: caller.call_service(
                host, "controls", "gates/open", {"gate": 1}, key=k),
            desk.hosts)
        assert again.body == answer.body, again
        assert desk.runs_of_key(key) == 1, key


if __name__ == "__main__":
    run_case(main)
