"""HTTP API of an entry on the platform, for callers and the balancer."""

from __future__ import annotations

import contextlib
import re
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import result

from pimentobridge.core import types
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import http
from pimentobridge.daemons import http_limits
from pimentobridge.daemons import job_entry
from pimentobridge.daemons import job_metrics
from pimentobridge.daemons import logs
from pimentobridge.daemons import record_room
from pimentobridge.platform import submissions
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.jobs import configuration
    from pimentobridge.core.jobs import model

READINESS_PATH = "/v1/readiness"
DEFAULT_TIMEOUT_S = 3.0
# Fraction of a caller's timeout within which the entry answers.
RESPONSE_TIME_FRACTION = 0.85
# Time from an entry's start within which requests wait for its configuration.
START_WAIT_S = 1.0
# Callers wait about three seconds in total, and an outage of the store may end
# within that.
RETRY_AFTER_S = 1
_RETRY_AFTER = (b"retry-after", str(RETRY_AFTER_S).encode())
# An unanswered watch makes the mirror this old at most while the store answers.
OLD_MIRROR_S = 2.5
# Limit of remembered jobs whose end was told.
MAX_REMEMBERED_ENDS = 10_000
# Limit on the steps of a job that are logged.
MAX_LOGGED_STEPS = 8
# Longer numbers than this are no timeouts, and too long to convert.
TIMEOUT_MS_PATTERN = re.compile(r"[0-9]{1,9}\Z")
JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")


