"""Bodies of configuration documents, replicated by version vector; pure functions of (shelf, message)."""

from hashlib import blake2b

from msgspec import Struct

from frostpost.virtual_synchrony.config_messages import (
    ConfigBodyChunk,
    ConfigBodyRequest,
    ConfigVersionsReply,
    ConfigVersionsRequest,
)


class Item(Struct, frozen=True, array_like=True):
    """A body's place in its source's sequence; an empty digest stands for a removed body."""

    source: str
    number: int
    digest: str
    size: int


class Pull(Struct):
    """A body that is being fetched in pieces."""

    item: Item
    frm: str
    asked_ms: int
    data: bytearray


class Shelf(Struct):
    """All bodies that a daemon holds; vector: how far each source's sequence is complete here."""

    me: str
    chunk: int = 262144
    resend_ms: int = 400
    bodies: dict[str, bytes] = {}
    items: dict[str, dict[int, Item]] = {}
    vector: dict[str, int] = {}
    pulls: dict[str, Pull] = {}
    since: dict[str, int] = {}


class Store(Struct, frozen=True):
    """A body to be written to disk with its item."""

    item: Item
    body: bytes


def digest_of(body):
    """Return the hexadecimal digest of a body."""
    return blake2b(body, digest_size=16).hexdigest()


def put(shelf, body):
    """Give a new body the next number of this daemon's sequence."""
    number = shelf.vector.get(shelf.me, 0)
    number = max([number, *shelf.items.get(shelf.me, {})]) + 1
    item = Item(shelf.me, number, digest_of(body), len(body))
    return shelf, Store(item, body)


def stored(shelf, item, body, now_ms):
    """Take a body in once it is on disk and extend the version vector."""
    if item.digest:
        shelf.bodies[item.digest] = body
        shelf.since[item.digest] = now_ms
    shelf.items.setdefault(item.source, {})[item.number] = item
    held = shelf.items[item.source]
    number = shelf.vector.get(item.source, 0)
    while number + 1 in held and held[number + 1].digest in {"", *shelf.bodies}:
        number += 1
    shelf.vector[item.source] = number
    return shelf


def heard(shelf, frm, vector):
    """Ask a peer for items if its version vector is ahead."""
    newer = any(n > shelf.vector.get(s, 0) for s, n in vector.items() if not s.startswith("~"))
    return [(frm, ConfigVersionsRequest(dict(shelf.vector)))] if newer else []


def asked(shelf, frm, message):
    """Answer a peer with the items that its version vector lacks."""
    found = []
    for source, held in shelf.items.items():
        known = message.vector.get(source, 0)
        found += [
            (i.source, i.number, i.digest, i.size)
            for n, i in sorted(held.items())
            if n > known and (not i.digest or i.digest in shelf.bodies)
        ]
    return [(frm, ConfigVersionsReply(tuple(found)))] if found else []


def told(shelf, frm, message, now_ms):
    """Start or resume fetching the bodies of items that a peer told of."""
    sends, stores = [], []
    for source, number, digest, size in message.items:
        item = Item(source, number, digest, size)
        if number <= shelf.vector.get(source, 0) or number in shelf.items.get(source, {}):
            continue
        if not digest or digest in shelf.bodies:
            stores.append(Store(item, shelf.bodies.get(digest, b"")))
            continue
        pull = shelf.pulls.get(digest)
        if pull is None:
            shelf.pulls[digest] = Pull(item, frm, now_ms, bytearray())
            sends.append((frm, ConfigBodyRequest(digest, 0)))
        elif now_ms - pull.asked_ms > shelf.resend_ms:
            pull.frm, pull.asked_ms = frm, now_ms
            sends.append((frm, ConfigBodyRequest(digest, len(pull.data))))
    return shelf, sends, stores


def body_asked(shelf, frm, message):
    """Answer a request for a piece of a body."""
    body = shelf.bodies.get(message.digest)
    if body is None:
        return []
    data = body[message.offset : message.offset + shelf.chunk]
    return [(frm, ConfigBodyChunk(message.digest, message.offset, len(body), data))]


def body_pieced(shelf, frm, message, now_ms):
    """Take a piece in; ask for the next, or return the whole body for storing."""
    pull = shelf.pulls.get(message.digest)
    if pull is None or message.offset != len(pull.data):
        return shelf, [], []
    pull.data += message.data
    pull.asked_ms = now_ms
    if len(pull.data) < message.total:
        return shelf, [(frm, ConfigBodyRequest(message.digest, len(pull.data)))], []
    del shelf.pulls[message.digest]
    body = bytes(pull.data)
    if digest_of(body) != message.digest:
        return shelf, [], []
    return shelf, [], [Store(pull.item, body)]


def prune(shelf, wanted):
    """Drop the bodies that are not wanted any more; return (shelf, digests dropped)."""
    gone = {d for d in shelf.bodies if d not in wanted}
    for digest in gone:
        del shelf.bodies[digest]
        shelf.since.pop(digest, None)
    for held in shelf.items.values():
        for number, item in held.items():
            if item.digest in gone:
                held[number] = Item(item.source, number, "", 0)
    return shelf, gone


def records(shelf):
    """Return all items with their bodies, as a snapshot is written."""
    return [Store(i, shelf.bodies.get(i.digest, b"")) for held in shelf.items.values() for _, i in sorted(held.items())]
