"""Client for the daemons' inner protocol; answers arrive on a port that it opens for them."""

import selectors
import socket
import struct
from concurrent.futures import ThreadPoolExecutor
from time import monotonic

from msgspec import DecodeError, Struct, msgpack

from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.frames import FRAME_VERSION, Frame

ROLE = "operator"
ANSWER_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02
MAX_FRAME_BYTES = 64 << 20
WORKERS = 32
encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Frame).decode


class AnswerListener(Struct):
    """A listening port for answers; `buffers` holds the unparsed bytes of each open connection."""

    listener: object
    selector: object
    buffers: dict = {}


def resolve_address(address):
    """Resolve "HOST:PORT" to "IP:port"; returns None if that fails."""
    host, _, port = address.rpartition(":")
    try:
        return f"{socket.gethostbyname(host)}:{int(port)}"
    except (OSError, ValueError):
        return None


def listen():
    """Open a listening port for answers."""
    listener = socket.create_server(("", 0), backlog=1024)
    listener.setblocking(False)
    listening = AnswerListener(listener, selectors.DefaultSelector())
    listening.selector.register(listener, selectors.EVENT_READ)
    return listening


def close(listening):
    """Close the port and all its connections."""
    for connection in list(listening.buffers):
        close_connection(listening, connection)
    listening.selector.close()
    listening.listener.close()


def close_connection(listening, connection):
    """Close one connection."""
    listening.selector.unregister(connection)
    del listening.buffers[connection]
    connection.close()


def send_frame(address, port, body):
    """Send one frame on a connection of its own. Returns whether it was sent."""
    host, _, target_port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(target_port)), timeout=ANSWER_TIMEOUT_S) as connection:
            endpoint = Endpoint(Member(ROLE, 1), ROLE, "", connection.getsockname()[0], port, 0, PROTOCOL_REVISION)
            data = encode(Frame(FRAME_VERSION, endpoint, "", body))
            connection.sendall(struct.pack("!I", len(data)) + data)
    except (OSError, ValueError, OverflowError):
        return False
    return True


def take_frames(buffer):
    """Remove complete frames from the front of a buffer and yield them.

    Raises ValueError for a frame longer than the limit, and DecodeError for one that can't be decoded.
    """
    while len(buffer) >= 4:
        length = struct.unpack_from("!I", buffer)[0]
        if length > MAX_FRAME_BYTES:
            raise ValueError(length)
        if len(buffer) < 4 + length:
            return
        data = bytes(buffer[4 : 4 + length])
        del buffer[: 4 + length]
        yield decode(data)


def read_frames(listening, connection):
    """Return the frames that have arrived on a connection; closes it on an error or at its end."""
    buffer = listening.buffers[connection]
    try:
        data = connection.recv(1 << 16)
        buffer += data
        frames = list(take_frames(buffer))
    except BlockingIOError:
        return []
    except (OSError, DecodeError, ValueError):
        data, frames = b"", []
    if not data:
        close_connection(listening, connection)
    return frames


def receive_frames(listening):
    """Wait for one poll interval at most. Returns the frames that arrived."""
    frames = []
    for key, _ in listening.selector.select(POLL_INTERVAL_S):
        if key.fileobj is not listening.listener:
            frames += read_frames(listening, key.fileobj)
            continue
        try:
            connection, _ = listening.listener.accept()
        except OSError:
            continue
        connection.setblocking(False)
        listening.buffers[connection] = bytearray()
        listening.selector.register(connection, selectors.EVENT_READ)
    return frames


def query_daemons(addresses, body, kind):
    """Send a message to daemons. Returns the (endpoint, answer) of each address that answered in time.

    Only bodies of type `kind` count as answers.
    """
    answers, addresses = {}, set(addresses)
    if not addresses:
        return answers
    listening = listen()
    pool = ThreadPoolExecutor(WORKERS)
    try:
        port = listening.listener.getsockname()[1]
        sends = [pool.submit(send_frame, address, port, body) for address in addresses]
        deadline_s = None
        while deadline_s is None or monotonic() < deadline_s:
            for frame in receive_frames(listening):
                address = f"{frame.endpoint.host}:{frame.endpoint.port}"
                if isinstance(frame.body, kind) and address in addresses:
                    answers[address] = frame.endpoint, frame.body
            if deadline_s is None and all(send.done() for send in sends):
                deadline_s = monotonic() + ANSWER_TIMEOUT_S
            if deadline_s is not None and len(answers) >= sum(send.result() for send in sends):
                break
    finally:
        pool.shutdown(cancel_futures=True)
        close(listening)
    return answers
