"""A periodic job that skips the ticks at which nothing is due."""

from math import ceil, floor

from twisted.python.failure import Failure

# Tolerance for rounding errors, in periods: a tick this close ahead is the current one.
ROUNDING_TICKS = 1e-3


class Ticker:
    """Runs a job at the ticks of a fixed period, starting from the tick at which something is due.

    `job()` does the work; `due_in_ms()` then returns the time until it is due again. Work that becomes due earlier is
    announced by `wake`. If the job raises, `on_failure(failure)` is called and the ticker stops. `late_ms` is the delay
    of the last run after its tick.
    """

    __slots__ = ("reactor", "period_s", "job", "due_in_ms", "on_failure", "origin_s", "call", "planned_s", "late_ms")

    def __init__(self, reactor, period_s, job, due_in_ms, on_failure):
        self.reactor, self.period_s, self.job = reactor, period_s, job
        self.due_in_ms, self.on_failure = due_in_ms, on_failure
        self.origin_s, self.call = 0.0, None
        self.planned_s, self.late_ms = 0.0, 0.0

    def start(self):
        """Start ticking; the first tick is one period from now and is never skipped."""
        self.origin_s = self.reactor.seconds()
        self._schedule(self.period_s)

    def stop(self):
        """Cancel the next run."""
        if self.call is not None and self.call.active():
            self.call.cancel()
        self.call = None

    def wake(self, in_ms=0):
        """Run at the first tick at least `in_ms` from now, unless an earlier run is scheduled."""
        if self.call is None:
            return
        delay_s = self._delay_s(in_ms)
        if self.reactor.seconds() + delay_s < self.planned_s:
            self.planned_s = self.reactor.seconds() + delay_s
            self.call.reset(delay_s)

    def _run(self):
        self.call, self.late_ms = None, max(0.0, (self.reactor.seconds() - self.planned_s) * 1000)
        try:
            self.job()
            delay_s = self._delay_s(self.due_in_ms())
        except Exception:
            self.on_failure(Failure())
            return
        self._schedule(delay_s)

    def _schedule(self, delay_s):
        self.planned_s = self.reactor.seconds() + delay_s
        self.call = self.reactor.callLater(delay_s, self._run)

    def _delay_s(self, in_ms):
        """Return the seconds to the first tick at least `in_ms` from now, or to the next tick."""
        elapsed_ticks = (self.reactor.seconds() - self.origin_s) / self.period_s
        due_tick = ceil(elapsed_ticks + in_ms / 1000 / self.period_s - ROUNDING_TICKS)
        next_tick = floor(elapsed_ticks + ROUNDING_TICKS) + 1
        return (max(due_tick, next_tick) - elapsed_ticks) * self.period_s
