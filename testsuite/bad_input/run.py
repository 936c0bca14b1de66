#!/usr/bin/env python3
"""Bad input gets a fitting 4xx with a typed body, is truly not run, and leaves the process as it was."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import os

from harness import caller, http_client
from harness.case import run_case

CHAT = "/v1/chat/completions"
MAX_BODY = 64 * 1024


def send(host, path, body, **headers):
    base = {"Authorization": "Bearer watch",
            "Content-Type": "application/json"}
    base.update({k.replace("_", "-"): v for k, v in headers.items()})
    return http_client.request(host.http, "POST", path, body, base)


def threads_of(process):
    return len(os.listdir(f"/proc/{process.child.pid}/task"))


def bad_requests(good_token):
    """Name, path, body, headers, statuses that fit."""
    chat = caller.chat_body("Hello.")
    return [
        ("broken JSON", CHAT, '{"model": "hydro", "messages": [', {}, {400}),
        ("not an object", CHAT, "[1, 2]", {}, {400}),
        ("messages of a wrong type", CHAT,
         {"model": "hydro", "messages": "hello"}, {}, {400}),
        ("no body", CHAT, "", {}, {400}),
        ("oversized body", CHAT,
         caller.chat_body("x" * (2 * MAX_BODY)), {}, {413}),
        ("unknown model", CHAT, caller.chat_body("Hi.", model="nobody"), {},
         {404}),
        ("unknown service", "/v1/services/nothing/x", {}, {}, {404}),
        ("unknown class", CHAT, chat, {"X_Dotterelshed_Class": "none"}, {404}),
        ("unknown account", CHAT, chat, {"Authorization": "Bearer nobody"},
         {401}),
        ("no account", CHAT, chat, {"Authorization": ""}, {401}),
        ("forged token", CHAT, chat,
         {"X_Dotterelshed_Token": good_token[:-4] + "AAAA"}, {403, 409}),
        ("garbage token", CHAT, chat, {"X_Dotterelshed_Token": "zzz"},
         {400, 403, 409}),
        ("token of another program", CHAT, chat,
         {"X_Dotterelshed_Token": good_token,
          "X_Dotterelshed_Program": "nord.00000000000000aa"}, {409}),
        ("bad number", CHAT, chat, {"X_Dotterelshed_Budget": "-1"}, {400}),
        ("bad program id", CHAT, chat,
         {"X_Dotterelshed_Program": "../../etc"}, {400}),
        ("budget too small", CHAT, chat, {"X_Dotterelshed_Budget": "1"},
         {402}),
    ]


def main(case):
    desk = case.desk(host_settings={"max_body": "64KiB"},
                     max_concurrent=4).start()
    host = desk.hosts[0]
    good = caller.chat(host, "Good.")
    assert good.done, good
    before = threads_of(host)
    ran = len(desk.runs(desk.engines))
    wrong = []
    for _ in range(20):
        for name, path, body, headers, fitting in bad_requests(good.token):
            reply = send(host, path, body, **headers)
            if reply.status not in fitting:
                wrong.append((name, reply.status, reply.body[:200]))
                continue
            error = reply.json()["error"]
            if not error["type"] or error["outcome"] != "not_run":
                wrong.append((name, reply.body))
        assert not wrong, wrong
    assert host.running
    assert len(desk.runs(desk.engines)) == ran, "something ran"
    assert threads_of(host) <= before + 8, (before, threads_of(host))
    assert caller.chat(host, "Still there?").done


if __name__ == "__main__":
    run_case(main)
