#!/usr/bin/env python3
"""A request that crashes endpoints takes two at most, sent again through any host; its caller is told and bystanders are run again."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import concurrent.futures

from harness import caller
from harness.case import run_case

POISON = "POISON the cache"


def main(case):
    desk = case.desk(engines_per_domain=4, hosts_per_domain=2,
                     engine_args=["--crash-on", "POISON",
                                  "--token-rate", "40"]).start()
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        bystanders = [pool.submit(caller.stream, desk.hosts_in("nord")[i % 2],
                                  f"TOKENS 60 for watchman {i}")
                      for i in range(12)]
        poisoned = []
        for host in desk.hosts_in("nord") * 3:
            poisoned.append(caller.chat(host, POISON))
        answers = [job.result() for job in bystanders]
    crashes = [r for r in desk.runs(desk.engines) if "crash" in r]
    assert len(crashes) <= 2, crashes
    assert not any(answer.done for answer in poisoned), poisoned
    assert poisoned[-1].status == 422, poisoned
    assert poisoned[-1].reason == "quarantined", poisoned
    for i, answer in enumerate(answers):
        assert answer.done, answer
        assert answer.text.endswith(f"watchman {i}]"), answer.text


if __name__ == "__main__":
    run_case(main)
