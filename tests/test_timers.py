"""Ticks that are slept through: the timer that leaves them out, and that each of them would have done nothing."""

import pytest
from msgspec import msgpack
from twisted.internet.task import Clock

from frostpost.daemon import core as cores
from frostpost.daemon.ticker import Ticker
from frostpost.simulator import play as plays
from frostpost.simulator import world as worlds
from frostpost.simulator.plants import changed
from frostpost.virtual_synchrony import failure_detector, timers
from frostpost.virtual_synchrony.events import TimerTick

NEVER_MS = 10_000_000
MOVING = ("now_ms", "last_tick_ms", "desired_since_ms")


class Job:
    """Notes when it ran; due_ms is what it tells of its next time."""

    def __init__(self, period_s=0.02):
        self.clock, self.ran, self.due_in_ms, self.failures = Clock(), [], 0, []
        self.ticker = Ticker(self.clock, period_s, self.run, lambda: self.due_in_ms, self.failures.append)
        self.ticker.start()

    def run(self):
        self.ran.append(round(self.clock.seconds(), 6))

    def play(self, seconds, step_s=0.001):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)


def test_job_that_is_always_due_runs_at_each_tick():
    job = Job()
    job.play(0.1)
    assert job.ran == pytest.approx([0.02, 0.04, 0.06, 0.08, 0.1], abs=0.0011)


def test_job_sleeps_to_the_first_tick_at_which_it_is_due():
    job = Job()
    job.due_in_ms = 70
    job.play(0.19)
    assert job.ran == pytest.approx([0.02, 0.1, 0.18], abs=0.0011)


def test_wake_brings_the_next_tick_and_never_puts_one_off():
    job = Job()
    job.due_in_ms = NEVER_MS
    job.play(0.145)
    job.ticker.wake()
    job.ticker.wake(5000)
    job.play(0.1)
    assert job.ran == pytest.approx([0.02, 0.16], abs=0.0011)


def test_wake_from_inside_the_job_is_left_to_what_the_job_tells():
    job = Job()
    job.due_in_ms = 50
    run, ticker = job.run, job.ticker
    ticker.job = lambda: (run(), ticker.wake())
    job.play(0.1)
    assert job.ran == pytest.approx([0.02, 0.08], abs=0.0011)


def test_error_ends_the_ticking_and_is_told_once():
    job = Job()
    job.ticker.job = lambda: 1 / 0
    job.play(0.1)
    assert [failure.type for failure in job.failures] == [ZeroDivisionError]
    job.ticker.wake()
    job.ticker.stop()


def test_lateness_is_measured_from_the_tick_that_was_planned():
    job = Job()
    job.due_in_ms = 70
    job.clock.advance(0.02)
    job.clock.advance(0.095)
    assert job.ticker.late_ms == pytest.approx(15, abs=0.1)


def test_stopped_ticker_runs_no_more():
    job = Job()
    job.play(0.05)
    job.ticker.stop()
    job.ticker.wake()
    job.play(0.1)
    assert len(job.ran) == 2


class SleptTicks:
    """Plays on with every tick, and keeps what those did that a Ticker would have slept through."""

    def __init__(self, monkeypatch):
        self.slept, self.ticks, self.effects = 0, 0, []
        self.feed = worlds.feed
        monkeypatch.setattr(worlds, "feed", self.watched)

    def watched(self, world, name, input):
        node = world.nodes[name]
        if not isinstance(input, TimerTick) or node.core is None or node.frozen:
            return self.feed(world, name, input)
        self.ticks += 1
        synchrony = node.core.synchrony
        if timers.due_ms(synchrony) <= input.now_ms:
            return self.feed(world, name, input)
        self.slept += 1
        before = facts(synchrony)
        node.core, out = cores.step(node.core, input)
        after = facts(node.core.synchrony)
        if out.sends or out.writes or out.notifications or before != after:
            self.effects.append((name, input.now_ms, out.sends, differing(before, after)))
        return worlds.perform(world, node, out)


def facts(synchrony):
    return {
        field: msgpack.encode(getattr(synchrony, field), enc_hook=list)
        for field in synchrony.__struct_fields__
        if field not in MOVING
    }


def differing(before, after):
    return [name for name in before if before[name] != after[name]]


@pytest.mark.parametrize("seed", range(11, 17))
def test_tick_that_is_slept_through_would_have_done_nothing(monkeypatch, seed):
    slept = SleptTicks(monkeypatch)
    plays.play(seed, 0, 5, 0, gap_ms=1500)
    assert slept.slept > slept.ticks // 10
    assert slept.effects == []


def test_fault_that_forgets_what_a_heartbeat_changed_is_found(monkeypatch):
    slept = SleptTicks(monkeypatch)
    beaten = failure_detector.on_heartbeat

    def forgetful(synchrony, out, frm, message):
        before = synchrony.peers_changed
        beaten(synchrony, out, frm, message)
        synchrony.peers_changed = before

    with changed([(failure_detector, "on_heartbeat", forgetful)]):
        for seed in range(11, 17):
            plays.play(seed, 0, 5, 0, gap_ms=1500)
    assert slept.effects


class RoundingReactor:
    """A clock whose seconds are rounded such that a tick seems to lie a hair ahead of itself."""

    def __init__(self, period_s):
        self.now_s, self.delays_s, self.period_s = 0.0, [], period_s

    def seconds(self):
        return self.now_s

    def callLater(self, delay_s, job):
        self.delays_s.append(delay_s)
        self.job = job

    def run(self):
        self.now_s += self.delays_s[-1]
        self.now_s -= self.now_s * 2**-52
        self.job()


def test_a_tick_is_not_run_again_for_the_rounding_of_seconds():
    reactor = RoundingReactor(0.05)
    ticker = Ticker(reactor, 0.05, lambda: None, lambda: 0, None)
    ticker.start()
    for _ in range(10000):
        reactor.run()
    assert min(reactor.delays_s) > 0.04


@pytest.mark.parametrize("start_s", [0.0, 0.1, 1.8013, 4.89, 1234.567])
def test_a_tick_is_never_planned_at_the_time_of_the_one_that_runs(start_s):
    clock, ran_s = Clock(), []
    clock.rightNow = start_s
    ticker = Ticker(clock, 0.05, lambda: ran_s.append(clock.seconds()), lambda: -5, None)
    ticker.start()
    for _ in range(400):
        clock.advance(min(call.getTime() for call in clock.calls) - clock.seconds())
    assert all(later - earlier > 0.049 for earlier, later in zip(ran_s, ran_s[1:], strict=False))
