"""Waiting on conditions. Limits are generous; tests assert outcomes, not time."""

import time

LIMIT_S = 60.0
POLL_S = 0.02


class WaitFailed(AssertionError):
    """A condition did not come true within the limit."""


def wait_for(condition, what, limit_s=LIMIT_S):
    """Polls condition() until it is true and returns what it returned."""
    deadline = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise WaitFailed(f"not within {limit_s:.0f} s: {what}")
        time.sleep(POLL_S)
