#!/usr/bin/env python3
"""The main job on embedded stand-ins: two domains, four hosts, one text.

Drives a program of two turns with a tool call and one with a sub-agent,
streams an answer to curl through each host, prints answers and status, and
stops everything gracefully. Exits non-zero if anything is missing.
"""

import argparse
import json
import os
import shutil
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
# pylint: disable=wrong-import-position
from harness import caller
from harness.desk import Desk

QUESTION = 'CALL dashboards levels/north {"reservoir": "north"}'


def say(title):
    print(f"\n== {title}", flush=True)


def show(who, answer):
    print(f"{who}: {answer.outcome}, turn {answer.turn} of {answer.program}, "
          f"spent {answer.spent}, remaining {answer.remaining}")


def tool_turn(host, messages, first):
    """Runs the tool that the model asked for; returns messages and answer."""
    call = first.tool_calls[0]
    arguments = json.loads(call["function"]["arguments"])
    result = caller.call_service(
        host, call["function"]["name"], arguments["path"], arguments["body"],
        token=first.token)
    assert result.done, result
    show("tool", result)
    messages = messages + [
        {"role": "assistant", "content": None, "tool_calls": [call]},
        {"role": "tool", "tool_call_id": call["id"], "content": result.body}]
    return messages, result


def curl_stream(host, messages, token):
    """Streams the program's next turn to curl; returns text and last event."""
    command = ["curl", "-sN", "--max-time", "60",
               f"http://{host.http}/v1/chat/completions",
               "-d", json.dumps(caller.chat_body(messages, stream=True))]
    headers = caller.headers_for("watch", token=token, end=1)
    for name, value in headers.items():
        command += ["-H", f"{name}: {value}"]
    result = subprocess.run(command, capture_output=True, text=True,
                            check=True)
    text, last, event = "", {}, ""
    assert "data: [DONE]" in result.stdout, result.stdout
    for line in result.stdout.splitlines():
        if line.startswith("event:"):
            event = line[6:].strip()
        elif line.startswith("data:") and "[DONE]" not in line:
            value = json.loads(line[5:])
            if event == "dotterelshed":
                last = value
            else:
                text += value["choices"][0]["delta"].get("content") or ""
            event = ""
    return text, last


def two_turns(desk, entry):
    """A program of two turns with one tool call; the last one to curl."""
    home = desk.hosts[0]
    messages = [{"role": "user", "content": QUESTION}]
    first = caller.chat(home, messages)
    assert first.done and first.tool_calls, first
    show("model", first)
    messages, tool = tool_turn(home, messages, first)
    text, last = curl_stream(entry, messages, tool.token)
    assert last.get("outcome") == "done", last
    assert text.endswith("]") and "messages=3" in text, text
    assert last["program"] == first.program, last
    print(f"curl through {entry.name}: {text}")
    print(f"  {last['outcome']}, turn {last['turn']}, spent {last['spent']}")


def sub_agent(desk):
    """A program whose sub-agent answers first; both share one budget."""
    parent = caller.chat(desk.hosts[1], "Plan the review of the north basin.")
    assert parent.done, parent
    show("parent", parent)
    child = caller.chat(desk.hosts[2], "Sum up the inflow.",
                        parent=parent.program)
    assert child.done and child.program != parent.program, child
    show("sub-agent", child)
    after = caller.chat(
        desk.hosts[3],
        [{"role": "user", "content": "Plan the review of the north basin."},
         {"role": "assistant", "content": parent.text},
         {"role": "user", "content": "Use this: " + child.text}],
        token=parent.token, end=1)
    assert after.done and after.program == parent.program, after
    assert after.spent > child.spent, after
    show("parent", after)
    print(after.text)


def drive(desk):
    say("apply")
    desk.start_standins()
    desk.start_hosts()
    print(desk.apply().strip())
    desk.wait_serving()
    for entry in desk.hosts:
        say(f"two turns and a tool call, streamed through {entry.name}")
        two_turns(desk, entry)
    say("a program with a sub-agent")
    sub_agent(desk)
    say("dotterelctl status")
    status = desk.control("status", *desk.host_options())
    print(status.stdout + status.stderr)
    assert status.returncode == 0, status
    say("graceful stop")
    codes = desk.stop_hosts()
    print(codes)
    assert set(codes.values()) == {0}, codes


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--trace", help="records the first host's traffic")
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="dotterelshed-demo-")
    settings = {"trace_file": os.path.abspath(args.trace)} if args.trace else {}
    desk = Desk(args.bin, folder, engine_args=["--token-rate", "400"],
                host_settings=settings)
    try:
        drive(desk)
    except BaseException:
        for host in desk.hosts:
            print(f"--- {host.name}\n{host.log_tail()}", file=sys.stderr)
        raise
    finally:
        desk.clean_up()
        shutil.rmtree(folder, ignore_errors=True)
    print("\nall there")


if __name__ == "__main__":
    main()
