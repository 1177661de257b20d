"""Configuration of the Trust's booking-desk; prints JSON for `medlarmillctl submit -`."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "python"))

import medlarmill_config as mm  # noqa: E402

config = mm.Config()
config.team("caretakers", weight=1)
config.team("festivals", weight=1)
config.service("booking-desk", team="caretakers", kinds={
    "availability-check": mm.kind(deadline_ms=10000, idempotent=True),
    "reservation": mm.kind(deadline_ms=10000, idempotent=False),
    "pickup-confirmation": mm.kind(deadline_ms=10000, idempotent=False),
})
config.print()
