"""Operators that contend for the configuration: many changes at once, answers lost, orders sent again and again."""

from random import Random

from twisted.internet.defer import DeferredList, inlineCallbacks

from . import world as worlds
from .notes import NEVER_MS, Version
from .operator import Operator
from .routes import change_of, paths_of

MOST_UNDER_WAY = 8
PATIENCE_MS = 8000
CROWD = (2, 3)
NUMBERS = 5


class Races:
    """Keeps up to `MOST_UNDER_WAY` orders under way until a moment. lost: share of answers that never arrive."""

    def __init__(self, world, lost, operators=3):
        self.world, self.random, self.under_way, self.serial, self.taken = world, Random(f"{world.seed}races"), 0, 0, []
        self.operators = [self.operator(f"r{number}", lost) for number in range(operators)]

    def operator(self, tag, lost):
        """An operator of its own name, who loses a share of the answers."""
        world = self.world
        made = Operator(world.callers, world.notes, Random(f"{world.seed}{tag}"), lambda: worlds.controls(world), tag)
        made.lost = lost
        return made

    def run(self, until_ms, gap_ms):
        """Begin one order after another until `until_ms`, `gap_ms` apart on average."""
        if self.world.now_ms() >= until_ms:
            return
        if self.under_way < MOST_UNDER_WAY:
            self.begin(until_ms + PATIENCE_MS)
        self.world.later(self.random.expovariate(1) * gap_ms, self.run, until_ms, gap_ms)

    def begin(self, until_ms):
        """Begin one of the ways in which operators meet."""
        way = self.random.choices((self.single, self.duel, self.crowd, self.again, self.stale), (8, 4, 3, 3, 1))[0]
        self.under_way += 1

        def over(_):
            self.under_way -= 1

        way(self.random.choice(self.operators), until_ms).addBoth(over)

    @inlineCallbacks
    def made(self, operator, until_ms, issue=None):
        """A change on top of what is read now, as (version, kind, change), or None where nothing was read."""
        document = yield operator.read(until_ms)
        if document is None:
            return None
        issue = issue or document["issue"] + self.random.randint(1, NUMBERS)
        return self.change_on(operator, document, issue)

    def change_on(self, operator, document, issue):
        """A change on top of a document, as (version, kind, change)."""
        self.serial += 1
        change, after = change_of(document, issue, self.random, f"{operator.tag}x{self.serial}")
        version = Version(issue, document["issue"], paths_of(after), after, self.world.now_ms())
        kind = self.random.choice(("Modify", "Replace"))
        return version, kind, change if kind == "Modify" else after

    def send(self, operator, order, until_ms):
        """Send an order until it is answered clearly; what was acknowledged may be sent again later."""
        version, kind, change = order

        def over(status):
            if status == 200:
                self.taken.append(order)
            return status

        return operator.change(version, kind, change, until_ms).addCallback(over)

    @inlineCallbacks
    def single(self, operator, until_ms):
        """One order."""
        order = yield self.made(operator, until_ms)
        if order is not None:
            yield self.send(operator, order, until_ms)

    @inlineCallbacks
    def duel(self, operator, until_ms):
        """Two operators send different changes under one number on top of one version."""
        document = yield operator.read(until_ms)
        if document is None:
            return
        issue = document["issue"] + self.random.randint(1, NUMBERS)
        other = self.random.choice([found for found in self.operators if found is not operator])
        orders = [self.change_on(who, document, issue) for who in (operator, other)]
        yield DeferredList(
            [self.send(who, order, until_ms) for who, order in zip((operator, other), orders, strict=True)]
        )

    @inlineCallbacks
    def crowd(self, operator, until_ms):
        """One order goes through several daemons at once."""
        order = yield self.made(operator, until_ms)
        if order is not None:
            many = self.random.choice(CROWD)
            yield DeferredList([self.send(operator, order, until_ms) for _ in range(many)])

    @inlineCallbacks
    def again(self, operator, until_ms):
        """An order that was taken is sent again, after others or none."""
        if self.taken:
            yield self.send(operator, self.random.choice((self.taken[-1], self.random.choice(self.taken))), until_ms)
        else:
            yield self.single(operator, until_ms)

    @inlineCallbacks
    def stale(self, operator, until_ms):
        """An order on top of a version that isn't current any more."""
        order = yield self.made(operator, until_ms)
        if order is not None and self.taken:
            version, _, after = order
            version.base = self.random.choice(self.taken)[0].base
            version.issue += NUMBERS
            version.document = dict(version.document, issue=version.issue)
            yield self.send(operator, (version, "Replace", version.document), until_ms)

    def resend_all(self, until_ms, most=40):
        """Send what was acknowledged once more, the oldest and newest first; -> Deferred of the statuses."""
        orders = [*self.taken[: most // 2], *self.taken[-(most // 2) :]]
        return DeferredList([self.send(self.random.choice(self.operators), order, until_ms) for order in orders])


def acknowledged(world):
    """How many different changes were acknowledged."""
    return sum(version.acked_ms >= 0 for version in world.notes.versions)


def opened_ms(call):
    """How long a call took, endless while it has no answer."""
    return call.ended_ms - call.sent_ms if call.ended_ms < NEVER_MS else NEVER_MS
