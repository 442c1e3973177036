"""The replicas' side of agent sessions: leases, submitted operations and routing updates."""

from msgspec import Struct, field

from frostpost.daemon.context import clock_ms
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryReply,
    DirectoryRequest,
    LeaseReply,
    LeaseRequest,
    OperationRequest,
    RoutingRequest,
    RoutingUpdate,
)
from frostpost.virtual_synchrony.leases import lease_remaining_ms
from frostpost.virtual_synchrony.members import member_names, sequencer_of
from frostpost.virtual_synchrony.task_messages import TaskFailed, UsageReport

from . import list_reading, task_server
from .admission_queue import AdmissionQueue
from .demand_history import CapacityState
from .fleet_time import FleetClock
from .leadership import is_sequencer
from .lease_client import RENEWALS_PER_LEASE
from .list_polling import ListPollSchedule, grant_poll
from .list_reading import ListReading
from .operation_server import on_operation_request
from .settings import DaemonSettings
from .task_schedule import TaskSchedule
from .usage_collection import UsageCollection

ROUTING_GRACE_RATIO = 0.5
DRAINING_RETENTION_MS = 15000
SESSION_RETENTION_MS = 600000


class AgentSession(Struct):
    """until_ms: the latest end of any lease granted to the agent, on this daemon's clock.

    wall_offset_ms: the agent's time of day minus this daemon's clock, None if unknown.
    """

    address: str
    incarnation: int
    routing_version: int
    until_ms: int
    wall_offset_ms: int | None = None
    role: str = ""
    zone: str = ""


class LeaseSummary(Struct, frozen=True):
    """Summary of the running leases; until_ms is the earliest time at which one of them may end."""

    agent_count: int
    routing_versions: frozenset[int]
    until_ms: int


class AgentSessions(Struct):
    """Sessions of all agents, as a replica sees them.

    routing_since_ms: when the current routing took effect here. draining: runners reported as draining, with the time
    at which the report expires. newest_list: the latest reading of the runner list that any agent reported. list_polls:
    which agent reads it next. summary: cached; None once an agent changed its routing version or incarnation or got a
    new lease. routing_update: the last one sent to agents. settings: those of this daemon. fleet_clock, tasks, usage,
    capacity: see their modules.
    """

    agents: dict[str, AgentSession] = {}
    operations_in_progress: set[tuple[str, int, int]] = set()
    routing_version: int = 0
    routing_since_ms: int = 0
    draining: dict[str, int] = {}
    summary: LeaseSummary | None = None
    newest_list: ListReading = ListReading()
    list_polls: ListPollSchedule = field(default_factory=ListPollSchedule)
    admission: AdmissionQueue = field(default_factory=AdmissionQueue)
    settings: DaemonSettings = DaemonSettings("", "storage", "", "", 0)
    routing_update: RoutingUpdate | None = None
    fleet_clock: FleetClock = field(default_factory=FleetClock)
    tasks: TaskSchedule = field(default_factory=TaskSchedule)
    usage: UsageCollection = field(default_factory=UsageCollection)
    capacity: CapacityState = field(default_factory=CapacityState)


def voters_of(ctx):
    """The voters in force: those of the ledger, else of the log, else of the bootstrap record."""
    synchrony = ctx.core.synchrony
    return ctx.core.ledger.voters or synchrony.voters or synchrony.bootstrap_voters


def record_agent(sessions, endpoint, version, now):
    """Record an agent that sent a message. Followers do so too, to announce themselves to it once they lead."""
    session = sessions.agents.get(endpoint.member.name)
    address = f"@{endpoint.host}:{endpoint.port}"
    if session is None or session.incarnation != endpoint.member.incarnation:
        session = AgentSession(address, endpoint.member.incarnation, version, now - 1)
        sessions.agents[endpoint.member.name], sessions.summary = session, None
    session.address, session.role, session.zone = address, endpoint.role, endpoint.zone
    return session


def member_endpoints(synchrony):
    """Known endpoints of the members of the configuration."""
    peer_endpoints = [
        synchrony.peers[n].endpoint for n in member_names(synchrony.configuration) if n in synchrony.peers
    ]
    return (synchrony.endpoint, *peer_endpoints)


