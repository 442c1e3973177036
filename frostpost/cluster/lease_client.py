"""An agent's session with the replicas: its lease, their endpoints and the routing that it honours."""

from msgspec import Struct

from frostpost.daemon.structured_log import log_event
from frostpost.virtual_synchrony.agent_messages import DirectoryRequest, LeaseRequest, RoutingRequest

from . import fleet_time, list_reading
from .agent_context import count, now_ms

RENEWALS_PER_LEASE = 5
SEARCHES_PER_LEASE = 20
# One renewal in this many goes to all replicas, since they remove agents that send nothing for long.
BROADCAST_EVERY = 256
NEVER_MS = -(1 << 40)


class Session(Struct):
    """sequencer: the replica that granted the last lease. until_ms: end of the lease, on this daemon's clock.

    search_started_ms: when this daemon began to search for its first lease. fleet_offset_ms: the fleet's time of day
    minus this daemon's clock, None if unknown.
    """

    sequencer: str = ""
    until_ms: int = NEVER_MS
    last_reply_ms: int = NEVER_MS
    last_renewal_ms: int = NEVER_MS
    renewals: int = 0
    directory_requested_ms: int = NEVER_MS
    routing_requested_ms: int = NEVER_MS
    epoch: int = 0
    voters: tuple[str, ...] = ()
    latest_routing_version: int = 0
    honoured_version: int = 0
    routing_version: int = 0
    agent_count: int = 1
    search_started_ms: int = 0
    fleet_offset_ms: int | None = None


def session_of(agent):
    """Returns the agent's session, created on first use."""
    if agent.session is None:
        agent.session, agent.directory = Session(search_started_ms=now_ms(agent)), {}
    return agent.session


def holds_lease(agent):
    """Whether this daemon holds a running lease."""
    return agent.session is not None and now_ms(agent) < agent.session.until_ms


def voters_of(agent):
    """Names of the voters in the last grant."""
    return session_of(agent).voters


def replica_addresses(agent):
    """Returns the "@host:port" addresses of the replicas by name."""
    session_of(agent)
    return {name: address_of(endpoint) for name, endpoint in agent.directory.items()}


def address_of(endpoint):
    """ "@host:port" of an endpoint, as `links["send"]` takes it."""
    return f"@{endpoint.host}:{endpoint.port}"


def renew_if_due(agent):
    """Renew the lease; without replies, search for the replicas through the seeds as well."""
    session, now = session_of(agent), now_ms(agent)
    renewal_interval_ms, search_interval_ms = (
        agent.settings.lease_ms // RENEWALS_PER_LEASE,
        agent.settings.lease_ms // SEARCHES_PER_LEASE,
    )
    lost = now - session.last_reply_ms > 2 * renewal_interval_ms
    if now - session.last_renewal_ms >= (search_interval_ms if lost else renewal_interval_ms):
        send_lease_requests(agent)
    if lost and now - session.directory_requested_ms >= (
        search_interval_ms if not agent.directory else 4 * renewal_interval_ms
    ):
        session.directory_requested_ms = now
        for seed in agent.settings.seeds:
            agent.links["send"](f"@{seed}", DirectoryRequest())


def lease_request(agent):
    """Returns the lease request for the current state."""
    session = session_of(agent)
    runner_list, now = agent.runner_list, now_ms(agent)
    return LeaseRequest(
        now,
        session.routing_version,
        session.epoch,
        runner_list.draining,
        runner_list.last.digest,
        list_reading.age_ms(runner_list.last, now),
        runner_list.poll_period_ms(),
        int(agent.machine.wall_s() * 1000) if wanted_tasks(agent) else 0,
        can_run_tasks(agent),
    )


def wanted_tasks(agent):
    """Kinds of tasks that the platform wants; none if the settings object lacks them, as those of tests do."""
    return getattr(agent.settings, "platform_tasks", ())


def can_run_tasks(agent):
    """Whether this daemon can make the calls of platform tasks."""
    return bool(wanted_tasks(agent) and agent.settings.list_host and not agent.draining)


def due_ms(agent):
    """When `renew_if_due` next has something to do, on this daemon's clock."""
    session = session_of(agent)
    renewal_interval_ms, search_interval_ms = (
        agent.settings.lease_ms // RENEWALS_PER_LEASE,
        agent.settings.lease_ms // SEARCHES_PER_LEASE,
    )
    lost_at_ms = session.last_reply_ms + 2 * renewal_interval_ms + 1
    if now_ms(agent) < lost_at_ms:
        return min(session.last_renewal_ms + renewal_interval_ms, lost_at_ms)
    return min(
        session.last_renewal_ms + search_interval_ms,
        session.directory_requested_ms + (4 * renewal_interval_ms if agent.directory else search_interval_ms),
    )


