"""Steps of features/requests.feature.

Given steps configure `context`, When steps run a deployment in virtual time,
and Then steps check what they recorded. The tombstone scenario runs a single
executor instead, without a deployment.
"""

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

SIZES_BY_NAME = {"muida": deployment.MUIDA, "lunetta": deployment.LUNETTA}


@given('the deployment "{name}"')
def _(context, name):
    context.size = SIZES_BY_NAME[name]
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
    async def reorder_packets(site):
        site.network.faults.reorder = 0.5

    context.faults.append(reorder_packets)


@given("{percent:d} percent of packets lost")
def _(context, percent):
    async def lose_packets(site):
        site.network.faults.loss = percent / 100

    context.faults.append(lose_packets)


@given("silent connections")
def _(context):
    async def silence_connections(site):
        callers.silence_all(site)

    context.faults.append(silence_connections)


@given("the store down throughout the run")
def _(context):
    async def take_store_down(site):
        site.store.set_down(True)

    context.faults.append(take_store_down)


@given("an agent killed after {seconds:d} seconds")
def _(context, seconds):
    async def kill_agent(site):
        await trio.sleep(seconds)
        site.kill(types.Address("agent-2"))

    context.faults.append(kill_agent)


@given("the regions partitioned after {seconds:d} seconds")
def _(context, seconds):
    async def partition_regions(site):
        await trio.sleep(seconds)
        site.network.faults.regions_partitioned = True

    context.faults.append(partition_regions)


@given("every backend server fails")
def _(context):
    async def fail_backends(site):
        for backend in site.backends_by_address.values():
            backend.failing = True

    context.faults.append(fail_backends)


@given("the agent of the scan killed as well")
def _(context):
    context.kill_agent = True


def _run(context, scenario):
    """Runs a scenario in virtual time against a deployment with its faults.

    The faults start 2 s after the processes, and their delays count from then.
    """

    async def main():
        site = deployment.Deployment(
            size=context.size, rng=random.Random(7), entries=2
        )
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            await trio.sleep(2)
            for fault in context.faults:
                nursery.start_soon(fault, site)
            # Faults without a delay take effect before the scenario starts.
            await trio.sleep(0)
            await scenario(site)
            nursery.cancel_scope.cancel()
        context.site = site

    harness.run_virtual(main)


@when("{count:d} requests of random classes are sent over {seconds:d} seconds")
def _(context, count, seconds):
    async def scenario(site):
        context.tally = await callers.send_mixed(
            site,
            rng=random.Random(3),
            count=count,
            seconds=seconds,
            answer_bytes=context.answer_bytes,
        )

    _run(context, scenario)


@then("every answer is complete and belongs to its request")
def _(context):
    assert context.tally.answered > 0, context.tally
    assert context.tally.wrong == 0, context.tally


@then("no request is lost and no non-idempotent request is started twice")
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


class _RecordingOutbox:
    """Outbox that records the messages that an executor sends."""

    def __init__(self):
        self.messages = []

    def send(self, to, message):
        self.messages.append(message)

    def reset(self, to):
        pass


