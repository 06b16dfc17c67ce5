"""Signals that the platform sends to a process."""

from __future__ import annotations

import signal

HANDLED = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def block() -> None:
    """Keeps the signals pending until `unblock`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def unblock() -> None:
    """Delivers pending and later signals."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
