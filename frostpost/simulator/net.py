"""A simulated network: hosts, cut links, link delays and connection attempts."""

from twisted.internet.error import ConnectionRefusedError, TimeoutError, UserError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from . import connections


class Net:
    """All hosts and the links between them."""

    __slots__ = ("clock", "random", "hosts", "cuts", "last_port", "connect_count")

    def __init__(self, random):
        self.clock, self.random, self.hosts = Clock(), random, {}
        self.cuts, self.last_port, self.connect_count = set(), 30000, 0

    def is_cut(self, source, destination):
        """Return whether the link from one address to another is cut."""
        return (source, destination) in self.cuts

    def link_delay_s(self, source, destination):
        """Return a random link delay in seconds, longer between zones."""
        sender, receiver = self.hosts.get(source), self.hosts.get(destination)
        base_ms = 0.5 if sender and receiver and sender.zone != receiver.zone else 0.1
        return (base_ms + self.random.expovariate(5)) / 1000


def connect(net, host, address, port, factory, timeout_s):
    """Start a connection attempt and return its connector."""
    connector = Connector(net, host, (address, port), factory, timeout_s)
    connector.connect()
    return connector


class Connector:
    """A connection attempt, with the interface of Twisted's connectors."""

    __slots__ = (
        "net",
        "host",
        "remote_address",
        "factory",
        "timeout_s",
        "generation",
        "state",
        "connection",
        "deadline_s",
    )

    def __init__(self, net, host, remote_address, factory, timeout_s):
        self.net, self.host, self.remote_address, self.factory, self.timeout_s = (
            net,
            host,
            remote_address,
            factory,
            timeout_s,
        )
        self.generation, self.state, self.connection, self.deadline_s = host.generation, "new", None, 0.0

    def connect(self):
        """Start the attempt."""
        self.state, self.deadline_s = "connecting", self.net.clock.seconds() + self.timeout_s
        self.net.connect_count += 1
        self.factory.doStart()
        self.factory.startedConnecting(self)
        self.net.clock.callLater(self.net.link_delay_s(self.host.address, self.remote_address[0]), self.reach_target)

    def stopConnecting(self):
        """Give up the attempt."""
        self.fail(UserError())

    def disconnect(self):
        """Give up the attempt, or close the connection."""
        if self.state == "connecting":
            self.stopConnecting()
        elif self.connection is not None:
            self.connection.loseConnection()

    def getDestination(self):
        """Return the address to connect to."""
        return self.remote_address

    def fail(self, reason):
        """Report the failure of the attempt to the factory."""
        if self.state in ("connecting", "answered") and self.generation == self.host.generation:
            self.state = "failed"
            self.host.dispatch(self.factory.clientConnectionFailed, self, Failure(reason))

    def reach_target(self):
        """Connect to the remote host, which accepts or refuses; retry if it cannot be reached."""
        if self.state != "connecting" or self.generation != self.host.generation or not self.host.alive:
            return
        target = self.net.hosts.get(self.remote_address[0])
        source, destination = self.host.address, self.remote_address[0]
        unavailable = target is None or not target.powered
        if unavailable or self.net.is_cut(source, destination) or self.net.is_cut(destination, source):
            return self.retry()
        port = target.ports.get(self.remote_address[1]) if target.alive else None
        if port is None:
            return self.fail(ConnectionRefusedError())
        self.net.last_port += 1
        local = connections.Connection(self.net, self.host, (source, self.net.last_port), self.remote_address)
        remote = connections.Connection(self.net, target, self.remote_address, (source, self.net.last_port))
        local.peer, remote.peer, self.connection, self.state = remote, local, local, "answered"
        target.dispatch(accept, port.factory, remote)
        self.net.clock.callLater(self.net.link_delay_s(destination, source), self.on_accepted)

    def retry(self):
        """Repeat the attempt until the timeout."""
        if self.net.clock.seconds() >= self.deadline_s:
            return self.fail(TimeoutError())
        self.net.clock.callLater(min(0.1, self.timeout_s / 4), self.reach_target)

    def on_accepted(self):
        """Start the protocol on the connecting host."""
        self.host.dispatch(self.start_protocol)

    def start_protocol(self):
        """Build the protocol and connect it, unless the host restarted or the attempt was given up."""
        if self.generation != self.host.generation:
            return
        if self.state != "answered":
            return self.connection.abortConnection()
        self.state = "connected"
        self.connection.protocol = self.factory.buildProtocol(self.connection.getPeer())
        if self.connection.protocol is None or not self.connection.connected:
            self.state = "connecting"
            return self.fail(ConnectionRefusedError())
        self.connection.protocol.makeConnection(self.connection)


def accept(factory, connection):
    """Start the protocol of an accepted connection."""
    connection.protocol = factory.buildProtocol(connection.getPeer())
    if connection.protocol is None:
        connection.abortConnection()
    else:
        connection.protocol.makeConnection(connection)
