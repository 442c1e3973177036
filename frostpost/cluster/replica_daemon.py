"""A replica, which is a storage daemon: it orders and logs operations and stores the bodies of turns."""

from twisted.internet.task import LoopingCall

from frostpost.background.ledger_clock import tick_ledger
from frostpost.daemon import core as cores
from frostpost.daemon import disk as disks
from frostpost.daemon import event_loop, stored_log
from frostpost.daemon.context import Context, clock_ms
from frostpost.daemon.frames import listen, make_links
from frostpost.daemon.structured_log import log_event
from frostpost.turn_store import serving as turn_stores
from frostpost.turn_store import store
from frostpost.turn_store.repair import run_round as repair_bodies
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryReply,
    DirectoryRequest,
    GetBodiesReply,
    GetBodiesRequest,
    PutBodyReply,
    PutBodyRequest,
)
from frostpost.virtual_synchrony.durable_log import NO_CONFIGURATION
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.events import MessageReceived
from frostpost.virtual_synchrony.messages import DiscoveryUpdate
from frostpost.write_ahead_log import log as write_ahead_logs

from . import address_store, admission_queue, agent_sessions, announcements, status, task_server, voter_reconfiguration
from .first_start import forget_seeds, recall_seeds, was_founded_without
from .replica_context import ROLE, ProcessExit, ReplicaContext, replica_settings


def assemble(settings, reactor, machine, stop):
    """Returns a ReplicaContext whose core is not started yet, see `begin_serving`."""
    incarnation = 1 + int(machine.token(6), 16)
    endpoint = Endpoint(
        Member(settings.name, incarnation),
        ROLE,
        settings.zone,
        settings.host,
        settings.port,
        0,
        PROTOCOL_REVISION,
    )
    ctx = Context(replica_settings(settings), reactor, endpoint, machine)
    replica = ReplicaContext(ctx, settings, stop)
    ctx.lifecycle = ProcessExit(stop)
    replica.first_seeds = recall_seeds(settings, machine)
    write_ahead_log, replica.log, damage = stored_log.open_log(settings.data, machine.files)
    if damage:
        log_event(type(damage).__name__, path=damage.path, offset=damage.offset)
    if isinstance(damage, write_ahead_logs.Corrupt):
        forget_seeds(settings, machine)
        replica.first_seeds = ()
    ctx.disk = disks.LogWriter(ctx, write_ahead_log)
    replica.peers = address_store.open_address_store(settings.data, machine)
    replica.agent_addresses, replica.announced_configuration = (
        address_store.open_address_store(settings.data, machine, "leaves"),
        None,
    )
    replica.turn_store = store.open_store(
        settings.data,
        machine,
        on_error=lambda failure: on_store_failure(replica, failure),
        max_disk_bytes=settings.disk_mb * 600000 or 1 << 30,
    )
    ctx.links = {
        "applied": lambda: on_applied(replica),
        "news": lambda sender_name, body: None,
        "heard": lambda sender_name, update: None,
    }
    ctx.links["send"] = replica.send = make_links(ctx)
    return replica


def on_store_failure(replica, failure):
    """Log a failure of the turn store; a lost sync ends the daemon, which reads its disk again on restart."""
    log_event(type(failure).__name__, what="turn_store")
    if isinstance(failure, write_ahead_logs.SyncLostError):
        replica.stop(70)


def start(replica):
    """Listen, then begin serving: at once with a stored log or on a later disk, else with the bootstrap record."""
    listen(replica.ctx, lambda ctx, frame: on_frame(replica, frame)).addErrback(on_listen_failure(replica))
    if replica.log.primary != NO_CONFIGURATION or not replica.first_seeds:
        begin_serving(replica, ())
    replica.bootstrap_poll = run_every(replica, lambda: request_bootstrap(replica), 0.1)


def on_listen_failure(replica):
    """Returns an errback that logs a failure to listen and ends the daemon with status 69."""

    def on_failure(failure):
        log_event("ListenError", text=failure.getErrorMessage())
        replica.stop(69)

    return on_failure


def begin_serving(replica, voters):
    """Start the core from the log, with the initial voters if any, and start the periodic jobs."""
    ctx, settings = replica.ctx, replica.settings
    replica.awaiting_bootstrap, replica.bootstrap_voters = False, voters
    seeds = dict.fromkeys((*settings.seeds, *address_store.stored_addresses(replica.peers)))
    ctx.core, out = cores.create_core(
        ctx.endpoint, ctx.settings.bounds, [f"@{s}" for s in seeds], voters, replica.log, clock_ms(ctx)
    )
    replica.log = None
    ctx.disk.write(out.writes)
    event_loop.start_ticker(ctx, on_job_failure(replica))
    replica.tasks.append(ctx.ticker)
    run_every(replica, lambda: check_disk_and_opening(replica), 0.1)
    run_every(replica, lambda: change_voters(replica), 0.1)
    run_every(replica, lambda: tick_ledger(ctx), settings.tick_ms / 1000)
    run_every(replica, lambda: repair(replica), 0.2)
    run_every(replica, lambda: task_server.collect(ctx, replica.sessions), task_server.COLLECT_INTERVAL_S)
    run_every(replica, lambda: save_addresses(replica), 1.0)
    run_every(replica, lambda: expire(replica), 10.0)
    run_every(replica, lambda: announcements.announce_to_lapsed(replica), settings.lease_ms / 1000)
    log_event("started", name=settings.name, founding=list(voters))


