"""The bootstrap record: the names of the founding voters, made once, by one seed, at the first start of the whole
system.

The founder hands it out only after every other seed keeps it on disk, and proposes one only after every other seed has
told what it keeps. So no second bootstrap record can be made while the disk of one seed is left.
"""

from msgspec import Struct, msgpack

from frostpost.daemon.structured_log import log_event
from frostpost.virtual_synchrony.agent_messages import BootstrapReply, BootstrapRequest
from frostpost.write_ahead_log import log as write_ahead_logs

from .agent_context import now_ms
from .lease_client import NEVER_MS

SETTLED_MS = 700
TOO_FEW_WAIT_MS = 5000
REQUEST_INTERVAL_MS = SETTLED_MS // 5
RECORD_COPIES = 2
encode, decode = msgpack.encode, msgpack.decode


class Bootstrap(Struct):
    """waiting_replicas: storage daemons on empty disks at a first start, with when each was first heard.

    kept_voters: what this seed keeps for the founder. told_by_seed: by other seed, what it said to keep when asked.
    proposed_voters: what the founder asks all others to keep. confirmed_seeds: the other seeds that keep it.
    """

    write_ahead_log: object = None
    kept_log: object = None
    kept_voters: tuple[str, ...] = ()
    waiting_replicas: dict[str, int] = {}
    writing: bool = False
    told_by_seed: dict[str, tuple[str, ...]] = {}
    proposed_voters: tuple[str, ...] = ()
    confirmed_seeds: set[str] = set()
    requested_ms: int = NEVER_MS


def open_bootstrap(agent):
    """Read the bootstrap record of this daemon's disk, and the one that it keeps for the founder."""
    if not agent.settings.data:
        return
    write_ahead_log, charter, intact = open_record(agent, "charter")
    kept_log, kept, kept_intact = open_record(agent, "kept-charter")
    if intact:
        agent.bootstrap_voters = charter
        agent.extras["founding"] = Bootstrap(write_ahead_log, kept_log if kept_intact else None, kept)


def open_record(agent, name):
    """Open the record of that name; -> (log, the voters in it, whether it is intact)."""
    log, payloads, fault = write_ahead_logs.open_log(agent.settings.data, name, agent.machine.files)
    if fault:
        log_event(type(fault).__name__, path=fault.path, offset=fault.offset)
    intact = not isinstance(fault, write_ahead_logs.Corrupt)
    return log, tuple(decode(payloads[-1])) if payloads and intact else (), intact


def is_founder(agent):
    """Whether this daemon is the one that may make the bootstrap record."""
    own = f"{agent.settings.host}:{agent.settings.port}"
    first = min(agent.settings.seeds, key=lambda s: [int(p) for p in s.replace(":", ".").split(".")], default="")
    return agent.settings.first_start and own == first


def on_replica_waiting(agent, name):
    """A storage daemon at its first start asks for the bootstrap record."""
    bootstrap = agent.extras.get("founding")
    if bootstrap is not None:
        bootstrap.waiting_replicas.setdefault(name, now_ms(agent))


def is_pending(agent):
    """Whether this daemon has a bootstrap record to make."""
    bootstrap = agent.extras.get("founding")
    return bootstrap is not None and not agent.bootstrap_voters and not bootstrap.writing and is_founder(agent)


def advance(agent):
    """Make the bootstrap record once the storage daemons have stopped coming and all other seeds keep it."""
    if not is_pending(agent):
        return
    bootstrap = agent.extras["founding"]
    if not bootstrap.proposed_voters:
        bootstrap.proposed_voters = choose_voters(agent, bootstrap)
    if not bootstrap.proposed_voters:
        return
    lacking = [seed for seed in other_seeds(agent) if seed not in bootstrap.confirmed_seeds]
    if lacking:
        request_copies(agent, lacking, bootstrap.proposed_voters)
        return
    names, bootstrap.writing = bootstrap.proposed_voters, True
    agent.machine.in_thread(write_record, bootstrap.write_ahead_log, names).addCallbacks(
        written, failed, (agent, names), None, (agent,)
    )


