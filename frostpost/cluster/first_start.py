"""The first start of the whole system, which a daemon remembers on its disk.

Settings name the first start to the first process of a daemon only. A process that ended before the system was founded
has to go on with it, so each daemon records the seeds of its first start. A disk without that record isn't the one of
the first start: it was lost since, or its machine was added later.
"""

from msgspec import msgpack

from frostpost.daemon.structured_log import log_event
from frostpost.write_ahead_log import log as write_ahead_logs

RECORD_NAME = "first-start"


def recall_seeds(settings, machine):
    """Return the seeds of the first start, as "host:port"; empty if this disk has no record of it.

    At the first start the seeds of the settings are recorded and synced before anything else is done.
    """
    log, payloads, _ = open_record(settings, machine)
    if payloads:
        return tuple(msgpack.decode(payloads[-1]))
    if not settings.first_start:
        return ()
    write_seeds(log, settings.seeds)
    return tuple(settings.seeds)


def was_founded_without(settings, endpoints):
    """Return whether a directory names so many other replicas, at a later start, that the system must be founded."""
    others = [endpoint for endpoint in endpoints if endpoint.member.name != settings.name]
    return not settings.first_start and len(others) > settings.tolerated


def forget_seeds(settings, machine):
    """Let this disk count as lost, since another record on it was damaged."""
    log, payloads, _ = open_record(settings, machine)
    if payloads and msgpack.decode(payloads[-1]):
        write_seeds(log, ())


def open_record(settings, machine):
    """Open the record. Returns (log, payloads, damage)."""
    return write_ahead_logs.open_log(settings.data, RECORD_NAME, machine.files)


def write_seeds(log, seeds):
    """Write and sync the record; a failure is logged, and the daemon's next process finds what was written before."""
    try:
        write_ahead_logs.append(log, [msgpack.encode(tuple(seeds))])
        write_ahead_logs.sync(log)
    except OSError as error:
        log_event("DiskError", type=type(error).__name__, path=log.path)
