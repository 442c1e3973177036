"""The state of the total order at one member."""

from msgspec import Struct

from .configuration import Entry
from .endpoints import Member


class PendingAck(Struct, frozen=True):
    """An acknowledgement that waits for a sync.

    record_number: number of the last record that must be synced. watermark: the ordinal to acknowledge. written_ms:
    time at which the record was written.
    """

    record_number: int
    watermark: int
    written_ms: int


class OrderState(Struct):
    """The total order in the installed configuration. Ordinals count from 1; watermarks are ordinals.

    pending: undelivered entries by ordinal. received_watermark: all entries up to it are received. synced_watermark:
    all up to it are synced in a log bound to the primary. acknowledged_watermark, reported_received_watermark: the
    highest reported to the sequencer. safe_watermark: the order is safe up to it. early_messages: messages of the
    configuration being installed. Used by the sequencer only: acks, receipts, synced: watermarks by member name;
    sent_ms: time of the last batch sent or progress reported, by member name; submitted_watermark: highest ordered
    operation number by sender; out_of_order: operations received after a gap, by sender; unsent_entries: entries
    ordered and not sent; undelivered_bytes: size of the entries ordered and not delivered.
    """

    pending: dict[int, Entry] = {}
    received_watermark: int = 0
    delivered_watermark: int = 0
    safe_watermark: int = 0
    next_ordinal: int = 1
    synced_watermark: int = 0
    acknowledged_watermark: int = 0
    reported_received_watermark: int = 0
    acks: dict[str, int] = {}
    receipts: dict[str, int] = {}
    synced: dict[str, int] = {}
    sent_ms: dict[str, int] = {}
    submitted_watermark: dict[Member, int] = {}
    out_of_order: dict[Member, dict[int, bytes]] = {}
    unsent_entries: list[Entry] = []
    undelivered_bytes: int = 0
    sent_watermark: int = 0
    early_messages: list[tuple[str, object]] = []
