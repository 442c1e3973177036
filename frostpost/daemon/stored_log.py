"""Reads the log of a voting member from its disk."""

from msgspec import msgpack

from frostpost.virtual_synchrony.durable_log import DurableLog, replay_record
from frostpost.virtual_synchrony.events import Record
from frostpost.write_ahead_log import log as write_ahead_logs

decode = msgpack.Decoder(Record).decode


def open_log(directory, files):
    """Return the open log, the DurableLog replayed from its records, and the damage found in its file, if any.

    Records are replayed as they are read, since those of a log of changes may take far more memory than what is left.
    """
    log = DurableLog()
    write_ahead_log, damage = read_records(directory, files, lambda record: replay_record(log, record))
    return write_ahead_log, DurableLog() if isinstance(damage, write_ahead_logs.Corrupt) else log, damage


def read_records(directory, files, on_record):
    """As `write_ahead_log.log.read_log`, with the records decoded."""
    return write_ahead_logs.read_log(directory, "log", files, lambda record: on_record(decode(record.payload)))
