"""The outbox of a member: its own operations that are not applied yet."""

from .batching import payload_bytes


def add_to_outbox(synchrony, number, payload):
    """Add an own operation to the outbox."""
    synchrony.outbox[number] = payload
    synchrony.outbox_bytes += payload_bytes(payload)


def remove_from_outbox(synchrony, number):
    """Remove an applied operation from the outbox."""
    synchrony.outbox_bytes -= payload_bytes(synchrony.outbox.pop(number))


def is_outbox_full(synchrony):
    """Return whether the outbox has reached its bound in operations or in bytes."""
    bounds = synchrony.bounds
    return len(synchrony.outbox) >= bounds.window or synchrony.outbox_bytes >= bounds.window_bytes
