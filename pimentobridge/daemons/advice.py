"""Sends the scheduler's questions to the policy service, one by one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.platform import advice as advice_service

POLL_INTERVAL_S = 0.05
# Delay after a failed call, so that retries don't add to an overload.
RETRY_DELAY_S = 0.2


class Adviser:
    """Asks the policy service which workers may run a step.

    Args:
        engine: provides the questions and receives the answers.
        service: the policy service; None if the settings name none.
        clock: source of time.
        on_answer: called after each answer.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        service: advice_service.AdviceService | None,
        clock: clock_lib.Clock,
        on_answer: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._service = service
        self._clock = clock
        self._on_answer = on_answer

    async def run(self) -> None:
        """Sends questions until cancelled."""
        service = self._service
        if service is None:
            return
        while True:
            asked_s = self._clock.monotonic()
            question = self._engine.advice.next_question(
                self._engine.placeable_workers(), asked_s
            )
            if question is None:
                await trio.sleep(POLL_INTERVAL_S)
                continue
            answer = await service.ask(
                question.step,
                [incarnation.worker for incarnation in question.incarnations],
                expected_s=question.policy.time_for(len(question.incarnations)),
            )
            logs.event(
                "advice asked",
                job=question.step.job,
                step=question.step.step,
                workers=len(question.incarnations),
                took_s=round(self._clock.monotonic() - asked_s, 3),
                outcome=(
                    f"{len(answer.ok_value.tickets_by_worker)} may run it"
                    if isinstance(answer, result.Ok)
                    else answer.err_value
                ),
            )
            if isinstance(answer, result.Ok):
                self._engine.advice.on_answer(
                    question, answer.ok_value, asked_s
                )
                self._engine.needs_pass = True
                self._on_answer()
            else:
                await trio.sleep(RETRY_DELAY_S)
