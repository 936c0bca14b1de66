#!/usr/bin/env python3
"""Wall-clock figures of one machine; not part of CI.

Added latency of a call through its home host and through a forward against
the engine called directly in the same run, requests a second through one
host, memory at rest and per open stream, and platform calls at rest.
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import shutil
import statistics
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
# pylint: disable=wrong-import-position
from harness import caller, http_client
from harness.desk import Desk

WARM_UP = 50
REST_S = 10


def time_calls(address, count, headers):
    """Latencies in ms of calls on one kept connection, one after another."""
    body = json.dumps(caller.chat_body("How high is the water?"))
    connection = http_client.connect(address)
    samples = []
    for i in range(count + WARM_UP):
        started = time.perf_counter()
        try:
            connection.request("POST", "/v1/chat/completions", body, headers)
            answer = connection.getresponse()
            answer.read()
        except (http.client.HTTPException, OSError):
            connection.close()
            continue
        taken = (time.perf_counter() - started) * 1000
        assert answer.status == 200, answer.status
        if i >= WARM_UP:
            samples.append(taken)
    connection.close()
    return sorted(samples)


def quantile(samples, share):
    return samples[min(len(samples) - 1, int(len(samples) * share))]


def report_latency(desk, count):
    """Direct, home and forwarded calls in turns, so that noise hits all."""
    primary, holder = desk.primary_of("nord"), desk.holder_of("nord")
    headers = caller.headers_for("watch")
    ways = {"direct": desk.engines[0].http, "home": primary.http,
            "forward": holder.http}
    samples = {way: [] for way in ways}
    for _ in range(5):
        for way, address in ways.items():
            samples[way] += time_calls(address, count // 5, headers)
    base = {}
    for way in ways:
        values = sorted(samples[way])
        p50, p99 = quantile(values, 0.5), quantile(values, 0.99)
        base[way] = (p50, p99)
        added = (f"  added p50 {p50 - base['direct'][0]:.2f} ms, "
                 f"p99 {p99 - base['direct'][1]:.2f} ms"
                 if way != "direct" else "")
        print(f"{way:8} n={len(values)} p50 {p50:.2f} ms p99 {p99:.2f} ms"
              f"{added}")


def report_throughput(desk, seconds, callers):
    """Requests a second through one host with several callers."""
    host = desk.primary_of("nord")
    headers = caller.headers_for("watch")
    until = time.monotonic() + seconds

    def run(_):
        done = 0
        while time.monotonic() < until:
            done += len(time_calls_until(host.http, headers, until))
        return done

    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        total = sum(pool.map(run, range(callers)))
    print(f"throughput: {total / seconds:.0f} requests/s through one host, "
          f"{callers} callers (the Python callers are part of the limit)")


def time_calls_until(address, headers, until):
    body = json.dumps(caller.chat_body("How high is the water?"))
    connection = http_client.connect(address)
    done = []
    while time.monotonic() < until:
        try:
            connection.request("POST", "/v1/chat/completions", body, headers)
            answer = connection.getresponse()
            answer.read()
        except (http.client.HTTPException, OSError):
            break
        if answer.status == 200:
            done.append(1)
    connection.close()
    return done


def resident_kib(process):
    with open(f"/proc/{process.child.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def cpu_seconds(process):
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def report_memory(bin_dir, folder, streams):
    """Memory of a fresh host, and with open streams."""
    desk = Desk(bin_dir, folder, engine_args=["--token-rate", "25",
                                              "--max-running", "1024"],
                timeout="20m", deadline="20m", engines_per_domain=16)
    try:
        desk.start()
        host = desk.primary_of("nord")
        rest = resident_kib(host)
        cpu = cpu_seconds(host)
        time.sleep(REST_S)
        share = (cpu_seconds(host) - cpu) / REST_S
        print(f"at rest: {rest / 1024:.1f} MiB resident, "
              f"{100 * share:.2f}% of a core")
        opened = [caller.Stream(host, f"TOKENS 3000 for {i}")
                  for i in range(streams)]
        for stream in opened:
            stream.read_until(lambda s: s.text)
        full = resident_kib(host)
        print(f"{streams} open streams: {full / 1024:.1f} MiB, "
              f"{(full - rest) / streams:.0f} KiB a stream")
        for stream in opened:
            stream.close()
    finally:
        desk.clean_up()


def counted(desk):
    counts = http_client.get_json(desk.platform.http, "/_counts")
    return {verb: sum(kinds.values()) for verb, kinds in counts.items()}


def report_platform_calls(bin_dir, folder, hosts):
    """Calls a second at rest, and open watches, of a fleet."""
    domains = ["nord", "syd", "vest", "oest"]
    desk = Desk(bin_dir, folder, domains=domains,
                hosts_per_domain=hosts // len(domains), engines_per_domain=1)
    try:
        desk.start()
        time.sleep(2)
        before = counted(desk)
        time.sleep(REST_S)
        after = counted(desk)
        calls = {verb: after[verb] - before.get(verb, 0) for verb in after}
        total = sum(calls.values())
        print(f"{hosts} hosts in {len(domains)} domains: "
              f"{total / REST_S:.2f} platform calls/s at rest "
              f"({ {v: n for v, n in calls.items() if n} } in {REST_S} s)")
    finally:
        desk.clean_up()


def report_calls_per_action(desk, count):
    """Platform calls that non-idempotent calls cost, one at a time."""
    before = counted(desk)
    for i in range(count):
        answer = caller.call_service(desk.hosts[0], "controls", "gates/open",
                                     {"gate": i}, key=f"measured-{i}")
        assert answer.done, answer
    time.sleep(1)
    after = counted(desk)
    total = sum(after.values()) - sum(before.values())
    print(f"{total / count:.2f} platform calls an action, one at a time")


def in_folder(function, *args):
    folder = tempfile.mkdtemp(prefix="dotterelshed-measure-")
    try:
        function(folder, *args)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def measure_path(folder, args):
    desk = Desk(args.bin, folder, engines_per_domain=4,
                max_concurrent=10000)
    try:
        desk.start()
        report_latency(desk, args.calls)
        report_throughput(desk, 5, args.callers)
        report_calls_per_action(desk, 50)
    finally:
        desk.clean_up()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--streams", type=int, default=64)
    args = parser.parse_args()
    load = statistics.fmean(os.getloadavg())
    print(f"load average of the machine: {load:.1f} on {os.cpu_count()} cores")
    in_folder(measure_path, args)
    in_folder(lambda folder: report_memory(args.bin, folder, args.streams))
    for hosts in (4, 8, 16):
        in_folder(lambda folder, n=hosts: report_platform_calls(
            args.bin, folder, n))


if __name__ == "__main__":
    main()
