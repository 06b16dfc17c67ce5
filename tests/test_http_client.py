"""The client of the platform's HTTP services, over slow links."""

from __future__ import annotations

import trio

from pimentobridge.bench import harness
from pimentobridge.platform import http_client
from pimentobridge.testing import http_network
from pimentobridge.testing import links

# 5 Mbit/s, the slowest link of an entry that users have named.
LINK_BYTES_PER_S = 625_000.0
TIMEOUT_S = 0.8


def _call(
    answer_bytes: int, *, stops_after_s: float | None = None
) -> tuple[object, float]:
    """Returns the outcome of a call over a slow link, and how long it took.

    Args:
        answer_bytes: size of the answer.
        stops_after_s: time after which nothing arrives any more; None if all
            of it does.
    """

    async def handle(
        method: str, path: str, body: object
    ) -> http_client.Answer:
        del method, path, body
        return http_client.Answer(200, {"value": "x" * answer_bytes})

    async def main() -> tuple[object, float]:
        incoming = links.Link(LINK_BYTES_PER_S)
        client = http_client.HttpClient(
            "store:80",
            network=http_network.LinkBackend(
                handler=handle, incoming=incoming, delay_s=0.005
            ),
        )
        async with trio.open_nursery() as nursery:
            if stops_after_s is not None:
                nursery.start_soon(_block, incoming, stops_after_s)
            answer = await client.call("GET", "/", timeout_s=TIMEOUT_S)
            took_s = trio.current_time()
            nursery.cancel_scope.cancel()
        return answer, took_s

    outcome: tuple[object, float] = harness.run_virtual(main)
    return outcome


async def _block(link: links.Link, after_s: float) -> None:
    await trio.sleep(after_s)
    link.reserve(int(LINK_BYTES_PER_S * 3600))


# Guards against CONFIG (issue 23): an answer that took longer than the timeout
# of its call was cut off, however steadily it arrived.
def test_an_answer_that_keeps_arriving_is_not_cut_off() -> None:
    answer, _ = _call(1_400_000)
    assert isinstance(answer, http_client.Answer)
    assert len(answer.body["value"]) == 1_400_000


def test_an_answer_that_stops_arriving_is_given_up() -> None:
    answer, took_s = _call(1_400_000, stops_after_s=0.5)
    assert answer is http_client.Failure.TIMED_OUT
    assert took_s <= 0.5 + 2 * http_client.PROGRESS_TIMEOUT_S
