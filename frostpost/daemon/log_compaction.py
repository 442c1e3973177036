"""Compaction of the log beside appends.

The replacement file is written and synced while records are still appended to the current file. Between two batches it
then receives the records appended in the meantime and is renamed over the current file.
"""

from msgspec import Struct, msgpack

from frostpost.virtual_synchrony.events import Record, RewriteLog
from frostpost.write_ahead_log import log as write_ahead_logs
from frostpost.write_ahead_log import replacement as replacements

# A failed compaction, for instance on a full disk, is retried after this multiple of `detect_ms`.
RETRY_RATIO = 10
encode = msgpack.Encoder().encode


class Compaction(Struct):
    """State of a log's compaction.

    `requested` holds the first records of the replacement, `tail` those appended to the log since the request,
    `replacement` the new file once it is synced. No attempt starts before `retry_at_ms`.
    """

    requested: RewriteLog | None = None
    tail: list[Record] = []
    replacement: write_ahead_logs.WriteAheadLog | None = None
    preparing: bool = False
    retry_at_ms: int = 0


def request(compaction: Compaction, rewrite: RewriteLog) -> None:
    """Request that the log be replaced by these records, and abandon an earlier request."""
    discard_replacement(compaction)
    compaction.requested, compaction.tail, compaction.retry_at_ms = rewrite, [], 0


def discard_replacement(compaction):
    """Close the replacement file, if there is one."""
    if compaction.replacement is not None:
        write_ahead_logs.close(compaction.replacement)
        compaction.replacement = None


def add_to_tail(compaction: Compaction, record: Record) -> None:
    """Note a record that is appended to the log while a compaction is requested."""
    if compaction.requested is not None:
        compaction.tail.append(record)


def is_due(compaction: Compaction, now_ms: int) -> bool:
    """Return whether to start writing a replacement file now."""
    idle = compaction.replacement is None and not compaction.preparing
    return compaction.requested is not None and idle and now_ms >= compaction.retry_at_ms


def on_prepared(compaction: Compaction, rewrite: RewriteLog, replacement: write_ahead_logs.WriteAheadLog) -> None:
    """Keep the synced replacement file for installation, or discard it if there is a newer request."""
    compaction.preparing, compaction.replacement = False, replacement
    if compaction.requested is not rewrite:
        discard_replacement(compaction)


def on_failed(compaction: Compaction, now_ms: int, detect_ms: int) -> None:
    """Schedule a retry after the replacement file could not be written; the log itself is intact."""
    compaction.preparing, compaction.replacement = False, None
    compaction.retry_at_ms = now_ms + RETRY_RATIO * detect_ms


def prepare(log: write_ahead_logs.WriteAheadLog, rewrite: RewriteLog) -> write_ahead_logs.WriteAheadLog:
    """Write and sync the replacement file; runs in a thread, concurrently with appends to the log."""
    return replacements.prepare_replacement(log, map(encode, rewrite.records))


def install(
    log: write_ahead_logs.WriteAheadLog, replacement: write_ahead_logs.WriteAheadLog, tail: list[Record]
) -> None:
    """Replace the log's file; runs in a thread, while no append is in progress."""
    replacements.install_replacement(log, replacement, [encode(r) for r in tail])
