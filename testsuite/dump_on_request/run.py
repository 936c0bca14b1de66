#!/usr/bin/env python3
"""A host gives its whole state as JSON with stable member names on request, over HTTP and on SIGUSR1, and goes on serving."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# pylint: disable=wrong-import-position
import json
import signal

from harness import caller, http_client
from harness.case import run_case
from harness.waiting import wait_for

QUESTION = "Which gates are open, please?"


def shape(value):
    """Member names of objects, in order; values and list lengths left out."""
    if isinstance(value, dict):
        return {name: shape(member) for name, member in value.items()}
    return type(value).__name__


def dumps_by_signal(host):
    """All JSON objects among the lines of the host's output, as text."""
    found = []
    decoder = json.JSONDecoder()
    with open(host.log_file, encoding="utf-8") as file:
        text = file.read()
    at = text.find("{")
    while at != -1:
        if at == 0 or text[at - 1] == "\n":
            try:
                value, end = decoder.raw_decode(text, at)
            except ValueError:
                return found
            found.append(value)
            at = end
        at = text.find("{", at + 1)
    return found


def ask_by_signal(host):
    before = len(dumps_by_signal(host))
    host.child.send_signal(signal.SIGUSR1)
    return wait_for(lambda: dumps_by_signal(host)[before:],
                    f"{host.name} prints a dump")[0]


def ask_by_http(host):
    reply = http_client.request(host.http, "GET", "/admin/dump")
    assert reply.status == 200, reply.status
    assert QUESTION not in reply.body, "a dump holds what callers wrote"
    return reply.json()


def main(case):
    desk = case.desk().start()
    first = caller.until_done(lambda h: caller.chat(h, QUESTION), desk.hosts)
    for host in desk.hosts:
        by_http = ask_by_http(host)
        by_signal = ask_by_signal(host)
        assert shape(by_http) == shape(ask_by_http(host)), host.name
        assert shape(by_http) == shape(by_signal), host.name
        assert by_http["core"]["generation"] == 1, by_http["core"]
        assert host.running, host.log_tail()
    for host in desk.hosts:
        again = caller.ask_again(host, first)
        assert again.done and again.text == first.text, again
        fresh = caller.until_done(lambda h: caller.chat(h, "And now?"), [host])
        assert fresh.text, fresh
    codes = desk.stop_hosts()
    assert set(codes.values()) == {0}, codes


if __name__ == "__main__":
    run_case(main)