class CallerApi:
    """ASGI application of an entry.

    Args:
        entry: accepts jobs and reports their state.
        clock: source of time.
        ledger: connections of the process; None for no limits.
    """

    def __init__(
        self,
        entry: job_entry.JobEntry,
        *,
        clock: clock_lib.Clock,
        ledger: http_limits.Ledger | None = None,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._ledger = ledger
        self._room: record_room.RecordRoom | None = None
        if ledger is not None:
            self._room = record_room.RecordRoom(
                ledger.limits,
                stored_bytes=lambda: entry.mirror.value_bytes,
                stored_tasks=lambda: entry.stored_jobs.tasks,
            )
        # Jobs whose end was told to a caller; the oldest are forgotten first.
        self._ends_told: dict[types.JobId, None] = {}
        self.metrics = job_metrics.Metrics(self._gauges)

    def _gauges(self) -> dict[str, float]:
        values = self._entry.gauges()
        return (
            values if self._ledger is None else values | self._ledger.gauges()
        )

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        """Serves one request."""
        await http.serve(scope, receive, send, self._respond_measured)

    async def _respond_measured(
        self, scope: http.Scope, receive: Any
    ) -> http.Response:
        start_s = self._clock.monotonic()
        response = await self._respond(scope, receive)
        if scope["path"] != READINESS_PATH:
            self.metrics.observe_request(
                scope["method"],
                response.status,
                self._clock.monotonic() - start_s,
            )
        return response

    async def _respond(self, scope: http.Scope, receive: Any) -> http.Response:
        path: str = scope["path"]
        if path == READINESS_PATH:
            return _response(200 if self._entry.ready else 503)
        document = await self._entry.first_configuration(START_WAIT_S)
        if document is None:
            return _not_run("no configuration has arrived yet")
        host = http.header(scope, "host").partition(":")[0]
        queue = document.queue_for(host, path)
        if queue is None:
            return _error(404, f"no queue takes {path} at host {host!r}.")
        account = types.AccountName("")
        if not queue.anonymous:
            scheme, _, key = http.header(scope, "authorization").partition(" ")
            owner = document.account_of(key) if scheme == "Bearer" else None
            if owner is None:
                return _error(
                    401, "the key isn't known; send a key of the account."
                )
            account = owner.name
        return await self._serve(scope, receive, queue, account)

    async def _serve(
        self,
        scope: http.Scope,
        receive: Any,
        queue: configuration.Queue,
        account: types.AccountName,
    ) -> http.Response:
        method = scope["method"]
        suffix = scope["path"][len(queue.prefix) :]
        if not suffix and method == "GET":
            pending = self._entry.pending_of(queue.name)
            return _response(200, {"pending": pending})
        if not JOB_ID_PATTERN.match(suffix):
            return _error(
                400,
                f"received job id {suffix!r}; 16 hexadecimal digits needed.",
            )
        job_id = types.JobId(suffix)
        deadline_s = self._deadline_s(scope)
        if method == "POST":
            try:
                body = await self._read_body(receive)
            except http.RequestRefusedError:
                return self._refused(job_id, "too many requests at once")
            if body is None:
                return _error(413, "the body is longer than the limit.")
            return await self._submit(body, job_id, queue, account, deadline_s)
        if method == "GET":
            return await self._query(job_id, deadline_s)
        if method == "DELETE":
            return await self._cancel(job_id, deadline_s)
        return _error(405, f"received {method}; use POST, GET or DELETE.")

    async def _read_body(self, receive: Any) -> bytes | None:
        document = self._entry.configuration
        limit = document.max_body_bytes if document else http.MAX_BODY_BYTES
        try:
            return await http.read_body(receive, limit)
        except http.BodyTooLargeError:
            return None

    async def _submit(
        self,
        body: bytes,
        job_id: types.JobId,
        queue: configuration.Queue,
        account: types.AccountName,
        deadline_s: float,
    ) -> http.Response:
        decoded = submissions.decode(
            body,
            job=job_id,
            queue=queue,
            account=account,
            now_ms=int(self._clock.now().timestamp() * 1000),
        )
        if isinstance(decoded, result.Err):
            logs.event("job invalid", job=job_id, why=decoded.err_value.detail)
            return _error(400, str(decoded.err_value))
        job = decoded.ok_value
        problem = self._entry.size_problem(job)
        if problem:
            logs.event(
                "job too large",
                job=job_id,
                asks=_asked_by(job),
                why=problem,
            )
            return _error(400, f"not run: {problem} Submit a smaller job.")
        room = self._room
        with contextlib.ExitStack() as stack:
            if room is not None and not self._entry.may_be_accepted(job_id):
                need = record_room.Need.of(
                    job, self._entry.settings.max_value_bytes
                )
                reason = room.problem_with(need)
                if reason is not None:
                    return self._refuse_record(job_id, reason)
                stack.enter_context(room.reserved(need))
            outcome = await self._entry.submit(job, deadline_s)
        logs.event(
            "job submitted",
            job=job_id,
            queue=queue.name,
            account=account,
            steps=len(job.steps),
            asks=_asked_by(job),
            store_away=self._entry.store_unreachable,
            outcome=outcome.value,
        )
        if outcome is control.WriteOutcome.WRITTEN:
            return _response(200, {})
        if outcome is control.WriteOutcome.NOT_WRITTEN:
            return _not_run("the store doesn't take jobs at the moment")
        if outcome is control.WriteOutcome.ABSENT:
            return _error(
                410,
                "not run: the job was cancelled before; submit it under a new"
                " id.",
            )
        return _outcome_unknown(
            "the store didn't answer; repeat under the same id."
        )

    def _refuse_record(
        self, job_id: types.JobId, reason: http_limits.Reason
    ) -> http.Response:
        assert self._ledger is not None
        self._ledger.refusals.record(reason)
        return self._refused(job_id, f"too many {reason.value} are stored")

    def _refused(self, job_id: types.JobId, reason: str) -> http.Response:
        """Returns a response for a submission that has not run."""
        if self._entry.may_be_accepted(job_id):
            return _outcome_unknown(
                "an earlier request may have submitted it; repeat under the"
                " same id."
            )
        return _not_run(reason)

    async def _query(
        self, job_id: types.JobId, deadline_s: float
    ) -> http.Response:
        state = await self._entry.state_of(job_id, deadline_s)
        if isinstance(state, progress_lib.JobState):
            self._log_state(job_id, state)
            return _response(200, {"state": state.value})
        if state is control.WriteOutcome.ABSENT:
            logs.event("job unknown", job=job_id)
            return _error(410, "there is no such job.")
        return _outcome_unknown("the job's state isn't known now; ask again.")

    def _log_state(
        self, job_id: types.JobId, state: progress_lib.JobState
    ) -> None:
        """Logs when callers learn that a job has ended, once per job.

        Answers from an old copy of the store are logged too, whatever they say.
        """
        age_s = self._entry.mirror_age_s
        if state.ended and job_id not in self._ends_told:
            self._ends_told[job_id] = None
            if len(self._ends_told) > MAX_REMEMBERED_ENDS:
                del self._ends_told[next(iter(self._ends_told))]
        elif age_s < OLD_MIRROR_S:
            return
        logs.event(
            "job state told",
            job=job_id,
            state=state.value,
            mirror_age_s=round(age_s, 3),
        )

    async def _cancel(
        self, job_id: types.JobId, deadline_s: float
    ) -> http.Response:
        outcome = await self._entry.cancel(job_id, deadline_s)
        logs.event("job cancelled", job=job_id, outcome=outcome.value)
        if outcome is control.WriteOutcome.WRITTEN:
            return _response(200, {})
        if outcome is control.WriteOutcome.ABSENT:
            return _error(410, "there is no such job.")
        if outcome is control.WriteOutcome.NOT_WRITTEN:
            return _not_run("the store doesn't take cancels at the moment")
        return _outcome_unknown("the store didn't answer; cancel again.")

    def _deadline_s(self, scope: http.Scope) -> float:
        text = http.header(scope, "timeout-ms")
        timeout_s = DEFAULT_TIMEOUT_S
        if TIMEOUT_MS_PATTERN.match(text):
            timeout_s = int(text) / 1000
        return self._clock.monotonic() + timeout_s * RESPONSE_TIME_FRACTION


def _asked_by(job: model.Job) -> list[list[object]]:
    """Returns what the first steps of a job ask for, for the log.

    For each step that is the number of tasks, "gang" or "tasks", and the
    millicores, MiB and accelerators of each task.
    """
    return [
        [
            step.count,
            "gang" if step.gang else "tasks",
            *msgspec.structs.astuple(step.request),
        ]
        for step in job.steps[:MAX_LOGGED_STEPS]
    ]


def _response(status: int, body: object | None = None) -> http.Response:
    content = b"" if body is None else msgspec.json.encode(body)
    return http.Response(status, content)


def _error(status: int, detail: str) -> http.Response:
    return http.Response(status, msgspec.json.encode({"error": detail}))


def _outcome_unknown(detail: str) -> http.Response:
    """Returns a response for a request that the store didn't answer in time.

    A write may or may not take effect then.
    """
    return http.Response(
        504,
        msgspec.json.encode({"error": detail, "retry_after_s": RETRY_AFTER_S}),
        headers=[_RETRY_AFTER],
    )


def _not_run(reason: str) -> http.Response:
    """Returns a response for a request that certainly takes no effect."""
    body = {"error": f"not run: {reason}.", "retry_after_s": RETRY_AFTER_S}
    return http.Response(
        503,
        msgspec.json.encode(body),
        headers=[_RETRY_AFTER],
    )
