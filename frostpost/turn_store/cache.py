"""Bodies of turns kept in an edge's memory: the least recently used leave first."""

from collections import OrderedDict

from msgspec import Struct

CACHE_BYTES = 24 << 20
ENTRY_BYTES = 200


class Cache(Struct):
    """Bodies in memory, least recently used first, up to a bound in bytes."""

    bound_bytes: int
    items: OrderedDict
    used_bytes: int = 0


def cache_of(agent):
    """Return an agent's cache; it is made at first use."""
    if agent.cache is None:
        agent.cache = Cache(getattr(agent.settings, "cache_bytes", CACHE_BYTES), OrderedDict())
    return agent.cache


def lookup(cache, turn):
    """The body or None; it counts as a use."""
    data = cache.items.get(turn)
    if data is not None:
        cache.items.move_to_end(turn)
    return data


def remember(cache, turn, data):
    """Keep a body; the least recently used drop out."""
    if len(data) + ENTRY_BYTES > cache.bound_bytes:
        return
    old = cache.items.pop(turn, None)
    if old is not None:
        cache.used_bytes -= len(old) + ENTRY_BYTES
    cache.items[turn] = data
    cache.used_bytes += len(data) + ENTRY_BYTES
    while cache.used_bytes > cache.bound_bytes:
        _, gone = cache.items.popitem(last=False)
        cache.used_bytes -= len(gone) + ENTRY_BYTES
