#!/usr/bin/env python3
"""Measures real processes for docs/CAPACITY.md: hosts at rest and with open
streams, against the stand-ins. Prints Markdown tables.

Usage: bench/capacity_processes.py --bin build/bin
"""

import argparse
import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import threading
import time
import urllib.request

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Process:
    """One child process with a ready file."""

    def __init__(self, folder, name, arguments, ready_option=True):
        self.ready = folder / f"{name}.ready"
        if ready_option:
            arguments = arguments + ["--ready-file", str(self.ready)]
        log = open(folder / f"{name}.log", "w")
        self.child = subprocess.Popen(arguments, stdout=log, stderr=log)

    def address(self, key="http"):
        while not (self.ready.exists() and self.ready.stat().st_size):
            if self.child.poll() is not None:
                raise RuntimeError(f"{self.ready.stem} ended early")
            time.sleep(0.02)
        return json.loads(self.ready.read_text())[key]

    def cpu_s(self):
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = fields.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def resident(self):
        statm = pathlib.Path(f"/proc/{self.child.pid}/statm").read_text()
        return int(statm.split()[1]) * PAGE_BYTES

    def threads(self):
        return len(os.listdir(f"/proc/{self.child.pid}/task"))


class Desk:
    """A platform, engines and hosts."""

    def __init__(self, bin_dir, domains, hosts_per_domain, engines_per_domain):
        self.bin = pathlib.Path(bin_dir)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="capacity-"))
        self.children = []
        self.platform = self.start("platform", ["platform_standin"])
        endpoints = []
        for domain in domains:
            for i in range(engines_per_domain):
                engine = self.start(
                    f"engine-{domain}-{i}",
                    ["engine_standin", "--token-rate", "25",
                     "--max-running", "1000"])
                endpoints.append({
                    "name": f"{domain}-{i}", "domain": domain,
                    "address": engine.address(), "kv_tokens": 1000000})
        self.hosts = [self.start_host(domain, i) for domain in domains
                      for i in range(hosts_per_domain)]
        self.apply(domains, endpoints)

    def start(self, name, command, ready_option=True):
        command = [str(self.bin / command[0])] + command[1:]
        process = Process(self.folder, name, command, ready_option)
        self.children.append(process)
        return process

    def start_host(self, domain, number):
        name = f"{domain}-h{number}"
        settings = self.folder / f"{name}.jsonc"
        settings.write_text(json.dumps({
            "host": name, "domain": domain,
            "platform_address": self.platform.address(),
            "token_secret": "bench", "charts_dir": str(ROOT / "src/charts"),
            "ready_file": str(self.folder / f"{name}.ready")}))
        return self.start(name, ["dotterelshed", "--settings", str(settings)],
                          ready_option=False)

    def apply(self, domains, endpoints):
        text = self.folder / "desk.jsonc"
        text.write_text(json.dumps({
            "desk": "bench", "domains": domains, "default_class": "c",
            "services": [{
                "name": "s", "kind": "model", "timeout": "600s",
                "models": [{"name": "m", "version": "1"}],
                "endpoints": endpoints}],
            "classes": [{"name": "c", "budget": "1000 EUR",
                         "deadline": "600s"}],
            "accounts": [{"name": "a", "max_concurrent": 10000}]}))
        self.ctl("apply", str(text), "--wait", "30")
        while self.ctl("status", check=False) != 0:
            time.sleep(0.2)

    def ctl(self, *arguments, check=True):
        command = [str(self.bin / "dotterelctl"), *arguments, "--platform",
                   self.platform.address()]
        return subprocess.run(command, check=check,
                              stdout=subprocess.DEVNULL).returncode

    def stop(self):
        for child in reversed(self.children):
            child.child.send_signal(signal.SIGTERM)
        for child in self.children:
            child.child.wait()


def read(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=10) as answer:
        return answer.read().decode()


def peer_bytes(host):
    dump = json.loads(read(host.address(), "/admin/dump"))
    return dump["peers"]["bytes_sent"]


def platform_calls(desk):
    def total(value):
        if isinstance(value, dict):
            return sum(total(entry) for entry in value.values())
        return value if isinstance(value, int) else 0
    return total(json.loads(read(desk.platform.address(), "/_counts")))


def print_table(title, header, rows):
    print(f"\n{title}\n")
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |")


def measure_rest(bin_dir, hosts, span_s):
    """Hosts of two domains with nothing to do."""
    desk = Desk(bin_dir, ["n", "s"], hosts // 2, 2)
    try:
        time.sleep(3)
        cpu = [host.cpu_s() for host in desk.hosts]
        sent = [peer_bytes(host) for host in desk.hosts]
        calls = platform_calls(desk)
        time.sleep(span_s)
        calls = platform_calls(desk) - calls
        sent = [peer_bytes(host) - old for host, old in zip(desk.hosts, sent)]
        cpu = [host.cpu_s() - old for host, old in zip(desk.hosts, cpu)]
        return [hosts, f"{100 * max(cpu) / span_s:.2f}",
                f"{100 * sum(cpu) / len(cpu) / span_s:.2f}",
                f"{max(sent) / span_s:.0f}",
                f"{sum(sent) / len(sent) / span_s:.0f}",
                f"{calls / span_s:.2f}",
                f"{max(h.resident() for h in desk.hosts) / 2**20:.1f}",
                max(h.threads() for h in desk.hosts)]
    finally:
        desk.stop()


class Client(threading.Thread):
    """A caller that reads one long stream."""

    def __init__(self, address, tokens):
        super().__init__(daemon=True)
        self.address = address
        self.tokens = tokens
        self.pieces = 0
        self.done = False

    def run(self):
        host, port = self.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=300)
        body = json.dumps({
            "model": "m", "stream": True, "max_tokens": self.tokens,
            "messages": [{"role": "user",
                          "content": f"{id(self)} TOKENS {self.tokens}"}]})
        connection.request("POST", "/v1/chat/completions", body,
                           {"Authorization": "Bearer a"})
        for line in connection.getresponse():
            self.pieces += line.startswith(b"data: {")
            self.done = self.done or b"[DONE]" in line
        connection.close()


