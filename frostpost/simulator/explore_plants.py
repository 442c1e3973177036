"""Safety rules of the ordering protocol that the model checker can switch off, each by replacing a function."""

from frostpost.ledger import apply as applying
from frostpost.ledger.results import VotersSet
from frostpost.virtual_synchrony import (
    acknowledgements,
    catch_up,
    delivery,
    failure_detector,
    leases,
    membership,
    ordering,
    primary_component,
    recovery,
)
from frostpost.virtual_synchrony.members import member_names
from frostpost.virtual_synchrony.messages import ProposeRejection, SafeUpdate

from .plants import any_voter, deliver_unsafe, length_before_recovery

ORIGINALS = {
    "complete_if_ready": recovery.complete_if_ready,
    "become_ready": primary_component.become_ready,
    "apply_pending": delivery.apply_pending,
    "on_heartbeat": failure_detector.on_heartbeat,
    "install_snapshot": catch_up.install_snapshot,
}


def acknowledge_unsynced(synchrony, out):
    """Acknowledge entries that are written and not yet synced."""
    order = synchrony.order
    while order.received_watermark + 1 in order.pending:
        order.received_watermark += 1
        if synchrony.has_log and synchrony.primary.ready_record_number >= 0:
            delivery.append_to_log(synchrony, out, order.pending[order.received_watermark])
    order.synced_watermark = order.received_watermark
    acknowledgements.send_ack(synchrony, out, order.received_watermark)


def promise_any_configuration(synchrony, out, sender_name, message):
    """Promise a configuration even if a higher one was promised before."""
    if synchrony.local_member not in message.members:
        out.sends.append((sender_name, ProposeRejection(message.id, synchrony.promised)))
        return
    membership.promise(synchrony, out, sender_name, message)


def never_bound(synchrony, configuration_id):
    """Let a member that confirmed a configuration join another one of the same epoch."""
    return False


def confirm_unsynced(synchrony, out):
    """Confirm a recovery before the entries received in it are synced."""
    synced_count, synchrony.synced_count = (
        synchrony.synced_count,
        synchrony.written_count + len(synchrony.order.pending),
    )
    ORIGINALS["complete_if_ready"](synchrony, out)
    synchrony.synced_count = synced_count


def one_acknowledgement(synchrony, out, sender_name, message):
    """Treat entries that one member has acknowledged as acknowledged by all."""
    order = synchrony.order
    if (
        message.id == synchrony.configuration.id
        and not synchrony.recovery
        and message.acknowledged_watermark > order.acks.get(sender_name, 0)
    ):
        order.acks[sender_name] = message.acknowledged_watermark
        for name in member_names(synchrony.configuration):
            out.sends.append((name, SafeUpdate(synchrony.configuration.id, message.acknowledged_watermark)))


def receipts_are_enough(voters, watermarks):
    """Treat receipts as syncs, so that entries received by all members are safe."""
    return 1 << 40


def unbound_logs_count(synchrony):
    """Let a member whose log is not bound to the primary report received entries as synced."""
    return synchrony.has_log


def old_voters_commit(synchrony):
    """Commit with a majority of the primary's first voters, ignoring pending changes of voters."""
    return (synchrony.primary.voters,)


def own_changes_only(plan, donor_state):
    """Ignore pending changes of voters that only other members report."""
    return donor_state.pending_voters


def no_changes(plan, donor_state):
    """Ignore all pending changes of voters."""
    return ()


def apply_before_ready(synchrony, out):
    """Apply entries before the log reaches them, so that they may never be logged."""
    primary = synchrony.primary
    if not synchrony.has_log or primary.ready_record_number >= 0:
        ORIGINALS["apply_pending"](synchrony, out)
        return
    while primary.open_committed and not synchrony.apply_paused and synchrony.applied + 1 in synchrony.pending_entries:
        delivery.apply_entry(synchrony, out, synchrony.pending_entries.pop(synchrony.applied + 1))


def stale_voters(synchrony, out):
    """Record the voters reported by the donor, although later changes have been applied."""
    voters, synchrony.voters = synchrony.voters, ()
    ORIGINALS["become_ready"](synchrony, out)
    synchrony.voters = voters


