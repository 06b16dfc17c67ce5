"""HTTP client that controls the gang tasks of a worker.

Only this module knows the wire format:
`POST /v1/tasks/GANG/load?mask=M` responds when the tasks are loaded,
`POST /v1/tasks/GANG/start` when they have finished, and
`DELETE /v1/tasks/GANG` when they have stopped. Status 200 means success.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import httpcore
import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types

STOP_TIMEOUT_S = 10.0
LOAD_TIMEOUT_S = 15.0


class HttpWorker:
    """Controls the gang tasks of the worker at a base URL.

    Args:
        base_url: URL to which the request paths are appended.
        spawn: starts a background task in the owning process's nursery.
    """

    def __init__(self, base_url: str, spawn: Callable[..., Any]) -> None:
        self._base_url = base_url.rstrip("/")
        self._spawn = spawn
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    def load(
        self, gang: types.GangId, mask: int, on_ready: Callable[[bool], None]
    ) -> None:
        """Loads a gang's tasks up to the start barrier."""
        path = f"/v1/tasks/{_quoted(gang)}/load?mask={mask}"
        self._spawn(self._call, "POST", path, LOAD_TIMEOUT_S, on_ready)

    def start(
        self, gang: types.GangId, on_finished: Callable[[bool], None]
    ) -> None:
        """Runs loaded tasks; `on_finished` gets whether they succeeded."""
        path = f"/v1/tasks/{_quoted(gang)}/start"
        self._spawn(self._call, "POST", path, None, on_finished)

    def stop(self, gang: types.GangId, on_stopped: Callable[[], None]) -> None:
        """Checkpoints and stops a gang's tasks, whether loaded or running."""
        path = f"/v1/tasks/{_quoted(gang)}"
        self._spawn(
            self._call, "DELETE", path, STOP_TIMEOUT_S, lambda _: on_stopped()
        )

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float | None,
        on_done: Callable[[bool], None],
    ) -> None:
        succeeded = False
        try:
            with trio.move_on_after(
                float("inf") if timeout_s is None else timeout_s
            ):
                response = await self._pool.request(
                    method,
                    self._base_url + path,
                    extensions={"timeout": {"connect": 2.0}},
                )
                succeeded = response.status == 200
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            succeeded = False
        on_done(succeeded)


def _quoted(gang: types.GangId) -> str:
    return urllib.parse.quote(gang, safe="")
