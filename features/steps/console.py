"""Steps of features/console.feature."""

import datetime
import hashlib
import random
import re
import urllib.parse

from behave import given
from behave import then
from behave import when
import msgspec
import trio

from pimentobridge.bench import harness
from pimentobridge.console import auth
from pimentobridge.console import changes
from pimentobridge.console import pages
from pimentobridge.core import configuration
from pimentobridge.core import signing
from pimentobridge.testing import deployment
from pimentobridge.testing import keys

TOKEN = "operator-token"


class Browser:
    """Sends forms to the console of one entry."""

    def __init__(self, site):
        self.pages = pages.ConsolePages(site.entries[0], site.store)

    async def ask(self, method, path, form=None, token=TOKEN):
        scope = {
            "method": method,
            "path": path.split("?")[0],
            "query_string": path.partition("?")[2].encode(),
            "headers": [(b"cookie", f"{auth.COOKIE}={token}".encode())],
        }
        body = urllib.parse.urlencode(form or {}).encode()

        async def receive():
            return {"type": "http.request", "body": body}

        return await self.pages.respond(scope, receive)

    async def post(self, path, **form):
        session = auth.session_for(TOKEN, self.pages._entry.replica.document)
        return await self.ask(
            "POST", path, {**form, "form_token": session.form_token}
        )


@given("a running deployment with an operator")
def _(context):
    context.steps = []
    context.size = deployment.MUIDA


def _run(context, body):
    async def main():
        site = deployment.Deployment(
            size=context.size, rng=random.Random(5), entries=2
        )
        operator = configuration.Operator(
            "mai", hashlib.sha256(TOKEN.encode()).hexdigest()
        )
        document = msgspec.structs.replace(
            site.document,
            operators=[operator],
            sequence=site.document.sequence + 1,
            base=configuration.digest(site.proposal.document),
        )
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            await site.publish(document)
            await trio.sleep(6)
            await body(site, Browser(site))
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)


def _edit(context, share):
    async def body(site, browser):
        page = await browser.ask(
            "GET", "/console/edit?section=accounts&key=guides"
        )
        assert page.status == 200
        context.page = await browser.post(
            "/console/item",
            section="accounts",
            key="guides",
            name="guides",
            home_region="north",
            share=share,
            guarantees="1 1 2 worker",
            teams="field 4",
        )

    return body


@when('the operator raises the share of "guides" to {share:d} in a form')
def _(context, share):
    context.steps.append(_edit(context, str(share)))


@when('the operator raises the share of "guides" to "{share}" in a form')
def _(context, share):
    _run(context, _edit(context, share))


@then('the page says "{text}" beside the field')
def _(context, text):
    assert context.page.status == 422
    found = re.search(rb'id="share-help">(.*?)</div>', context.page.body)
    assert text.encode() in found.group(1)
    assert b'aria-invalid="true"' in context.page.body


@when("the draft is proposed")
def _(context):
    async def propose(site, browser):
        page = await browser.post("/console/propose")
        assert page.status == 303, page.body
        location = dict(page.headers)[b"location"].decode()
        context.digest = location.partition("digest=")[2]

    context.steps.append(propose)


@when('owner "{owner}" signs it')
def _(context, owner):
    async def sign(site, browser):
        signed = signing.sign(keys.owner_key(owner), owner, context.digest)
        page = await browser.post(
            "/console/sign",
            digest=context.digest,
            owner=owner,
            signature=signed.signature,
        )
        assert page.status == 303, page.body

    context.steps.append(sign)


@then("taking it is refused because both owners must sign")
def _(context):
    async def refused(site, browser):
        page = await browser.post("/console/apply", digest=context.digest)
        assert page.status == 409
        assert b"signatures of both owners" in page.body

    context.steps.append(refused)


@when("it is taken into force")
def _(context):
    async def take(site, browser):
        page = await browser.post("/console/apply", digest=context.digest)
        assert page.status == 303, page.body

    context.steps.append(take)


@then("every process has the new share within {seconds:d} seconds")
def _(context, seconds):
    async def check(site, browser):
        await trio.sleep(seconds)
        for daemon in [*site.entries, *site.agents]:
            client = daemon.replica.document.accounts_by_name["guides"]
            assert client.share == 2

    async def body(site, browser):
        for step in [*context.steps, check]:
            await step(site, browser)

    _run(context, body)


@when("two changes are proposed and signed on the same base")
def _(context):
    async def body(site, browser):
        made = changes.ProposalStore(site.store, site.trusted)
        current = (await made.current()).unwrap()
        context.results = []
        proposals = []
        for share in (2.0, 3.0):
            client = msgspec.structs.replace(
                current.document.client_accounts[0], share=share
            )
            document = msgspec.structs.replace(
                current.document,
                client_accounts=[
                    client,
                    *current.document.client_accounts[1:],
                ],
            )
            proposals.append(keys.signed(made.rebased(document, current)))
        for proposal in proposals:
            context.results.append(await made.apply(proposal, site.clock.now()))

    _run(context, body)


@then("the first is taken and the second is a conflict that names the change")
def _(context):
    first, second = context.results
    assert first.is_ok()
    problem = second.unwrap_err()
    assert problem.kind.value == "conflict"
    assert "share changes from 2.0 to 3.0" in problem.detail


@then("a request without a token sees only the sign-in page")
def _(context):
    async def check(site, browser):
        page = await browser.ask("GET", "/console", token="wrong")
        assert page.status == 401
        assert b"guides" not in page.body

    _run(context, check)


@then("a form without its own token is refused")
def _(context):
    async def check(site, browser):
        page = await browser.ask("POST", "/console/propose", {})
        assert page.status == 403

    _run(context, check)


@then("a name with markup is shown escaped")
def _(context):
    async def check(site, browser):
        page = await browser.post(
            "/console/item",
            section="classes",
            key="x",
            name="<script>alert(1)</script>",
            urgency="urgent",
            deadline_s="much",
            idempotent="yes",
        )
        assert page.status == 422
        assert b"<script>" not in page.body
        assert b"&lt;script&gt;" in page.body

    _run(context, check)


@when("a proposal is signed with {what}")
def _(context, what):
    document = deployment.load_document("muida")
    data = configuration.canonical(document)
    digest = configuration.digest(data)
    trusted = list(document.owners)
    key = keys.owner_key("linh")
    owner = "linh"
    signed = digest
    if what == "another digest":
        signed = configuration.digest(b"another")
    elif what == "a stranger's key":
        owner = "stranger"
        key = keys.owner_key("stranger")
    else:
        past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
        trusted[0] = msgspec.structs.replace(trusted[0], expires=past)
    context.problem = signing.check_signature(
        signing.sign(key, owner, signed),
        digest,
        trusted,
        datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    )


@then('it is refused with "{reason}"')
def _(context, reason):
    assert reason in str(context.problem), context.problem
