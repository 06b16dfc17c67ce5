"""Decoders of external input must turn bad input into typed errors."""

from __future__ import annotations

import contextlib
import json
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest
import result
import trio

from pimentobridge.core import decoding
from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import advice as advice_lib
from pimentobridge.platform import advice
from pimentobridge.platform import boot_settings
from pimentobridge.platform import heartbeats
from pimentobridge.platform import http_client
from pimentobridge.platform import kv_store
from pimentobridge.platform import operator_configuration
from pimentobridge.platform import runner
from pimentobridge.platform import runner_status
from pimentobridge.platform import submissions

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**30, -(10**30), 2**63, 1e300, float("inf")])
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
fuzz = settings(derandomize=True, max_examples=150, deadline=None)

QUEUE = configuration.Queue("q", "h", "/", "s", 1, 2, 1.0, 1.0, 3.0)
HEARTBEAT = {
    "service": "s",
    "address": "a:1",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1, "memMb": 1, "gpu": 1},
    "labels": ["a", "rack"],
    "sequence": 1,
    "born": 1,
    "clockMs": 2,
}
JOB = {"spec": "", "steps": [{"count": 1, "cpu": 1}]}
DOCUMENT: dict[str, Any] = {
    "version": 1,
    "routes": [{"name": "r", "hostname": "h", "prefix": "/", "service": "s"}],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "guaranteed": {"gpu": 1}}],
}
RUNNER_STATUS = {
    "clockMs": 1,
    "born": 1,
    "running": [["a.0.0.0", 1, "", 5]],
    "finished": [[1, "a.0.0.0", 1, "done", ""]],
}


def mutations_of(base: dict[str, Any]) -> strategies.SearchStrategy[bytes]:
    """Generates bodies with one field replaced, and random bytes."""

    def with_field(field: str, value: Any) -> bytes:
        return json.dumps({**base, field: value}).encode()

    return strategies.binary(max_size=60) | strategies.builds(
        with_field, strategies.sampled_from(sorted(base)), JSON
    )


@fuzz
@given(body=mutations_of(HEARTBEAT))
def test_heartbeat_decoder_raises_only_its_typed_error(body: bytes) -> None:
    with contextlib.suppress(decoding.MalformedError):
        heartbeat = heartbeats.decode("w", body)
        assert heartbeat.incarnation.key.worker == "w"
        # The agent sends it on to the scheduler.
        assert msgspec.msgpack.encode(heartbeat)


@fuzz
@given(body=mutations_of(JOB))
def test_submission_decoder_returns_typed_problems(
    body: bytes,
) -> None:
    decoded = submissions.decode(
        body,
        job=types.JobId("a" * 16),
        queue=QUEUE,
        account=types.AccountName("t"),
        now_ms=1,
    )
    if isinstance(decoded, result.Err):
        assert decoded.err_value.kind is errors.ErrorKind.INVALID_REQUEST
        assert decoded.err_value.remedy
    else:
        stored = progress_lib.encode_job(decoded.ok_value)
        assert progress_lib.decode_job(stored) == decoded.ok_value


@fuzz
@given(body=mutations_of(DOCUMENT))
def test_configuration_decoder_raises_only_its_typed_error(
    body: bytes,
) -> None:
    with contextlib.suppress(decoding.MalformedError):
        document = operator_configuration.decode(body)
        assert document.queue_for("x", "/y") is None
        assert msgspec.msgpack.encode(document)


@fuzz
@given(text=strategies.text(max_size=200))
def test_settings_parser_rejects_arbitrary_text(text: str) -> None:
    with pytest.raises(errors.ProblemError):
        boot_settings.parse(text)


SETTINGS = """node=entry-0
ip=127.0.0.1
zone=north-a
region=north
internalPorts=1,2
platform.address=127.0.0.1:3
"""


@pytest.mark.parametrize(
    ("line", "expected"), [("", 3.0), ("bounds.remoteFactor=2.5", 2.5)]
)
def test_the_settings_state_how_slow_remote_tasks_are(
    line: str, expected: float
) -> None:
    settings = boot_settings.parse(f"{SETTINGS}{line}\n")
    assert settings.remote_factor == expected


def test_settings_state_the_memory_and_descriptors_of_a_machine() -> None:
    settings = boot_settings.parse(
        f"{SETTINGS}limits.memoryMb=200\nlimits.maxFds=4100\n"
    )
    assert (settings.memory_mb, settings.max_fds) == (200, 4100)
    unstated = boot_settings.parse(SETTINGS)
    assert unstated.memory_mb == boot_settings.DEFAULT_MEMORY_MB
    assert unstated.max_fds == boot_settings.DEFAULT_MAX_FDS


