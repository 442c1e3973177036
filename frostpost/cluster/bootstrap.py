"""The bootstrap record: the initial voters, chosen once by one seed at the first start of the whole system.

The founder proposes a record only after every other seed has reported what it stores, and hands it out only after every
other seed has stored a copy. So no second record can be made as long as the disk of one seed survives.
"""

from msgspec import Struct, msgpack

from frostpost.daemon.structured_log import log_event
from frostpost.virtual_synchrony.agent_messages import BootstrapReply, BootstrapRequest
from frostpost.write_ahead_log import log as write_ahead_logs

from .agent_context import now_ms
from .lease_client import NEVER_MS

QUIET_PERIOD_MS = 700
FEW_REPLICAS_WAIT_MS = 5000
REQUEST_INTERVAL_MS = QUIET_PERIOD_MS // 5
RECORD_COPIES = 2
encode, decode = msgpack.encode, msgpack.decode


class Bootstrap(Struct):
    """waiting_replicas: storage daemons on empty disks at a first start, with the time of their first request.

    copied_voters: the copy that this seed stores for the founder. reported_voters: per other seed, the copy it
    reported. proposed_voters: the record that the founder has other seeds store. confirmed_seeds: the seeds that have
    stored it.
    """

    write_ahead_log: object = None
    copy_log: object = None
    copied_voters: tuple[str, ...] = ()
    waiting_replicas: dict[str, int] = {}
    writing: bool = False
    reported_voters: dict[str, tuple[str, ...]] = {}
    proposed_voters: tuple[str, ...] = ()
    confirmed_seeds: set[str] = set()
    requested_ms: int = NEVER_MS


def open_bootstrap(agent):
    """Read this daemon's bootstrap record and the copy that it stores for the founder."""
    if not agent.settings.data:
        return
    write_ahead_log, voters, intact = open_record(agent, "charter")
    copy_log, copied_voters, copy_intact = open_record(agent, "kept-charter")
    if intact:
        agent.bootstrap_voters = voters
        agent.attachments["founding"] = Bootstrap(write_ahead_log, copy_log if copy_intact else None, copied_voters)


def open_record(agent, name):
    """Open the record of that name. Returns (log, voters, whether the record is intact)."""
    log, payloads, damage = write_ahead_logs.open_log(agent.settings.data, name, agent.machine.files)
    if damage:
        log_event(type(damage).__name__, path=damage.path, offset=damage.offset)
    intact = not isinstance(damage, write_ahead_logs.Corrupt)
    return log, tuple(decode(payloads[-1])) if payloads and intact else (), intact


def is_founder(agent):
    """Whether this daemon may make the bootstrap record: the seed with the lowest address, at a first start."""
    own = f"{agent.settings.host}:{agent.settings.port}"
    lowest = min(agent.settings.seeds, key=lambda s: [int(p) for p in s.replace(":", ".").split(".")], default="")
    return agent.settings.first_start and own == lowest


def on_replica_waiting(agent, name):
    """Note a storage daemon that requests the bootstrap record at its first start."""
    bootstrap = agent.attachments.get("founding")
    if bootstrap is not None:
        bootstrap.waiting_replicas.setdefault(name, now_ms(agent))


def is_pending(agent):
    """Whether this daemon still has to make the bootstrap record."""
    bootstrap = agent.attachments.get("founding")
    return bootstrap is not None and not agent.bootstrap_voters and not bootstrap.writing and is_founder(agent)


def advance(agent):
    """Make the bootstrap record once no more storage daemons arrive and all other seeds have stored a copy."""
    if not is_pending(agent):
        return
    bootstrap = agent.attachments["founding"]
    if not bootstrap.proposed_voters:
        bootstrap.proposed_voters = choose_voters(agent, bootstrap)
    if not bootstrap.proposed_voters:
        return
    unconfirmed = [seed for seed in other_seeds(agent) if seed not in bootstrap.confirmed_seeds]
    if unconfirmed:
        request_copies(agent, unconfirmed, bootstrap.proposed_voters)
        return
    names, bootstrap.writing = bootstrap.proposed_voters, True
    agent.machine.in_thread(write_record, bootstrap.write_ahead_log, names).addCallbacks(
        on_record_written, on_write_failed, (agent, names), None, (agent,)
    )