def no_pending_voter_sets(entries):
    """In a recovery, count only the old voters for entries after a change of voters."""
    return ()


def confirmed_keeps(synchrony, names):
    """Count members that have confirmed a recovery in another recovery from the same configuration."""
    plan, previous_id = synchrony.recovery.plan, synchrony.configuration.id
    return [n for n in names if plan[n].durable_state and plan[n].durable_state.primary == previous_id]


def any_voters(ledger, entry, op):
    """Replace the voters without comparing the previous ones."""
    ledger.voters = op.after
    return VotersSet(op.after)


def always_leased(synchrony, now_ms):
    """Hold a lease as long as the primary is open, without expiry."""
    return synchrony.primary.opened


def echo_for_all(synchrony, out, sender_name, message):
    """Extend a lease on a voter's heartbeat although it has promised another configuration."""
    ORIGINALS["on_heartbeat"](synchrony, out, sender_name, message)
    peer = synchrony.peers[sender_name]
    peer.granted_ms = max(peer.granted_ms, message.echo_ms)


def lease_from_receipt(synchrony, out, sender_name, message):
    """Start a lease when the echoed heartbeat arrives, not when it was sent."""
    ORIGINALS["on_heartbeat"](synchrony, out, sender_name, message)
    peer = synchrony.peers[sender_name]
    if peer.granted_ms == message.echo_ms:
        peer.granted_ms = synchrony.now_ms


def no_rebroadcast(synchrony, out):
    """Rebroadcast no entries in a recovery."""
    synchrony.recovery.ordinals_to_rebroadcast = {}


def no_resend(synchrony, out):
    """Resend nothing."""


def never_opened(synchrony, out, index, state):
    """Do not open the primary when a snapshot past its first entry is installed."""
    opened = synchrony.primary.opened
    ORIGINALS["install_snapshot"](synchrony, out, index, state)
    synchrony.primary.opened = opened


PLANTS = {
    "acknowledge_unsynced": [
        (ordering, "advance_received_watermark", acknowledge_unsynced),
        (recovery, "advance_received_watermark", acknowledge_unsynced),
    ],
    "minority_primary": [(primary_component, "has_quorums", any_voter), (recovery, "has_quorums", any_voter)],
    "base_before_rebroadcast": [(primary_component, "recovered_length", length_before_recovery)],
    "deliver_unsafe": [(ordering, "deliver_safe_entries", deliver_unsafe)],
    "one_acknowledgement": [(acknowledgements, "on_batch_ack", one_acknowledgement)],
    "receipts_are_enough": [(acknowledgements, "majority_watermark", receipts_are_enough)],
    "unbound_logs_count": [(acknowledgements, "keeps_log", unbound_logs_count)],
    "old_voters_commit": [(acknowledgements, "voter_sets", old_voters_commit)],
    "promise_anything": [(membership, "on_propose_request", promise_any_configuration)],
    "never_bound": [(membership, "has_confirmed_in_epoch", never_bound)],
    "confirm_unsynced": [(recovery, "complete_if_ready", confirm_unsynced)],
    "own_changes_only": [(primary_component, "pending_voters", own_changes_only)],
    "no_changes": [(primary_component, "pending_voters", no_changes)],
    "apply_before_ready": [(delivery, "apply_pending", apply_before_ready)],
    "stale_voters": [(primary_component, "become_ready", stale_voters)],
    "old_voters_keep": [(recovery, "voters_in", no_pending_voter_sets)],
    "confirmed_keeps": [(recovery, "full_voters", confirmed_keeps)],
    "any_voters": [(applying, "change_voters", any_voters)],
    "always_leased": [(leases, "holds_lease", always_leased)],
    "echo_for_all": [(failure_detector, "on_heartbeat", echo_for_all)],
    "lease_from_receipt": [(failure_detector, "on_heartbeat", lease_from_receipt)],
    "no_rebroadcast": [(recovery, "send_rebroadcasts", no_rebroadcast)],
    "no_resend": [(ordering, "resend_due", no_resend)],
}
