"""Runs one case: its own folder, its own desk, cleaned up at the end."""

import argparse
import os
import random
import shutil
import sys
import tempfile
import traceback

from harness.desk import Desk


class Case:
    """What a case gets: folder, fixed seed, and desks that end with it."""

    def __init__(self, bin_dir, folder, seed):
        self.bin_dir = bin_dir
        self.folder = folder
        self.random = random.Random(seed)
        self._cleanups = []

    def desk(self, **options):
        """A desk that has not been started."""
        desk = Desk(self.bin_dir, self.folder, **options)
        self._cleanups.append(desk.clean_up)
        return desk

    def on_end(self, function):
        self._cleanups.append(function)

    def clean_up(self):
        for function in reversed(self._cleanups):
            function()


def run_case(main):
    """Entry point of each run.py: main(case) raises if the case fails."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--logs", help="keeps the logs of a failure there")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    name = os.path.basename(os.path.dirname(os.path.abspath(sys.argv[0])))
    folder = tempfile.mkdtemp(prefix=f"dotterelshed-{name}-")
    case = Case(args.bin, folder, args.seed)
    failed = False
    try:
        main(case)
    except BaseException:  # pylint: disable=broad-except
        failed = True
        traceback.print_exc()
    finally:
        case.clean_up()
    if failed and args.logs:
        target = os.path.join(args.logs, name)
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(folder, target)
        print(f"logs are in {target}", file=sys.stderr)
    shutil.rmtree(folder, ignore_errors=True)
    print(f"{name}: {'FAILED' if failed else 'passed'}"
          f" (seed {args.seed})")
    sys.exit(1 if failed else 0)
