"""One step of the protocol: `step` takes one input to its handler, and is the only entry to this package's state.

Handlers take (synchrony, out, sender_name, message), change the state in place and add to the output. What a member
sends to itself is handled within the same step.
"""

from collections.abc import Callable

from . import acknowledgements, catch_up, discovery, failure_detector, membership, ordering, primary_component, recovery
from .events import (
    DiskHealthChanged,
    DrainRequested,
    LogSynced,
    MessageReceived,
    OperationSubmitted,
    Output,
    TimerTick,
)
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
from .state import NEVER_MS, Peer, increment_counter

# Messages of a configuration that a member may get before it has installed it itself.
DEFERRABLE_MESSAGES = (EntryBatch, SafeUpdate, SubmitRequest, ReadyUpdate, BatchAck, EntriesRequest)


def step(synchrony, input):
    """Handle one input; return (state, Output). The state is changed in place."""
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
        case DiskHealthChanged(_, unhealthy):
            synchrony.unhealthy, synchrony.peers_changed = unhealthy, True
        case DrainRequested():
            synchrony.draining = True
            failure_detector.send_heartbeats(synchrony, out)
            discovery.announce_endpoints(synchrony, out)
    deliver_to_self(synchrony, out)
    return synchrony, out


def advance_clock(synchrony, now_ms):
    """Take the time over; after a pause longer than `detect_ms` nothing that was heard before counts any more.

    A process that was frozen would else act on a lease, or on peers, that have long been given up by the others.
    """
    if now_ms - synchrony.now_ms > synchrony.bounds.detect_ms:
        increment_counter(synchrony, "overslept")
        synchrony.peers_changed = True
        for peer in synchrony.peers.values():
            peer.heard_ms = peer.granted_ms = NEVER_MS
            peer.reachable = frozenset()
        synchrony.proposal = None
    synchrony.now_ms = max(synchrony.now_ms, now_ms)


def deliver_to_self(synchrony, out):
    """Handle what this member sends to itself, and early messages of a configuration that was just installed."""
    me = synchrony.name
    while True:
        mine = [body for name, body in out.sends if name == me]
        if mine:
            out.sends = [s for s in out.sends if s[0] != me]
        replays, synchrony.messages_to_replay = synchrony.messages_to_replay, []
        for body in mine:
            on_message(synchrony, out, me, body)
        for sender_name, body in replays:
            on_message(synchrony, out, sender_name, body)
        ordering.send_batch(synchrony, out)
        if not any(name == me for name, _ in out.sends) and not synchrony.messages_to_replay:
            out.sends = drop_superseded_updates(out.sends)
            return


def drop_superseded_updates(sends):
    """The sends without each SafeUpdate that a batch to the same receiver makes superfluous."""
    batches = {(to, body.id): body.safe_watermark for to, body in sends if isinstance(body, EntryBatch)}
    if not batches:
        return sends
    return [(to, body) for to, body in sends if not (isinstance(body, SafeUpdate) and is_superseded(batches, to, body))]


def is_superseded(batches, to, message):
    """Whether the same receiver gets a batch with as high a watermark."""
    return batches.get((to, message.id), -1) >= message.safe_watermark


def register_peer(synchrony, endpoint):
    """Note who speaks; -> whether its message is to be handled.

    A message of an earlier incarnation that arrives late, and one of this daemon's own name, is dropped.
    """
    name = endpoint.member.name
    if name == synchrony.name:
        return False
    peer = synchrony.peers.get(name)
    if peer is None:
        add_peer(synchrony, Peer(endpoint))
    elif peer.endpoint.member != endpoint.member:
        heard_of_late = synchrony.now_ms - peer.heard_ms < 2 * synchrony.bounds.detect_ms
        if endpoint.member in peer.past_incarnations and heard_of_late:
            increment_counter(synchrony, "past_boot")
            return False
        past = peer.past_incarnations | {peer.endpoint.member}
        add_peer(synchrony, Peer(endpoint, past_incarnations=past))
    elif peer.endpoint != endpoint:
        peer.endpoint, synchrony.peers_changed = endpoint, True
    return True


def add_peer(synchrony, peer):
    """Begin to know a peer, or a new incarnation of it; heartbeats are due, so that it hears of this member."""
    synchrony.peers[peer.endpoint.member.name] = peer
    synchrony.peers_changed = True
    synchrony.heartbeat_ms = NEVER_MS


def on_tick(synchrony, out):
    """Do what is due: heartbeats, announcements, proposals, and all that is sent again."""
    if synchrony.now_ms - synchrony.heartbeat_ms >= synchrony.bounds.heartbeat_ms:
        failure_detector.send_heartbeats(synchrony, out)
    if synchrony.now_ms - synchrony.last_announcement_ms >= synchrony.bounds.detect_ms:
        discovery.announce_endpoints(synchrony, out)
    membership.check_proposal(synchrony, out)
    membership.propose_if_due(synchrony, out)
    recovery.resend_due(synchrony, out)
    ordering.resend_due(synchrony, out)
    ordering.send_batch(synchrony, out, force=True)
    catch_up.request_missing(synchrony, out)
    synchrony.peers_changed, synchrony.last_tick_ms = False, synchrony.now_ms
    synchrony.membership_differs = set(synchrony.desired_members) != set(synchrony.configuration.members)


def on_message(synchrony, out, sender_name, message):
    """Handle a message, or keep it if it belongs to the configuration that is being installed."""
    recovering = synchrony.recovery
    if recovering and isinstance(message, DEFERRABLE_MESSAGES) and message.id == recovering.id:
        if len(synchrony.order.early_messages) < synchrony.bounds.held:
            synchrony.order.early_messages.append((sender_name, message))
        return
    handler = HANDLERS.get(type(message))
    if handler is not None:
        handler(synchrony, out, sender_name, message)


# Handlers by type of message; each takes (synchrony, out, sender_name, message).
HANDLERS: dict[type, Callable] = {
    Heartbeat: failure_detector.on_heartbeat,
    DiscoveryUpdate: discovery.on_discovery_update,
    ProposeRequest: membership.on_propose_request,
    ProposeRejection: membership.on_propose_rejection,
    RecoveryExchange: membership.on_recovery_exchange,
    RecoveryPlan: recovery.on_recovery_plan,
    Rebroadcast: recovery.on_rebroadcast,
    RecoveryComplete: membership.on_recovery_complete,
    InstallRequest: recovery.on_install_request,
    SubmitRequest: ordering.on_submit_request,
    EntryBatch: ordering.on_entry_batch,
    BatchAck: acknowledgements.on_batch_ack,
    SafeUpdate: ordering.on_safe_update,
    ReadyUpdate: primary_component.on_ready_update,
    EntriesRequest: catch_up.on_entries_request,
    EntriesReply: catch_up.on_entries_reply,
    SnapshotChunk: catch_up.on_snapshot_chunk,
}
