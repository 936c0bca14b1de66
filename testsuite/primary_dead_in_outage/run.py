#!/usr/bin/env python3
"""A dead primary's programs go on from the copy while the platform is down, within the budget, and reconcile afterwards."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case


def main(case):
    desk = case.desk().start()
    first = caller.chat(desk.hosts_in("nord")[0], "One.")
    assert first.done, first
    primary = desk.primary_of("nord")
    http_client.set_fault(desk.platform, outage=True)
    primary.kill()
    rest = [h for h in desk.hosts if h is not primary]
    messages = [{"role": "user", "content": "One."},
                {"role": "assistant", "content": first.text},
                {"role": "user", "content": "Two."}]
    second = caller.until_done(
        lambda host: caller.chat(host, messages, token=first.token), rest)
    assert second.turn == 2 and second.program == first.program, second
    refused = caller.call_service(rest[0], "controls", "gates/open", {},
                                  key="dead-primary", token=second.token)
    assert refused.outcome in ("not_run", "unknown"), refused
    assert desk.runs_of_key("dead-primary") == 0
    http_client.set_fault(desk.platform, outage=False)
    messages += [{"role": "assistant", "content": second.text},
                 {"role": "user", "content": "Three."}]
    third = caller.until_done(
        lambda host: caller.chat(host, messages, token=second.token), rest)
    assert third.turn == 3 and third.program == first.program, third
    assert third.spent > second.spent > first.spent, third
    again = caller.until_done(
        lambda host: caller.ask_again(host, second), rest)
    assert again.text == second.text, again


if __name__ == "__main__":
    run_case(main)
