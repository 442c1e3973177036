"""A replica, which is a storage daemon: it orders and logs operations and stores the bodies of turns."""

from twisted.internet.task import LoopingCall

from frostpost.background.ledger_clock import tick_ledger
from frostpost.daemon import core as cores
from frostpost.daemon import disk as disks
from frostpost.daemon import event_loop
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
from frostpost.virtual_synchrony.durable_log import NO_CONFIGURATION, replay
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.events import DrainRequested, MessageReceived
from frostpost.virtual_synchrony.messages import DiscoveryUpdate
from frostpost.write_ahead_log import log as write_ahead_logs

from . import address_book, admission_queue, agent_sessions, announcements, status, voter_reconfiguration
from .replica_context import ROLE, Crash, ReplicaContext, ring_settings

LEAVE_S = 0.4
HANDOVER_S = 0.05
HANDOVER_SHARE = 4


def assemble(settings, reactor, machine, stop):
    """-> ReplicaContext; its core begins once it knows whether it is a founding voter, see `begin_serving`."""
    incarnation = 1 + int(machine.token(6), 16)
    endpoint = Endpoint(
        Member(settings.name, incarnation), ROLE, settings.zone, settings.host, settings.port, 0, PROTOCOL_REVISION
    )
    ctx = Context(ring_settings(settings), reactor, endpoint, machine)
    replica = ReplicaContext(ctx, settings, stop)
    ctx.lifecycle = Crash(stop)
    write_ahead_log, replica.records, fault = disks.open_log(settings.data, machine.files)
    if fault:
        log_event(type(fault).__name__, path=fault.path, offset=fault.offset)
    ctx.disk = disks.LogWriter(ctx, write_ahead_log)
    replica.peers = address_book.open_address_book(settings.data, machine)
    replica.agent_addresses, replica.announced_configuration = (
        address_book.open_address_book(settings.data, machine, "leaves"),
        None,
    )
    replica.turn_store = store.open_store(
        settings.data,
        machine,
        on_error=lambda lost: on_store_failure(replica, lost),
        max_disk_bytes=settings.disk_mb * 600000 or 1 << 30,
    )
    ctx.links = {
        "applied": lambda: on_applied(replica),
        "news": lambda sender_name, body: None,
        "heard": lambda sender_name, news: None,
    }
    ctx.links["send"] = replica.send = make_links(ctx)
    return replica


def on_store_failure(replica, lost):
    """Log a failure of the turn store; a lost sync ends the daemon, which then reads its disk anew."""
    log_event(type(lost).__name__, what="turn_store")
    if isinstance(lost, write_ahead_logs.SyncLostError):
        replica.stop(70)


def start(replica):
    """Listen and begin: at once with a memory or at a later start, else with the bootstrap record."""
    listen(replica.ctx, lambda ctx, frame: on_frame(replica, frame)).addErrback(on_listen_failure(replica))
    log = replay(replica.records)
    if log.primary != NO_CONFIGURATION or not replica.settings.first_start:
        begin_serving(replica, ())
    replica.seeking = run_every(replica, lambda: request_bootstrap(replica), 0.1)


def on_listen_failure(replica):
    """-> an errback that logs a failure to listen and ends the daemon with status 69."""

    def failed(failure):
        log_event("ListenError", text=failure.getErrorMessage())
        replica.stop(69)

    return failed


def begin_serving(replica, charter):
    """Begin the core from the log, with the founding voters if any, and start the periodic jobs."""
    ctx, settings = replica.ctx, replica.settings
    replica.waiting, replica.bootstrap_voters = False, charter
    seeds = dict.fromkeys((*settings.seeds, *address_book.known_addresses(replica.peers)))
    ctx.core, out = cores.create_core(
        ctx.endpoint, ctx.settings.bounds, [f"@{s}" for s in seeds], charter, replay(replica.records), clock_ms(ctx)
    )
    replica.records = []
    ctx.disk.write(out.writes)
    event_loop.start_ticker(ctx, on_job_failure(replica))
    replica.tasks.append(ctx.ticker)
    run_every(replica, lambda: check_disk_and_opening(replica), 0.1)
    run_every(replica, lambda: change_voters(replica), 0.1)
    run_every(replica, lambda: tick_ledger(ctx), settings.tick_ms / 1000)
    run_every(replica, lambda: repair(replica), 0.2)
    run_every(replica, lambda: save_addresses(replica), 1.0)
    run_every(replica, lambda: expire(replica), 10.0)
    run_every(replica, lambda: announcements.announce_to_lapsed(replica), settings.lease_ms / 1000)
    log_event("started", name=settings.name, founding=list(charter))


