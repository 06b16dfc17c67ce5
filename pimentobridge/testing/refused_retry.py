"""A start that is carried out late, and whose retry is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from pimentobridge.platform import http_client
from pimentobridge.testing import platform_runner

if TYPE_CHECKING:
    import pytest

START_PATH = "/v1/run-start"


class RefusedRetry:
    """Leaves the first start of all unanswered, and refuses the next one there.

    The first start is carried out late, just before the next one arrives.

    Args:
        refusal: status of the answer to the next start.

    Attributes:
        first: the runner that has got the first start; None before it.
        late_call: arguments of the first start until it is carried out.
    """

    def __init__(self, refusal: int) -> None:
        self._refusal = refusal
        self.first: platform_runner.PlatformRunner | None = None
        self.late_call: tuple[Any, ...] | None = None
        self._handle = platform_runner.PlatformRunner.handle

    async def handle(
        self, runner: platform_runner.PlatformRunner, path: str, *args: Any
    ) -> http_client.Answer:
        """Handles a call to a runner."""
        if path != START_PATH:
            return await self._handle(runner, path, *args)
        if self.first is None:
            self.first, self.late_call = runner, args
            await trio.sleep_forever()
        if self.first is runner and self.late_call is not None:
            await self._handle(runner, path, *self.late_call)
            self.late_call = None
            return http_client.Answer(self._refusal, {})
        return await self._handle(runner, path, *args)

    def patch(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Has all runners handle calls by way of this object."""

        async def handle(
            runner: platform_runner.PlatformRunner, *args: Any
        ) -> http_client.Answer:
            return await self.handle(runner, *args)

        monkeypatch.setattr(platform_runner.PlatformRunner, "handle", handle)
