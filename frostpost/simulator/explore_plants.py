"""Safety rules of the ordering protocol that the model checker can switch off, each by substituting one function."""

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

ORIGINAL = {
    "settle": recovery.complete_if_ready,
    "become_ready": primary_component.become_ready,
    "drain": delivery.apply_pending,
    "beaten": failure_detector.on_heartbeat,
    "refill": catch_up.install_snapshot,
}


def acknowledge_unsynced(synchrony, out):
    """A replica acknowledges what it has written and not synced."""
    order = synchrony.order
    while order.received_watermark + 1 in order.pending:
        order.received_watermark += 1
        if synchrony.has_log and synchrony.primary.ready_record_number >= 0:
            delivery.append_to_log(synchrony, out, order.pending[order.received_watermark])
    order.synced_watermark = order.received_watermark
    acknowledgements.send_ack(synchrony, out, order.received_watermark)


def promise_anything(synchrony, out, sender_name, message):
    """A member forgets that it promised a higher configuration."""
    if synchrony.local_member not in message.members:
        out.sends.append((sender_name, ProposeRejection(message.id, synchrony.promised)))
        return
    membership.promise(synchrony, out, sender_name, message)


def never_bound(synchrony, id):
    """A member that confirmed a configuration takes part in another of the same epoch."""
    return False


def confirm_unsynced(synchrony, out):
    """A member confirms a recovery before its disk has synced what it was handed."""
    synced, synchrony.synced_count = synchrony.synced_count, synchrony.written_count + len(synchrony.order.pending)
    ORIGINAL["settle"](synchrony, out)
    synchrony.synced_count = synced


def one_acknowledgement(synchrony, out, sender_name, message):
    """What one member has acknowledged counts as held by all."""
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
    """A slow member's receipt counts as a sync: what all have received is safe."""
    return 1 << 40


def unbound_logs_count(synchrony):
    """A member whose log isn't bound to the primary tells its receipts as synced."""
    return synchrony.has_log


def old_voters_commit(synchrony):
    """A majority of the voters at the beginning of the primary is enough, whatever changes are under way."""
    return (synchrony.primary.voters,)


def own_changes_only(plan, best):
    """Changes of voters that other members hold aren't counted."""
    return best.pending_voters


def no_changes(plan, best):
    """Changes of voters that aren't settled aren't counted."""
    return ()


def apply_before_ready(synchrony, out):
    """A replica applies entries before its log reaches them, and so may never log them."""
    primary = synchrony.primary
    if not synchrony.has_log or primary.ready_record_number >= 0:
        ORIGINAL["drain"](synchrony, out)
        return
    while primary.open_committed and not synchrony.apply_paused and synchrony.applied + 1 in synchrony.pending_entries:
        delivery.apply_entry(synchrony, out, synchrony.pending_entries.pop(synchrony.applied + 1))


def stale_voters(synchrony, out):
    """A replica records the voters that the donor told, though it has applied later changes."""
    voters, synchrony.voters = synchrony.voters, ()
    ORIGINAL["become_ready"](synchrony, out)
    synchrony.voters = voters


def old_voters_keep(entries):
    """In a recovery, what follows a change of voters is kept by a majority of the old voters alone."""
    return ()


def confirmed_keeps(synchrony, group):
    """A member that has confirmed a recovery helps to keep entries in another one from the same configuration."""
    plan, last = synchrony.recovery.plan, synchrony.configuration.id
    return [n for n in group if plan[n].durable_state and plan[n].durable_state.primary == last]


def any_voters(ledger, entry, op):
    """Voters are replaced without a check of what they were before."""
    ledger.voters = op.after
    return VotersSet(op.after)


def always_leased(synchrony, now_ms):
    """A replica that has opened a primary once holds a lease for good."""
    return synchrony.primary.opened


def echo_for_all(synchrony, out, sender_name, message):
    """A voter's heartbeat extends a lease though it has promised another configuration."""
    ORIGINAL["beaten"](synchrony, out, sender_name, message)
    peer = synchrony.peers[sender_name]
    peer.granted_ms = max(peer.granted_ms, message.echo_ms)


def lease_from_receipt(synchrony, out, sender_name, message):
    """A lease counts from when the heartbeat came back."""
    ORIGINAL["beaten"](synchrony, out, sender_name, message)
    peer = synchrony.peers[sender_name]
    if peer.granted_ms == message.echo_ms:
        peer.granted_ms = synchrony.now_ms


def no_rebroadcast(synchrony, out):
    """Members hand nothing on in a recovery."""
    synchrony.recovery.ordinals_to_rebroadcast = {}


def no_resend(synchrony, out):
    """Nothing is sent again."""


def never_opened(synchrony, out, index, state):
    """A replica that was refilled past the opening never counts its primary as open."""
    opened = synchrony.primary.opened
    ORIGINAL["refill"](synchrony, out, index, state)
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
    "promise_anything": [(membership, "on_propose_request", promise_anything)],
    "never_bound": [(membership, "has_confirmed_in_epoch", never_bound)],
    "confirm_unsynced": [(recovery, "complete_if_ready", confirm_unsynced)],
    "own_changes_only": [(primary_component, "pending_voters", own_changes_only)],
    "no_changes": [(primary_component, "pending_voters", no_changes)],
    "apply_before_ready": [(delivery, "apply_pending", apply_before_ready)],
    "stale_voters": [(primary_component, "become_ready", stale_voters)],
    "old_voters_keep": [(recovery, "voters_in", old_voters_keep)],
    "confirmed_keeps": [(recovery, "full_voters", confirmed_keeps)],
    "any_voters": [(applying, "change_voters", any_voters)],
    "always_leased": [(leases, "holds_lease", always_leased)],
    "echo_for_all": [(failure_detector, "on_heartbeat", echo_for_all)],
    "lease_from_receipt": [(failure_detector, "on_heartbeat", lease_from_receipt)],
    "no_rebroadcast": [(recovery, "send_rebroadcasts", no_rebroadcast)],
    "no_resend": [(ordering, "resend_due", no_resend)],
}
