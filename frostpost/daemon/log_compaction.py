"""Rewriting the log beside appends: the new file is written and synced while the old one is still appended to.

Then what was appended meanwhile is added, and the new file takes the old one's place between two batches.
"""

from msgspec import Struct, msgpack

from frostpost.virtual_synchrony.events import Record, RewriteLog
from frostpost.write_ahead_log import log as write_ahead_logs

# A rewrite that failed, on a full disk say, is tried again after this many times `detect_ms`.
RETRY_RATIO = 10
encode = msgpack.Encoder().encode


class Rewriting(Struct):
    """`planned`: what the new file begins with; `tail`: records since; `fresh`: the new file once it is synced."""

    planned: RewriteLog | None = None
    tail: list[Record] = []
    fresh: write_ahead_logs.WriteAheadLog | None = None
    preparing: bool = False
    retry_ms: int = 0


def plan(rewriting: Rewriting, rewrite: RewriteLog) -> None:
    """Rewrite the log with these records; one that is under way is given up."""
    drop_fresh(rewriting)
    rewriting.planned, rewriting.tail, rewriting.retry_ms = rewrite, [], 0


def drop_fresh(rewriting):
    """Close the file that was prepared, if there is one."""
    if rewriting.fresh is not None:
        write_ahead_logs.close(rewriting.fresh)
        rewriting.fresh = None


def follow(rewriting: Rewriting, record: Record) -> None:
    """A record that is appended to the log."""
    if rewriting.planned is not None:
        rewriting.tail.append(record)


def is_due(rewriting: Rewriting, now_ms: int) -> bool:
    """Whether a new file is to be prepared now."""
    idle = rewriting.fresh is None and not rewriting.preparing
    return rewriting.planned is not None and idle and now_ms >= rewriting.retry_ms


def prepared(rewriting: Rewriting, rewrite: RewriteLog, fresh: write_ahead_logs.WriteAheadLog) -> None:
    """The new file is synced; unless another one is planned by now it may be adopted."""
    rewriting.preparing, rewriting.fresh = False, fresh
    if rewriting.planned is not rewrite:
        drop_fresh(rewriting)


def failed(rewriting: Rewriting, now_ms: int, detect_ms: int) -> None:
    """The new file could not be written: try again later, the log itself is whole."""
    rewriting.preparing, rewriting.fresh = False, None
    rewriting.retry_ms = now_ms + RETRY_RATIO * detect_ms


def prepare(log: write_ahead_logs.WriteAheadLog, rewrite: RewriteLog) -> write_ahead_logs.WriteAheadLog:
    """Write and sync the new file; runs in a thread beside appends to the log."""
    return write_ahead_logs.prepare_replacement(log, [encode(r) for r in rewrite.records])


def adopt(log: write_ahead_logs.WriteAheadLog, fresh: write_ahead_logs.WriteAheadLog, tail: list[Record]) -> None:
    """Put the new file in the log's place; runs in a thread, with no append under way."""
    write_ahead_logs.install_replacement(log, fresh, [encode(r) for r in tail])