@given("an agent that runs one request at a time")
def _(context):
    context.outbox = _RecordingOutbox()
    context.started = []

    async def make_clock():
        return trio_clock.TrioClock()

    document = deployment.load_document("muida")
    context.executor = execution.Executor(
        incarnation=types.Incarnation(1),
        slots=1,
        clock=harness.run_virtual(_manual_clock),
        outbox=context.outbox,
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


@then("the agent replies that the request was not run")
def _(context):
    reply = context.outbox.messages[0]
    assert isinstance(reply, messages.NotRun)
    assert reply.reason is messages.NotRunReason.WITHDRAWN


@then("the dispatch that arrives later is refused")
def _(context):
    assert context.outbox.messages[1].reason is messages.NotRunReason.TOMBSTONED


@then("the backend server has started nothing")
def _(context):
    assert context.started == []


@when("a profile scan is retried with its key after its entry was killed")
def _(context):
    async def scenario(site):
        request = callers.request_of(site.document, "profile-scan", "k1")
        first_entry, second_entry = site.entries
        async with trio.open_nursery() as nursery:

            async def submit():
                await first_entry.submit(request, keyed=True)

            nursery.start_soon(submit)
            await trio.sleep(0.4)
            site.kill(first_entry.address)
            nursery.cancel_scope.cancel()
        if getattr(context, "kill_agent", False):
            for agent in site.agents:
                if agent.executor.running:
                    site.kill(agent.address)
        with trio.move_on_after(40):
            context.retry_outcome = await second_entry.submit(
                request, keyed=True
            )
        await trio.sleep(5)
        context.key = request.key

    context.retry_outcome = None
    _run(context, scenario)


@then("the scan was started at most once")
def _(context):
    assert context.site.ledger.started_by_key[context.key] <= 1


@then("the retry ends in an outcome")
def _(context):
    assert context.retry_outcome is not None


@when("every connection between entries and agents goes silent")
def _(context):
    async def scenario(site):
        callers.silence_all(site)
        context.tally = await callers.send_mixed(
            site,
            rng=random.Random(3),
            count=30,
            seconds=1,
            only="lens-preview",
            deadline_s=6.0,
        )

    _run(context, scenario)


@then("requests sent afterwards are answered within {seconds:g} seconds")
def _(context, seconds):
    assert context.tally.answered == 30, context.tally
    assert max(context.tally.latencies_s) <= seconds


@when("an agent drains under load")
def _(context):
    async def scenario(site):
        agent = site.agents[0]
        dispatched_s = []

        def record_dispatch(sender, to, message):
            if to == agent.address and isinstance(message, messages.Dispatch):
                dispatched_s.append(trio.current_time())

        site.network.on_send = record_dispatch
        async with trio.open_nursery() as nursery:

            async def drain():
                await trio.sleep(2)
                context.drain_began_s = trio.current_time()
                context.unacknowledged = await agent.drain(30)

            nursery.start_soon(drain)
            context.tally = await callers.send_mixed(
                site, rng=random.Random(3), count=200, seconds=10
            )
        context.dispatched_s = dispatched_s

    _run(context, scenario)


@then("it is sent no dispatch more than {seconds:d} seconds into its drain")
def _(context, seconds):
    before = [t for t in context.dispatched_s if t <= context.drain_began_s]
    late = [
        t for t in context.dispatched_s if t > context.drain_began_s + seconds
    ]
    assert before
    assert not late
    assert context.unacknowledged == 0


@when("an agent with endless work drains with a timeout of {seconds:d} seconds")
def _(context, seconds):
    async def scenario(site):
        agent = site.agents[0]
        request = callers.request_of(
            site.document, "wear-report", "k1", run_s=1e6
        )
        agent.on_message(
            types.Address("entry-0"),
            messages.Dispatch(agent.identity.incarnation, request),
        )
        began_s = trio.current_time()
        context.unacknowledged = await agent.drain(seconds)
        context.drain_duration_s = trio.current_time() - began_s

    _run(context, scenario)


@then(
    "the drain ends after {seconds:d} seconds"
    " and reports {count:d} unfinished request"
)
def _(context, seconds, count):
    assert context.unacknowledged == count
    assert seconds <= context.drain_duration_s <= seconds + 0.2


@when("the caller of a wear report disconnects")
def _(context):
    async def scenario(site):
        request = callers.request_of(
            site.document, "wear-report", "k1", run_s=60.0
        )
        with trio.move_on_after(1):
            await site.entries[0].submit(request)
        context.running_at_disconnect = [
            a.executor.running for a in site.agents
        ]
        await trio.sleep(1)
        context.running_after = [a.executor.running for a in site.agents]
        context.backend_running = sum(
            backend.running for backend in site.backends_by_address.values()
        )

    _run(context, scenario)


@then("the slot is free within 1 second")
def _(context):
    assert sum(context.running_at_disconnect) == 1
    assert sum(context.running_after) == 0
    assert context.backend_running == 0
