"""A process's copy of the configuration; accepts only newer, valid versions."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

import msgspec
import result

from pimentobridge.core import configuration
from pimentobridge.core import errors
from pimentobridge.core import patch
from pimentobridge.core import signing
from pimentobridge.core import types
from pimentobridge.core import validation
from pimentobridge.protocol import cluster

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.protocol import transport

MAX_HISTORY_STEPS = 64
MAX_HISTORY_BYTES = 256_000
PULL_INTERVAL_S = 0.5


class Replica:
    """Configuration in force at one process.

    Documents are ordered by their signed sequence number. The store's revision
    can't be used instead: the signatures don't cover it, so it wouldn't reveal
    a replayed document.

    Attributes:
        document: the document in force, or None before the first one.
        digest: digest of the document in force; empty before the first one.
        recent_refusals: problems of the last 16 refused documents.
        changed_s: when the document in force was last replaced.

    Args:
        trusted: owners' keys from the process's settings.
        on_change: called with each document that comes into force.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        outbox: transport.Outbox,
        trusted: Sequence[configuration.Owner],
        on_change: Callable[[configuration.Document], None],
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._trusted = list(trusted)
        self._on_change = on_change
        self._proposal: configuration.Proposal | None = None
        self._steps: collections.deque[cluster.Step] = collections.deque()
        self._step_bytes = 0
        self._last_pull_s = -1e9
        self.document: configuration.Document | None = None
        self.digest = types.Digest("")
        self.recent_refusals: list[errors.Problem] = []
        self.changed_s = 0.0

    @property
    def sequence(self) -> int:
        """Sequence of the document in force; 0 if there is none."""
        return self.document.sequence if self.document else 0

    @property
    def proposal(self) -> configuration.Proposal | None:
        """The document in force with its signatures, or None."""
        return self._proposal

    def offer(
        self, proposal: configuration.Proposal
    ) -> result.Result[configuration.Document, errors.Problem]:
        """Puts a document in force if it is signed, newer and valid."""
        checked = self._check(proposal)
        if isinstance(checked, result.Err):
            self._record_refusal(checked.err_value)
            return checked
        self._put_in_force(proposal, checked.ok_value)
        return checked

    def on_announcement(
        self, sender: types.Address, sequence: int, digest: types.Digest
    ) -> None:
        """Pulls from a peer that announces a newer document.

        Pulls are at least `PULL_INTERVAL_S` apart while no reply has arrived.
        """
        if sequence <= self.sequence:
            return
        now_s = self._clock.monotonic()
        if now_s - self._last_pull_s < PULL_INTERVAL_S:
            return
        self._last_pull_s = now_s
        pull = cluster.ConfigurationPull(self.sequence, self.digest)
        self._outbox.send(sender, pull)

    @functools.singledispatchmethod
    def handle(self, message: object, sender: types.Address) -> bool:
        """Handles a message; returns False if it isn't for the replica."""
        return False

    @handle.register(cluster.ConfigurationNews)
    def _on_announcement_message(
        self, message: cluster.ConfigurationNews, sender: types.Address
    ) -> bool:
        self.on_announcement(sender, message.sequence, message.digest)
        return True

    @handle.register(cluster.ConfigurationPull)
    def _on_pull(
        self, message: cluster.ConfigurationPull, sender: types.Address
    ) -> bool:
        if self._proposal is None or message.sequence >= self.sequence:
            return True
        steps = self._steps_after(message.digest)
        if steps:
            self._outbox.send(sender, cluster.ConfigurationSteps(steps))
        else:
            whole_document = cluster.ConfigurationWhole(self._proposal)
            self._outbox.send(sender, whole_document)
        return True

    @handle.register(cluster.ConfigurationWhole)
    def _on_whole(
        self, message: cluster.ConfigurationWhole, sender: types.Address
    ) -> bool:
        self._last_pull_s = -1e9
        self.offer(message.proposal)
        return True

    @handle.register(cluster.ConfigurationSteps)
    def _on_steps(
        self, message: cluster.ConfigurationSteps, sender: types.Address
    ) -> bool:
        self._last_pull_s = -1e9
        for step in message.steps:
            if step.before == self.digest:
                self._apply_step(step)
        return True

    def on_timer(self) -> None:
        """Does nothing; the replica has no timers."""

    def next_wakeup_s(self) -> float:
        """Returns infinity; heartbeats announce newer documents."""
        return float("inf")

    def _apply_step(self, step: cluster.Step) -> None:
        if self._proposal is None:
            return
        tree = msgspec.json.decode(self._proposal.document)
        try:
            changed = patch.apply(tree, step.operations)
        except ValueError:
            return
        document = msgspec.json.encode(changed, order="sorted")
        if configuration.digest(document) == step.after:
            self.offer(configuration.Proposal(document, step.signatures))

    def _check(
        self, proposal: configuration.Proposal
    ) -> result.Result[configuration.Document, errors.Problem]:
        verified = signing.verify(proposal, self._trusted, self._clock.now())
        if isinstance(verified, result.Err):
            return verified
        document = verified.ok_value
        if document.sequence <= self.sequence:
            return result.Err(
                errors.Problem(
                    errors.ErrorKind.CONFLICT,
                    f"received document {document.sequence}; expected a"
                    f" sequence above {self.sequence}, which is in force.",
                    "Base the change on the document in force and have it"
                    " signed again.",
                )
            )
        problems = validation.problems_of(document)
        if problems:
            return result.Err(problems[0])
        return verified

    def _put_in_force(
        self,
        proposal: configuration.Proposal,
        document: configuration.Document,
    ) -> None:
        digest = configuration.digest(proposal.document)
        if self._proposal is not None:
            self._record_step(self._proposal, proposal, digest)
        self._proposal = proposal
        self.document = document
        self.digest = digest
        self.changed_s = self._clock.monotonic()
        self._on_change(document)

    def _record_step(
        self,
        before: configuration.Proposal,
        after: configuration.Proposal,
        digest: types.Digest,
    ) -> None:
        operations = patch.difference(
            msgspec.json.decode(before.document),
            msgspec.json.decode(after.document),
        )
        step = cluster.Step(
            self.sequence + 1,
            self.digest,
            digest,
            operations,
            after.signatures,
        )
        self._steps.append(step)
        self._step_bytes += _size_of(step)
        while self._steps and (
            len(self._steps) > MAX_HISTORY_STEPS
            or self._step_bytes > MAX_HISTORY_BYTES
        ):
            self._step_bytes -= _size_of(self._steps.popleft())

    def _steps_after(self, digest: types.Digest) -> list[cluster.Step]:
        steps = list(self._steps)
        for index, step in enumerate(steps):
            if step.before == digest:
                return steps[index:]
        return []

    def _record_refusal(self, problem: errors.Problem) -> None:
        self.recent_refusals.append(problem)
        del self.recent_refusals[:-16]


def _size_of(step: cluster.Step) -> int:
    return len(msgspec.msgpack.encode(step))
