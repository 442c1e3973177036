"""Ask daemons over their inner addresses, from a process that is no daemon; answers come to a port it listens on."""

import selectors
import socket
import struct
from concurrent.futures import ThreadPoolExecutor
from time import monotonic

from msgspec import DecodeError, Struct, msgpack

from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.frames import FRAME_VERSION, Frame

ROLE = "operator"
WAIT_S = 2.0
STEP_S = 0.02
MOST_BYTES = 64 << 20
WORKERS = 32
encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Frame).decode


class Hearing(Struct):
    """buffers: what each open connection has brought of its next frames."""

    listener: object
    selector: object
    buffers: dict = {}


def resolved(address):
    """ "IP:port" of "HOST:PORT", or None."""
    host, _, port = address.rpartition(":")
    try:
        return f"{socket.gethostbyname(host)}:{int(port)}"
    except (OSError, ValueError):
        return None


def listen():
    """Open a port for answers."""
    listener = socket.create_server(("", 0), backlog=1024)
    listener.setblocking(False)
    hearing = Hearing(listener, selectors.DefaultSelector())
    hearing.selector.register(listener, selectors.EVENT_READ)
    return hearing


def close(hearing):
    """Close the port and all its connections."""
    for connection in list(hearing.buffers):
        drop(hearing, connection)
    hearing.selector.close()
    hearing.listener.close()


def drop(hearing, connection):
    """Close one connection."""
    hearing.selector.unregister(connection)
    del hearing.buffers[connection]
    connection.close()


def speak(address, port, body):
    """Send one frame; -> whether it was sent."""
    host, _, there = address.rpartition(":")
    try:
        with socket.create_connection((host, int(there)), timeout=WAIT_S) as connection:
            endpoint = Endpoint(Member(ROLE, 1), ROLE, "", connection.getsockname()[0], port, 0, PROTOCOL_REVISION)
            data = encode(Frame(FRAME_VERSION, endpoint, "", body))
            connection.sendall(struct.pack("!I", len(data)) + data)
    except (OSError, ValueError, OverflowError):
        return False
    return True


def frames_of(buffer):
    """Take the whole frames off the front of a buffer; raises ValueError or DecodeError for anything else."""
    while len(buffer) >= 4:
        length = struct.unpack_from("!I", buffer)[0]
        if length > MOST_BYTES:
            raise ValueError(length)
        if len(buffer) < 4 + length:
            return
        data = bytes(buffer[4 : 4 + length])
        del buffer[: 4 + length]
        yield decode(data)


def read(hearing, connection):
    """Frames that a connection brings now."""
    buffer = hearing.buffers[connection]
    try:
        data = connection.recv(1 << 16)
        buffer += data
        found = list(frames_of(buffer))
    except BlockingIOError:
        return []
    except (OSError, DecodeError, ValueError):
        data, found = b"", []
    if not data:
        drop(hearing, connection)
    return found


def heard(hearing):
    """Frames that have come, waiting for them a little."""
    found = []
    for key, _ in hearing.selector.select(STEP_S):
        if key.fileobj is not hearing.listener:
            found += read(hearing, key.fileobj)
            continue
        try:
            connection, _ = hearing.listener.accept()
        except OSError:
            continue
        connection.setblocking(False)
        hearing.buffers[connection] = bytearray()
        hearing.selector.register(connection, selectors.EVENT_READ)
    return found


def ask(addresses, body, kind):
    """Address -> (place, answer of that kind), for those that answered in time."""
    answers, addresses = {}, set(addresses)
    if not addresses:
        return answers
    hearing = listen()
    pool = ThreadPoolExecutor(WORKERS)
    try:
        port = hearing.listener.getsockname()[1]
        sends = [pool.submit(speak, address, port, body) for address in addresses]
        until_s = None
        while until_s is None or monotonic() < until_s:
            for frame in heard(hearing):
                address = f"{frame.endpoint.host}:{frame.endpoint.port}"
                if isinstance(frame.body, kind) and address in addresses:
                    answers[address] = frame.endpoint, frame.body
            if until_s is None and all(send.done() for send in sends):
                until_s = monotonic() + WAIT_S
            if until_s is not None and len(answers) >= sum(send.result() for send in sends):
                break
    finally:
        pool.shutdown(cancel_futures=True)
        close(hearing)
    return answers
