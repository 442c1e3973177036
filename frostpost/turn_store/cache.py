"""In-memory LRU cache of turn bodies on an edge, bounded by bytes."""

from collections import OrderedDict

from msgspec import Struct

DEFAULT_CACHE_BYTES = 24 << 20
# Charged to each body on top of its length, for the turn id and the objects that hold the entry.
ENTRY_OVERHEAD_BYTES = 200


class BodyCache(Struct):
    """Bodies by turn id, least recently used first; `used_bytes` includes the overhead of each entry."""

    max_bytes: int
    bodies: OrderedDict
    used_bytes: int = 0


def cache_of(agent):
    """Return an agent's cache, creating it on first use."""
    if agent.cache is None:
        agent.cache = BodyCache(getattr(agent.settings, "cache_bytes", DEFAULT_CACHE_BYTES), OrderedDict())
    return agent.cache


def lookup(cache, turn):
    """Return a turn's body and mark it as recently used; return None if it isn't cached."""
    data = cache.bodies.get(turn)
    if data is not None:
        cache.bodies.move_to_end(turn)
    return data


def insert(cache, turn, data):
    """Cache a body, evicting the least recently used ones; a body larger than the cache is not cached."""
    if len(data) + ENTRY_OVERHEAD_BYTES > cache.max_bytes:
        return
    replaced = cache.bodies.pop(turn, None)
    if replaced is not None:
        cache.used_bytes -= len(replaced) + ENTRY_OVERHEAD_BYTES
    cache.bodies[turn] = data
    cache.used_bytes += len(data) + ENTRY_OVERHEAD_BYTES
    while cache.used_bytes > cache.max_bytes:
        _, evicted = cache.bodies.popitem(last=False)
        cache.used_bytes -= len(evicted) + ENTRY_OVERHEAD_BYTES
