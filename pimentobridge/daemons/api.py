"""HTTP API of an entry for its callers."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
import urllib.parse

import msgspec
import trio

from pimentobridge.core import errors
from pimentobridge.core import request as request_lib
from pimentobridge.core import types
from pimentobridge.daemons import http
from pimentobridge.protocol import jobs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import configuration
    from pimentobridge.daemons import entry as entry_lib

WORK_PATH = "/v1/work/"
JOBS_PATH = "/v1/jobs"
MAX_KEY_LENGTH = 200
JOB_ATTEMPTS = 4
JOB_ATTEMPT_TIMEOUT_S = 1.0

_TITLES_BY_KIND = {
    errors.ErrorKind.NOT_RUN: "The work was not started",
    errors.ErrorKind.OUTCOME_UNKNOWN: "The outcome is unknown",
}


class ProblemDocument(msgspec.Struct, frozen=True):
    """Error body, as `application/problem+json`.

    Attributes:
        type: stable name of the error.
        ran: whether the work ran: `no`, `yes` or `unknown`.
    """

    type: str
    title: str
    status: int
    detail: str
    ran: str


class Pages(Protocol):
    """HTTP endpoints beside the work API: jobs, status and the console."""

    async def respond(
        self, scope: http.Scope, receive: Any
    ) -> http.Response | None:
        """Returns the response for the scope's path, or None if it has none."""


def problem_response(
    kind: errors.ErrorKind,
    status: int,
    detail: str,
    ran: types.Ran,
    retry_after_s: float = 0.0,
) -> http.Response:
    """Returns a response that carries a problem document."""
    document = ProblemDocument(
        type=f"urn:pimentobridge:{kind.value}",
        title=_TITLES_BY_KIND.get(kind, kind.value.replace("-", " ")),
        status=status,
        detail=detail,
        ran=ran.value,
    )
    headers = []
    if retry_after_s > 0:
        seconds = str(math.ceil(retry_after_s)).encode()
        headers.append((b"retry-after", seconds))
    return http.Response(
        status,
        msgspec.json.encode(document),
        "application/problem+json",
        headers,
    )


