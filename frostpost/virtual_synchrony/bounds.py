"""Timeouts, window sizes and transfer limits of the protocol."""

from msgspec import Struct


class Bounds(Struct, frozen=True):
    """Timeouts, window sizes and transfer limits; the field names are setting names.

    detect_ms: silence after which a peer counts as unreachable. proposal_ms: time that a proposal waits for its
    members. lease_ms: duration of a lease. window: maximum number of a member's pending operations. held: maximum
    number of entries that are ordered and not yet safe. batch: maximum number of entries in a message. piece_bytes:
    size of a snapshot chunk. rewrite_entries: applied entries after which the log is compacted into a snapshot.
    refill_bytes_s: rate of snapshot transfer. slice_records: records that a snapshot encodes in one step.
    receipt_ack_ms: duration of a sync after which entries are acknowledged on receipt, see `acknowledgements`.
    window_bytes, unsafe_bytes, batch_bytes: window, held and batch in bytes; each admits one item that alone is larger.
    rewrite_bytes: entries of this size in all make a compaction due whatever their number, see `snapshotting`.
    """

    detect_ms: int = 500
    proposal_ms: int = 500
    lease_ms: int = 1200
    window: int = 256
    held: int = 4096
    batch: int = 256
    piece_bytes: int = 262144
    rewrite_entries: int = 20000
    refill_bytes_s: int = 16 << 20
    slice_records: int = 2000
    receipt_ack_ms: int = 40
    window_bytes: int = 16 << 20
    unsafe_bytes: int = 4 << 20
    batch_bytes: int = 1 << 20
    rewrite_bytes: int = 16 << 20

    @property
    def heartbeat_ms(self):
        """Interval between heartbeats."""
        return self.detect_ms // 5

    @property
    def join_ms(self):
        """Delay before a configuration with new members is proposed."""
        return self.detect_ms // 2

    @property
    def resend_ms(self):
        """Interval after which an unanswered message is sent again."""
        return self.detect_ms // 5
