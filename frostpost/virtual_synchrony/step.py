"""The steps of the protocol: `step` dispatches one input to its handler and is the only entry point of the package.

Handlers take (synchrony, out, sender_name, message), modify the state in place and append to the output. Messages that
a member sends to itself are handled within the same step.
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

# Messages that may arrive before the member has installed the configuration to which they belong.
DEFERRABLE_MESSAGES = (EntryBatch, SafeUpdate, SubmitRequest, ReadyUpdate, BatchAck, EntriesRequest)


def step(synchrony, input):
    """Process one input. Returns (state, Output); the state is modified in place."""
    out = Output()
    advance_clock(synchrony, input.now_ms)
    match input:
        case TimerTick():
            on_tick(synchrony, out)
        case MessageReceived(_, endpoint, body):
            if register_peer(synchrony, endpoint):
                on_message(synchrony, out, endpoint.member.name, body)
        case OperationSubmitted(_, payload, bypasses_window):
            ordering.submit_operation(synchrony, out, payload, bypasses_window)
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
    """Advance the clock; after a pause longer than `detect_ms`, discard everything received from peers before it.

    Otherwise a process that was suspended would act on a lease or on peers that the others have given up long ago.
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
    """Handle messages of this member to itself, and early messages of a configuration just installed."""
    own_name = synchrony.name
    while True:
        own_messages = [body for name, body in out.sends if name == own_name]
        if own_messages:
            out.sends = [message for message in out.sends if message[0] != own_name]
        early_messages, synchrony.messages_to_replay = synchrony.messages_to_replay, []
        for body in own_messages:
            on_message(synchrony, out, own_name, body)
        for sender_name, body in early_messages:
            on_message(synchrony, out, sender_name, body)
        ordering.send_batch(synchrony, out)
        if not any(name == own_name for name, _ in out.sends) and not synchrony.messages_to_replay:
            out.sends = drop_superseded_updates(out.sends)
            return


def drop_superseded_updates(sends):
    """Return the sends without the SafeUpdates that a batch receiver the same receiver makes redundant."""
    batches = {(receiver, body.id): body.safe_watermark for receiver, body in sends if isinstance(body, EntryBatch)}
    if not batches:
        return sends
    return [
        (receiver, body)
        for receiver, body in sends
        if not (isinstance(body, SafeUpdate) and is_superseded(batches, receiver, body))
    ]


def is_superseded(batches, receiver, message):
    """Return whether the same receiver is sent a batch with at least the same safe watermark."""
    return batches.get((receiver, message.id), -1) >= message.safe_watermark


def register_peer(synchrony, endpoint):
    """Record the sender of a message as a peer. Returns whether the message is to be handled.

    Late messages of an earlier incarnation, and messages under this daemon's own name, are dropped.
    """
    name = endpoint.member.name
    if name == synchrony.name:
        return False
    peer = synchrony.peers.get(name)
    if peer is None:
        add_peer(synchrony, Peer(endpoint))
    elif peer.endpoint.member != endpoint.member:
        was_heard_recently = synchrony.now_ms - peer.heard_ms < 2 * synchrony.bounds.detect_ms
        if endpoint.member in peer.past_incarnations and was_heard_recently:
            increment_counter(synchrony, "past_boot")
            return False
        past_incarnations = peer.past_incarnations | {peer.endpoint.member}
        add_peer(synchrony, Peer(endpoint, past_incarnations=past_incarnations))
    elif peer.endpoint != endpoint:
        peer.endpoint, synchrony.peers_changed = endpoint, True
    return True


def add_peer(synchrony, peer):
    """Add a peer or a new incarnation of it; heartbeats become due, so that it receives one promptly."""
    synchrony.peers[peer.endpoint.member.name] = peer
    synchrony.peers_changed = True
    synchrony.heartbeat_ms = NEVER_MS


def on_tick(synchrony, out):
    """Send due heartbeats and announcements, check and make proposals, and resend unanswered messages."""
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
    """Handle a message, or defer it if it belongs to the configuration being installed."""
    recovery_state = synchrony.recovery
    if recovery_state and isinstance(message, DEFERRABLE_MESSAGES) and message.id == recovery_state.id:
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
