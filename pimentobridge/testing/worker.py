"""Fake worker that records which gang worked on it and when."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types

LOAD_S = 0.1
STOP_S = 2.0


@dataclasses.dataclass
class Work:
    """Interval in which a gang worked on a worker.

    Attributes:
        mask: bits of the accelerators that it used.
        ended_s: end of the work; infinity while it lasts.
    """

    gang: types.GangId
    worker: str
    mask: int
    began_s: float
    ended_s: float = float("inf")


@dataclasses.dataclass
class WorkLog:
    """Work of all gangs on all workers."""

    entries: list[Work] = dataclasses.field(default_factory=list)


class FakeWorker:
    """Simulates the tasks of one worker.

    Args:
        name: name of the worker in the log.
        log: records the work of all workers.
        spawn: starts an async function in the background.
        run_s_by_gang: duration of each gang's work, in seconds; the work of
            other gangs lasts until it is stopped.

    Attributes:
        broken: whether loading tasks fails.
        stop_s: how long it takes to checkpoint and stop tasks.
    """

    def __init__(
        self,
        *,
        name: str,
        log: WorkLog,
        spawn: Callable[..., None],
        run_s_by_gang: dict[types.GangId, float],
    ) -> None:
        self._name = name
        self._log = log
        self._spawn = spawn
        self._run_s_by_gang = run_s_by_gang
        self._loaded_masks_by_gang: dict[types.GangId, int] = {}
        self._work_by_gang: dict[types.GangId, Work] = {}
        self.broken = False
        self.stop_s = STOP_S

    def load(
        self, gang: types.GangId, mask: int, on_ready: Callable[[bool], None]
    ) -> None:
        """Loads a gang's tasks up to the start barrier."""
        self._spawn(self._load, gang, mask, on_ready)

    def start(
        self, gang: types.GangId, on_finished: Callable[[bool], None]
    ) -> None:
        """Starts the work of loaded tasks."""
        work = Work(
            gang,
            self._name,
            self._loaded_masks_by_gang[gang],
            trio.current_time(),
        )
        self._work_by_gang[gang] = work
        self._log.entries.append(work)
        self._spawn(self._finish, work, on_finished)

    def stop(self, gang: types.GangId, on_stopped: Callable[[], None]) -> None:
        """Checkpoints and stops a gang's tasks."""
        self._end(gang)
        self._spawn(self._stop, gang, on_stopped)

    def die(self) -> None:
        """Ends all work at once, as if the machine had failed."""
        for gang in list(self._work_by_gang):
            self._end(gang)
        self._loaded_masks_by_gang.clear()

    def _end(self, gang: types.GangId) -> None:
        work = self._work_by_gang.pop(gang, None)
        if work is not None:
            work.ended_s = trio.current_time()

    async def _load(
        self, gang: types.GangId, mask: int, on_ready: Callable[[bool], None]
    ) -> None:
        await trio.sleep(LOAD_S)
        if not self.broken:
            self._loaded_masks_by_gang[gang] = mask
        on_ready(not self.broken)

    async def _finish(
        self, work: Work, on_finished: Callable[[bool], None]
    ) -> None:
        await trio.sleep(self._run_s_by_gang.get(work.gang, 1e9))
        if self._work_by_gang.get(work.gang) is work:
            self._end(work.gang)
            on_finished(True)

    async def _stop(
        self, gang: types.GangId, on_stopped: Callable[[], None]
    ) -> None:
        await trio.sleep(
            self.stop_s if gang in self._loaded_masks_by_gang else 0.0
        )
        self._loaded_masks_by_gang.pop(gang, None)
        on_stopped()
