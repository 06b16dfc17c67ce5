"""Steps of features/requests.feature."""

import random

from behave import given
from behave import then
from behave import when
import trio

from pimentobridge.bench import harness
from pimentobridge.core import execution
from pimentobridge.core import types
from pimentobridge.daemons import trio_clock
from pimentobridge.protocol import messages
from pimentobridge.testing import callers
from pimentobridge.testing import deployment

SIZES = {"muida": deployment.MUIDA, "lunetta": deployment.LUNETTA}


@given('the deployment "{name}"')
def _(context, name):
    context.size = SIZES[name]
    context.faults = []
    context.answer_bytes = 400


@given("answers of {size:d} bytes")
def _(context, size):
    context.answer_bytes = size


@given("no fault")
def _(context):
    pass


@given("packets that arrive out of order")
def _(context):
    async def reorder(site):
        site.network.faults.reorder = 0.5

    context.faults.append(reorder)


@given("{percent:d} percent of packets lost")
def _(context, percent):
    async def lose(site):
        site.network.faults.loss = percent / 100

    context.faults.append(lose)


@given("connections that have gone silent")
def _(context):
    async def silence(site):
        callers.silence_all(site)

    context.faults.append(silence)


@given("the store down throughout")
def _(context):
    async def down(site):
        site.store.set_down(True)

    context.faults.append(down)


@given("an agent killed after {seconds:d} seconds")
def _(context, seconds):
    async def kill(site):
        await trio.sleep(seconds)
        site.kill(types.Address("agent-2"))

    context.faults.append(kill)


@given("the regions parted after {seconds:d} seconds")
def _(context, seconds):
    async def part(site):
        await trio.sleep(seconds)
        site.network.faults.regions_partitioned = True

    context.faults.append(part)


@given("every backend server fails")
def _(context):
    async def fail(site):
        for fake in site.backends_by_address.values():
            fake.failing = True

    context.faults.append(fail)


@given("its agent killed as well")
def _(context):
    context.kill_agent = True


def _run(context, body):
    async def main():
        site = deployment.Deployment(
            size=context.size, rng=random.Random(7), entries=2
        )
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            await trio.sleep(2)
            for fault in context.faults:
                nursery.start_soon(fault, site)
            await trio.sleep(0)
            await body(site)
            nursery.cancel_scope.cancel()
        context.site = site

    harness.run_virtual(main)


@when("{count:d} requests of every class are sent over {seconds:d} seconds")
def _(context, count, seconds):
    async def body(site):
        context.tally = await callers.send_mixed(
            site,
            rng=random.Random(3),
            count=count,
            seconds=seconds,
            answer_bytes=context.answer_bytes,
        )

    _run(context, body)


@then("every answer is whole and its caller's own")
def _(context):
    assert context.tally.answered > 0, context.tally
    assert context.tally.wrong == 0, context.tally


@then("nothing is lost or doubled")
def _(context):
    assert context.tally.lost == 0, context.tally
    assert context.tally.doubled(context.site) == 0, context.tally


@then("some requests are refused")
def _(context):
    assert context.tally.refused > 0, context.tally


@then("no refused request was ever started")
def _(context):
    assert context.tally.false_not_run(context.site) == 0, context.tally


@then("at most {percent:d} percent of the requests were retried")
def _(context, percent):
    counters = [entry.dispatcher.counters for entry in context.site.entries]
    submitted = sum(c.submitted for c in counters)
    retried = sum(c.retried for c in counters)
    assert retried > 0
    assert retried <= submitted * percent / 100, (retried, submitted)


class _Sent:
    def __init__(self):
        self.messages = []

    def send(self, to, message):
        self.messages.append(message)

    def reset(self, to):
        pass


@given("an agent that runs one request at a time")
def _(context):
    context.sent = _Sent()
    context.started = []

    async def make():
        return trio_clock.TrioClock()

    document = deployment.load_document("muida")
    context.executor = execution.Executor(
        incarnation=types.Incarnation(1),
        slots=1,
        clock=harness.run_virtual(_manual_clock),
        outbox=context.sent,
        start_work=context.started.append,
        cancel_work=lambda record: None,
    )
    context.executor.set_classes(document.classes_by_name)


async def _manual_clock():
    from pimentobridge.core import clock

    return clock.ManualClock()