def on_lease_request(ctx, sessions, endpoint, message):
    """Returns the LeaseReply for an agent's request.

    An agent on an older routing gets no new lease; a running one is extended for a grace period after the routing
    changed.
    """
    synchrony, now = ctx.core.synchrony, clock_ms(ctx)
    if not is_sequencer(ctx):
        record_agent(sessions, endpoint, message.version, now)
        opened = synchrony.primary.opened
        return LeaseReply(
            message.sent_ms,
            0,
            sequencer_of(synchrony) if opened else "",
            endpoints=member_endpoints(synchrony) if opened else (),
        )
    routing_version = ctx.core.ledger.program_ledger.routing_version
    announce_routing(ctx, sessions)
    reading = list_reading.reading_from_message(message.list_digest, message.list_age_ms, now)
    sessions.newest_list = list_reading.newer(sessions.newest_list, reading)
    session = record_agent(sessions, endpoint, message.version, now)
    if message.version > session.routing_version:
        session.routing_version, sessions.summary = message.version, None
    remaining_ms = lease_remaining_ms(synchrony, now)
    in_grace_period = (
        session.until_ms > now and now - sessions.routing_since_ms <= synchrony.bounds.lease_ms * ROUTING_GRACE_RATIO
    )
    lease_ms = remaining_ms if session.routing_version >= routing_version or in_grace_period else 0
    if session.until_ms <= now < now + lease_ms:
        sessions.summary = None
    session.until_ms = max(session.until_ms, now + lease_ms)
    epoch = synchrony.configuration.id.epoch
    endpoints = () if message.epoch == epoch else member_endpoints(synchrony)
    return LeaseReply(
        message.sent_ms,
        lease_ms,
        synchrony.name,
        tuple(voters_of(ctx)),
        routing_version,
        honoured_version(ctx, sessions),
        epoch,
        endpoints,
        lease_summary(sessions, now).agent_count,
        merge_draining(sessions, message.draining, now),
        sessions.newest_list.digest,
        list_reading.age_ms(sessions.newest_list, now),
        grant_poll(
            sessions.list_polls,
            endpoint.member.name,
            message.list_period_ms,
            synchrony.bounds.lease_ms // RENEWALS_PER_LEASE,
            now,
        ),
        task_server.offer_tasks(ctx, sessions, endpoint, message, lease_ms, now),
        task_server.fleet_time_ms(ctx, sessions, session, message, now),
        task_server.closed_window(ctx, sessions),
    )


def remove_expired_sessions(sessions, now):
    """Remove agents whose lease ended longer than the retention time ago."""
    for name in [agent for agent, session in sessions.agents.items() if session.until_ms + SESSION_RETENTION_MS < now]:
        del sessions.agents[name]


def merge_draining(sessions, reported, now):
    """Merge the draining runners that an agent reports and drop expired ones. Returns all that are draining."""
    sessions.draining.update((runner, now + DRAINING_RETENTION_MS) for runner in reported)
    for runner in [name for name, until_ms in sessions.draining.items() if until_ms <= now]:
        del sessions.draining[runner]
    return tuple(sessions.draining)


def announce_routing(ctx, sessions):
    """Send a routing that has just taken effect to all agents with a running lease."""
    program_ledger = ctx.core.ledger.program_ledger
    if program_ledger.routing_version == sessions.routing_version:
        return
    sessions.routing_version, sessions.routing_since_ms = program_ledger.routing_version, clock_ms(ctx)
    if is_sequencer(ctx):
        for session in sessions.agents.values():
            if session.until_ms > clock_ms(ctx):
                ctx.links["send"](session.address, current_update(sessions, program_ledger))


def current_update(sessions, program_ledger):
    """The update with the current routing; the same object for all agents, so that its encoding is shared."""
    update = sessions.routing_update
    if update is None or update.body is not program_ledger.routing_body:
        update = RoutingUpdate(program_ledger.routing_version, program_ledger.routing_body)
        sessions.routing_update = update
    return update


def honoured_version(ctx, sessions):
    """The newest routing version that every agent with a running lease honours.

    Returns 0 until leases granted by an earlier sequencer must have ended.
    """
    synchrony, now = ctx.core.synchrony, clock_ms(ctx)
    if now - synchrony.installed_ms < synchrony.bounds.lease_ms:
        return 0
    return min([ctx.core.ledger.program_ledger.routing_version, *lease_summary(sessions, now).routing_versions])


def lease_summary(sessions, now):
    """The cached summary of running leases, rebuilt if an agent changed or a lease may have ended."""
    summary = sessions.summary
    if summary is None or now >= summary.until_ms:
        running = [session for session in sessions.agents.values() if session.until_ms > now]
        routing_versions = frozenset(session.routing_version for session in running)
        until_ms = min((session.until_ms for session in running), default=now)
        summary = sessions.summary = LeaseSummary(len(running), routing_versions, until_ms)
    return summary


def on_agent_message(ctx, sessions, endpoint, body):
    """Handle a message of an agent. Returns whether it was of a type handled here."""
    address = f"@{endpoint.host}:{endpoint.port}"
    match body:
        case LeaseRequest():
            ctx.links["send"](address, on_lease_request(ctx, sessions, endpoint, body))
        case OperationRequest():
            on_operation_request(ctx, sessions, address, body)
        case RoutingRequest():
            program_ledger = ctx.core.ledger.program_ledger
            if program_ledger.routing_version > body.version:
                ctx.links["send"](address, current_update(sessions, program_ledger))
        case UsageReport() | TaskFailed():
            task_server.on_task_message(ctx, sessions, endpoint, body)
        case DirectoryRequest():
            synchrony = ctx.core.synchrony
            endpoints = (synchrony.endpoint, *(p.endpoint for p in synchrony.peers.values()))
            ctx.links["send"](address, DirectoryReply(endpoints))
        case _:
            return False
    return True