def on_job_failure(replica):
    """What ends this daemon when one of its jobs fails."""

    def failed(failure):
        log_event("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        replica.stop(70)

    return failed


def run_every(replica, job, every_s):
    """Run a job periodically on the event loop; a failure of it ends the daemon. -> LoopingCall"""
    task = LoopingCall(job)
    task.clock = replica.reactor
    task.start(every_s, now=False).addErrback(on_job_failure(replica))
    replica.tasks.append(task)
    return task


def request_bootstrap(replica):
    """Ask the seeds for the bootstrap record, until this daemon has begun."""
    if not replica.waiting:
        replica.seeking.stop()
        return
    for seed in replica.settings.seeds:
        replica.ctx.links["send"](f"@{seed}", DirectoryRequest())


def check_disk_and_opening(replica):
    """See whether the disk is well, and whether an opening was missed."""
    replica.ctx.disk.check_health()
    announcements.announce_opening(replica)


def change_voters(replica):
    """Take the next step of the voters' reconfiguration."""
    return voter_reconfiguration.reconfigure(replica.ctx, replica.background, replica.settings)


def on_applied(replica):
    """An operation was applied: tell the agents of a new routing, and of an opening."""
    agent_sessions.announce_routing(replica.ctx, replica.sessions)
    admission_queue.dispatch(replica.sessions.admission, replica.ctx.core.ledger.program_ledger)
    announcements.announce_opening(replica)


def repair(replica):
    """Fetch missing bodies from peers, and tell with the next heartbeat how many are missing."""
    ctx = replica.ctx
    peers = [
        f"@{p.endpoint.host}:{p.endpoint.port}"
        for p in ctx.core.synchrony.peers.values()
        if p.endpoint.role == ROLE and p.configuration == ctx.core.synchrony.configuration.id
    ]
    repair_bodies(replica, ctx.core.ledger.program_ledger.turns, peers, ctx.core.ledger.index)
    ctx.core.synchrony.status = voter_reconfiguration.status_report(replica.turn_store, replica.leaving)


def save_addresses(replica):
    """Keep on disk where the other daemons are."""
    address_book.save_members(replica.peers, replica.ctx.core.synchrony)
    save_agent_addresses(replica)


def save_agent_addresses(replica):
    """Addresses of agents heard of late, by the sequencer as renewals come, by the others from what it greets."""
    now = clock_ms(replica.ctx)
    recent = [s.address[1:] for s in replica.sessions.agents.values() if s.until_ms > now]
    if recent:
        address_book.save_addresses(replica.agent_addresses, recent)


def expire(replica):
    """Forget agents that are long gone, and bodies of turns that the ledger no longer keeps."""
    agent_sessions.forget_lapsed(replica.sessions, clock_ms(replica.ctx))
    store.expire(replica.turn_store, lambda turn: turn in replica.ctx.core.ledger.program_ledger.turns)


def on_frame(replica, frame):
    """A frame from any daemon."""
    endpoint, body, ctx = frame.endpoint, frame.body, replica.ctx
    if status.answer_replica_status(replica, endpoint, body):
        return None
    if isinstance(body, DirectoryReply):
        return on_directory(replica, body)
    if isinstance(body, (PutBodyRequest, GetBodiesRequest, GetBodiesReply, PutBodyReply)):
        return turn_stores.on_message(replica, f"@{endpoint.host}:{endpoint.port}", body)
    if replica.waiting:
        return None
    if endpoint.role == ROLE:
        return event_loop.on_frame(ctx, frame)
    return agent_sessions.on_agent_message(ctx, replica.sessions, endpoint, body)


def on_directory(replica, message):
    """A seed tells the replicas that it knows, and the bootstrap record."""
    if replica.waiting:
        if message.bootstrap_voters:
            begin_serving(replica, message.bootstrap_voters)
        return
    ctx = replica.ctx
    for endpoint in message.endpoints:
        if endpoint.member.name != replica.settings.name and endpoint.member.name not in ctx.core.synchrony.peers:
            event_loop.feed_input(ctx, MessageReceived(clock_ms(ctx), endpoint, DiscoveryUpdate((), False)))


def drain(replica):
    """Give the vote up if the others do without it, leave the configuration in order, then end."""
    if replica.leaving:
        return
    replica.leaving = True
    if replica.waiting:
        replica.reactor.callLater(LEAVE_S, replica.stop, 0)
        return
    replica.ctx.core.synchrony.status = voter_reconfiguration.status_report(replica.turn_store, True)
    until_ms = clock_ms(replica.ctx) + replica.settings.grace_ms // HANDOVER_SHARE
    drain_without_vote(replica, until_ms)


def drain_without_vote(replica, until_ms):
    """Wait until this replica is no voter, where that is to be had in time."""
    if clock_ms(replica.ctx) < until_ms and voter_reconfiguration.is_dispensable_voter(replica.ctx, replica.settings):
        replica.reactor.callLater(HANDOVER_S, drain_without_vote, replica, until_ms)
        return
    event_loop.feed_input(replica.ctx, DrainRequested(clock_ms(replica.ctx)))
    replica.reactor.callLater(LEAVE_S, replica.stop, 0)