class CallerApi:
    """ASGI application that submits callers' HTTP requests to the entry.

    Args:
        entry: runs the requests.
        document: returns the configuration in force.
        pages: other endpoints, tried in this order for all other paths.
    """

    def __init__(
        self,
        *,
        entry: entry_lib.Entry,
        document: Callable[[], configuration.Document | None],
        pages: list[Pages],
    ) -> None:
        self._entry = entry
        self._document = document
        self._pages = pages
        self._sequence = itertools.count(1)

    async def __call__(
        self, scope: http.Scope, receive: Any, send: Any
    ) -> None:
        """Serves one HTTP request or the server's lifespan events."""
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            response = await self._respond(scope, receive)
        except http.DisconnectedError:
            return
        except http.BodyTooLargeError:
            response = problem_response(
                errors.ErrorKind.INVALID_REQUEST,
                413,
                f"the body is longer than {http.MAX_BODY_BYTES} bytes."
                " Send less.",
                types.Ran.NO,
            )
        if response is not None:
            await http.send_response(send, response)

    async def _respond(
        self, scope: http.Scope, receive: Any
    ) -> http.Response | None:
        path = str(scope["path"])
        if path.startswith(WORK_PATH):
            return await self._run_work(scope, receive)
        for pages in self._pages:
            response = await pages.respond(scope, receive)
            if response is not None:
                return response
        return problem_response(
            errors.ErrorKind.INVALID_REQUEST,
            404,
            f"received path {path[:100]!r}; expected POST {WORK_PATH}CLASS.",
            types.Ran.NO,
        )

    async def _run_work(
        self, scope: http.Scope, receive: Any
    ) -> http.Response | None:
        if scope["method"] != "POST":
            return problem_response(
                errors.ErrorKind.INVALID_REQUEST,
                405,
                f"received {scope['method']}; expected POST.",
                types.Ran.NO,
            )
        body = await http.read_body(receive)
        parsed = self._parse(scope, body)
        if isinstance(parsed, http.Response):
            return parsed
        return await self._submit(
            parsed, receive, keyed=_has_idempotency_key(scope)
        )

    def _parse(
        self, scope: http.Scope, body: bytes
    ) -> request_lib.Request | http.Response:
        document = self._document()
        if document is None:
            return problem_response(
                errors.ErrorKind.NOT_RUN,
                503,
                "no configuration is in force here yet; repeat the request.",
                types.Ran.NO,
                1.0,
            )
        class_name = types.ClassName(str(scope["path"])[len(WORK_PATH) :])
        account = types.AccountName(http.header(scope, "Client-Account"))
        work_class = document.classes_by_name.get(class_name)
        if work_class is None:
            known_classes = ", ".join(sorted(document.classes_by_name))
            return _invalid(
                errors.ErrorKind.UNKNOWN_CLASS,
                f"received class {class_name!r}; expected one of"
                f" {known_classes}.",
            )
        if account not in document.accounts_by_name:
            return _invalid(
                errors.ErrorKind.UNKNOWN_ACCOUNT,
                f"received client account {account!r} in the header"
                " Client-Account; name one that the configuration declares.",
            )
        timeout_s = _timeout_s(scope, work_class)
        if timeout_s is None:
            return _invalid(
                errors.ErrorKind.INVALID_REQUEST,
                "received a Request-Timeout that isn't a number of seconds"
                " above 0; leave it out or correct it.",
            )
        key = http.header(scope, "Idempotency-Key")
        if len(key) > MAX_KEY_LENGTH:
            return _invalid(
                errors.ErrorKind.INVALID_REQUEST,
                f"received an Idempotency-Key of {len(key)} characters;"
                f" expected at most {MAX_KEY_LENGTH}.",
            )
        return self._request(scope, work_class, account, key, timeout_s, body)

    def _request(
        self,
        scope: http.Scope,
        work_class: request_lib.WorkClass,
        account: types.AccountName,
        key: str,
        timeout_s: float,
        body: bytes,
    ) -> request_lib.Request:
        identity = self._entry.identity
        unique_id = (
            f"{identity.node}/{identity.incarnation}/{next(self._sequence)}"
        )
        deduplicated = bool(key) and not work_class.idempotent
        request_id = f"{account}/{key}" if deduplicated else unique_id
        return request_lib.Request(
            id=types.RequestId(request_id),
            key=f"{account}/{key}" if key else unique_id,
            account=account,
            caller=types.CallerId(http.header(scope, "Caller") or "default"),
            work_class=work_class.name,
            idempotent=work_class.idempotent,
            remaining_s=timeout_s,
            payload=body,
        )

    async def _submit(
        self, request: request_lib.Request, receive: Any, *, keyed: bool
    ) -> http.Response | None:
        response: http.Response | None = None
        async with trio.open_nursery() as nursery:

            async def watch_caller() -> None:
                event = await receive()
                if event["type"] == "http.disconnect":
                    nursery.cancel_scope.cancel()

            nursery.start_soon(watch_caller)
            outcome = await self._entry.submit(request, keyed=keyed)
            response = outcome_response(outcome)
            nursery.cancel_scope.cancel()
        return response


def outcome_response(outcome: request_lib.Outcome) -> http.Response:
    """Returns the HTTP response for an outcome."""
    if outcome.answered:
        return http.Response(
            outcome.status,
            outcome.body,
            "application/octet-stream",
            [(b"ran", outcome.ran.value.encode())],
        )
    if outcome.ran is types.Ran.NO:
        return problem_response(
            errors.ErrorKind.NOT_RUN,
            503,
            outcome.reason,
            outcome.ran,
            outcome.retry_after_s,
        )
    return problem_response(
        errors.ErrorKind.OUTCOME_UNKNOWN, 504, outcome.reason, outcome.ran
    )


