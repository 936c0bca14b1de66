"""One child process with a ready file, a log and signals by its own pid."""

import json
import os
import signal
import subprocess

from harness import http_client
from harness.waiting import wait_for


class Process:
    """A program under test. Its ready file holds the addresses it listens on."""

    def __init__(self, name, command, folder, ready_option=None):
        self.name = name
        self.folder = folder
        self.ready_file = os.path.join(folder, f"{name}.ready")
        self.log_file = os.path.join(folder, f"{name}.log")
        self.command = list(command)
        if ready_option:
            self.command += [ready_option, self.ready_file]
        self.addresses = {}
        self.child = None

    def start(self):
        """Starts without waiting; wait_ready() gets the addresses."""
        if os.path.exists(self.ready_file):
            os.remove(self.ready_file)
        with open(self.log_file, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self

    def wait_ready(self):
        """Waits for the ready file and reads the addresses."""
        def ready():
            if self.child.poll() is not None:
                raise AssertionError(
                    f"{self.name} ended with {self.child.returncode}:\n"
                    + self.log_tail())
            if not os.path.exists(self.ready_file):
                return None
            with open(self.ready_file, encoding="utf-8") as file:
                return json.load(file)
        self.addresses = wait_for(ready, f"{self.name} is ready")
        return self

    @property
    def http(self):
        """Address of the HTTP side, "IP:port"."""
        return self.addresses["http"]

    def generation(self):
        """Configuration in force on this host."""
        status = http_client.get_json(self.http, "/admin/status")
        return status["core"]["generation"]

    @property
    def running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        """kill -9, and waits for the end."""
        if self.running:
            self.child.kill()
        self.child.wait()

    def pause(self):
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.child.send_signal(signal.SIGCONT)

    def ask_to_stop(self):
        self.child.send_signal(signal.SIGTERM)

    def stop(self, limit_s=60):
        """SIGTERM; returns the exit code."""
        if self.running:
            self.ask_to_stop()
        return self.child.wait(timeout=limit_s)

    def clean_up(self):
        """Ends the process whatever state it is in."""
        if self.running:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def log_tail(self, lines=30):
        with open(self.log_file, encoding="utf-8", errors="replace") as file:
            return "".join(file.readlines()[-lines:])
