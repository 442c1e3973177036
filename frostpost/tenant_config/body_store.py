"""Bodies of configuration documents, replicated by version vector; pure functions of (store, message)."""

from hashlib import blake2b

from msgspec import Struct

from frostpost.virtual_synchrony.config_messages import (
    ConfigBodyChunk,
    ConfigBodyRequest,
    ConfigVersionsReply,
    ConfigVersionsRequest,
)


class BodyVersion(Struct, frozen=True, array_like=True):
    """A body's place in its source's sequence; an empty digest stands for a removed body."""

    source: str
    number: int
    digest: str
    size: int


class BodyTransfer(Struct):
    """A body that is being fetched in pieces."""

    item: BodyVersion
    peer: str
    requested_ms: int
    data: bytearray


class BodyStore(Struct):
    """All bodies that a daemon holds; vector: how far each source's sequence is complete here."""

    own_source: str
    chunk_bytes: int = 262144
    resend_ms: int = 400
    bodies: dict[str, bytes] = {}
    items: dict[str, dict[int, BodyVersion]] = {}
    vector: dict[str, int] = {}
    transfers: dict[str, BodyTransfer] = {}
    stored_ms: dict[str, int] = {}


class BodyWrite(Struct, frozen=True):
    """A body to be written to disk with its item."""

    item: BodyVersion
    body: bytes


def digest_of(body):
    """Return the hexadecimal digest of a body."""
    return blake2b(body, digest_size=16).hexdigest()


def new_body(store, body):
    """Give a new body the next number of this daemon's sequence."""
    number = store.vector.get(store.own_source, 0)
    number = max([number, *store.items.get(store.own_source, {})]) + 1
    item = BodyVersion(store.own_source, number, digest_of(body), len(body))
    return store, BodyWrite(item, body)


def record_stored(store, item, body, now_ms):
    """Take a body in once it is on disk and extend the version vector."""
    if item.digest:
        store.bodies[item.digest] = body
        store.stored_ms[item.digest] = now_ms
    store.items.setdefault(item.source, {})[item.number] = item
    held = store.items[item.source]
    number = store.vector.get(item.source, 0)
    while number + 1 in held and held[number + 1].digest in {"", *store.bodies}:
        number += 1
    store.vector[item.source] = number
    return store


def request_versions(store, peer, vector):
    """Ask a peer for items if its version vector is ahead."""
    newer = any(n > store.vector.get(s, 0) for s, n in vector.items() if not s.startswith("~"))
    return [(peer, ConfigVersionsRequest(dict(store.vector)))] if newer else []


def answer_versions(store, peer, message):
    """Answer a peer with the items that its version vector lacks."""
    found = []
    for source, held in store.items.items():
        known = message.vector.get(source, 0)
        found += [
            (i.source, i.number, i.digest, i.size)
            for n, i in sorted(held.items())
            if n > known and (not i.digest or i.digest in store.bodies)
        ]
    return [(peer, ConfigVersionsReply(tuple(found)))] if found else []


def request_bodies(store, peer, message, now_ms):
    """Start or resume fetching the bodies of items that a peer told of."""
    sends, stores = [], []
    for source, number, digest, size in message.items:
        item = BodyVersion(source, number, digest, size)
        if number <= store.vector.get(source, 0) or number in store.items.get(source, {}):
            continue
        if not digest or digest in store.bodies:
            stores.append(BodyWrite(item, store.bodies.get(digest, b"")))
            continue
        transfer = store.transfers.get(digest)
        if transfer is None:
            store.transfers[digest] = BodyTransfer(item, peer, now_ms, bytearray())
            sends.append((peer, ConfigBodyRequest(digest, 0)))
        elif now_ms - transfer.requested_ms > store.resend_ms:
            transfer.peer, transfer.requested_ms = peer, now_ms
            sends.append((peer, ConfigBodyRequest(digest, len(transfer.data))))
    return store, sends, stores


def answer_body(store, peer, message):
    """Answer a request for a piece of a body."""
    body = store.bodies.get(message.digest)
    if body is None:
        return []
    data = body[message.offset : message.offset + store.chunk_bytes]
    return [(peer, ConfigBodyChunk(message.digest, message.offset, len(body), data))]


def receive_chunk(store, peer, message, now_ms):
    """Take a piece in; ask for the next, or return the whole body for storing."""
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
    return store, [], [BodyWrite(transfer.item, body)]


def prune(store, wanted):
    """Drop the bodies that are not wanted any more; return (store, digests dropped)."""
    gone = {d for d in store.bodies if d not in wanted}
    for digest in gone:
        del store.bodies[digest]
        store.stored_ms.pop(digest, None)
    for held in store.items.values():
        for number, item in held.items():
            if item.digest in gone:
                held[number] = BodyVersion(item.source, number, "", 0)
    return store, gone


def all_writes(store):
    """Return all items with their bodies, as a snapshot is written."""
    return [
        BodyWrite(i, store.bodies.get(i.digest, b"")) for held in store.items.values() for _, i in sorted(held.items())
    ]
