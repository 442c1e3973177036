"""The bootstrap record: the initial voters, chosen once by one seed at the first start of the whole system.

The founder is the lowest of the seeds of the first start. It proposes a record only after every other seed has reported
what it stores, and makes it only after every other seed has stored a copy. So no second record can be made as long as
the disk of one seed survives.

Any process of the founder may make the record. One that finds the disk of the first start (see `first_start`) without a
record knows that none was made. One without that disk learns the seeds from the others, and has to find that each of
them still has the disk of the first start: a copy of a record that was made would be there.
"""

from frostpost.daemon.structured_log import log_event
from frostpost.virtual_synchrony.agent_messages import BootstrapRequest

from . import lease_client
from .agent_context import now_ms
from .bootstrap_record import lowest, on_write_failed, own_address, write_record
from .lease_client import NEVER_MS

QUIET_PERIOD_MS = 700
FEW_REPLICAS_WAIT_MS = 5000
REQUEST_INTERVAL_MS = QUIET_PERIOD_MS // 5


def may_be_founder(agent):
    """Return whether this daemon is the founder, or doesn't know the seeds of the first start yet.

    A daemon that holds a lease needs not find out: the system was founded.
    """
    seeds = agent.attachments["founding"].seeds
    return lowest(seeds) == own_address(agent) if seeds else not lease_client.holds_lease(agent)


def on_replica_waiting(agent, name):
    """Note a storage daemon that requests the bootstrap record at its first start."""
    bootstrap = agent.attachments.get("founding")
    if bootstrap is not None:
        bootstrap.waiting_replicas.setdefault(name, now_ms(agent))


def is_pending(agent):
    """Whether this daemon still has to make the bootstrap record, or to find out whether it has to."""
    bootstrap = agent.attachments.get("founding")
    return bootstrap is not None and not agent.bootstrap_voters and not bootstrap.writing and may_be_founder(agent)


def advance(agent):
    """Make the bootstrap record once no more storage daemons arrive and all other seeds have stored a copy."""
    if not is_pending(agent):
        return
    bootstrap = agent.attachments["founding"]
    if not bootstrap.seeds:
        request_copies(agent, [seed for seed in agent.settings.seeds if seed != own_address(agent)], ())
        return
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
    """The inner addresses of the other seeds of the first start."""
    own = own_address(agent)
    return [seed for seed in dict.fromkeys(agent.attachments["founding"].seeds) if seed != own]


def choose_voters(agent, bootstrap):
    """Returns the voters to propose: a copy reported by another seed, else the replicas that wait.

    Empty until all other seeds have reported: a founder that lost its disk recovers the record from any of them. It
    chooses a new one only if none of the others can have lost a copy.
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
    if reported:
        return min(reported)
    if not bootstrap.has_first_disk and not bootstrap.vouching_seeds.issuperset(other_seeds(agent)):
        bootstrap.reported_voters.clear()
        return ()
    return tuple(sorted(waiting))


def request_copies(agent, seeds, names):
    """Request other seeds to report their copies, or to store these names; repeated until they reply."""
    bootstrap, now = agent.attachments["founding"], now_ms(agent)
    if now - bootstrap.requested_ms < REQUEST_INTERVAL_MS and bootstrap.requested_ms != NEVER_MS:
        return
    bootstrap.requested_ms = now
    for seed in seeds:
        agent.links["send"](f"@{seed}", BootstrapRequest(names))


def on_bootstrap_reply(agent, endpoint, message):
    """Record the copy that another seed reports; once all have replied, take the next step."""
    bootstrap, seed = agent.attachments.get("founding"), f"{endpoint.host}:{endpoint.port}"
    if bootstrap is None or not is_pending(agent) or not is_reply_to(agent, message):
        return
    bootstrap.seeds = bootstrap.seeds or message.seeds
    if seed not in other_seeds(agent) or not is_pending(agent):
        return
    if set(message.seeds) == set(bootstrap.seeds):
        bootstrap.vouching_seeds.add(seed)
    responses = bootstrap.confirmed_seeds if bootstrap.proposed_voters else bootstrap.reported_voters
    before = len(responses)
    if not bootstrap.proposed_voters:
        bootstrap.reported_voters[seed] = message.names
    elif message.names == bootstrap.proposed_voters:
        bootstrap.confirmed_seeds.add(seed)
    if before < len(responses) == len(other_seeds(agent)):
        bootstrap.requested_ms = NEVER_MS
        advance(agent)


def is_reply_to(agent, message):
    """Return whether a reply answers this process, not an earlier one; earlier builds don't tell."""
    return message.requester in (0, agent.endpoint.member.incarnation)


def on_record_written(_, agent, names):
    """Make the synced bootstrap record available to replicas."""
    agent.bootstrap_voters, agent.attachments["founding"].writing = names, False
    log_event("charter", voters=list(names))
