"""Bodies of configuration documents, replicated between daemons by version vector.

The functions do no I/O. Handlers return the messages to send, as pairs of peer and message; those that change the
store return it first.
"""

from hashlib import blake2b

from msgspec import Struct

from frostpost.virtual_synchrony.config_messages import (
    ConfigBodyChunk,
    ConfigBodyRequest,
    ConfigVersionsReply,
    ConfigVersionsRequest,
)


class BodyVersion(Struct, frozen=True, array_like=True):
    """A body's number in its source's sequence; an empty digest stands for a removed body."""

    source: str
    number: int
    digest: str
    size: int


class BodyTransfer(Struct):
    """A body that is being fetched from a peer in chunks."""

    item: BodyVersion
    peer: str
    requested_ms: int
    data: bytearray


class BodyStore(Struct):
    """The bodies stored by a daemon.

    `own_source` is this daemon's name as a source, `bodies` and `stored_ms` are by digest, `items` by source and
    number. `vector` is the number up to which each source's sequence is complete. `pending` holds the digests of the
    versions, by source and number, that are being written to disk.
    """

    own_source: str
    chunk_bytes: int = 262144
    resend_ms: int = 400
    bodies: dict[str, bytes] = {}
    items: dict[str, dict[int, BodyVersion]] = {}
    vector: dict[str, int] = {}
    transfers: dict[str, BodyTransfer] = {}
    stored_ms: dict[str, int] = {}
    pending: dict[tuple[str, int], str] = {}


class BodyWrite(Struct, frozen=True):
    """A body to be written to disk, with its version."""

    item: BodyVersion
    body: bytes


def digest_of(body):
    """Return the hexadecimal digest of a body."""
    return blake2b(body, digest_size=16).hexdigest()


def new_body(store, body):
    """Assign the next number of this daemon's sequence to a new body. Returns (store, BodyWrite)."""
    number = store.vector.get(store.own_source, 0)
    number = max([number, *store.items.get(store.own_source, {})]) + 1
    item = BodyVersion(store.own_source, number, digest_of(body), len(body))
    return store, BodyWrite(item, body)


def record_stored(store, item, body, now_ms):
    """Add a body that has been written to disk and extend the version vector."""
    store.pending.pop((item.source, item.number), None)
    if item.digest:
        store.bodies[item.digest] = body
        store.stored_ms[item.digest] = now_ms
    store.items.setdefault(item.source, {})[item.number] = item
    versions = store.items[item.source]
    number = store.vector.get(item.source, 0)
    while number + 1 in versions and versions[number + 1].digest in {"", *store.bodies}:
        number += 1
    store.vector[item.source] = number
    return store


def pending_write(store, item, body):
    """Return the BodyWrite of a version, which is pending until it has been recorded as stored."""
    store.pending[(item.source, item.number)] = item.digest
    return BodyWrite(item, body)


def is_pending(store, item):
    """Return whether a version, or another one that brings its body, is being written to disk."""
    if (item.source, item.number) in store.pending:
        return True
    return bool(item.digest) and item.digest not in store.bodies and item.digest in store.pending.values()


def request_versions(store, peer, vector):
    """Request versions from a peer whose version vector is ahead.

    Keys that begin with "~" are not sources.
    """
    is_ahead = any(number > store.vector.get(s, 0) for s, number in vector.items() if not s.startswith("~"))
    return [(peer, ConfigVersionsRequest(dict(store.vector)))] if is_ahead else []


def answer_versions(store, peer, message):
    """Answer a peer with the versions that its version vector does not cover."""
    missing = []
    for source, versions in store.items.items():
        known = message.vector.get(source, 0)
        missing += [
            (item.source, item.number, item.digest, item.size)
            for number, item in sorted(versions.items())
            if number > known and (not item.digest or item.digest in store.bodies)
        ]
    return [(peer, ConfigVersionsReply(tuple(missing)))] if missing else []


def request_bodies(store, peer, message, now_ms):
    """Start or resume fetching the bodies that a peer offers. Returns (store, messages, BodyWrites).

    Versions that need no transfer are returned for writing at once. Pending ones are left out: peers offer them with
    each heartbeat until they are recorded as stored.
    """
    requests, writes = [], []
    for source, number, digest, size in message.items:
        item = BodyVersion(source, number, digest, size)
        if number <= store.vector.get(source, 0) or number in store.items.get(source, {}) or is_pending(store, item):
            continue
        if not digest or digest in store.bodies:
            writes.append(pending_write(store, item, store.bodies.get(digest, b"")))
            continue
        transfer = store.transfers.get(digest)
        if transfer is None:
            store.transfers[digest] = BodyTransfer(item, peer, now_ms, bytearray())
            requests.append((peer, ConfigBodyRequest(digest, 0)))
        elif now_ms - transfer.requested_ms > store.resend_ms:
            transfer.peer, transfer.requested_ms = peer, now_ms
            requests.append((peer, ConfigBodyRequest(digest, len(transfer.data))))
    return store, requests, writes


def answer_body(store, peer, message):
    """Answer a request for a chunk of a body."""
    body = store.bodies.get(message.digest)
    if body is None:
        return []
    data = body[message.offset : message.offset + store.chunk_bytes]
    return [(peer, ConfigBodyChunk(message.digest, message.offset, len(body), data))]


def receive_chunk(store, peer, message, now_ms):
    """Append a chunk and request the next one, or return the complete body for writing.

    Returns (store, messages, BodyWrites). A body that does not match its digest is discarded.
    """
    transfer = store.transfers.get(message.digest)
    if transfer is None or message.offset != len(transfer.data):
        return store, [], []
    transfer.data += message.data
    transfer.requested_ms = now_ms
    if len(transfer.data) < message.total:
        return store, [(peer, ConfigBodyRequest(message.digest, len(transfer.data)))], []
    del store.transfers[message.digest]
    body = bytes(transfer.data)
    if digest_of(body) != message.digest:
        return store, [], []
    return store, [], [pending_write(store, transfer.item, body)]


def prune(store, wanted):
    """Remove the bodies whose digests are not in `wanted`. Returns (store, removed digests).

    Their versions remain, marked as removed, so that the version vector does not change.
    """
    removed = {d for d in store.bodies if d not in wanted}
    for digest in removed:
        del store.bodies[digest]
        store.stored_ms.pop(digest, None)
    for versions in store.items.values():
        for number, item in versions.items():
            if item.digest in removed:
                versions[number] = BodyVersion(item.source, number, "", 0)
    return store, removed


def all_writes(store):
    """Return a BodyWrite for each version in the store, for rewriting the log on disk."""
    return [
        BodyWrite(item, store.bodies.get(item.digest, b""))
        for versions in store.items.values()
        for _, item in sorted(versions.items())
    ]
