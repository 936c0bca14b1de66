#!/usr/bin/env python3
"""Hosts accept what the settings template becomes, with few fields and with all.

Guards against hosts that refuse to start where the platform leaves a value out.
"""

import argparse
import json
import os
import re
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TEMPLATE = os.path.join(ROOT, "deploy", "host.jsonc.in")
FEWEST = {
    "nodeName": "edge-1", "zone": "z", "ip": "127.0.0.1",
    "portRange": [7380, 7395], "bootstrap": True, "heartbeatMs": 1200,
    "listen": {"front": "127.0.0.1:1", "readyAddr": "127.0.0.1:2"},
    "limits": {"cpuShare": 0.17, "maxFds": 2870},
    "tolerate": {"machines": 1, "zones": 1},
    "bounds": {"contactMs": 3000, "graceS": 8, "configMs": 2000,
               "drainMs": 2000},
    "platform": {"address": "127.0.0.1:3"}}
ALL = {
    **FEWEST, "zones": {"y": "r", "z": "r"}, "contracts": ["base", "drain"],
    "bounds": {**FEWEST["bounds"], "revokeMs": 5000, "strictRevoke": True,
               "quotaWindowS": 4, "quotaOver": 0.2, "quotaSlack": 10}}
DISK = {**FEWEST, "listen": {}, "dataDir": "/data"}


def find(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if value else None
    return value


def fill_section(fields, match):
    sign, name, text = match.groups()
    value = find(fields, name)
    if sign == "^" or not isinstance(value, (list, dict)):
        return text if bool(value) == (sign == "#") else ""
    keys = list(value) if isinstance(value, dict) else range(len(value))
    parts = []
    for number, key in enumerate(keys):
        part = text.replace("{{@}}", str(key))
        part = part.replace("{{.}}", str(value[key]))
        part = part.replace("{{,}}", "," if number + 1 < len(keys) else "")
        parts.append(part)
    return "".join(parts)


def render(template, fields, missing_json):
    """Fills in the template; `missing_json` is what |json makes of no value."""
    text = re.sub(r"\{\{([#^])(\w+)\}\}(.*?)\{\{/\2\}\}",
                  lambda match: fill_section(fields, match), template)

    def fill_value(match):
        value = find(fields, match[1])
        if match[2]:
            return missing_json if value is None else json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_value, text)


def check(program, name, text):
    with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
        file.write(text)
        file.flush()
        result = subprocess.run([program, "--settings", file.name, "--check"],
                                capture_output=True, text=True, check=False)
    if result.returncode != 0:
        print(f"{name}: refused: {result.stdout}{result.stderr}{text}")
    return result.returncode == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seed")
    parser.add_argument("--logs")
    program = os.path.join(parser.parse_args().bin, "dotterelshed_entry")
    with open(TEMPLATE, encoding="utf-8") as file:
        template = file.read()
    accepted = True
    for name, fields in (("fewest", FEWEST), ("all", ALL), ("disk", DISK)):
        for missing_json in ("", "null"):
            text = render(template, fields, missing_json)
            accepted &= check(program, f"{name} {missing_json}", text)
    sys.exit(0 if accepted else 1)


main()
