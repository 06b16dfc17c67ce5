"""HTTP client of the placement policy service.

The service belongs to the users and decides which workers may run a step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.scheduling import advice
from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Iterable

# Added to the service's expected decision time to get the call's timeout.
RESPONSE_TIMEOUT_MARGIN_S = 0.5


class AdviceService:
    """Client of the placement policy service.

    The service handles one call at a time for each calling machine.

    Args:
        client: HTTP client of the service's address.
    """

    def __init__(self, client: http_client.Client) -> None:
        self._client = client

    async def ask(
        self,
        step: advice.StepName,
        workers: Iterable[types.WorkerId],
        *,
        expected_s: float,
    ) -> result.Result[advice.Answer, str]:
        """Asks which workers may run a step.

        Args:
            step: the step.
            workers: at most 100 workers.
            expected_s: time that the service is expected to take to decide.

        Returns:
            The answer, or the reason why the call failed. A failed call may be
            repeated.
        """
        answer = await self._client.call(
            "POST",
            "/v1/advise",
            timeout_s=expected_s + RESPONSE_TIMEOUT_MARGIN_S,
            body={"step": str(step), "workers": list(workers)},
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(answer.value)
        if answer.status != 200:
            return result.Err(f"expected status 200, received {answer.status}")
        try:
            return result.Ok(
                advice.Answer(
                    {
                        types.WorkerId(str(worker)): str(ticket)
                        for worker, ticket in answer.body["good"]
                    },
                    decoding.number(answer.body["validityMs"]) / 1000,
                )
            )
        except (KeyError, TypeError, ValueError):
            return result.Err(
                "received a malformed answer; expected good and validityMs"
            )