def measure_streams(bin_dir, streams, span_s):
    """One entry host, another host as primary, and open streams."""
    desk = Desk(bin_dir, ["n"], 2, 24)
    try:
        dumps = [json.loads(read(h.address(), "/admin/dump")) for h in desk.hosts]
        is_primary = [any(pool["role"] == "primary" for pool in
                          dump["core"]["pools"].values()) for dump in dumps]
        primary = desk.hosts[is_primary.index(True)]
        entry = desk.hosts[1 - is_primary.index(True)]
        memory = [h.resident() for h in (entry, primary)]
        threads = [h.threads() for h in (entry, primary)]
        tokens = 25 * (span_s + 12)
        clients = [Client(entry.address(), tokens) for _ in range(streams)]
        for client in clients:
            client.start()
        time.sleep(8)
        open_now = sum(c.pieces > 0 for c in clients)
        cpu = [h.cpu_s() for h in (entry, primary)]
        pieces = sum(c.pieces for c in clients)
        time.sleep(span_s)
        pieces = sum(c.pieces for c in clients) - pieces
        cpu = [h.cpu_s() - old for h, old in zip((entry, primary), cpu)]
        memory = [h.resident() - old
                  for h, old in zip((entry, primary), memory)]
        threads = [h.threads() - old
                   for h, old in zip((entry, primary), threads)]
        for client in clients:
            client.join()
        return [streams, open_now, sum(c.done for c in clients),
                f"{pieces / span_s:.0f}",
                f"{cpu[0] * 1e6 / pieces:.0f}", f"{cpu[1] * 1e6 / pieces:.0f}",
                f"{memory[0] / 1024 / streams:.0f}",
                f"{memory[1] / 1024 / streams:.0f}",
                f"{threads[0] / streams:.2f}", f"{threads[1] / streams:.2f}"]
    finally:
        desk.stop()


def measure_apply(bin_dir, hosts):
    """Time from the start of dotterelctl apply until it reports the
    generation in force, over 20 changes."""
    desk = Desk(bin_dir, ["n", "s"], hosts // 2, 2)
    try:
        text = json.loads((desk.folder / "desk.jsonc").read_text())
        changed = desk.folder / "changed.jsonc"
        times = []
        for i in range(20):
            text["services"][0]["timeout"] = f"{601 + i}s"
            changed.write_text(json.dumps(text))
            begin = time.monotonic()
            desk.ctl("apply", str(changed), "--wait", "10")
            times.append(time.monotonic() - begin)
        times.sort()
        return [hosts, f"{times[10]:.2f}", f"{times[-1]:.2f}"]
    finally:
        desk.stop()


def call_once(address, body, headers):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    begin = time.monotonic()
    connection.request("POST", "/v1/chat/completions", body, headers)
    answer = connection.getresponse()
    answer.read()
    assert answer.status == 200
    return time.monotonic() - begin


def measure_long_prompts(bin_dir):
    """One-token calls with long prompts, direct and through hosts."""
    desk = Desk(bin_dir, ["n"], 2, 1)
    engine = next(c for c in desk.children if "engine" in c.ready.stem)
    rows = []
    try:
        for size in (10_000, 650_000, 2_600_000):
            body = json.dumps({
                "model": "m", "max_tokens": 1, "messages": [
                    {"role": "user", "content": "x" * size + " TOKENS 1"}]})
            times = []
            for address in [engine.address()] + [h.address()
                                                 for h in desk.hosts]:
                tries = sorted(call_once(address, body,
                                         {"Authorization": "Bearer a"})
                               for _ in range(9))
                times.append(f"{1000 * tries[4]:.0f}")
            rows.append([size] + times)
        return rows
    finally:
        desk.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--span", type=int, default=10, help="seconds")
    parser.add_argument("--part", choices=["rest", "streams", "apply", "prompts"])
    options = parser.parse_args()
    parts = {"rest": run_rest, "streams": run_streams, "apply": run_apply,
             "prompts": run_prompts}
    for name, run in parts.items():
        if options.part in (None, name):
            run(options)


def run_apply(options):
    rows = [measure_apply(options.bin, hosts) for hosts in (4, 8, 16)]
    print_table("dotterelctl apply until in force, 20 changes, two domains",
                ["hosts", "median s", "longest s"], rows)


def run_prompts(options):
    print_table("A call with one token of answer, median of 9, ms",
                ["prompt bytes", "engine itself", "one host", "other host"],
                measure_long_prompts(options.bin))


def run_rest(options):
    rows = [measure_rest(options.bin, hosts, options.span)
            for hosts in (4, 8, 16, 36)]
    print_table("Hosts of two domains at rest",
                ["hosts", "most % core", "mean % core", "most peer B/s",
                 "mean peer B/s", "platform calls/s of all", "most MiB",
                 "most threads"], rows)


def run_streams(options):
    rows = [measure_streams(options.bin, streams, options.span)
            for streams in (48, 96, 192)]
    print_table("Open streams through an entry host and a primary",
                ["streams", "open", "finished whole", "pieces/s",
                 "entry us/piece", "primary us/piece", "entry KiB/stream",
                 "primary KiB/stream", "entry threads/stream",
                 "primary threads/stream"], rows)


if __name__ == "__main__":
    main()
