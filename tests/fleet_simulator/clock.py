"""Virtual clock shared by all simulated hosts, and the reactor of a host."""

from heapq import heappop, heappush

from twisted.internet.address import IPv4Address
from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorPluggableNameResolver
from zope.interface import implementer

from frostpost.simulator.hosts import Host

from . import wires as fleet_simulator_wires


class VirtualClock:
    __slots__ = ("now_s", "heap", "serial")

    def __init__(self):
        self.now_s, self.heap, self.serial = 0.0, [], 0

    def seconds(self):
        return self.now_s

    def callLater(self, delay_s, call, *args, **kwargs):
        delayed = DelayedCall(
            self.now_s + max(0.0, delay_s), call, args, kwargs, lambda _: None, self.push, self.seconds
        )
        self.push(delayed)
        return delayed

    def push(self, delayed):
        self.serial += 1
        heappush(self.heap, (delayed.getTime(), self.serial, delayed))

    def run(self, until_s):
        while self.heap and self.heap[0][0] <= until_s:
            at_s, _, delayed = heappop(self.heap)
            if delayed.cancelled or delayed.called:
                continue
            if delayed.getTime() > at_s:
                self.push(delayed)
                continue
            self.now_s = max(self.now_s, at_s)
            host = getattr(delayed, "host", None)
            if host is not None and host.alive and host.frozen:
                host.overdue.append(delayed)
                continue
            fire(delayed)
        self.now_s = max(self.now_s, until_s)


def fire(delayed):
    delayed.called = 1
    delayed.func(*delayed.args, **delayed.kw)


class NumericResolver:
    """Name resolver for IP address literals only."""

    def resolveHostName(self, receiver, hostName, portNumber=0, addressTypes=None, transportSemantics="TCP"):
        receiver.resolutionBegan(self)
        receiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        receiver.resolutionComplete()
        return receiver


@implementer(IReactorPluggableNameResolver)
class SimulatedHost(Host):
    """Simulated host. On a thaw, overdue timers run before or after the queued input, in random order."""

    __slots__ = ("nameResolver", "overdue")

    def __init__(self, net, name, address, zone="a"):
        self.nameResolver, self.overdue = NumericResolver(), []
        super().__init__(net, name, address, zone)

    def boot(self):
        super().boot()
        self.overdue = []

    def seconds(self):
        return self.net.clock.seconds()

    def callLater(self, delay_s, call, *args, **kwargs):
        delayed = self.net.clock.callLater(delay_s, self.run_guarded, self.generation, call, args, kwargs)
        delayed.host = self
        return delayed

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        return fleet_simulator_wires.connect(self.net, self, host, port, factory, timeout)

    def run_due_calls(self):
        return None

    def dispatch(self, call, *args):
        if not self.alive:
            return
        if self.frozen:
            self.queue.append((self.generation, call, args))
        else:
            self.run_guarded(self.generation, call, args, {})

    def thaw(self):
        if not self.frozen:
            return
        self.frozen = False
        overdue, self.overdue = self.overdue, []
        queue, self.queue = self.queue, []
        timers = [lambda delayed=delayed: self.run_overdue(delayed) for delayed in overdue]
        reads = [lambda entry=entry: self.run_guarded(*entry, {}) for entry in queue]
        for job in timers + reads if self.net.random.random() < 0.5 else reads + timers:
            job()

    def run_overdue(self, delayed):
        if delayed.cancelled or delayed.called:
            return
        if delayed.getTime() > self.seconds():
            self.net.clock.push(delayed)
        else:
            fire(delayed)
