#!/usr/bin/env python3
"""Each caller gets the answer to its own request: late and duplicate requests with one id run once and get one answer, on any host."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import concurrent.futures

from harness import caller, http_client
from harness.case import run_case


def repeat_action(desk):
    """An action sent again under its request id only, through each domain."""
    for host in desk.hosts * 2:
        answer = caller.call_service(host, "controls", "gates/open",
                                     {"gate": 9}, request="action-1")
        assert answer.outcome in ("done", "unknown"), answer
    assert len(desk.runs(desk.controls)) == 1, desk.runs(desk.controls)


def main(case):
    desk = case.desk(engine_args=["--token-rate", "60"]).start()
    question = "TOKENS 30 once only"

    def ask(host):
        return caller.chat(host, question, request="same-id-1")

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(ask, desk.hosts_in("nord") * 3))
    answers += [ask(host) for host in desk.hosts_in("nord")]
    texts = {a.text for a in answers}
    assert all(a.done for a in answers), answers
    assert len(texts) == 1, texts
    assert len({a.turn for a in answers}) == 1, answers
    assert len({a.program for a in answers}) == 1, answers
    assert len(desk.runs(desk.engines)) == 1, desk.runs(desk.engines)
    for host in desk.hosts:
        again = caller.ask_again(host, answers[0])
        assert again.done and again.text in texts, again
    repeat_action(desk)
    other = caller.chat(desk.hosts[0], "Something else.", request="same-id-1")
    assert other.status == 409, other
    missing = http_client.request(
        desk.hosts[0].http, "GET", "/v1/requests/never-asked",
        headers=caller.headers_for("watch", program=answers[0].program))
    assert missing.status == 404, missing.body


if __name__ == "__main__":
    run_case(main)
