"""Pages of the console: plain HTML that works without JavaScript."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import jinja2
import msgspec
import result

from pimentobridge.console import auth
from pimentobridge.console import changes as changes_lib
from pimentobridge.console import differences
from pimentobridge.console import drafts as drafts_lib
from pimentobridge.console import forms
from pimentobridge.core import configuration
from pimentobridge.core import errors
from pimentobridge.core import types
from pimentobridge.core import validation
from pimentobridge.daemons import http
from pimentobridge.daemons import status

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping
    import datetime

    from pimentobridge.daemons import entry as entry_lib
    from pimentobridge.platform import store as store_lib

ROOT_PATH = "/console"
MAX_FORM_BYTES = 1_200_000
HTML_CONTENT_TYPE = "text/html; charset=utf-8"
SECURITY_HEADERS = [
    (
        b"content-security-policy",
        b"default-src 'none'; style-src 'unsafe-inline'; form-action 'self';"
        b" frame-ancestors 'none'; base-uri 'none'",
    ),
    (b"x-content-type-options", b"nosniff"),
    (b"referrer-policy", b"no-referrer"),
    (b"cache-control", b"no-store"),
]

_environment = jinja2.Environment(
    loader=jinja2.PackageLoader("pimentobridge.console", "templates"),
    autoescape=True,
    undefined=jinja2.StrictUndefined,
    trim_blocks=True,
    lstrip_blocks=True,
)


def render(template: str, **values: Any) -> bytes:
    """Renders a template with the given variables."""
    return _environment.get_template(template).render(**values).encode()


class ConsolePages:
    """Serves the console of one entry.

    Drafts and proposals are kept in the platform's store, so operators may use
    the console of any entry.
    """

    def __init__(self, entry: entry_lib.Entry, store: store_lib.Store) -> None:
        self._entry = entry
        self._proposals = changes_lib.ProposalStore(store, entry.trusted)
        self._drafts = drafts_lib.DraftStore(store)
        self._post_handlers_by_path: dict[
            str,
            Callable[
                [auth.Session, Mapping[str, str]], Awaitable[http.Response]
            ],
        ] = {
            "item": self._save_item,
            "remove": self._remove_item,
            "document": self._save_document,
            "discard": self._discard_draft,
            "propose": self._propose_draft,
            "sign": self._add_signature,
            "apply": self._apply_proposal,
        }

    async def respond(
        self, scope: http.Scope, receive: Any
    ) -> http.Response | None:
        """Returns the response to a request, or None outside the console."""
        path = str(scope["path"])
        if path != ROOT_PATH and not path.startswith(ROOT_PATH + "/"):
            return None
        if scope["method"] == "POST":
            return await self._post(scope, receive, path)
        if scope["method"] not in ("GET", "HEAD"):
            return _page(
                405, "message.html", title="Method not allowed", lines=[]
            )
        token = auth.token_from_request(scope)
        session = auth.session_for(token, self._entry.replica.document)
        if session is None:
            return self._login_page()
        return await self._get(
            session, scope, path[len(ROOT_PATH) :].strip("/")
        )

    async def _get(
        self, session: auth.Session, scope: http.Scope, page_path: str
    ) -> http.Response:
        if not page_path:
            return await self._overview_page(session)
        if page_path in forms.SECTIONS_BY_NAME:
            return await self._section_page(session, page_path)
        if page_path == "edit":
            return await self._item_page(
                session,
                http.query_value(scope, "section"),
                http.query_value(scope, "key"),
            )
        if page_path == "document":
            return await self._document_page(session)
        if page_path == "proposal":
            digest = types.Digest(http.query_value(scope, "digest"))
            return await self._proposal_page(session, digest)
        return _page(
            404,
            "message.html",
            title="Page not found",
            lines=["Go back to the overview."],
        )

    async def _post(
        self, scope: http.Scope, receive: Any, path: str
    ) -> http.Response:
        body = await http.read_body(receive, MAX_FORM_BYTES)
        values = _form_values(body)
        if path == ROOT_PATH + "/login":
            return self._login(values)
        token = auth.token_from_request(scope)
        session = auth.session_for(token, self._entry.replica.document)
        if session is None:
            return self._login_page()
        if not auth.is_valid_form_token(session, values.get("form_token", "")):
            return _page(
                403,
                "message.html",
                title="Invalid form token",
                lines=["Open the form again in this console and submit it."],
            )
        handler = self._post_handlers_by_path.get(
            path[len(ROOT_PATH) :].strip("/")
        )
        if handler is None:
            return _page(404, "message.html", title="Form not found", lines=[])
        return await handler(session, values)

    def _login_page(self, problem: str = "") -> http.Response:
        document = self._entry.replica.document
        no_operators = document is None or not document.operators
        return _page(
            401,
            "login.html",
            title="Sign in",
            problem=problem,
            no_operators=no_operators,
        )

    def _login(self, values: Mapping[str, str]) -> http.Response:
        token = values.get("token", "").strip()
        session = auth.session_for(token, self._entry.replica.document)
        if session is None:
            return self._login_page("No operator is declared with this token.")
        return _redirect(ROOT_PATH, [auth.set_cookie_header(token)])

    async def _overview_page(self, session: auth.Session) -> http.Response:
        read = await self._proposals.open_digests()
        open_digests = read.ok() or []
        store_down = isinstance(read, result.Err)
        return _page(
            200,
            "overview.html",
            title="Overview",
            session=session,
            status=status.status_of(self._entry),
            sections=list(forms.SECTIONS_BY_NAME.values()),
            proposals=list(reversed(open_digests)),
            draft=await self._drafts.read(session.operator),
            store_down=store_down,
        )

    async def _section_page(
        self, session: auth.Session, section_name: str
    ) -> http.Response:
        section = forms.SECTIONS_BY_NAME[section_name]
        document = await self._draft_or_current(session)
        return _page(
            200,
            "section.html",
            title=section.title,
            session=session,
            section=section,
            items=section.items_of(document),
        )

    async def _item_page(
        self, session: auth.Session, section_name: str, key: str
    ) -> http.Response:
        section = forms.SECTIONS_BY_NAME.get(section_name)
        if section is None:
            return _page(404, "message.html", title="Form not found", lines=[])
        document = await self._draft_or_current(session)
        item = next(
            (i for i in section.items_of(document) if section.key_of(i) == key),
            None,
        )
        values = section.to_values(item) if item is not None else {}
        return self._item_form_page(session, section, key, values, {}, [], 200)

    def _item_form_page(
        self,
        session: auth.Session,
        section: forms.Section,
        key: str,
        values: Mapping[str, str],
        field_errors: Mapping[str, str],
        problems: list[errors.Problem],
        code: int,
    ) -> http.Response:
        return _page(
            code,
            "edit.html",
            title=f"Edit a {section.singular}",
            session=session,
            section=section,
            key=key,
            values=values,
            field_errors=field_errors,
            problems=problems,
        )

    async def _save_item(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        section = forms.SECTIONS_BY_NAME.get(values.get("section", ""))
        if section is None:
            return _page(404, "message.html", title="Form not found", lines=[])
        key = values.get("key", "")
        document = await self._draft_or_current(session)
        try:
            item = forms.parse(section, values)
        except forms.FieldError as error:
            return self._item_form_page(
                session,
                section,
                key,
                values,
                {error.field: str(error)},
                [],
                422,
            )
        changed = forms.replace_item(section, document, key, item)
        problems = validation.problems_of(changed)
        if problems:
            return self._item_form_page(
                session, section, key, values, {}, problems, 422
            )
        return await self._save_draft(
            session, changed, f"{ROOT_PATH}/{section.name}"
        )

    async def _remove_item(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        section = forms.SECTIONS_BY_NAME.get(values.get("section", ""))
        if section is None:
            return _page(404, "message.html", title="Form not found", lines=[])
        document = await self._draft_or_current(session)
        changed = forms.remove_item(section, document, values.get("key", ""))
        problems = validation.problems_of(changed)
        if problems:
            return _problems_page(422, problems)
        return await self._save_draft(
            session, changed, f"{ROOT_PATH}/{section.name}"
        )

    async def _document_page(self, session: auth.Session) -> http.Response:
        document = await self._draft_or_current(session)
        data = msgspec.json.encode(document, order="sorted")
        return _page(
            200,
            "document.html",
            title="Document",
            session=session,
            text=msgspec.json.format(data, indent=2).decode(),
            changes=differences.describe_changes(
                self._entry.replica.document, document
            ),
        )

    async def _save_document(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        parsed = drafts_lib.parse(values.get("text", ""))
        if isinstance(parsed, result.Err):
            return _problems_page(422, [parsed.err_value])
        problems = validation.problems_of(parsed.ok_value)
        if problems:
            return _problems_page(422, problems)
        return await self._save_draft(
            session, parsed.ok_value, f"{ROOT_PATH}/document"
        )

    async def _discard_draft(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        await self._drafts.discard(session.operator)
        return _redirect(ROOT_PATH)

    async def _propose_draft(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        current = await self._proposals.current()
        if isinstance(current, result.Err):
            return _problems_page(503, [current.err_value])
        document = self._proposals.rebased(
            await self._draft_or_current(session), current.ok_value
        )
        proposed = await self._proposals.propose(document)
        if isinstance(proposed, result.Err):
            return _problems_page(422, [proposed.err_value])
        digest = configuration.digest(proposed.ok_value.document)
        await self._drafts.discard(session.operator)
        return _redirect(f"{ROOT_PATH}/proposal?digest={digest}")

    async def _proposal_page(
        self,
        session: auth.Session,
        digest: types.Digest,
        problem: errors.Problem | None = None,
        code: int = 200,
    ) -> http.Response:
        read = await self._proposals.proposal(digest)
        if isinstance(read, result.Err):
            return _problems_page(503, [read.err_value])
        proposal = read.ok_value
        if proposal is None:
            return _page(
                404,
                "message.html",
                title="Proposal not found",
                lines=["It may have expired; proposals are kept for 14 days."],
            )
        document = msgspec.json.decode(
            proposal.document, type=configuration.Document
        )
        current = self._entry.replica.document
        return _page(
            code,
            "proposal.html",
            title="Proposal",
            session=session,
            digest=digest,
            document=document,
            in_force=digest == self._entry.replica.digest,
            stale=document.base != self._entry.replica.digest,
            signers=[signature.owner for signature in proposal.signatures],
            owners=sorted({owner.name for owner in self._entry.trusted}),
            changes=differences.describe_changes(current, document),
            effects=differences.effects(current, document),
            diff=differences.as_diff(current, document),
            problem=problem,
        )

    async def _add_signature(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        digest = types.Digest(values.get("digest", ""))
        # The command prints OWNER:HEX; the whole line or only HEX is accepted.
        digits = values.get("signature", "").strip().rpartition(":")[2]
        signature = configuration.Signature(values.get("owner", ""), digits)
        added = await self._proposals.add_signature(
            digest, signature, self._now()
        )
        if isinstance(added, result.Err):
            return await self._proposal_page(
                session, digest, added.err_value, 422
            )
        return _redirect(f"{ROOT_PATH}/proposal?digest={digest}")

    async def _apply_proposal(
        self, session: auth.Session, values: Mapping[str, str]
    ) -> http.Response:
        digest = types.Digest(values.get("digest", ""))
        read = await self._proposals.proposal(digest)
        if isinstance(read, result.Err):
            return _problems_page(503, [read.err_value])
        if read.ok_value is None:
            return _redirect(ROOT_PATH)
        applied = await self._proposals.apply(read.ok_value, self._now())
        if isinstance(applied, result.Err):
            return await self._proposal_page(
                session, digest, applied.err_value, 409
            )
        return _redirect(f"{ROOT_PATH}/proposal?digest={digest}")

    async def _draft_or_current(
        self, session: auth.Session
    ) -> configuration.Document:
        draft = await self._drafts.read(session.operator)
        document = draft or self._entry.replica.document
        if document is None:
            raise errors.ProblemError(
                errors.Problem(
                    errors.ErrorKind.INVALID_CONFIGURATION,
                    "no configuration is in force.",
                    "Apply the first one with `pimentobridge apply`.",
                )
            )
        return document

    async def _save_draft(
        self,
        session: auth.Session,
        document: configuration.Document,
        redirect_path: str,
    ) -> http.Response:
        problem = await self._drafts.write(session.operator, document)
        if problem is not None:
            return _problems_page(503, [problem])
        return _redirect(redirect_path)

    def _now(self) -> datetime.datetime:
        return self._entry.clock.now()


def _page(code: int, template: str, **values: Any) -> http.Response:
    values.setdefault("session", None)
    body = render(template, **values)
    return http.Response(code, body, HTML_CONTENT_TYPE, list(SECURITY_HEADERS))


def _problems_page(code: int, problems: list[errors.Problem]) -> http.Response:
    lines = [str(problem) for problem in problems[:20]]
    return _page(
        code, "message.html", title="Request not accepted", lines=lines
    )


def _redirect(
    path: str, headers: list[tuple[bytes, bytes]] | None = None
) -> http.Response:
    location = (b"location", path.encode())
    return http.Response(
        303, b"", HTML_CONTENT_TYPE, [location, *(headers or [])]
    )


def _form_values(body: bytes) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            body.decode("utf-8"), keep_blank_values=True, max_num_fields=200
        )
    except (UnicodeDecodeError, ValueError):
        return {}
    return dict(pairs)
