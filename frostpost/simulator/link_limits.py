"""Limits of the simulated links: messages that a real link would drop for their size are dropped here too."""

from msgspec import Struct, msgpack

from frostpost.daemon.outgoing_link import MAX_FRAME_BYTES, MAX_QUEUE_BYTES
from frostpost.virtual_synchrony.messages import (
    EntriesReply,
    EntryBatch,
    Rebroadcast,
    RecoveryExchange,
    RecoveryPlan,
    SnapshotChunk,
    SubmitRequest,
)

# The other messages have a small size that doesn't depend on the operations.
SIZED_MESSAGES = (EntriesReply, EntryBatch, Rebroadcast, RecoveryExchange, RecoveryPlan, SnapshotChunk, SubmitRequest)
encode = msgpack.Encoder().encode


class LinkLimits(Struct, frozen=True):
    """Unreceived bytes on a link from which on it drops messages, and the size of the largest message that it takes."""

    queue_bytes: int = MAX_QUEUE_BYTES
    frame_bytes: int = MAX_FRAME_BYTES


class LinkQueues(Struct):
    """Unreceived bytes by (sender, receiver), and the number of messages dropped for their size."""

    limits: LinkLimits = LinkLimits()
    unreceived_bytes: dict[tuple[str, str], int] = {}
    dropped: int = 0
    largest_bytes: int = 0


def message_bytes(body):
    """Return the encoded size of a message in bytes, 0 if it is small."""
    return len(encode(body)) if isinstance(body, SIZED_MESSAGES) else 0


def enter(queues, link, size):
    """Account for a message of this size on a link; return whether the link takes it."""
    queues.largest_bytes = max(queues.largest_bytes, size)
    unreceived_bytes = queues.unreceived_bytes.get(link, 0)
    if size > queues.limits.frame_bytes or unreceived_bytes >= queues.limits.queue_bytes:
        queues.dropped += 1
        return False
    queues.unreceived_bytes[link] = unreceived_bytes + size
    return True


def leave(queues, link, size):
    """Account for the arrival of a message of this size."""
    queues.unreceived_bytes[link] -= size
