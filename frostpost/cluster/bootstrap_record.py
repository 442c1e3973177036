"""What a daemon that serves control stores of the bootstrap record, and what it knows while the system is founded."""

from msgspec import Struct, msgpack

from frostpost.daemon.structured_log import log_event
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.write_ahead_log import log as write_ahead_logs

from .first_start import forget_seeds, recall_seeds
from .lease_client import NEVER_MS

RECORD_COPIES = 2
encode, decode = msgpack.encode, msgpack.decode


class Bootstrap(Struct):
    """waiting_replicas: storage daemons on empty disks at a first start, with the time of their first request.

    seeds: the seeds of the first start, empty if unknown. has_first_disk: whether this daemon's disk is that of its
    first start. copied_voters: the copy that this seed stores for the founder. requesters: the processes that ask for
    it, by address; superseded_requesters those before them. reported_voters: per other seed, the copy it reported.
    vouching_seeds: the other seeds whose disks are those of the first start. proposed_voters: the record that the
    founder has other seeds store. confirmed_seeds: the seeds that have stored it.
    """

    write_ahead_log: object = None
    copy_log: object = None
    seeds: tuple[str, ...] = ()
    has_first_disk: bool = False
    copied_voters: tuple[str, ...] = ()
    requesters: dict[str, Member] = {}
    superseded_requesters: set[Member] = set()
    waiting_replicas: dict[str, int] = {}
    writing: bool = False
    reported_voters: dict[str, tuple[str, ...]] = {}
    vouching_seeds: set[str] = set()
    proposed_voters: tuple[str, ...] = ()
    confirmed_seeds: set[str] = set()
    requested_ms: int = NEVER_MS


def open_bootstrap(agent):
    """Read this daemon's bootstrap record and the copy that it stores for the founder."""
    if not agent.settings.data:
        return
    seeds = recall_seeds(agent.settings, agent.machine)
    write_ahead_log, voters, intact = open_record(agent, "charter")
    copy_log, copied_voters, copy_intact = open_record(agent, "kept-charter")
    if not (intact and copy_intact):
        forget_seeds(agent.settings, agent.machine)
        seeds = ()
    if intact:
        agent.bootstrap_voters = voters
        agent.attachments["founding"] = Bootstrap(
            write_ahead_log, copy_log if copy_intact else None, seeds, bool(seeds), copied_voters
        )


def open_record(agent, name):
    """Open the record of that name. Returns (log, voters, whether the record is intact)."""
    log, payloads, damage = write_ahead_logs.open_log(agent.settings.data, name, agent.machine.files)
    if damage:
        log_event(type(damage).__name__, path=damage.path, offset=damage.offset)
    intact = not isinstance(damage, write_ahead_logs.Corrupt)
    return log, tuple(decode(payloads[-1])) if payloads and intact else (), intact


def own_address(agent):
    """Return this daemon's inner address as seeds are named."""
    return f"{agent.settings.host}:{agent.settings.port}"


def lowest(seeds):
    """Return the seed with the lowest address; empty if there are none."""
    return min(seeds, key=lambda seed: [int(number) for number in seed.replace(":", ".").split(".")], default="")


def write_record(write_ahead_log, names):
    """Write the copies of the record, syncing each before the next: a later copy proves that the first was synced."""
    for _ in range(RECORD_COPIES):
        write_ahead_logs.append(write_ahead_log, [encode(names)])
        write_ahead_logs.sync(write_ahead_log)


def on_write_failed(failure, agent):
    """Log a failed write; the next call of `advance`, or the next request, writes again."""
    agent.attachments["founding"].writing = False
    log_event("DiskError", type=failure.type.__name__)
