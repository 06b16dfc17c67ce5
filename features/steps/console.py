"""Steps of features/console.feature.

Each scenario runs a deployment's entries and agents in virtual time. Where a
scenario has several actions, its steps only append them to `context.actions`.
The last step starts the deployment and runs them in order, so it is also the
step that reports the failure of an earlier action.
"""

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

OPERATOR_TOKEN = "operator-token"


class Browser:
    """Sends HTTP requests to the console pages of the first entry."""

    def __init__(self, site):
        self.pages = pages.ConsolePages(site.entries[0], site.store)

    async def request(self, method, path, form=None, token=OPERATOR_TOKEN):
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
        session = auth.session_for(
            OPERATOR_TOKEN, self.pages._entry.replica.document
        )
        return await self.request(
            "POST", path, {**form, "form_token": session.form_token}
        )


@given("a running deployment with an operator")
def _(context):
    context.actions = []
    context.size = deployment.MUIDA


def _run(context, scenario):
    """Runs a scenario against a started deployment in virtual time.

    Before that, an operator is added to the configuration, and the processes
    get 6 s to receive it.
    """

    async def main():
        site = deployment.Deployment(
            size=context.size, rng=random.Random(5), entries=2
        )
        operator = configuration.Operator(
            "mai", hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
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
            await scenario(site, Browser(site))
            nursery.cancel_scope.cancel()

    harness.run_virtual(main)


def _post_share(context, share):
    async def post_share(site, browser):
        page = await browser.request(
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

    return post_share


@when('the operator sets the share of "guides" to {share:d} in a form')
def _(context, share):
    context.actions.append(_post_share(context, str(share)))


@when('the operator sets the share of "guides" to "{share}" in a form')
def _(context, share):
    _run(context, _post_share(context, share))


@then('the page shows "{text}" beside the field')
def _(context, text):
    assert context.page.status == 422
    field_help = re.search(rb'id="share-help">(.*?)</div>', context.page.body)
    assert text.encode() in field_help.group(1)
    assert b'aria-invalid="true"' in context.page.body


@when("the draft is proposed")
def _(context):
    async def propose(site, browser):
        page = await browser.post("/console/propose")
        assert page.status == 303, page.body
        location = dict(page.headers)[b"location"].decode()
        context.digest = location.partition("digest=")[2]

    context.actions.append(propose)


@when('owner "{owner}" signs the proposal')
def _(context, owner):
    async def sign(site, browser):
        signature = signing.sign(keys.owner_key(owner), owner, context.digest)
        page = await browser.post(
            "/console/sign",
            digest=context.digest,
            owner=owner,
            signature=signature.signature,
        )
        assert page.status == 303, page.body

    context.actions.append(sign)


@then("applying the proposal is refused because both owners must sign")
def _(context):
    async def apply_too_early(site, browser):
        page = await browser.post("/console/apply", digest=context.digest)
        assert page.status == 409
        assert b"signatures of both owners" in page.body

    context.actions.append(apply_too_early)


@when("the proposal is applied")
def _(context):
    async def apply(site, browser):
        page = await browser.post("/console/apply", digest=context.digest)
        assert page.status == 303, page.body

    context.actions.append(apply)


@then("every process has the new share within {seconds:d} seconds")
def _(context, seconds):
    async def check(site, browser):
        await trio.sleep(seconds)
        for daemon in [*site.entries, *site.agents]:
            account = daemon.replica.document.accounts_by_name["guides"]
            assert account.share == 2

    async def scenario(site, browser):
        for action in [*context.actions, check]:
            await action(site, browser)

    _run(context, scenario)


@when("two signed changes with the same base document are applied")
def _(context):
    async def scenario(site, browser):
        configuration_changes = changes.ProposalStore(site.store, site.trusted)
        current = (await configuration_changes.current()).unwrap()
        context.results = []
        proposals = []
        for share in (2.0, 3.0):
            account = msgspec.structs.replace(
                current.document.client_accounts[0], share=share
            )
            document = msgspec.structs.replace(
                current.document,
                client_accounts=[
                    account,
                    *current.document.client_accounts[1:],
                ],
            )
            proposals.append(
                keys.signed(configuration_changes.rebased(document, current))
            )
        for proposal in proposals:
            context.results.append(
                await configuration_changes.apply(proposal, site.clock.now())
            )

    _run(context, scenario)


@then("the first succeeds and the second is a conflict that lists its changes")
def _(context):
    first, second = context.results
    assert first.is_ok()
    problem = second.unwrap_err()
    assert problem.kind.value == "conflict"
    assert "share changes from 2.0 to 3.0" in problem.detail


@then("a request with an invalid token gets only the sign-in page")
def _(context):
    async def check(site, browser):
        page = await browser.request("GET", "/console", token="wrong")
        assert page.status == 401
        assert b"guides" not in page.body

    _run(context, check)


@then("a form posted without its form token is refused")
def _(context):
    async def check(site, browser):
        page = await browser.request("POST", "/console/propose", {})
        assert page.status == 403

    _run(context, check)


@then("a name that contains markup is shown escaped")
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


@when("a signature is made with {flaw}")
def _(context, flaw):
    document = deployment.load_document("muida")
    data = configuration.canonical(document)
    digest = configuration.digest(data)
    trusted = list(document.owners)
    key = keys.owner_key("linh")
    owner = "linh"
    signed_digest = digest
    if flaw == "another document's digest":
        signed_digest = configuration.digest(b"another")
    elif flaw == "a non-owner's key":
        owner = "stranger"
        key = keys.owner_key("stranger")
    else:
        past_expiry = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
        trusted[0] = msgspec.structs.replace(trusted[0], expires=past_expiry)
    context.problem = signing.check_signature(
        signing.sign(key, owner, signed_digest),
        digest,
        trusted,
        datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    )


@then('it is rejected with "{reason}"')
def _(context, reason):
    assert reason in str(context.problem), context.problem