def send_lease_requests(agent):
    """Request a lease from the sequencer, or from all replicas if it is silent or a broadcast is due."""
    session, now = session_of(agent), now_ms(agent)
    session.last_renewal_ms, session.renewals = now, session.renewals + 1
    message = lease_request(agent)
    lost = now - session.last_reply_ms > 2 * (agent.settings.lease_ms // RENEWALS_PER_LEASE)
    to_all = lost or session.renewals % BROADCAST_EVERY == 0
    for name, address in replica_addresses(agent).items():
        if to_all or name == session.sequencer:
            agent.links["send"](address, message)


def search_for_sequencer(agent):
    """Start a search when the sequencer has no lease to grant, at most once per search interval."""
    session = session_of(agent)
    session.last_reply_ms = NEVER_MS
    if now_ms(agent) - session.last_renewal_ms >= agent.settings.lease_ms // SEARCHES_PER_LEASE:
        send_lease_requests(agent)
    if agent.ticker is not None:
        agent.ticker.wake(due_ms(agent) - now_ms(agent))


def on_replica_announcement(agent, endpoint):
    """Request a lease from a replica that announces itself: it may have become the sequencer."""
    session = session_of(agent)
    if not holds_lease(agent):
        send_lease_requests(agent)
    elif endpoint.member.name != session.sequencer:
        agent.links["send"](address_of(endpoint), lease_request(agent))


def on_directory(agent, endpoints):
    """Add replica endpoints received from any daemon."""
    session_of(agent)
    known_names = set(agent.directory)
    for endpoint in endpoints:
        if endpoint.role == "storage":
            agent.directory[endpoint.member.name] = endpoint
    if set(agent.directory) - known_names and not holds_lease(agent):
        send_lease_requests(agent)


def on_redirect(agent, endpoint, leader):
    """Follow a redirect of a replica that does not lead. Returns whether the leader changed."""
    session = session_of(agent)
    from_leader = endpoint.member.name == session.sequencer
    if leader and leader != session.sequencer and (from_leader or not holds_lease(agent)):
        session.sequencer = leader
        return True
    if from_leader:
        search_for_sequencer(agent)
    return False


def contact_new_replicas(agent, endpoints, leader):
    """Send a request to replicas new to this agent, so that each can announce itself when it leads."""
    for endpoint in endpoints:
        if agent.directory.get(endpoint.member.name) != endpoint and endpoint.member.name != leader:
            agent.links["send"](address_of(endpoint), lease_request(agent))


def on_lease_reply(agent, endpoint, grant):
    """Update the session from a lease reply. Returns whether the sequencer changed.

    Grants of an older configuration are ignored.
    """
    session, now = session_of(agent), now_ms(agent)
    if grant.sequencer != endpoint.member.name:
        on_directory(agent, grant.endpoints)
        return on_redirect(agent, endpoint, grant.sequencer)
    if grant.epoch < session.epoch:
        return False
    if grant.lease_ms <= 0 and grant.version <= session.routing_version:
        search_for_sequencer(agent)
        return False
    sequencer_changed = session.sequencer != endpoint.member.name or session.epoch != grant.epoch
    session.sequencer, session.last_reply_ms = endpoint.member.name, now
    if grant.lease_ms > 0:
        session.until_ms = max(session.until_ms, grant.sent_ms + grant.lease_ms)
    session.voters, session.latest_routing_version = grant.voters, grant.version
    # Never decreases: no later lease is granted on an older routing.
    session.honoured_version = max(session.honoured_version, grant.honoured)
    session.agent_count = max(1, grant.agent_count)
    on_list_update(agent, grant)
    fleet_time.on_grant(session, grant, now)
    if grant.endpoints:
        contact_new_replicas(agent, grant.endpoints, session.sequencer)
        agent.directory = {e.member.name: e for e in grant.endpoints}
        session.epoch = grant.epoch
    if grant.version > session.routing_version and now - session.routing_requested_ms >= 100:
        session.routing_requested_ms = now
        agent.links["send"](address_of(endpoint), RoutingRequest(session.routing_version))
    if sequencer_changed:
        log_event("session", sequencer=session.sequencer, epoch=grant.epoch)
    return sequencer_changed


def on_list_update(agent, grant):
    """Pass what a grant reports about the runner list to runner discovery, if this daemon reads the list."""
    runner_list = agent.runner_list
    if grant.draining and runner_list.on_draining is not None:
        runner_list.on_draining(grant.draining)
    if runner_list.on_newest_reading is not None:
        runner_list.on_newest_reading(
            list_reading.reading_from_message(grant.list_digest, grant.list_age_ms, now_ms(agent))
        )
    if grant.list_turn and runner_list.on_poll_granted is not None:
        runner_list.on_poll_granted()


def on_routing_update(agent, message):
    """Apply a newer routing and report it to the sequencer at once."""
    session = session_of(agent)
    if message.version <= session.routing_version:
        return
    routing = agent.attachments["routing_from_body"](message.body)
    agent.routing, agent.routing_body, session.routing_version = routing, message.body, message.version
    count(agent, "routings")
    log_event("routing", version=message.version)
    send_lease_requests(agent)
