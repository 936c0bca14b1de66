#!/usr/bin/env python3
"""A configuration once accepted never reverts: of two edits of one generation one wins and the other is told of the conflict."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import concurrent.futures
import json

from harness import http_client
from harness.case import run_case


def generations(desk):
    """Generation in force on each host, as far as it says so."""
    return {host.name: host.generation() for host in desk.hosts}


def main(case):
    desk = case.desk().start()
    seen = generations(desk)
    for round_number in range(1, 4):
        texts = [desk.write_text(f"edit-{i}.jsonc", shares={
            "short_calls": f"{20 + i + 2 * round_number}%",
            "retries": "10%", "escrow": "25%"}) for i in range(2)]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            results = list(pool.map(
                lambda path, base=round_number: desk.control(
                    "apply", path, "--base", str(base), "--wait", "30"),
                texts))
        codes = [r.returncode for r in results]
        assert sorted(codes) == [0, 3], [r.stdout + r.stderr for r in results]
        now = generations(desk)
        assert all(now[name] >= seen[name] for name in now), (seen, now)
        assert set(now.values()) == {round_number + 1}, now
        seen = now
        stored = http_client.get_json(
            desk.platform.http, "/apis/dotterelshed/v1/configs/desk")["spec"]
        with open(texts[codes.index(0)], encoding="utf-8") as file:
            assert stored["text"] == file.read(), "the winner's text is stored"
        assert stored["generation"] == round_number + 1, json.dumps(stored)


if __name__ == "__main__":
    run_case(main)