def other_seeds(agent):
    """The inner addresses of the other seeds."""
    own = f"{agent.settings.host}:{agent.settings.port}"
    return [seed for seed in dict.fromkeys(agent.settings.seeds) if seed != own]


def choose_voters(agent, bootstrap):
    """Returns the voters to propose: a copy reported by another seed, else the replicas that wait.

    Empty until all other seeds have reported: a founder that lost its disk recovers the record from any of them.
    """
    waiting, now = bootstrap.waiting_replicas, now_ms(agent)
    if not waiting or now - max(waiting.values()) < QUIET_PERIOD_MS:
        return ()
    too_few = len(waiting) < agent.settings.min_replicas
    if too_few and now - min(waiting.values()) < FEW_REPLICAS_WAIT_MS:
        return ()
    unreported = [seed for seed in other_seeds(agent) if seed not in bootstrap.reported_voters]
    if unreported:
        request_copies(agent, unreported, ())
        return ()
    reported = [names for names in bootstrap.reported_voters.values() if names]
    return min(reported, default=tuple(sorted(waiting)))


def request_copies(agent, seeds, names):
    """Request other seeds to report their copies, or to store these names; repeated until they reply."""
    bootstrap, now = agent.attachments["founding"], now_ms(agent)
    if now - bootstrap.requested_ms < REQUEST_INTERVAL_MS and bootstrap.requested_ms != NEVER_MS:
        return
    bootstrap.requested_ms = now
    for seed in seeds:
        agent.links["send"](f"@{seed}", BootstrapRequest(names))


def on_bootstrap_request(agent, endpoint, message):
    """Report the copy stored here, after storing the names in the request if there are any."""
    bootstrap = agent.attachments.get("founding")
    if bootstrap is None or bootstrap.copy_log is None or bootstrap.writing:
        return

    def send_reply(_=None):
        agent.links["send"](
            f"@{endpoint.host}:{endpoint.port}", BootstrapReply(bootstrap.copied_voters or agent.bootstrap_voters)
        )

    def on_copy_written(_):
        bootstrap.copied_voters, bootstrap.writing = message.names, False
        send_reply()

    if not message.names or message.names == bootstrap.copied_voters:
        return send_reply()
    bootstrap.writing = True
    agent.machine.in_thread(write_record, bootstrap.copy_log, message.names).addCallbacks(
        on_copy_written, on_write_failed, None, None, (agent,)
    )
    return None


def on_bootstrap_reply(agent, endpoint, message):
    """Record the copy that another seed reports; once all have replied, take the next step."""
    bootstrap, seed = agent.attachments.get("founding"), f"{endpoint.host}:{endpoint.port}"
    if bootstrap is None or not is_pending(agent) or seed not in other_seeds(agent):
        return
    responses = bootstrap.confirmed_seeds if bootstrap.proposed_voters else bootstrap.reported_voters
    before = len(responses)
    if not bootstrap.proposed_voters:
        bootstrap.reported_voters[seed] = message.names
    elif message.names == bootstrap.proposed_voters:
        bootstrap.confirmed_seeds.add(seed)
    if before < len(responses) == len(other_seeds(agent)):
        bootstrap.requested_ms = NEVER_MS
        advance(agent)


def write_record(write_ahead_log, names):
    """Write the copies of the record, syncing each before the next: a later copy proves that the first was synced."""
    for _ in range(RECORD_COPIES):
        write_ahead_logs.append(write_ahead_log, [encode(names)])
        write_ahead_logs.sync(write_ahead_log)


def on_record_written(_, agent, names):
    """Make the synced bootstrap record available to replicas."""
    agent.bootstrap_voters, agent.attachments["founding"].writing = names, False
    log_event("charter", voters=list(names))


def on_write_failed(failure, agent):
    """Log a failed write; the next call of `advance`, or the next request, writes again."""
    agent.attachments["founding"].writing = False
    log_event("DiskError", type=failure.type.__name__)
