"""Builds a medlarmill configuration and prints it as JSON, for `medlarmillctl submit -`.

    import medlarmill_config as mm

    config = mm.Config()
    config.team("trust", weight=1)
    config.service("booking-desk", team="trust", kinds={"check": mm.kind(deadline_ms=5000, idempotent=True)})
    config.print()

Every setting is described in docs/OPERATIONS.md; `medlarmillctl validate` reports every error with its path.
"""

import json
import sys


def kind(deadline_ms=None, idempotent=None):
    """Describes a request kind; what is not given takes the default of docs/OPERATIONS.md."""
    return _given(deadline_ms=deadline_ms, idempotent=idempotent)


class Config:
    """A whole configuration: teams and services."""

    def __init__(self):
        self._teams = {}
        self._services = {}

    def team(self, name, weight=None, max_waiting=None):
        """Adds a team with its share of contended services."""
        self._add(self._teams, "team", name, _given(weight=weight, max_waiting=max_waiting))

    def service(self, name, team, kinds, queue_limit=None, concurrency_limit=None, grant_retries=None,
                long_after_ms=None, drain_ms=None):
        """Adds a service of a team with its request kinds."""
        self._add(self._services, "service", name, {
            "team": team,
            "kinds": dict(kinds),
            **_given(queue_limit=queue_limit, concurrency_limit=concurrency_limit, grant_retries=grant_retries,
                     long_after_ms=long_after_ms, drain_ms=drain_ms),
        })

    def document(self):
        """Returns the configuration as plain dictionaries."""
        return {"teams": self._teams, "services": self._services}

    def print(self, file=None):
        """Prints the configuration as JSON."""
        json.dump(self.document(), file or sys.stdout, indent=2, sort_keys=True)
        print(file=file or sys.stdout)

    @staticmethod
    def _add(target, what, name, value):
        if name in target:
            raise ValueError(f"{what} {name!r} is defined twice: rename or remove one")
        target[name] = value


def _given(**values):
    return {name: value for name, value in values.items() if value is not None}
