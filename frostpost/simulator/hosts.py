"""Simulated machines that implement the parts of Twisted's reactor that the daemons use."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from . import connections, data_transfer
from . import net as nets


class Host:
    """A machine with its own clock, ports, connections and threads; it can be frozen, terminated and booted again."""

    __slots__ = (
        "net",
        "name",
        "address",
        "clock",
        "frozen",
        "alive",
        "powered",
        "generation",
        "queue",
        "ports",
        "connections",
        "jobs",
        "thread_ms",
        "zone",
        "tracebacks",
    )

    def __init__(self, net, name, address, zone="a"):
        self.net, self.name, self.address, self.zone = net, name, address, zone
        self.generation, self.alive, self.powered = 0, False, True
        self.thread_ms, self.tracebacks = (lambda: 1.0), []
        self.boot()

    def boot(self):
        """Start the machine with an empty event loop."""
        self.generation += 1
        self.clock, self.frozen, self.queue = Clock(), False, []
        self.clock.rightNow = self.net.clock.seconds()
        self.ports, self.connections, self.jobs = {}, [], []
        self.alive = self.powered = True

    def seconds(self):
        """Return the machine's monotonic clock in seconds."""
        return self.clock.seconds()

    def callLater(self, delay_s, call, *args, **kwargs):
        """Schedule a call that is dropped if the machine reboots."""
        return self.clock.callLater(delay_s, self.run_guarded, self.generation, call, args, kwargs)

    def run_guarded(self, generation, call, args, kwargs):
        """Run a call if it belongs to the current boot; record the traceback if it raises."""
        if generation == self.generation and self.alive:
            try:
                call(*args, **kwargs)
            except Exception:
                self.tracebacks.append(Failure().getTraceback()[-1500:])

    def getDelayedCalls(self):
        """Return the scheduled calls."""
        return self.clock.getDelayedCalls()

    def next_call_s(self):
        """Return the time of the next scheduled call in seconds, None if nothing can run."""
        if not self.alive or self.frozen or not self.clock.calls:
            return None
        return self.clock.calls[0].getTime()

    def run_due_calls(self):
        """Advance the machine's clock to the network's and run all calls that are due."""
        elapsed_s = self.net.clock.seconds() - self.clock.seconds()
        if elapsed_s >= 0 and self.alive and not self.frozen:
            self.clock.advance(max(0.0, elapsed_s))

    def dispatch(self, call, *args):
        """Run a call on this machine now, or when it is thawed."""
        if not self.alive:
            return
        if self.frozen:
            self.queue.append((call, args))
            return
        self.run_due_calls()
        self.run_guarded(self.generation, call, args, {})

    def freeze(self):
        """Freeze the machine; its connections stay open."""
        if self.alive:
            self.frozen = True

    def thaw(self):
        """Unfreeze the machine: run the calls that are due, then the queued ones."""
        if not self.frozen:
            return
        self.frozen, queue, self.queue = False, self.queue, []
        self.run_due_calls()
        for call, args in queue:
            self.dispatch(call, *args)

    def in_thread(self, call, *args):
        """Run a job as in a thread after a simulated delay; returns a Deferred of its result."""
        deferred = Deferred()
        job = (call, args)
        self.jobs.append(job)

        def run_job():
            self.jobs.remove(job)
            try:
                result = call(*args)
            except Exception:
                deferred.errback(Failure())
                return
            deferred.callback(result)

        self.callLater(self.thread_ms() / 1000, run_job)
        return deferred

    def terminate(self, power=False):
        """Kill the process or cut power; returns the jobs that were unfinished."""
        if not self.alive:
            return []
        jobs, self.jobs = self.jobs, []
        self.alive, self.frozen, self.queue, self.powered = False, False, [], not power
        open_connections, self.connections, self.ports = self.connections, [], {}
        for connection in open_connections:
            data_transfer.detach(connection, power)
        for call in list(self.clock.calls):
            call.cancel()
        return jobs

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Open a simulated connection; returns its connector."""
        return nets.connect(self.net, self, host, port, factory, timeout)

    def listenTCP(self, port, factory, backlog=50, interface=""):
        """Listen on a simulated port; returns it."""
        return connections.Port(self, port, factory)
