"""The users' service that says which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from pimentobridge.core import types
from pimentobridge.core.scheduling import advice
from pimentobridge.platform import http_client

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time past the service's own in which its answer must come.
ANSWER_SLACK_S = 0.5


class AdviceService:
    """Answers one call at a time for each calling machine.

    Args:
        client: calls the service's address.
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
            workers: at most 100 of them.
            expected_s: time that the service takes to decide.

        Returns:
            The answer, or why there is none; the call may be repeated.
        """
        answer = await self._client.call(
            "POST",
            "/v1/advise",
            timeout_s=expected_s + ANSWER_SLACK_S,
            body={"step": str(step), "workers": list(workers)},
        )
        if isinstance(answer, http_client.Failure):
            return result.Err(answer.value)
        if answer.status != 200:
            return result.Err(f"status {answer.status}")
        try:
            return result.Ok(
                advice.Answer(
                    {
                        types.WorkerId(str(worker)): str(ticket)
                        for worker, ticket in answer.body["good"]
                    },
                    float(answer.body["validityMs"]) / 1000,
                )
            )
        except (KeyError, TypeError, ValueError):
            return result.Err("an answer that can't be read")
