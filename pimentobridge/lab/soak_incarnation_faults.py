"""Faults of a soak test around the ends and the starts of runners and agents.

Each function takes the number of the worker that it affects; None to draw one.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from pimentobridge.lab import incarnation_faults
from pimentobridge.lab import takeover_faults
from pimentobridge.testing import order_faults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from pimentobridge.lab import soak_faults

    Disturb = Callable[[int, float], Awaitable[None]]

# Bounds of a pause that lasts longer than the longest lease.
MIN_LONG_PAUSE_S = takeover_faults.MIN_LONG_CUT_S
MAX_LONG_PAUSE_S = 12.0


async def leave(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """A runner goes on after it has deregistered."""
    del duration_s

    async def disturb_nothing(number: int, for_s: float) -> None:
        del number, for_s

    await _leave(faults, number, "", disturb_nothing)


async def leave_behind_cut(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """A runner is cut off as it deregisters, and goes on."""
    del duration_s
    await _leave(faults, number, " behind a cut", faults.cut_off_runner)


async def leave_beside_paused_agent(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """The agent is paused as its runner deregisters, and the runner goes on."""
    del duration_s

    async def pause(number: int, for_s: float) -> None:
        await faults.pause_process(f"agent-{number}", for_s)

    await _leave(faults, number, " beside a paused agent", pause)


async def _leave(
    faults: soak_faults.SoakFaults,
    number: int | None,
    how: str,
    disturb: Disturb,
) -> None:
    number = faults.random_worker() if number is None else number
    rng = faults.rng
    drain_s = rng.uniform(
        incarnation_faults.MIN_DRAIN_S, incarnation_faults.MAX_DRAIN_S
    )
    linger_s = rng.uniform(
        incarnation_faults.MIN_LINGER_S, incarnation_faults.MAX_LINGER_S
    )
    offset_s = rng.uniform(
        -incarnation_faults.MAX_DISTURBED_BEFORE_S,
        incarnation_faults.MAX_DISTURBED_AFTER_S,
    )
    with faults.recorded_fault(
        f"runner {number} leaves{how}, {linger_s:.1f} s after it deregisters"
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(faults.platform.leave, number, drain_s, linger_s)
            await trio.sleep(max(0.0, drain_s + offset_s))
            await disturb(number, linger_s)


async def jump_between_incarnations(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """The time of day jumps between the starts of runners on one machine."""
    number = faults.random_worker() if number is None else number
    rng = faults.rng
    keeps_id = rng.random() < 0.5
    until_s = trio.current_time() + duration_s
    with faults.recorded_fault(
        f"clock of runner {number} jumps, its id stays: {keeps_id}"
    ):
        while trio.current_time() < until_s:
            if rng.random() < 0.5:
                faults.end_process(f"agent-{number}", signal.SIGKILL)
                await trio.sleep(rng.uniform(0.0, 1.0))
            jump_s = rng.randint(
                -incarnation_faults.MAX_JUMP_S, incarnation_faults.MAX_JUMP_S
            )
            faults.platform.crash(
                number, keeps_id=keeps_id, clock_jump_ms=jump_s * 1000
            )
            await trio.sleep(
                rng.uniform(
                    incarnation_faults.MIN_JUMP_INTERVAL_S,
                    incarnation_faults.MAX_JUMP_INTERVAL_S,
                )
            )


async def take_over_in_series(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """Kills or terminates one entry after the other."""
    del number
    until_s = trio.current_time() + duration_s
    with faults.recorded_fault(f"takeovers for {duration_s:.1f} s"):
        while trio.current_time() < until_s:
            faults.end_process(
                faults.random_entry(),
                faults.rng.choice([signal.SIGKILL, signal.SIGTERM]),
            )
            await trio.sleep(
                faults.rng.uniform(
                    takeover_faults.MIN_TAKEOVER_INTERVAL_S,
                    takeover_faults.MAX_TAKEOVER_INTERVAL_S,
                )
            )


async def pause_agent_beyond_lease(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """Pauses an agent for longer than the longest lease."""
    del duration_s
    number = faults.random_worker() if number is None else number
    pause_s = faults.rng.uniform(MIN_LONG_PAUSE_S, MAX_LONG_PAUSE_S)
    with faults.recorded_fault(f"pause agent-{number} for {pause_s:.1f} s"):
        await faults.pause_process(f"agent-{number}", pause_s)


async def kill_agent_amid_orders(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """Kills an agent again and again while its orders are carried out late."""
    number = faults.random_worker() if number is None else number
    until_s = trio.current_time() + duration_s
    by_runner = faults.platform.order_faults_by_runner
    with faults.recorded_fault(f"kill agent-{number} amid late orders"):
        by_runner[number] = order_faults.OrderFaults(
            late_execution_rate=takeover_faults.LATE_EXECUTION_RATE
        )
        while trio.current_time() < until_s:
            await trio.sleep(
                faults.rng.uniform(
                    takeover_faults.MIN_AGENT_INTERVAL_S,
                    takeover_faults.MAX_AGENT_INTERVAL_S,
                )
            )
            faults.end_process(f"agent-{number}", signal.SIGKILL)
        by_runner.pop(number, None)


async def lose_power(
    faults: soak_faults.SoakFaults, duration_s: float, number: int | None = None
) -> None:
    """Ends an agent and its runner at the same time."""
    del duration_s
    number = faults.random_worker() if number is None else number
    with faults.recorded_fault(f"worker {number} loses power"):
        faults.end_process(f"agent-{number}", signal.SIGKILL)
        faults.platform.crash(number)


INJECTORS = (
    leave,
    leave_behind_cut,
    leave_beside_paused_agent,
    jump_between_incarnations,
    take_over_in_series,
    pause_agent_beyond_lease,
    kill_agent_amid_orders,
    lose_power,
)
