"""Edges that are frozen or cut off between a check and the act that it allowed, in a simulated fleet.

Whatever another edge did meanwhile, the late act starts no second run, resolves no key and ends no turn that it may
not. The fleet's judge looks at what clients and runners saw.
"""

from collections import defaultdict

import pytest
from fleet_simulator import judge
from fleet_simulator import stage as plays
from fleet_simulator.crowd import MOST_TOKENS
from twisted.internet.defer import Deferred

from frostpost.cluster import lease_client, operation_client
from frostpost.program_ledger.messages import BeginAttempt, ClaimOperationKey, EndAttempt, ResolveOperationKey
from frostpost.proxy import pool
from frostpost.proxy.exchange import Exchange
from frostpost.proxy.wait_policy import MAX_OUTAGE_LEASES, WAIT_RATIO

LEASE_LOST_MS, LONG_MS = 1500, 6000
KEYED, UNSAFE, SAFE, TURN = "/keyed/c", "/unsafe/b", "/safe/a", "/chat/x"
MORE = {KEYED: {"key": "k1", "body": b"once"}, TURN: {"most": MOST_TOKENS, "budget": 9 * MOST_TOKENS}}


class Story:
    """A fleet with one edge that is to be stopped once, and clients of it and of the others."""

    def __init__(self, seed=5):
        self.world, _, status, took_ms = plays.open_(seed)
        assert status == 200 and took_ms >= 0
        self.crowd = plays.crowd_of(self.world, "c")
        self.crowd.random.random = lambda: 0.9  # clients neither leave early nor reuse connections by chance
        self.edge = next(d for d in self.world.of("edge") if d.zone == "z0")
        self.stopped_ms, self.acted_ms = [], []

    def run(self, wait_ms):
        self.world.run(self.world.now_ms() + wait_ms)

    def stop_between(self, patch, owner, name, due, stop_ms, act_first=True, cut=False):
        """Freeze the edge the first time that it is about to do this; it does it once it thaws.

        act_first: before it hears what came meanwhile. cut: besides, nothing reaches it or leaves it until then.
        """
        kept, host = getattr(owner, name), self.edge.host

        def act(*args):
            if self.stopped_ms or not due(*args):
                return kept(*args)
            self.stopped_ms.append(self.world.now_ms())
            host.freeze()
            if cut:
                self.cut(True)
            later = Deferred()
            self.world.later(stop_ms, go_on, args, later)
            return later

        def go_on(args, later):
            if cut:
                self.cut(False)
            if not act_first:
                host.thaw()
            self.acted_ms.append(self.world.now_ms())
            result = kept(*args)
            if isinstance(result, Deferred):
                result.chainDeferred(later)
            host.thaw()

        patch.setattr(owner, name, act)

    def cut(self, on):
        here = self.edge.host.address
        for daemon in self.world.of("storage", "core", "edge"):
            for pair in ((here, daemon.host.address), (daemon.host.address, here)):
                (self.world.net.cuts.add if on else self.world.net.cuts.discard)(pair)

    def ours(self, agent):
        return agent is self.edge.owner

    def writes(self, path):
        """Whether an exchange of the edge for this path is about to be written."""
        return lambda exchange, _: self.ours(exchange.agent) and exchange.call.uri.decode().startswith(path)

    def hands_in(self, kind):
        """Whether the edge is about to hand such an operation in."""
        return lambda agent, op, *_: self.ours(agent) and isinstance(op, kind)

    def ask(self, path, zone="z0", **more):
        """One try of a client."""
        request = self.crowd.make(path, "p", **more)
        self.crowd.once(zone, request, True)
        return request

    def repeat(self, path, every_ms, times, **more):
        """Tries of other clients' daemons, again and again."""
        for number in range(times):
            self.world.later(every_ms * (number + 1), lambda: self.ask(path, "z1", **more))

    def runs(self, request=None, key=None):
        found = self.world.notes.runs
        return [r for r in found if (request is None or r.try_id == request.try_id) and (key is None or r.key == key)]

    def judged(self):
        tries, runs_of = {t.try_id: t for t in self.world.notes.tries}, defaultdict(list)
        for run in self.world.notes.runs:
            runs_of[run.try_id].append(run)
        broken = [
            *judge.twice(self.world, runs_of, tries),
            *judge.promised(runs_of, tries),
            *judge.mixed(self.world, runs_of, tries),
            *judge.budgets(tries),
            *judge.unasked(self.world, tries),
            *judge.lost(self.world, tries),
        ]
        assert not self.edge.host.breaks
        return [f"{b.rule} {b.text}" for b in broken]


EACH_STOP = pytest.mark.parametrize("stop_ms", [300, LEASE_LOST_MS, LONG_MS])
EACH_ORDER = pytest.mark.parametrize("act_first", [True, False], ids=["act first", "news first"])
EACH_CUT = pytest.mark.parametrize("cut", [False, True], ids=["frozen", "frozen and cut"])