def other_seeds(agent):
    """The inner addresses of the other seeds."""
    own = f"{agent.settings.host}:{agent.settings.port}"
    return [seed for seed in dict.fromkeys(agent.settings.seeds) if seed != own]


def choose_voters(agent, bootstrap):
    """The bootstrap record to propose: what another seed keeps, or those that wait; empty while that can't be told.

    Nothing is proposed before all other seeds have answered: a founder whose disk was lost finds the bootstrap record
    with any one of them.
    """
    waiting, now = bootstrap.waiting_replicas, now_ms(agent)
    if not waiting or now - max(waiting.values()) < SETTLED_MS:
        return ()
    few = len(waiting) < agent.settings.least_replicas
    if few and now - min(waiting.values()) < TOO_FEW_WAIT_MS:
        return ()
    silent = [seed for seed in other_seeds(agent) if seed not in bootstrap.told_by_seed]
    if silent:
        request_copies(agent, silent, ())
        return ()
    kept = [names for names in bootstrap.told_by_seed.values() if names]
    return min(kept, default=tuple(sorted(waiting)))


def request_copies(agent, seeds, names):
    """Ask other seeds what they keep, or to keep these names; again and again until they answer."""
    bootstrap, now = agent.extras["founding"], now_ms(agent)
    if now - bootstrap.requested_ms < REQUEST_INTERVAL_MS and bootstrap.requested_ms != NEVER_MS:
        return
    bootstrap.requested_ms = now
    for seed in seeds:
        agent.links["send"](f"@{seed}", BootstrapRequest(names))


def on_bootstrap_request(agent, endpoint, message):
    """Another seed asks what this one keeps, or to keep a bootstrap record."""
    bootstrap = agent.extras.get("founding")
    if bootstrap is None or bootstrap.kept_log is None or bootstrap.writing:
        return

    def answer(_=None):
        agent.links["send"](
            f"@{endpoint.host}:{endpoint.port}", BootstrapReply(bootstrap.kept_voters or agent.bootstrap_voters)
        )

    def kept(_):
        bootstrap.kept_voters, bootstrap.writing = message.names, False
        answer()

    if not message.names or message.names == bootstrap.kept_voters:
        return answer()
    bootstrap.writing = True
    agent.machine.in_thread(write_record, bootstrap.kept_log, message.names).addCallbacks(
        kept, failed, None, None, (agent,)
    )
    return None


def on_bootstrap_reply(agent, endpoint, message):
    """Another seed tells what it keeps."""
    bootstrap, seed = agent.extras.get("founding"), f"{endpoint.host}:{endpoint.port}"
    if bootstrap is None or not is_pending(agent) or seed not in other_seeds(agent):
        return
    answered = bootstrap.confirmed_seeds if bootstrap.proposed_voters else bootstrap.told_by_seed
    before = len(answered)
    if not bootstrap.proposed_voters:
        bootstrap.told_by_seed[seed] = message.names
    elif message.names == bootstrap.proposed_voters:
        bootstrap.confirmed_seeds.add(seed)
    if before < len(answered) == len(other_seeds(agent)):
        bootstrap.requested_ms = NEVER_MS
        advance(agent)


def write_record(write_ahead_log, names):
    """Each copy is synced before the next is written: the later one proves that the first was there."""
    for _ in range(RECORD_COPIES):
        write_ahead_logs.append(write_ahead_log, [encode(names)])
        write_ahead_logs.sync(write_ahead_log)


def written(_, agent, names):
    """The bootstrap record is on this seed's disk: it may be handed out."""
    agent.bootstrap_voters, agent.extras["founding"].writing = names, False
    log_event("charter", voters=list(names))


def failed(failure, agent):
    """A write of the record failed; it is tried again."""
    agent.extras["founding"].writing = False
    log_event("DiskError", type=failure.type.__name__)
