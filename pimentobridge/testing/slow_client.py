"""Client of the platform's store whose answers come late, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from pimentobridge.testing import platform_store


class SlowClient:
    """Client of a store that acts at once and answers late.

    Args:
        store: the store that is called.

    Attributes:
        answer_s: time until each answer, in seconds.
    """

    def __init__(self, store: platform_store.PlatformStore) -> None:
        self._store = store
        self.answer_s = 0.01

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> http_client.Answer | http_client.Failure:
        """Makes a call and returns the response, or why there is none."""
        del headers
        with trio.move_on_after(timeout_s):
            answer = await self._store.handle(method, path, body)
            await trio.sleep(self.answer_s)
            return answer
        return http_client.Failure.TIMED_OUT
