"""A simulated machine that stands in for Twisted's reactor."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from . import net as nets
from . import wire_flow, wires


class Host:
    """A machine with its own clock, network, ports and threads; it can freeze, die and boot again."""

    __slots__ = (
        "net",
        "name",
        "address",
        "clock",
        "frozen",
        "alive",
        "powered",
        "life",
        "queue",
        "ports",
        "wires",
        "jobs",
        "thread_ms",
        "zone",
        "breaks",
    )

    def __init__(self, net, name, address, zone="a"):
        self.net, self.name, self.address, self.zone = net, name, address, zone
        self.life, self.alive, self.powered = 0, False, True
        self.thread_ms, self.breaks = (lambda: 1.0), []
        self.boot()

    def boot(self):
        """Start with an empty event loop."""
        self.life += 1
        self.clock, self.frozen, self.queue = Clock(), False, []
        self.clock.rightNow = self.net.clock.seconds()
        self.ports, self.wires, self.jobs = {}, [], []
        self.alive = self.powered = True

    def seconds(self):
        """Return the machine's monotonic clock in seconds."""
        return self.clock.seconds()

    def callLater(self, delay_s, call, *args, **facts):
        """Schedule a call in this boot of the machine."""
        return self.clock.callLater(delay_s, self.guarded, self.life, call, args, facts)

    def guarded(self, life, call, args, facts):
        """Run a call if it belongs to the current boot; keep the traceback if it raises."""
        if life == self.life and self.alive:
            try:
                call(*args, **facts)
            except Exception:
                self.breaks.append(Failure().getTraceback()[-1500:])

    def getDelayedCalls(self):
        """Return the scheduled calls."""
        return self.clock.getDelayedCalls()

    def due_s(self):
        """Return when the next call is due, None if nothing can run."""
        if not self.alive or self.frozen or not self.clock.calls:
            return None
        return self.clock.calls[0].getTime()

    def catch_up(self):
        """Run all calls that are due."""
        behind = self.net.clock.seconds() - self.clock.seconds()
        if behind >= 0 and self.alive and not self.frozen:
            self.clock.advance(max(0.0, behind))

    def enter(self, call, *args):
        """Run a call on this machine now, or once it goes on."""
        if not self.alive:
            return
        if self.frozen:
            self.queue.append((call, args))
            return
        self.catch_up()
        self.guarded(self.life, call, args, {})

    def freeze(self):
        """Stop the machine; its connections stay open."""
        if self.alive:
            self.frozen = True

    def thaw(self):
        """Let the machine go on."""
        if not self.frozen:
            return
        self.frozen, queue, self.queue = False, self.queue, []
        self.catch_up()
        for call, args in queue:
            self.enter(call, *args)

    def in_thread(self, call, *args):
        """Run a job as in a thread; Deferred of its result."""
        done = Deferred()
        job = (call, args)
        self.jobs.append(job)

        def work():
            self.jobs.remove(job)
            try:
                result = call(*args)
            except Exception:
                done.errback(Failure())
                return
            done.callback(result)

        self.callLater(self.thread_ms() / 1000, work)
        return done

    def die(self, power=False):
        """Kill the process or cut the power; return the jobs that were under way."""
        if not self.alive:
            return []
        jobs, self.jobs = self.jobs, []
        self.alive, self.frozen, self.queue, self.powered = False, False, [], not power
        held, self.wires, self.ports = self.wires, [], {}
        for wire in held:
            wire_flow.orphan(wire, power)
        for call in list(self.clock.calls):
            call.cancel()
        return jobs

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Open a simulated connection."""
        return nets.connect(self.net, self, host, port, factory, timeout)

    def listenTCP(self, port, factory, backlog=50, interface=""):
        """Listen on a simulated port."""
        return wires.Port(self, port, factory)