@when("a request is withdrawn before its dispatch arrives")
def _(context):
    context.request = callers.request_of(
        deployment.load_document("muida"), "profile-scan", "k1"
    )
    entry = types.Address("entry-0")
    context.executor.handle(messages.Withdraw(context.request.id, 1), entry)
    context.executor.handle(
        messages.Dispatch(types.Incarnation(1), context.request), entry
    )


@then("the agent answers that it was not run")
def _(context):
    first = context.sent.messages[0]
    assert isinstance(first, messages.NotRun)
    assert first.reason is messages.NotRunReason.WITHDRAWN


@then("the dispatch that arrives later is refused")
def _(context):
    assert context.sent.messages[1].reason is messages.NotRunReason.TOMBSTONED


@then("the backend server has started nothing")
def _(context):
    assert context.started == []


@when("a profile scan is sent, its entry dies and the key is repeated")
def _(context):
    async def body(site):
        request = callers.request_of(site.document, "profile-scan", "k1")
        first, second = site.entries
        async with trio.open_nursery() as nursery:

            async def send():
                await first.submit(request, keyed=True)

            nursery.start_soon(send)
            await trio.sleep(0.4)
            site.kill(first.address)
            nursery.cancel_scope.cancel()
        if getattr(context, "kill_agent", False):
            for agent in site.agents:
                if agent.executor.running:
                    site.kill(agent.address)
        with trio.move_on_after(40):
            context.outcome = await second.submit(request, keyed=True)
        await trio.sleep(5)
        context.key = request.key

    context.outcome = None
    _run(context, body)


@then("the scan was started at most once")
def _(context):
    assert context.site.ledger.started_by_key[context.key] <= 1


@then("the repeat ends in an outcome")
def _(context):
    assert context.outcome is not None


@when("every connection between entries and agents goes silent")
def _(context):
    async def body(site):
        callers.silence_all(site)
        context.tally = await callers.send_mixed(
            site,
            rng=random.Random(3),
            count=30,
            seconds=1,
            only="lens-preview",
            deadline_s=6.0,
        )

    _run(context, body)


@then("requests sent meanwhile are answered within {seconds:g} seconds")
def _(context, seconds):
    assert context.tally.answered == 30, context.tally
    assert max(context.tally.latencies_s) <= seconds


@when("an agent drains under load")
def _(context):
    async def body(site):
        agent = site.agents[0]
        received = []

        def watch(sender, to, message):
            if to == agent.address and isinstance(message, messages.Dispatch):
                received.append(trio.current_time())

        site.network.on_send = watch
        async with trio.open_nursery() as nursery:

            async def drain():
                await trio.sleep(2)
                context.drained_s = trio.current_time()
                context.left = await agent.drain(30)

            nursery.start_soon(drain)
            context.tally = await callers.send_mixed(
                site, rng=random.Random(3), count=200, seconds=10
            )
        context.received = received

    _run(context, body)


@then("it receives no new request after {seconds:d} seconds")
def _(context, seconds):
    before = [t for t in context.received if t <= context.drained_s]
    late = [t for t in context.received if t > context.drained_s + seconds]
    assert before
    assert not late
    assert context.left == 0


@when("an agent whose work never ends drains for {seconds:d} seconds")
def _(context, seconds):
    async def body(site):
        agent = site.agents[0]
        request = callers.request_of(
            site.document, "wear-report", "k1", run_s=1e6
        )
        agent.on_message(
            types.Address("entry-0"),
            messages.Dispatch(agent.identity.incarnation, request),
        )
        began = trio.current_time()
        context.left = await agent.drain(seconds)
        context.took = trio.current_time() - began

    _run(context, body)


@then(
    "the drain ends after {seconds:d} seconds and reports {left:d} request left"
)
def _(context, seconds, left):
    assert context.left == left
    assert seconds <= context.took <= seconds + 0.2


@when("a caller of a wear report goes away")
def _(context):
    async def body(site):
        request = callers.request_of(
            site.document, "wear-report", "k1", run_s=60.0
        )
        with trio.move_on_after(1):
            await site.entries[0].submit(request)
        context.running = [a.executor.running for a in site.agents]
        await trio.sleep(1)
        context.running_after = [a.executor.running for a in site.agents]
        context.backend_running = sum(
            fake.running for fake in site.backends_by_address.values()
        )

    _run(context, body)


@then("the slot is free within 1 second")
def _(context):
    assert sum(context.running) == 1
    assert sum(context.running_after) == 0
    assert context.backend_running == 0
