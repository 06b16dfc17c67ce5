"""Starts a process of a role on the platform.

The process listens at its addresses before it imports the modules of its role,
which take most of the time of a start. Callers and the worker then wait for the
rest of the start, instead of being refused and coming back later.
"""

from __future__ import annotations

import argparse
import importlib
import sys

from pimentobridge.daemons import listening
from pimentobridge.daemons import platform_signals
from pimentobridge.platform import boot_settings

MODULE_BY_ROLE = {
    "entry": "pimentobridge.daemons.job_entry_process",
    "agent": "pimentobridge.daemons.worker_agent_process",
}


def main() -> int:
    """Runs a process until a signal stops it."""
    parser = argparse.ArgumentParser(description="Starts a process of a role.")
    parser.add_argument("role", choices=sorted(MODULE_BY_ROLE))
    role = parser.parse_args().role
    # The process handles these as soon as it runs; until then their default
    # action would end it and cut the connections that it has accepted.
    platform_signals.block()
    settings = boot_settings.load(boot_settings.path_from_environment())
    listeners = listening.Listeners(
        (settings.front, settings.ready, settings.control)
    )
    process = importlib.import_module(MODULE_BY_ROLE[role])
    status: int = process.main(settings, listeners)
    return status


if __name__ == "__main__":
    sys.exit(main())