def on_job_failure(replica):
    """Returns an errback that ends the daemon with status 70 when a periodic job fails."""

    def on_failure(failure):
        log_event("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        replica.stop(70)

    return on_failure


def run_every(replica, job, interval_s):
    """Run a job periodically on the event loop; an error in it ends the daemon. Returns the LoopingCall."""
    task = LoopingCall(job)
    task.clock = replica.reactor
    task.start(interval_s, now=False).addErrback(on_job_failure(replica))
    replica.tasks.append(task)
    return task


def request_bootstrap(replica):
    """Request the bootstrap record from the seeds until the core has started."""
    if not replica.awaiting_bootstrap:
        replica.bootstrap_poll.stop()
        return
    for seed in dict.fromkeys((*replica.first_seeds, *replica.settings.seeds)):
        replica.ctx.links["send"](f"@{seed}", DirectoryRequest())


def check_disk_and_opening(replica):
    """Check the disk, and announce an opening that was not announced yet."""
    replica.ctx.disk.check_health()
    announcements.announce_opening(replica)


def change_voters(replica):
    """Take the next step of voter reconfiguration."""
    return voter_reconfiguration.reconfigure(replica.ctx, replica.voter_changes, replica.settings)


def on_applied(replica):
    """Send new routings to agents, dispatch queued attempts and announce an opening, after an operation was applied."""
    agent_sessions.announce_routing(replica.ctx, replica.sessions)
    admission_queue.dispatch(replica.sessions.admission, replica.ctx.core.ledger.program_ledger)
    announcements.announce_opening(replica)


def repair(replica):
    """Fetch missing bodies from peers, and report their number with the next heartbeat."""
    ctx = replica.ctx
    peers = [
        f"@{peer.endpoint.host}:{peer.endpoint.port}"
        for peer in ctx.core.synchrony.peers.values()
        if peer.endpoint.role == ROLE and peer.configuration == ctx.core.synchrony.configuration.id
    ]
    repair_bodies(replica, ctx.core.ledger.program_ledger.turns, peers, ctx.core.ledger.index)
    ctx.core.synchrony.status = voter_reconfiguration.status_report(replica.turn_store, replica.draining)


def save_addresses(replica):
    """Store the addresses of the other daemons on disk."""
    address_store.save_member_addresses(replica.peers, replica.ctx.core.synchrony)
    save_agent_addresses(replica)


def save_agent_addresses(replica):
    """Store the addresses of agents with a running lease, which only the sequencer grants."""
    now = clock_ms(replica.ctx)
    recent = [session.address[1:] for session in replica.sessions.agents.values() if session.until_ms > now]
    if recent:
        address_store.save_addresses(replica.agent_addresses, recent)


def expire(replica):
    """Remove expired agent sessions, and bodies of turns that the ledger no longer holds."""
    agent_sessions.remove_expired_sessions(replica.sessions, clock_ms(replica.ctx))
    store.expire(replica.turn_store, lambda turn: turn in replica.ctx.core.ledger.program_ledger.turns)


def on_frame(replica, frame):
    """Dispatch a frame from another daemon."""
    endpoint, body, ctx = frame.endpoint, frame.body, replica.ctx
    if status.answer_replica_status(replica, endpoint, body):
        return None
    if isinstance(body, DirectoryReply):
        return on_directory(replica, body)
    if isinstance(body, (PutBodyRequest, GetBodiesRequest, GetBodiesReply, PutBodyReply)):
        return turn_stores.on_message(replica, f"@{endpoint.host}:{endpoint.port}", body)
    if replica.awaiting_bootstrap:
        return None
    if endpoint.role == ROLE:
        return event_loop.on_frame(ctx, frame)
    return agent_sessions.on_agent_message(ctx, replica.sessions, endpoint, body)


def on_directory(replica, message):
    """Add the replicas in a directory; while awaiting the bootstrap record, start the core with its voters.

    It starts without voters if the system was founded without it and the founder is gone.
    """
    if replica.awaiting_bootstrap:
        if message.bootstrap_voters or was_founded_without(replica.settings, message.endpoints):
            begin_serving(replica, message.bootstrap_voters)
        return
    ctx = replica.ctx
    for endpoint in message.endpoints:
        if endpoint.member.name != replica.settings.name and endpoint.member.name not in ctx.core.synchrony.peers:
            event_loop.feed_input(ctx, MessageReceived(clock_ms(ctx), endpoint, DiscoveryUpdate((), False)))
