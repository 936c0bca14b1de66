#!/usr/bin/env python3
"""A program never spends beyond its budget, also when sub-agents race for it through all hosts."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import concurrent.futures

from harness import caller
from harness.case import run_case

BUDGET = 40000
AGENTS = 24


def main(case):
    desk = case.desk().start()
    parent = caller.chat(desk.hosts[0], "Lead.", budget=BUDGET, max_tokens=50)
    assert parent.done, parent

    def agent(i):
        return caller.chat(desk.hosts[i % len(desk.hosts)],
                           f"TOKENS 150 by agent {i}", max_tokens=300,
                           parent=parent.program)

    with concurrent.futures.ThreadPoolExecutor(AGENTS) as pool:
        answers = list(pool.map(agent, range(AGENTS)))
    done = [a for a in answers if a.done]
    refused = [a for a in answers if not a.done]
    assert done and refused, answers
    for answer in refused:
        assert answer.outcome == "not_run", answer
        assert answer.status == 402, answer
    usage = sum(cost_of(a) for a in done) + cost_of(parent)
    assert usage <= BUDGET, usage
    assert max(a.spent for a in answers) <= BUDGET, answers
    assert len(desk.runs(desk.engines)) == len(done) + 1


def cost_of(answer):
    """Cost in millionths at the prices of the test desk."""
    usage = answer.json()["usage"]
    return usage["prompt_tokens"] * 4 + usage["completion_tokens"] * 16


if __name__ == "__main__":
    run_case(main)
