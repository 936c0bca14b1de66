#!/usr/bin/env python3
"""Runs the cases of the failure suite, a few at a time.

A case is a folder with a run.py. Cases listed in KNOWN-RED.txt run as well;
their failure is printed and passed over, and nothing else's is.
"""

import argparse
import concurrent.futures
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
KNOWN_RED = os.path.join(ROOT, "KNOWN-RED.txt")
#: An entry of a case begins so: "suite/CASE: ...".
ENTRY_PREFIX = "suite/"
CASE_LIMIT_S = 300


def all_cases():
    return sorted(name for name in os.listdir(HERE)
                  if os.path.exists(os.path.join(HERE, name, "run.py")))


def known_red():
    """Names of cases that may fail, with their entries."""
    if not os.path.exists(KNOWN_RED):
        return {}
    with open(KNOWN_RED, encoding="utf-8") as file:
        lines = [line.strip() for line in file]
    entries = [line for line in lines if line.startswith(ENTRY_PREFIX)]
    return {line[len(ENTRY_PREFIX):].split(":")[0]: line for line in entries}


def run_one(name, args):
    command = [sys.executable, os.path.join(HERE, name, "run.py"),
               "--bin", args.bin, "--seed", str(args.seed)]
    if args.logs:
        command += ["--logs", args.logs]
    started = time.monotonic()
    try:
        result = subprocess.run(command, capture_output=True, text=True,
                                timeout=CASE_LIMIT_S, check=False)
        code, output = result.returncode, result.stdout + result.stderr
    except subprocess.TimeoutExpired as error:
        code, output = 1, f"no end within {CASE_LIMIT_S} s\n{error.stderr}"
    return name, code, output, time.monotonic() - started


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", help="all, if none is named")
    parser.add_argument("--bin", default=os.path.join(ROOT, "build", "bin"))
    parser.add_argument("-j", type=int, default=3, help="cases at a time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", default=os.path.join(
        ROOT, "build", "suite-logs"), help="keeps logs of failures")
    args = parser.parse_args()
    cases = args.cases or all_cases()
    red = known_red()
    failed, passed_over = [], []
    with concurrent.futures.ThreadPoolExecutor(args.j) as pool:
        jobs = [pool.submit(run_one, name, args) for name in cases]
        for job in concurrent.futures.as_completed(jobs):
            name, code, output, seconds = job.result()
            verdict = "passed" if code == 0 else "FAILED"
            if code != 0:
                print(output, flush=True)
                (passed_over if name in red else failed).append(name)
            print(f"{verdict:7} {name} ({seconds:.1f} s)", flush=True)
    for name in passed_over:
        print(f"known red, passed over: {red[name]}")
    for name in sorted(set(red) & set(cases) - set(passed_over) - set(failed)):
        print(f"listed as red but passed: {name}")
    print(f"{len(cases)} cases, {len(failed)} failed, "
          f"{len(passed_over)} known red")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
