"""Memory of the simulated replicas: bytes that the protocol uses besides the state itself, against a bound."""

from msgspec import Struct


class MemoryBound(Struct):
    """The most bytes that a replica may use, unlimited if 0, and the most that one has used."""

    max_bytes: int = 0
    largest_bytes: int = 0
    largest_name: str = ""


def protocol_bytes(synchrony):
    """Return the bytes of the log after its snapshot, of the entries ordered and not delivered, and of the outbox."""
    return synchrony.log.entries_bytes + synchrony.order.undelivered_bytes + synchrony.outbox_bytes


def observe(memory, name, synchrony):
    """Record what a replica uses after a step."""
    current_bytes = protocol_bytes(synchrony)
    if current_bytes > memory.largest_bytes:
        memory.largest_bytes, memory.largest_name = current_bytes, name


def is_exceeded(memory):
    """Return whether any replica has used more than the bound."""
    return 0 < memory.max_bytes < memory.largest_bytes
