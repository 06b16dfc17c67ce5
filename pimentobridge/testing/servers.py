"""Fake backend server and worker as a process, for the demo.

Run as `python -m pimentobridge.testing.servers HOST:PORT`.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from pimentobridge.core import request as request_lib
from pimentobridge.core import types
from pimentobridge.daemons import http
from pimentobridge.testing import backend as backend_lib

LOAD_S = 0.1
STOP_S = 2.0


class EffectCount(msgspec.Struct, frozen=True):
    """How often the work of an idempotency key was started on this server."""

    key: str
    started: int


class BackendApp:
    """ASGI application of a fake backend server and a fake worker."""

    def __init__(self) -> None:
        self._ledger = backend_lib.Ledger()
        self._backend = backend_lib.FakeBackend(
            ledger=self._ledger, rng=random.Random(1)
        )
        self._stops_by_gang: dict[str, trio.Event] = {}

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        """Handles one ASGI scope."""
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
            return
        body = await http.read_body(receive)
        path = str(scope["path"])
        if path == "/effects":
            response = self._list_effects()
        elif path.startswith("/v1/tasks/"):
            response = await self._handle_task(scope, path.split("/")[3:])
        else:
            response = await self._handle_work(scope, path, body)
        await http.send_response(send, response)

    async def _handle_work(
        self, scope: http.Scope, path: str, body: bytes
    ) -> http.Response:
        key = http.header(scope, "Idempotency-Key")
        reply = await self._backend.perform(
            request_lib.Request(
                id=types.RequestId(key),
                key=key,
                account=types.AccountName(""),
                caller=types.CallerId(""),
                work_class=types.ClassName(path.rsplit("/", 1)[-1]),
                idempotent=False,
                remaining_s=0.0,
                payload=body,
            )
        )
        return http.Response(
            reply.status, reply.body, "application/octet-stream"
        )

    async def _handle_task(
        self, scope: http.Scope, path_parts: list[str]
    ) -> http.Response:
        gang = path_parts[0]
        if scope["method"] == "DELETE":
            await trio.sleep(STOP_S if gang in self._stops_by_gang else 0)
            self._stops_by_gang.pop(gang, trio.Event()).set()
            return http.Response(200, b"")
        if path_parts[-1] == "load":
            await trio.sleep(LOAD_S)
            self._stops_by_gang[gang] = trio.Event()
            return http.Response(200, b"")
        self._ledger.started_by_key[f"gang {gang}"] += 1
        await self._stops_by_gang[gang].wait()
        return http.Response(503, b"")

    def _list_effects(self) -> http.Response:
        effect_counts = [
            EffectCount(key, count)
            for key, count in self._ledger.started_by_key.items()
        ]
        return http.Response(200, msgspec.json.encode(effect_counts))


def main(arguments: list[str]) -> None:
    """Serves one backend server until it is killed."""
    (listen,) = arguments
    app: Any = BackendApp()
    config = hypercorn.config.Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    trio.run(hypercorn.trio.serve, app, config)


if __name__ == "__main__":
    main(sys.argv[1:])
