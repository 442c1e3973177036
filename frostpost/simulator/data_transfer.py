"""Transfer of data between the ends of simulated connections, with link delays, full buffers, failures and resets."""

from collections import deque

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

KERNEL_BUFFER_BYTES = 65536
RETRY_DELAY_S = 0.05
SEND_TIMEOUT_S = 20.0


def schedule_transfer(connection, delay_s=None):
    """Schedule the next transfer to the peer, if there is anything to send and none is scheduled."""
    if connection.transfer_scheduled or not (connection.send_buffer or connection.finishing or connection.fin):
        return
    connection.transfer_scheduled = True
    wait_s = (
        connection.net.link_delay_s(connection.local_address[0], connection.remote_address[0])
        if delay_s is None
        else delay_s
    )
    connection.net.clock.callLater(wait_s, transfer, connection)


def link_is_up(connection):
    """Return whether the link from this end to its peer is up."""
    return not connection.net.is_cut(connection.local_address[0], connection.remote_address[0])


def transfer(connection):
    """Transfer buffered data to the peer; retry while the link is cut, or the peer is frozen or without power."""
    connection.transfer_scheduled = False
    peer = connection.peer
    if peer is None:
        return
    target = peer.host
    peer_is_down = target.generation != peer.generation or not target.alive
    if not link_is_up(connection) or peer_is_down and not target.powered:
        wait_s = connection.retry_delay_s()
        connection.stalled_s += wait_s
        if connection.stalled_s > connection.send_timeout_s:
            return close(connection, ConnectionLost())
        return schedule_transfer(connection, wait_s)
    connection.stalled_s = 0.0
    if peer_is_down or not peer.connected:
        connection.send_buffer.clear()
        return close(connection, ConnectionLost() if connection.buffered_bytes else ConnectionDone())
    if not peer.reading or target.frozen:
        return schedule_transfer(connection, RETRY_DELAY_S) if target.frozen else None
    transferred_bytes = 0
    while connection.send_buffer and transferred_bytes < KERNEL_BUFFER_BYTES and peer.reading and peer.connected:
        data = connection.send_buffer.popleft()
        transferred_bytes += len(data)
        target.dispatch(deliver, peer, data)
    connection.buffered_bytes -= transferred_bytes
    resume_producer(connection)
    if not connection.send_buffer and (connection.fin or connection.finishing):
        if connection.connected:
            close(connection, ConnectionDone())
        return close(peer, ConnectionDone())
    schedule_transfer(connection)


def resume_producer(connection):
    """Resume the producer once the buffer is half empty."""
    if connection.producer is None or not connection.connected or connection.buffered_bytes > KERNEL_BUFFER_BYTES // 2:
        return
    if connection.producer_paused or not connection.streaming:
        connection.producer_paused = False
        connection.host.dispatch(connection.producer.resumeProducing)


def deliver(connection, data):
    """Deliver data to the protocol."""
    if connection.connected:
        connection.protocol.dataReceived(data)


def close(connection, reason):
    """Close one end of a connection and notify its protocol."""
    if not connection.connected:
        return
    connection.connected = False
    connection.send_buffer.clear()
    if connection in connection.host.connections:
        connection.host.connections.remove(connection)
    if connection.generation == connection.host.generation:
        connection.host.dispatch(notify_closed, connection, Failure(reason))


def notify_closed(connection, failure):
    """Stop the producer and report the loss of the connection to the protocol."""
    producer, connection.producer = connection.producer, None
    if producer is not None:
        producer.stopProducing()
    if connection.protocol is not None:
        connection.protocol.connectionLost(failure)


def reset(connection, reason):
    """Close both ends, the peer after the link's delay."""
    peer = connection.peer
    connection.net.clock.callLater(
        connection.net.link_delay_s(connection.local_address[0], connection.remote_address[0]),
        reset_peer,
        connection,
        peer,
    )
    close(connection, reason)


def reset_peer(connection, peer):
    """Close the peer, if the link is up."""
    if peer is not None and link_is_up(connection):
        close(peer, ConnectionLost())


def detach(connection, power_cut):
    """Detach a connection from its terminated process; unless power is cut, the kernel sends its buffer."""
    connection.connected = False
    if power_cut:
        connection.send_buffer.clear()
        return
    kernel_buffer = b"".join(connection.send_buffer)[:KERNEL_BUFFER_BYTES]
    connection.send_buffer = deque([kernel_buffer] if kernel_buffer else ())
    connection.buffered_bytes, connection.fin, connection.producer = len(kernel_buffer), True, None
    schedule_transfer(connection)
