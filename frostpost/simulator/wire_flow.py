"""How bytes move through simulated connections: delays, full buffers, hosts that are down, resets and power cuts."""

from collections import deque

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

KERNEL = 65536


RETRY_S = 0.05


PATIENCE_S = 20.0


def pump(wire, delay_s=None):
    """Schedule the next move of bytes to the other end."""
    if wire.busy or not (wire.out or wire.finishing or wire.fin):
        return
    wire.busy = True
    wait_s = wire.net.link_delay_s(wire.here[0], wire.there[0]) if delay_s is None else delay_s
    wire.net.clock.callLater(wait_s, pumped, wire)


def passing(wire):
    """Tell whether the link in this direction is up."""
    return not wire.net.barred(wire.here[0], wire.there[0])


def pumped(wire):
    """Move bytes to the other end, or wait while the link or the host is down."""
    wire.busy = False
    other = wire.other
    if other is None:
        return
    target = other.host
    gone = target.life != other.life or not target.alive
    if not passing(wire) or gone and not target.powered:
        wait_s = wire.retry_s()
        wire.stuck_s += wait_s
        if wire.stuck_s > wire.patience_s:
            return lost(wire, ConnectionLost())
        return pump(wire, wait_s)
    wire.stuck_s = 0.0
    if gone or not other.connected:
        wire.out.clear()
        return lost(wire, ConnectionLost() if wire.out_bytes else ConnectionDone())
    if not other.reading or target.frozen:
        return pump(wire, RETRY_S) if target.frozen else None
    moved = 0
    while wire.out and moved < KERNEL and other.reading and other.connected:
        data = wire.out.popleft()
        moved += len(data)
        target.enter(received, other, data)
    wire.out_bytes -= moved
    drained(wire)
    if not wire.out and (wire.fin or wire.finishing):
        if wire.connected:
            lost(wire, ConnectionDone())
        return lost(other, ConnectionDone())
    pump(wire)


def drained(wire):
    """Let the producer go on once the buffer has room."""
    if wire.producer is None or not wire.connected or wire.out_bytes > KERNEL // 2:
        return
    if wire.held or not wire.streaming:
        wire.held = False
        wire.host.enter(wire.producer.resumeProducing)


def received(wire, data):
    """Hand bytes to the protocol."""
    if wire.connected:
        wire.protocol.dataReceived(data)


def lost(wire, reason):
    """End a connection on one side."""
    if not wire.connected:
        return
    wire.connected = False
    wire.out.clear()
    if wire in wire.host.wires:
        wire.host.wires.remove(wire)
    if wire.life == wire.host.life:
        wire.host.enter(ended, wire, Failure(reason))


def ended(wire, failure):
    """Tell the producer and the protocol of the end."""
    producer, wire.producer = wire.producer, None
    if producer is not None:
        producer.stopProducing()
    if wire.protocol is not None:
        wire.protocol.connectionLost(failure)


def reset(wire, reason):
    """End both sides, the other one after the link's delay."""
    other = wire.other
    wire.net.clock.callLater(wire.net.link_delay_s(wire.here[0], wire.there[0]), reset_there, wire, other)
    lost(wire, reason)


def reset_there(wire, other):
    """End the other side, if the link is up."""
    if other is not None and passing(wire):
        lost(other, ConnectionLost())


def orphan(wire, power):
    """Leave a dead host's connection: the kernel still sends what it holds, unless the power is gone."""
    wire.connected = False
    if power:
        wire.out.clear()
        return
    kept = b"".join(wire.out)[:KERNEL]
    wire.out = deque([kept] if kept else ())
    wire.out_bytes, wire.fin, wire.producer = len(kept), True, None
    pump(wire)