def _has_idempotency_key(scope: http.Scope) -> bool:
    return bool(http.header(scope, "Idempotency-Key"))


def _timeout_s(
    scope: http.Scope, work_class: request_lib.WorkClass
) -> float | None:
    """Returns the request's timeout, or None if the header is invalid."""
    text = http.header(scope, "Request-Timeout")
    if not text:
        return work_class.deadline_s
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not 0 < seconds < math.inf:
        return None
    return min(seconds, work_class.deadline_s)


def _invalid(kind: errors.ErrorKind, detail: str) -> http.Response:
    return problem_response(kind, 400, detail, types.Ran.NO)


class JobPages:
    """Serves jobs: `POST /v1/jobs`, `GET` and `DELETE /v1/jobs/ID`."""

    def __init__(self, entry: entry_lib.Entry) -> None:
        self._entry = entry

    async def respond(
        self, scope: http.Scope, receive: Any
    ) -> http.Response | None:
        """Returns the response to a job request, or None."""
        path = str(scope["path"])
        if path.rstrip("/") == JOBS_PATH and scope["method"] == "POST":
            return await self._submit(await http.read_body(receive))
        if not path.startswith(JOBS_PATH + "/"):
            return None
        job_id = types.JobId(urllib.parse.unquote(path[len(JOBS_PATH) + 1 :]))
        if scope["method"] == "DELETE":
            return await self._ask(
                lambda reply: self._entry.jobs.cancel(job_id, reply)
            )
        return await self._ask(
            lambda reply: self._entry.jobs.query(job_id, reply)
        )

    async def _submit(self, body: bytes) -> http.Response:
        try:
            spec = msgspec.json.decode(body, type=jobs.JobSpec)
        except msgspec.MsgspecError as error:
            return _invalid(
                errors.ErrorKind.INVALID_REQUEST,
                f"the job can't be read: {error}. Send the fields that"
                " docs/protocol.md lists.",
            )
        if not spec.id or len(spec.id) > MAX_KEY_LENGTH:
            return _invalid(
                errors.ErrorKind.INVALID_REQUEST,
                f"received a job id of {len(spec.id)} characters; expected 1"
                f" to {MAX_KEY_LENGTH}.",
            )
        return await self._ask(
            lambda reply: self._entry.jobs.submit(spec, reply)
        )

    async def _ask(
        self,
        ask: Callable[[Callable[[jobs.JobReply], None]], None],
    ) -> http.Response:
        """Sends a request to the entry that places jobs until it answers.

        After `JOB_ATTEMPTS` the outcome is unknown.
        """
        replies: list[jobs.JobReply] = []
        done = trio.Event()

        def on_reply(reply: jobs.JobReply) -> None:
            replies.append(reply)
            done.set()

        for _ in range(JOB_ATTEMPTS):
            self._entry.call_soon(lambda: ask(on_reply))
            with trio.move_on_after(JOB_ATTEMPT_TIMEOUT_S):
                await done.wait()
            if replies:
                return _job_response(replies[0])
        return problem_response(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            504,
            "The entry that places jobs doesn't answer; repeat the request"
            " with the same job id.",
            types.Ran.UNKNOWN,
        )


def _job_response(reply: jobs.JobReply) -> http.Response:
    if reply.status is not None:
        return http.Response(200, msgspec.json.encode(reply.status))
    problem = reply.problem or errors.Problem(
        errors.ErrorKind.INVALID_REQUEST, "", ""
    )
    status = 503 if problem.kind is errors.ErrorKind.NOT_RUN else 422
    return problem_response(
        problem.kind,
        status,
        f"{problem.detail} {problem.remedy}",
        types.Ran.NO,
        1.0 if status == 503 else 0.0,
    )
