"""The ticker that omits ticks without effect, and the ticks it omits, which must have no effect."""

import pytest
from msgspec import msgpack
from twisted.internet.task import Clock

from frostpost.daemon import core as cores
from frostpost.daemon.ticker import Ticker
from frostpost.simulator import play as plays
from frostpost.simulator import world as worlds
from frostpost.simulator.plants import patched_attributes
from frostpost.virtual_synchrony import failure_detector, timers
from frostpost.virtual_synchrony.events import TimerTick

NEVER_MS = 10_000_000
CLOCK_FIELDS = ("now_ms", "last_tick_ms", "desired_since_ms")


class Job:
    """A job that records its runs. due_in_ms: delay that it reports until its next run."""

    def __init__(self, period_s=0.02):
        self.clock, self.ran, self.due_in_ms, self.failures = Clock(), [], 0, []
        self.ticker = Ticker(self.clock, period_s, self.run, lambda: self.due_in_ms, self.failures.append)
        self.ticker.start()

    def run(self):
        self.ran.append(round(self.clock.seconds(), 6))

    def play(self, seconds, step_s=0.001):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)


def test_job_that_is_always_due_runs_on_every_tick():
    job = Job()
    job.play(0.1)
    assert job.ran == pytest.approx([0.02, 0.04, 0.06, 0.08, 0.1], abs=0.0011)


def test_ticks_before_the_job_is_due_are_omitted():
    job = Job()
    job.due_in_ms = 70
    job.play(0.19)
    assert job.ran == pytest.approx([0.02, 0.1, 0.18], abs=0.0011)


def test_wake_schedules_the_next_tick_and_never_delays_one():
    job = Job()
    job.due_in_ms = NEVER_MS
    job.play(0.145)
    job.ticker.wake()
    job.ticker.wake(5000)
    job.play(0.1)
    assert job.ran == pytest.approx([0.02, 0.16], abs=0.0011)


def test_wake_during_the_job_does_not_override_its_due_time():
    job = Job()
    job.due_in_ms = 50
    run_job, ticker = job.run, job.ticker
    ticker.job = lambda: (run_job(), ticker.wake())
    job.play(0.1)
    assert job.ran == pytest.approx([0.02, 0.08], abs=0.0011)


def test_error_stops_the_ticker_and_is_reported_once():
    job = Job()
    job.ticker.job = lambda: 1 / 0
    job.play(0.1)
    assert [failure.type for failure in job.failures] == [ZeroDivisionError]
    job.ticker.wake()
    job.ticker.stop()


def test_lateness_is_measured_from_the_scheduled_tick():
    job = Job()
    job.due_in_ms = 70
    job.clock.advance(0.02)
    job.clock.advance(0.095)
    assert job.ticker.late_ms == pytest.approx(15, abs=0.1)


def test_stopped_ticker_does_not_run():
    job = Job()
    job.play(0.05)
    job.ticker.stop()
    job.ticker.wake()
    job.play(0.1)
    assert len(job.ran) == 2


class OmittedTicks:
    """Runs every tick of a simulation, and records the effects of those that a Ticker would omit."""

    def __init__(self, monkeypatch):
        self.omitted_count, self.ticks, self.effects = 0, 0, []
        self.feed = worlds.deliver_input
        monkeypatch.setattr(worlds, "deliver_input", self.observe)

    def observe(self, world, name, input):
        node = world.nodes[name]
        if not isinstance(input, TimerTick) or node.core is None or node.frozen:
            return self.feed(world, name, input)
        self.ticks += 1
        synchrony = node.core.synchrony
        if timers.due_ms(synchrony) <= input.now_ms:
            return self.feed(world, name, input)
        self.omitted_count += 1
        before = encoded_fields(synchrony)
        node.core, out = cores.step(node.core, input)
        after = encoded_fields(node.core.synchrony)
        if out.sends or out.writes or out.notifications or before != after:
            self.effects.append((name, input.now_ms, out.sends, changed_fields(before, after)))
        return worlds.perform(world, node, out)


def encoded_fields(synchrony):
    return {
        field: msgpack.encode(getattr(synchrony, field), enc_hook=list)
        for field in synchrony.__struct_fields__
        if field not in CLOCK_FIELDS
    }


def changed_fields(before, after):
    return [name for name in before if before[name] != after[name]]


@pytest.mark.parametrize("seed", range(11, 17))
def test_omitted_ticks_have_no_effect(monkeypatch, seed):
    omitted = OmittedTicks(monkeypatch)
    plays.play(seed, 0, 5, 0, gap_ms=1500)
    assert omitted.omitted_count > omitted.ticks // 10
    assert omitted.effects == []


def test_missing_change_flag_after_a_heartbeat_is_detected(monkeypatch):
    omitted = OmittedTicks(monkeypatch)
    on_heartbeat = failure_detector.on_heartbeat

    def heartbeat_without_change(synchrony, out, sender_name, message):
        before = synchrony.peers_changed
        on_heartbeat(synchrony, out, sender_name, message)
        synchrony.peers_changed = before

    with patched_attributes([(failure_detector, "on_heartbeat", heartbeat_without_change)]):
        for seed in range(11, 17):
            plays.play(seed, 0, 5, 0, gap_ms=1500)
    assert omitted.effects


class RoundingReactor:
    """A reactor whose clock is rounded so that a tick seems to run slightly before its time."""

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


def test_clock_rounding_does_not_repeat_a_tick():
    reactor = RoundingReactor(0.05)
    ticker = Ticker(reactor, 0.05, lambda: None, lambda: 0, None)
    ticker.start()
    for _ in range(10000):
        reactor.run()
    assert min(reactor.delays_s) > 0.04


@pytest.mark.parametrize("start_s", [0.0, 0.1, 1.8013, 4.89, 1234.567])
def test_next_tick_is_never_scheduled_at_the_current_time(start_s):
    clock, ran_s = Clock(), []
    clock.rightNow = start_s
    ticker = Ticker(clock, 0.05, lambda: ran_s.append(clock.seconds()), lambda: -5, None)
    ticker.start()
    for _ in range(400):
        clock.advance(min(call.getTime() for call in clock.calls) - clock.seconds())
    assert all(later - earlier > 0.049 for earlier, later in zip(ran_s, ran_s[1:], strict=False))
