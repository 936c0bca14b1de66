#!/usr/bin/env python3
"""Every planned stop is graceful: all hosts are restarted one by one under load with no failed request and exit code 0 each."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import random
import threading

from harness import caller
from harness.case import run_case
from harness.waiting import wait_for

CALLERS = 8


class Load:
    """Callers behind a balancer that asks /readyz before each call."""

    def __init__(self, desk, seed):
        self.desk = desk
        self.stopping = threading.Event()
        self.failures = []
        self.count = 0
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._run, args=(seed + i,))
                        for i in range(CALLERS)]

    def _run(self, seed):
        pick = random.Random(seed)
        while not self.stopping.is_set():
            question = f"TOKENS 20 number {pick.random()}"
            hosts = [h for h in self.desk.hosts if self.desk.is_ready(h)]
            if not hosts:
                continue
            try:
                answer = caller.stream(pick.choice(hosts), question)
            except ConnectionRefusedError:
                continue  # nothing was sent; a balancer tries the next host
            except OSError as error:
                answer = error
            good = (isinstance(answer, caller.Answer) and answer.done
                    and answer.text.endswith(question + "]"))
            with self.lock:
                self.count += 1
                if not good:
                    self.failures.append(answer)


def main(case):
    desk = case.desk(engine_args=["--token-rate", "100"]).start()
    load = Load(desk, 7)
    case.on_end(load.stopping.set)
    for thread in load.threads:
        thread.start()
    codes = {}
    for host in list(desk.hosts):
        served = load.count
        wait_for(lambda n=served: load.count > n + 2 * CALLERS, "load flows")
        codes[host.name] = host.stop()
        desk.restart_host(host)
        wait_for(lambda h=host: desk.is_ready(h), "it serves again")
        for domain in desk.options.domains:
            wait_for(lambda d=domain: desk.pools_settled(d), "pools settle")
    load.stopping.set()
    for thread in load.threads:
        thread.join()
    print(f"{load.count} requests, {len(load.failures)} failed, {codes}")
    assert set(codes.values()) == {0}, codes
    assert not load.failures, load.failures[:5]


if __name__ == "__main__":
    run_case(main)
