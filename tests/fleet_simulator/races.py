"""Operators that change the configuration concurrently, with lost responses and repeated requests."""

from random import Random

from twisted.internet.defer import DeferredList, inlineCallbacks

from . import world as worlds
from .notes import NEVER_MS, Version
from .operator import Operator
from .routes import change_of, paths_of

MAX_CONCURRENT_CHANGES = 8
CHANGE_TIMEOUT_MS = 8000
PARALLEL_REQUESTS = (2, 3)
MAX_VERSION_STEP = 5


class Races:
    """Keeps up to `MAX_CONCURRENT_CHANGES` changes in progress. lost: fraction of lost responses."""

    def __init__(self, world, lost, operators=3):
        self.world, self.random, self.in_progress, self.serial, self.accepted = (
            world,
            Random(f"{world.seed}races"),
            0,
            0,
            [],
        )
        self.operators = [self.operator(f"r{number}", lost) for number in range(operators)]

    def operator(self, tag, lost):
        """Returns an operator with its own tag that loses a fraction `lost` of its responses."""
        world = self.world
        operator = Operator(
            world.callers, world.notes, Random(f"{world.seed}{tag}"), lambda: worlds.controls(world), tag
        )
        operator.lost = lost
        return operator

    def run(self, until_ms, gap_ms):
        """Start changes until `until_ms`, `gap_ms` apart on average."""
        if self.world.now_ms() >= until_ms:
            return
        if self.in_progress < MAX_CONCURRENT_CHANGES:
            self.begin(until_ms + CHANGE_TIMEOUT_MS)
        self.world.later(self.random.expovariate(1) * gap_ms, self.run, until_ms, gap_ms)

    def begin(self, until_ms):
        """Start one randomly chosen pattern of concurrent changes."""
        pattern = self.random.choices(
            (self.single, self.duel, self.parallel, self.resend, self.stale), (8, 4, 3, 3, 1)
        )[0]
        self.in_progress += 1

        def on_finished(_):
            self.in_progress -= 1

        pattern(self.random.choice(self.operators), until_ms).addBoth(on_finished)

    @inlineCallbacks
    def next_change(self, operator, until_ms, issue=None):
        """Returns a change of the current configuration as (version, kind, change), or None if the read failed."""
        document = yield operator.read(until_ms)
        if document is None:
            return None
        issue = issue or document["issue"] + self.random.randint(1, MAX_VERSION_STEP)
        return self.change_on(operator, document, issue)

    def change_on(self, operator, document, issue):
        """Returns a change based on a document as (version, kind, change)."""
        self.serial += 1
        change, changed_document = change_of(document, issue, self.random, f"{operator.tag}x{self.serial}")
        version = Version(issue, document["issue"], paths_of(changed_document), changed_document, self.world.now_ms())
        kind = self.random.choice(("Modify", "Replace"))
        return version, kind, change if kind == "Modify" else changed_document

    def send(self, operator, change_to_send, until_ms):
        """Send a change until a response is conclusive; an acknowledged one may be sent again later."""
        version, kind, change = change_to_send

        def on_status(status):
            if status == 200:
                self.accepted.append(change_to_send)
            return status

        return operator.change(version, kind, change, until_ms).addCallback(on_status)

    @inlineCallbacks
    def single(self, operator, until_ms):
        """Send one change."""
        change_to_send = yield self.next_change(operator, until_ms)
        if change_to_send is not None:
            yield self.send(operator, change_to_send, until_ms)

    @inlineCallbacks
    def duel(self, operator, until_ms):
        """Two operators send different changes with the same version number and base."""
        document = yield operator.read(until_ms)
        if document is None:
            return
        issue = document["issue"] + self.random.randint(1, MAX_VERSION_STEP)
        other = self.random.choice([candidate for candidate in self.operators if candidate is not operator])
        changes_to_send = [self.change_on(sender, document, issue) for sender in (operator, other)]
        yield DeferredList(
            [
                self.send(sender, change_to_send, until_ms)
                for sender, change_to_send in zip((operator, other), changes_to_send, strict=True)
            ]
        )

    @inlineCallbacks
    def parallel(self, operator, until_ms):
        """One change is sent to several daemons at once."""
        change_to_send = yield self.next_change(operator, until_ms)
        if change_to_send is not None:
            count = self.random.choice(PARALLEL_REQUESTS)
            yield DeferredList([self.send(operator, change_to_send, until_ms) for _ in range(count)])

    @inlineCallbacks
    def resend(self, operator, until_ms):
        """An accepted change is sent again, possibly after later changes."""
        if self.accepted:
            yield self.send(
                operator, self.random.choice((self.accepted[-1], self.random.choice(self.accepted))), until_ms
            )
        else:
            yield self.single(operator, until_ms)

    @inlineCallbacks
    def stale(self, operator, until_ms):
        """A change whose base is no longer the current version."""
        change_to_send = yield self.next_change(operator, until_ms)
        if change_to_send is not None and self.accepted:
            version, _, changed_document = change_to_send
            version.base = self.random.choice(self.accepted)[0].base
            version.issue += MAX_VERSION_STEP
            version.document = dict(version.document, issue=version.issue)
            yield self.send(operator, (version, "Replace", version.document), until_ms)

    def resend_all(self, until_ms, limit=40):
        """Resend the oldest and newest acknowledged changes. Returns a Deferred of the (success, status) pairs."""
        changes_to_send = [*self.accepted[: limit // 2], *self.accepted[-(limit // 2) :]]
        return DeferredList(
            [
                self.send(self.random.choice(self.operators), change_to_send, until_ms)
                for change_to_send in changes_to_send
            ]
        )


def acknowledged(world):
    """Returns the number of acknowledged changes."""
    return sum(version.acked_ms >= 0 for version in world.notes.versions)


def call_duration_ms(call):
    """Returns the duration of a call in ms, `NEVER_MS` without a response."""
    return call.ended_ms - call.sent_ms if call.ended_ms < NEVER_MS else NEVER_MS
