"""A periodic job that sleeps through the ticks at which it would have nothing to do."""

from math import ceil, floor

from twisted.python.failure import Failure

# A tick this close ahead is the one that has just come, seen through the rounding of seconds.
ROUNDING_TICKS = 1e-3


class Ticker:
    """Runs a job at the ticks of a fixed period, but only from the tick on at which something is due.

    job() does what is due; due_in_ms() tells how long nothing will be, as far as is known; failed(failure) is told of
    an error of the job, after which it runs no more. What becomes due earlier than was told is announced by `wake`.
    late_ms: by how much the last run came after its tick.
    """

    __slots__ = ("reactor", "period_s", "job", "due_in_ms", "failed", "origin_s", "call", "planned_s", "late_ms")

    def __init__(self, reactor, period_s, job, due_in_ms, failed):
        self.reactor, self.period_s, self.job = reactor, period_s, job
        self.due_in_ms, self.failed = due_in_ms, failed
        self.origin_s, self.call = 0.0, None
        self.planned_s, self.late_ms = 0.0, 0.0

    def start(self):
        """Begin to tick; the first tick comes one period from now and is never slept through."""
        self.origin_s = self.reactor.seconds()
        self._plan(self.period_s)

    def stop(self):
        """Tick no more."""
        if self.call is not None and self.call.active():
            self.call.cancel()
        self.call = None

    def wake(self, in_ms=0):
        """Something is due that long from now: run at the first tick after that, or earlier if that was planned."""
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
            self.failed(Failure())
            return
        self._plan(delay_s)

    def _plan(self, delay_s):
        self.planned_s = self.reactor.seconds() + delay_s
        self.call = self.reactor.callLater(delay_s, self._run)

    def _delay_s(self, in_ms):
        """Seconds to the first tick at which that time is over, at least to the next tick."""
        passed = (self.reactor.seconds() - self.origin_s) / self.period_s
        due = ceil(passed + in_ms / 1000 / self.period_s - ROUNDING_TICKS)
        following = floor(passed + ROUNDING_TICKS) + 1
        return (max(due, following) - passed) * self.period_s
