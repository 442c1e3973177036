from . import catch_up, discovery, failure_detector, membership, ordering, primary_component, recovery
from .events import DiskHealthChanged, DrainRequested, LogSynced, MessageReceived, OperationSubmitted, Output, TimerTick
from .messages import (
    BatchAck,
    DiscoveryUpdate,
    EntriesReply,
    EntriesRequest,
    EntryBatch,
    Heartbeat,
    InstallRequest,
    ProposeRejection,
    ProposeRequest,
    ReadyUpdate,
    Rebroadcast,
    RecoveryComplete,
    RecoveryExchange,
    RecoveryPlan,
    SafeUpdate,
    SnapshotChunk,
    SubmitRequest,
)
from .state import Peer, increment_counter

EARLY = (EntryBatch, SafeUpdate, SubmitRequest, ReadyUpdate, BatchAck, EntriesRequest)


def step(synchrony, input):
    out = Output()
    advance_clock(synchrony, input.now_ms)
    match input:
        case TimerTick():
            on_tick(synchrony, out)
        case MessageReceived(_, endpoint, body):
            if register_peer(synchrony, endpoint):
                on_message(synchrony, out, endpoint.member.name, body)
        case OperationSubmitted(_, payload, end):
            ordering.submit_operation(synchrony, out, payload, end)
        case LogSynced(_, up_to):
            ordering.on_log_synced(synchrony, out, up_to)
            recovery.complete_if_ready(synchrony, out)
        case DiskHealthChanged(_, unwell):
            synchrony.unhealthy, synchrony.peers_changed = unwell, True
        case DrainRequested():
            synchrony.draining = True
            failure_detector.send_heartbeats(synchrony, out)
            discovery.announce_endpoints(synchrony, out)
    deliver_to_self(synchrony, out)
    return synchrony, out


def advance_clock(synchrony, now_ms):
    if now_ms - synchrony.now_ms > synchrony.bounds.detect_ms:
        increment_counter(synchrony, "overslept")
        synchrony.peers_changed = True
        for peer in synchrony.peers.values():
            peer.heard_ms = peer.granted_ms = -(1 << 40)
            peer.reachable = frozenset()
        synchrony.proposal = None
    synchrony.now_ms = max(synchrony.now_ms, now_ms)


def deliver_to_self(synchrony, out):
    me = synchrony.name
    while True:
        mine = [body for name, body in out.sends if name == me]
        if mine:
            out.sends = [s for s in out.sends if s[0] != me]
        replays, synchrony.replayed_messages = synchrony.replayed_messages, []
        for body in mine:
            on_message(synchrony, out, me, body)
        for sender_name, body in replays:
            on_message(synchrony, out, sender_name, body)
        ordering.send_batch(synchrony, out)
        if not any(name == me for name, _ in out.sends) and not synchrony.replayed_messages:
            out.sends = without_superseded(out.sends)
            return


def without_superseded(sends):
    """The sends without each Safe after which the same receiver gets a Batch of as high a mark."""
    batches = {(to, body.id): body.safe_watermark for to, body in sends if isinstance(body, EntryBatch)}
    if not batches:
        return sends
    return [(to, body) for to, body in sends if not (isinstance(body, SafeUpdate) and is_superseded(batches, to, body))]


def is_superseded(batches, to, message):
    return batches.get((to, message.id), -1) >= message.safe_watermark


def register_peer(synchrony, endpoint):
    name = endpoint.member.name
    if name == synchrony.name:
        return False
    peer = synchrony.peers.get(name)
    if peer is None:
        synchrony.peers[name], synchrony.peers_changed = Peer(endpoint), True
        synchrony.heartbeat_ms = -(1 << 40)
    elif peer.endpoint.member.incarnation != endpoint.member.incarnation:
        if (
            endpoint.member in peer.past_incarnations
            and synchrony.now_ms - peer.heard_ms < 2 * synchrony.bounds.detect_ms
        ):
            increment_counter(synchrony, "past_boot")
            return False
        synchrony.peers[name], synchrony.peers_changed = (
            Peer(endpoint, past_incarnations=(peer.past_incarnations | {peer.endpoint.member})),
            True,
        )
        synchrony.heartbeat_ms = -(1 << 40)
    elif peer.endpoint != endpoint:
        peer.endpoint, synchrony.peers_changed = endpoint, True
    return True


def on_tick(synchrony, out):
    if synchrony.now_ms - synchrony.heartbeat_ms >= synchrony.bounds.heartbeat_ms:
        failure_detector.send_heartbeats(synchrony, out)
    if synchrony.now_ms - synchrony.discovery_ms >= synchrony.bounds.detect_ms:
        discovery.announce_endpoints(synchrony, out)
    membership.check_proposal(synchrony, out)
    membership.propose_if_due(synchrony, out)
    recovery.resend_due(synchrony, out)
    ordering.resend_due(synchrony, out)
    ordering.send_batch(synchrony, out, force=True)
    catch_up.request_missing(synchrony, out)
    synchrony.peers_changed, synchrony.ticked_ms = False, synchrony.now_ms
    synchrony.membership_differs = set(synchrony.desired_members) != set(synchrony.configuration.members)


def on_message(synchrony, out, sender_name, body):
    recovering = synchrony.recovery
    if recovering and isinstance(body, EARLY) and body.id == recovering.id:
        if len(synchrony.order.early_messages) < synchrony.bounds.held:
            synchrony.order.early_messages.append((sender_name, body))
        return
    match body:
        case Heartbeat():
            failure_detector.on_heartbeat(synchrony, out, sender_name, body)
        case DiscoveryUpdate():
            discovery.on_discovery_update(synchrony, sender_name, body)
        case ProposeRequest():
            membership.on_propose_request(synchrony, out, sender_name, body)
        case ProposeRejection():
            membership.on_propose_rejection(synchrony, out, sender_name, body)
        case RecoveryExchange():
            membership.on_recovery_exchange(synchrony, out, sender_name, body)
        case RecoveryPlan():
            recovery.on_recovery_plan(synchrony, out, body)
        case Rebroadcast():
            recovery.on_rebroadcast(synchrony, out, body)
        case RecoveryComplete():
            membership.on_recovery_complete(synchrony, out, sender_name, body)
        case InstallRequest():
            recovery.on_install_request(synchrony, out, body)
        case SubmitRequest():
            sender = synchrony.me if sender_name == synchrony.name else synchrony.peers[sender_name].endpoint.member
            ordering.on_submit_request(synchrony, out, sender_name, sender, body)
        case EntryBatch():
            ordering.on_entry_batch(synchrony, out, sender_name, body)
        case BatchAck():
            ordering.on_batch_ack(synchrony, out, sender_name, body)
        case SafeUpdate():
            ordering.on_safe_update(synchrony, out, body)
        case ReadyUpdate():
            primary_component.on_ready_update(synchrony, out, sender_name, body)
        case EntriesRequest():
            catch_up.on_entries_request(synchrony, out, sender_name, body)
        case EntriesReply():
            catch_up.on_entries_reply(synchrony, out, sender_name, body)
        case SnapshotChunk():
            catch_up.on_snapshot_chunk(synchrony, out, sender_name, body)
