#!/usr/bin/env python3
"""Platform calls at rest grow with domains and not with hosts; an action costs a few."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.case import run_case

REST_S = 10
ACTIONS = 20
#: Lead's watches on four kinds, each opened again every two seconds without
#: news, and one read of its table every ten seconds, with room for jitter.
REST_CALLS_PER_DOMAIN = 4 * REST_S / 2 + REST_S / 10 + 5


def total(counts, *verbs):
    return sum(number for verb, kinds in counts.items()
               for number in kinds.values() if not verbs or verb in verbs)


def counts(desk):
    return http_client.get_json(desk.platform.http, "/_counts")


def calls_at_rest(desk):
    before = total(counts(desk))
    time.sleep(REST_S)
    return total(counts(desk)) - before


def calls_per_action(desk):
    """Calls on lanes for some actions, one after the other."""
    before = counts(desk)
    for i in range(ACTIONS):
        answer = caller.until_done(
            lambda host, key=f"action-{i}": caller.call_service(
                host, "controls", "gates/open", {"gate": 1}, key=key),
            desk.hosts)
        assert answer.done, answer
    after = counts(desk)
    return sum(after[verb].get("lanes", 0) -
               before.get(verb, {}).get("lanes", 0)
               for verb in after) / ACTIONS


def measure(case, domains, hosts_per_domain):
    desk = case.desk(domains=domains, hosts_per_domain=hosts_per_domain)
    desk.start()
    # Pools that move for balance right after the start are no rest.
    time.sleep(REST_S)
    rest = calls_at_rest(desk)
    action = calls_per_action(desk)
    desk.clean_up()
    hosts = len(domains) * hosts_per_domain
    print(f"{len(domains)} domains, {hosts} hosts: {rest / REST_S:.2f} calls/s "
          f"at rest, {action:.2f} calls per action", flush=True)
    return rest, action


def main(case):
    two = ["nord", "syd"]
    four = two + ["oest", "vest"]
    for domains, hosts_per_domain in ((two, 2), (two, 8), (four, 4)):
        rest, action = measure(case, domains, hosts_per_domain)
        assert rest <= REST_CALLS_PER_DOMAIN * len(domains), rest
        # A claim and a result, and reads where another host wrote the lane.
        assert action <= 4, action


if __name__ == "__main__":
    run_case(main)