@pytest.mark.parametrize("value", ["many", "inf"])
def test_settings_with_an_unusable_limit_are_rejected(value: str) -> None:
    with pytest.raises(errors.ProblemError):
        boot_settings.parse(f"{SETTINGS}limits.maxFds={value}\n")


class _FixedClient:
    """Returns the same response to every call."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        self._answer = http_client.Answer(status, body)

    async def call(
        self, method: str, path: str, **_: Any
    ) -> http_client.Answer | http_client.Failure:
        return self._answer

    @property
    def reusable(self) -> bool:
        return True

    async def close(self) -> None:
        pass


@fuzz
@given(field=strategies.sampled_from(sorted(RUNNER_STATUS)), value=JSON)
def test_runner_poll_never_raises(field: str, value: Any) -> None:
    client = _FixedClient(200, {**RUNNER_STATUS, field: value})
    polled = trio.run(_poll, client)
    assert isinstance(
        polled, (runner_status.RunnerStatus, runner_status.PollFailure)
    )


async def _poll(
    client: _FixedClient,
) -> runner_status.RunnerStatus | runner_status.PollFailure:
    return await runner.Runner(lambda: client).poll(
        runs.IncarnationKey(types.WorkerId("w"), RUNNER_STATUS["born"]),
        token=1,
        acknowledged_end=0,
        lease_until_s=None,
    )


@fuzz
@given(
    status=strategies.sampled_from([200, 404, 410, 412, 429, 503]),
    field=strategies.sampled_from(
        ["items", "events", "storeRevision", "hasMore", "revision", "lease"]
    ),
    value=JSON,
)
def test_store_client_never_raises(status: int, field: str, value: Any) -> None:
    store = kv_store.KvStore(_FixedClient(status, {field: value}))
    for outcome in trio.run(_call_all, store):
        assert isinstance(outcome, (result.Ok, result.Err))


async def _call_all(store: kv_store.KvStore) -> list[object]:
    return [
        await store.get("k"),
        await store.page("p"),
        await store.watch("p", after_revision=1, wait_s=0.1),
        await store.transact(expected={"k": 1}, puts=[]),
        await store.grant_lease(2.0),
        await store.renew_lease(1, timeout_s=1.0),
        await store.revoke_lease(1),
    ]


ADVICE = {"good": [["w", "t"]], "validityMs": 3000}


@fuzz
@given(field=strategies.sampled_from(sorted(ADVICE)), value=JSON)
def test_advice_client_never_raises(field: str, value: Any) -> None:
    service = advice.AdviceService(_FixedClient(200, {**ADVICE, field: value}))
    answer = trio.run(_ask, service)
    assert isinstance(answer, (result.Ok, result.Err))


async def _ask(
    service: advice.AdviceService,
) -> result.Result[advice_lib.Answer, str]:
    step = advice_lib.StepName(types.JobId("a" * 16), 0, 0)
    return await service.ask(step, [types.WorkerId("w")], expected_s=0.1)


def test_the_policy_of_a_queue_is_decoded() -> None:
    policy = {"decisionMs": 50, "eachMs": 5, "validityMs": 3000}
    route = {**DOCUMENT["routes"][0], "advice": policy}
    document = operator_configuration.decode(
        json.dumps({**DOCUMENT, "routes": [route]}).encode()
    )
    queue = document.queues_by_name["r"]
    assert queue.advice == configuration.AdvicePolicy(0.05, 0.005, 3.0)
    assert queue.advice.time_for(30) == pytest.approx(0.2)


def test_parsing_a_formatted_task_name_returns_it() -> None:
    name = model.TaskName(types.JobId("a" * 16), 1, 2, 3)
    assert model.TaskName.parse(str(name)) == name
    with pytest.raises(ValueError, match="expected JOB.OCCURRENCE.STEP.TASK"):
        model.TaskName.parse("a.b")


# Guards against a worker whose list can't be read because it has no figure of a
# run or one of another type, and against reports that carry false precision.
@pytest.mark.parametrize(
    ("figures", "metric"),
    [
        ([], None),
        ([None], None),
        (["12"], None),
        ([True], None),
        ([-3], None),
        ([1.5], None),
        ([10**30], None),
        ([0], 0),
        ([7], 7),
        ([95], 95),
        ([12.0], 12),
        ([254], 254),
        ([3941, "more"], 3950),
    ],
)
def test_the_figure_of_a_run_is_optional(
    figures: list[object], metric: int | None
) -> None:
    row = ["a.0.0.0", 1, "", 5, *figures]
    answer = http_client.Answer(200, {**RUNNER_STATUS, "running": [row]})
    incarnation = runs.IncarnationKey(types.WorkerId("w"), 1)
    status = runner_status.decode(answer, incarnation)
    assert isinstance(status, runner_status.RunnerStatus)
    (task,) = status.running
    assert (task.percent, task.metric) == (5, metric)