@EACH_STOP
@EACH_ORDER
@EACH_CUT
@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED])
def test_a_request_written_late_runs_once_for_its_key_and_breaks_no_promise(monkeypatch, path, stop_ms, act_first, cut):
    story = Story()
    story.stop_between(monkeypatch, Exchange, "write_to", story.writes(path), stop_ms, act_first, cut)
    more = MORE.get(path, {})
    request = story.ask(path, **more)
    story.run(100)
    assert story.stopped_ms
    story.repeat(path, 250, 20, **more)
    story.run(stop_ms + 8000)
    assert story.acted_ms and story.judged() == []
    assert len(story.runs(request)) <= 1 and (path != KEYED or len(story.runs(key="k1")) <= 1)


@EACH_STOP
@EACH_ORDER
@pytest.mark.parametrize("kind", [ClaimOperationKey, ResolveOperationKey])
def test_a_key_is_run_and_resolved_once_though_its_daemon_stood_still(monkeypatch, kind, stop_ms, act_first):
    story = Story()
    story.stop_between(monkeypatch, operation_client, "submit", story.hands_in(kind), stop_ms, act_first)
    story.ask(KEYED, **MORE[KEYED])
    story.run(300)
    assert story.stopped_ms
    story.repeat(KEYED, 250, 27, **MORE[KEYED])
    story.run(LONG_MS + 4000)
    assert story.acted_ms and story.judged() == [] and len(story.runs(key="k1")) == 1
    seals = {t.seal for t in story.world.notes.tries if t.whole and t.status == 200}
    assert len(seals) == 1


@EACH_STOP
@EACH_ORDER
@pytest.mark.parametrize("kind", [BeginAttempt, EndAttempt])
def test_a_turn_is_begun_and_ended_by_its_own_attempt_only(monkeypatch, kind, stop_ms, act_first):
    story = Story()
    done = []
    story.crowd.turn("z1", "p", 20 * MOST_TOKENS, "").addCallback(done.append)
    story.run(3000)
    before = done[0].try_id
    story.stop_between(monkeypatch, operation_client, "submit", story.hands_in(kind), stop_ms, act_first)
    turn = {"previous": before, "budget": 4 * MOST_TOKENS, "most": MOST_TOKENS}
    request = story.ask(TURN, **turn)
    story.run(1000)
    assert story.stopped_ms
    story.repeat(TURN, 400, 10, **turn)
    story.run(stop_ms + 9000)
    assert story.acted_ms and story.judged() == [] and len(story.runs(request)) <= 1
    others = [t for t in story.world.notes.tries if t.previous == before and t is not request]
    assert any(t.whole and t.status == 200 for t in others)


@pytest.mark.parametrize("stop_ms", [LEASE_LOST_MS, LONG_MS])
@EACH_ORDER
@EACH_CUT
@pytest.mark.parametrize("path", [KEYED, TURN])
def test_a_verdict_that_is_heard_after_the_lease_starts_no_run(monkeypatch, path, stop_ms, act_first, cut):
    story = Story()
    story.stop_between(
        monkeypatch, operation_client, "on_operation_reply", lambda agent, _: story.ours(agent), stop_ms, act_first, cut
    )
    request = story.ask(path, **MORE[path])
    request.left_ms = 20000
    story.run(stop_ms + 100)
    assert story.stopped_ms and story.acted_ms
    story.run(8000)
    assert story.runs(request) == [] and story.judged() == []
    assert request.status in (0, 503) and request.ended_ms > 0


@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED, TURN])
def test_a_request_that_a_daemon_without_lease_takes_waits_its_share_and_is_then_refused(path):
    story = Story()
    story.cut(True)
    story.run(LEASE_LOST_MS)
    request = story.ask(path, **MORE.get(path, {}))
    story.run(int(request.left_ms * WAIT_RATIO) - 200)
    assert not request.whole and story.runs(request) == []
    story.run(400)
    assert request.whole and request.status == 503 and request.retry_ms > 0 and story.runs(request) == []


@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED, TURN])
def test_a_request_that_a_daemon_long_without_lease_takes_is_refused_at_once(path):
    story = Story()
    story.cut(True)
    story.run(LEASE_LOST_MS + (MAX_OUTAGE_LEASES + 1) * 1200)
    request = story.ask(path, **MORE.get(path, {}))
    story.run(100)
    assert request.whole and request.status == 503 and request.retry_ms > 0 and story.runs(request) == []


@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED, TURN])
def test_a_request_under_way_when_the_lease_ends_gets_its_answer_without_a_promise_that_is_false(path):
    for wait_ms in range(0, 60, 5):
        story = Story()
        story.run(50)
        request = story.ask(path, **MORE.get(path, {}))
        story.run(wait_ms)
        story.cut(True)
        story.run(9000)
        assert request.ended_ms > 0 and story.judged() == []


def test_a_daemon_that_ignores_its_lease_is_caught(monkeypatch):
    story = Story()
    for owner in (pool, operation_client, lease_client):
        monkeypatch.setattr(owner, "holds_lease", lambda agent: True)
    story.stop_between(
        monkeypatch, operation_client, "on_operation_reply", lambda agent, _: story.ours(agent), LEASE_LOST_MS
    )
    request = story.ask(KEYED, **MORE[KEYED])
    request.left_ms = 20000
    story.run(LEASE_LOST_MS + 8000)
    assert len(story.runs(request)) == 1
