"""A whole desk: platform, engines, services and hosts, with one text."""

import json
import os
import subprocess

from harness import http_client
from harness.process import Process
from harness.waiting import wait_for

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
SECRET = "a secret of the test desk"
HEARTBEAT = "200ms"


class DeskOptions:
    """Size and behaviour of a desk; tests set what they need."""

    def __init__(self, **changes):
        self.domains = ["nord", "syd"]
        self.hosts_per_domain = 2
        self.engines_per_domain = 2
        self.engine_args = []
        self.dashboard_args = []
        self.control_args = []
        self.controls_per_domain = 1
        self.platform_args = []
        self.host_settings = {}
        self.checks_fencing = False
        self.timeout = "30s"
        self.progress_timeout = "1s"
        self.plain_timeout = "10s"
        self.budget = "50 DKK"
        self.idle_limit = "10m"
        self.deadline = "60s"
        self.repeat_limit = 8
        self.max_concurrent = 1000
        self.price_per_million_generated = "16 DKK"
        for name, value in changes.items():
            assert hasattr(self, name), name
            setattr(self, name, value)


class Desk:
    """Starts, drives and stops all processes of one test."""

    def __init__(self, bin_dir, folder, **options):
        self.bin_dir = os.path.abspath(bin_dir)
        self.folder = folder
        self.options = DeskOptions(**options)
        self.platform = None
        self.engines = []
        self.dashboards = []
        self.controls = []
        self.hosts = []
        self.domain_of = {}
        self.host_by_name = {}
        #: Address that hosts of a domain use for the platform, if another.
        self.platform_address_of = {}
        #: Relay in front of a host's peer address, by the host's name.
        self.peer_relay_of = {}
        #: Address by which an endpoint is named in the text, if another.
        self.address_of = {}

    def program(self, name):
        return os.path.join(self.bin_dir, name)

    def run_log(self, process):
        return os.path.join(self.folder, f"{process.name}.runs")

    def start_standins(self):
        """Starts platform, engines and services, and waits for them."""
        o = self.options
        self.platform = self._standin("platform", "platform_standin",
                                      o.platform_args)
        for domain in o.domains:
            for i in range(o.engines_per_domain):
                self.engines.append(self._standin(
                    f"{domain}-engine-{i + 1}", "engine_standin",
                    o.engine_args, domain))
            self.dashboards.append(self._standin(
                f"{domain}-dashboard", "service_standin", o.dashboard_args,
                domain))
            for i in range(o.controls_per_domain):
                self.controls.append(self._standin(
                    f"{domain}-control-{i + 1}", "service_standin",
                    o.control_args, domain))
        for process in self.standins():
            process.wait_ready()

    def standins(self):
        return [self.platform] + self.engines + self.dashboards + self.controls

    def _standin(self, name, program, args, domain=None):
        log = os.path.join(self.folder, f"{name}.runs")
        command = [self.program(program)] + list(args)
        if program != "platform_standin":
            command += ["--run-log", log]
        process = Process(name, command, self.folder, "--ready-file")
        self.domain_of[name] = domain
        return process.start()

    def start_hosts(self):
        """Starts all hosts and waits until each listens."""
        for domain in self.options.domains:
            for i in range(self.options.hosts_per_domain):
                self.hosts.append(self.make_host(f"{domain}-host-{i + 1}",
                                                 domain).start())
        for host in self.hosts:
            host.wait_ready()
            if host.name in self.peer_relay_of:
                self.peer_relay_of[host.name].forward_to(
                    host.addresses["peer"])

    def make_host(self, name, domain, **settings):
        values = {
            "host": name,
            "domain": domain,
            "http_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_address": self.platform_address_of.get(
                domain, self.platform.http),
            "token_secret": SECRET,
            "charts_dir": os.path.join(ROOT, "src", "charts"),
            "heartbeat_interval": HEARTBEAT,
            "missed_heartbeats": 5,
        }
        if name in self.peer_relay_of:
            values["peer_advertised"] = self.peer_relay_of[name].address
        values.update(self.options.host_settings)
        values.update(settings)
        path = os.path.join(self.folder, f"{name}.settings.jsonc")
        host = Process(name, [self.program("dotterelshed"), "--settings", path],
                       self.folder)
        values["ready_file"] = host.ready_file
        with open(path, "w", encoding="utf-8") as file:
            json.dump(values, file, indent=1)
        self.domain_of[name] = domain
        self.host_by_name[name] = host
        return host

    def restart_host(self, host):
        """Starts a host that ended again, with the addresses it had."""
        path = host.command[-1]
        with open(path, encoding="utf-8") as file:
            values = json.load(file)
        values["http_address"] = host.addresses["http"]
        values["peer_address"] = host.addresses["peer"]
        with open(path, "w", encoding="utf-8") as file:
            json.dump(values, file, indent=1)
        return host.start().wait_ready()

    def text(self, **changes):
        """The operators' text of this desk, as a JSON value."""
        o = self.options
        model_price = {"per_million_prompt_tokens": "4 DKK",
                       "per_million_generated_tokens":
                           o.price_per_million_generated}
        text = {
            "desk": "vandstand",
            "currency": "DKK",
            "domains": o.domains,
            "default_class": "question",
            "shares": {"short_calls": "30%", "retries": "10%",
                       "escrow": "25%"},
            "services": [
                {"name": "assistant", "kind": "model",
                 "depends_on": ["dashboards"], "timeout": o.timeout,
                 "progress_timeout": o.progress_timeout,
                 "price": model_price,
                 "models": [{"name": "hydro", "version": "3.1"}],
                 "endpoints": self._endpoints(self.engines,
                                              kv_tokens=200000)},
                {"name": "dashboards", "kind": "plain", "repeatable": True,
                 "timeout": o.plain_timeout,
                 "endpoints": self._endpoints(self.dashboards)},
                {"name": "controls", "kind": "plain", "repeatable": False,
                 "checks_fencing": o.checks_fencing,
                 "timeout": o.plain_timeout,
                 "price": {"per_call": "0.10 DKK"},
                 "endpoints": self._endpoints(self.controls)},
            ],
            "classes": [
                {"name": "question", "weight": 8, "deadline": o.deadline,
                 "budget": o.budget, "max_turns": 64,
                 "idle_limit": o.idle_limit, "repeat_limit": o.repeat_limit},
                {"name": "review", "weight": 1, "deadline": "2h",
                 "budget": "60 DKK", "max_turns": 320, "idle_limit": "30m"},
            ],
            "accounts": [
                {"name": "watch", "max_concurrent": o.max_concurrent,
                 "classes": ["question", "review"]},
                {"name": "planning", "max_concurrent": 20,
                 "classes": ["question", "review"]},
            ],
        }
        text.update(changes)
        return text

    def _endpoints(self, processes, **extra):
        return [{"name": p.name, "domain": self.domain_of[p.name],
                 "address": self.address_of.get(p.name, p.http), **extra}
                for p in processes]

    def write_text(self, name="desk.jsonc", **changes):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write("// Written by the test suite.\n")
            json.dump(self.text(**changes), file, indent=1)
        return path

    def control(self, *words, limit_s=90):
        """Runs dotterelctl; returns the completed process."""
        command = [self.program("dotterelctl"), *words, "--platform",
                   self.platform.http]
        return subprocess.run(command, capture_output=True, text=True,
                              timeout=limit_s, check=False)

    def host_options(self):
        return [word for host in self.hosts if host.running
                for word in ("--host", host.http)]

    def apply(self, path=None):
        result = self.control("apply", path or self.write_text(), "--wait",
                              "30")
        assert result.returncode == 0, result.stdout + result.stderr
        return result.stdout

    def start(self):
        """Everything, up to hosts that serve under the text."""
        self.start_standins()
        self.start_hosts()
        self.apply()
        self.wait_serving()
        return self

    def wait_serving(self, hosts=None):
        for host in hosts or self.hosts:
            wait_for(lambda h=host: self.is_ready(h),
                     f"{host.name} is ready to serve")
        for domain in self.options.domains:
            wait_for(lambda d=domain: self.pools_settled(d),
                     f"the pools of {domain} have owners")

    def is_ready(self, host):
        try:
            return http_client.request(host.http, "GET",
                                       "/readyz").status == 200
        except OSError:
            return False

    def table(self, domain):
        """The domain's table as the platform has it, or None."""
        reply = http_client.request(
            self.platform.http, "GET",
            f"/apis/dotterelshed/v1/domaintables/{domain}")
        return reply.json()["spec"] if reply.status == 200 else None

    def pools_settled(self, domain):
        table = self.table(domain)
        pools = (table or {}).get("pools") or {}
        wanted = 2 if self.options.hosts_per_domain > 1 else 1
        return pools and all(
            len(pool_owners(pool)) >= wanted for pool in pools.values())

    def owners_of(self, domain):
        """Primary and copy holder of the domain's only pool."""
        pools = self.table(domain)["pools"]
        assert len(pools) == 1, pools
        return pool_owners(next(iter(pools.values())))

    def primary_of(self, domain):
        return self.host_by_name[self.owners_of(domain)[0]]

    def holder_of(self, domain):
        return self.host_by_name[self.owners_of(domain)[1]]

    def hosts_in(self, domain):
        return [h for h in self.hosts if self.domain_of[h.name] == domain]

    def runs(self, processes):
        """Lines of the run logs of some stand-ins."""
        entries = []
        for process in processes:
            path = self.run_log(process)
            if os.path.exists(path):
                with open(path, encoding="utf-8") as file:
                    entries += [json.loads(line) for line in file]
        return entries

    def runs_of_key(self, key):
        """How often a key ran on any control service."""
        return sum(1 for run in self.runs(self.controls)
                   if key and key in run.get("key", ""))

    def held(self):
        """Holds of all engines that run."""
        holds = []
        for engine in self.engines:
            if engine.running:
                holds += http_client.get_json(engine.http,
                                              "/v1/holds")["holds"]
        return holds

    def stop_hosts(self):
        """SIGTERM to all hosts; returns exit codes by name."""
        running = [h for h in self.hosts if h.running]
        for host in running:
            host.ask_to_stop()
        return {host.name: host.stop() for host in running}

    def clean_up(self):
        for process in self.hosts + [p for p in self.standins() if p]:
            process.clean_up()


def pool_owners(pool):
    """Names of primary and copy holder, in this order."""
    names = [pool[role]["host"] for role in ("primary", "holder")]
    return [name for name in names if name]
