"""A member's side of a recovery: retransmission, the transitional configuration, and the new configuration.

Implements steps 3 to 6 of the recovery algorithm of extended virtual synchrony. Members that come from the same
configuration exchange entries that some of them lack, confirm, deliver safe entries in the old configuration and the
rest in the transitional one, and then install the new configuration.
"""

from .batching import batches
from .configuration import Configuration
from .durable_log import voters_in
from .events import ConfigurationChanged, EntryDelivered
from .members import sequencer_of
from .messages import Rebroadcast, RecoveryComplete
from .order_state import OrderState
from .ordering import advance_received_watermark, queue_for_apply
from .primary_component import decide_primary, prepare_primary
from .quorum import has_quorums, is_majority
from .state import increment_counter


def has_entry(exchange, ordinal):
    """Return whether the member that sent this exchange holds the entry with this ordinal."""
    return ordinal <= exchange.received_watermark or ordinal in exchange.ordinals_above_gap


def on_recovery_plan(synchrony, out, sender_name, message):
    """Determine the required entries and their senders, then rebroadcast this member's share."""
    recovery = synchrony.recovery
    if recovery is None or recovery.id != message.id:
        return
    if recovery.plan is None:
        current_id = synchrony.configuration.id
        if message.exchanges[synchrony.name].last_configuration != current_id:
            increment_counter(synchrony, "foreign")
            return
        recovery.plan = message.exchanges
        recovery.transitional_members = tuple(
            member for member in recovery.members if message.exchanges[member.name].last_configuration == current_id
        )
        exchanges = {member.name: message.exchanges[member.name] for member in recovery.transitional_members}
        low_watermark = min(exchange.received_watermark for exchange in exchanges.values())
        ordinals = set(
            range(low_watermark + 1, max(exchange.received_watermark for exchange in exchanges.values()) + 1)
        )
        for exchange in exchanges.values():
            ordinals.update(exchange.ordinals_above_gap)
        recovery.required_ordinals = frozenset(ordinals)
        recovery.ordinals_to_rebroadcast = assign_rebroadcasts(synchrony, exchanges, ordinals)
    if recovery.is_complete:
        send_complete(synchrony, out)
    else:
        send_rebroadcasts(synchrony, out)
        complete_if_ready(synchrony, out)


def assign_rebroadcasts(synchrony, exchanges, required):
    """Return the ordinals that this member must rebroadcast, by receiver.

    Each entry is assigned to the first of its holders in the order of their names.
    """
    assigned: dict[str, list[int]] = {}
    for ordinal in sorted(required):
        holders = sorted(name for name, exchange in exchanges.items() if has_entry(exchange, ordinal))
        if holders and holders[0] == synchrony.name:
            for name, exchange in exchanges.items():
                if not has_entry(exchange, ordinal):
                    assigned.setdefault(name, []).append(ordinal)
    return {name: tuple(receiver_ordinals) for name, receiver_ordinals in assigned.items()}


def send_rebroadcasts(synchrony, out):
    """Send the entries assigned to this member to the members that lack them.

    Each round begins with another batch, so that a full link doesn't drop the same ones every time.
    """
    recovery, pending = synchrony.recovery, synchrony.order.pending
    for name, ordinals in recovery.ordinals_to_rebroadcast.items():
        entries = [pending[ordinal] for ordinal in ordinals if ordinal in pending]
        messages = list(batches(entries, synchrony.bounds))
        first = recovery.rebroadcast_rounds % len(messages) if messages else 0
        for batch in (*messages[first:], *messages[:first]):
            increment_counter(synchrony, "rebroadcast", len(batch))
            out.sends.append((name, Rebroadcast(recovery.id, batch)))
    recovery.rebroadcast_rounds += 1


def on_rebroadcast(synchrony, out, sender_name, message):
    """Store entries rebroadcast by another member."""
    recovery = synchrony.recovery
    if recovery is None or recovery.id != message.id:
        return
    for entry in message.entries:
        if entry.configuration == synchrony.configuration.id and entry.ordinal > synchrony.order.delivered_watermark:
            synchrony.order.pending[entry.ordinal] = entry
    complete_if_ready(synchrony, out)


def complete_if_ready(synchrony, out):
    """Confirm the recovery once all required entries are received and synced.

    The obligations are adopted before confirming: a member that has confirmed must deliver all entries that the others
    may have delivered.
    """
    recovery, order = synchrony.recovery, synchrony.order
    if recovery is None or recovery.plan is None or recovery.is_complete:
        return
    if any(
        ordinal > order.received_watermark and ordinal not in order.pending for ordinal in recovery.required_ordinals
    ):
        return
    advance_received_watermark(synchrony, out)
    if recovery.sync_target < 0:
        recovery.sync_target = synchrony.written_count
    if synchrony.has_log and synchrony.synced_count < recovery.sync_target:
        return
    obligations = set(synchrony.obligations) | set(recovery.transitional_members)
    for member in recovery.transitional_members:
        obligations.update(recovery.plan[member.name].obligations)
    synchrony.obligations = frozenset(obligations)
    recovery.is_complete = True
    send_complete(synchrony, out)


def send_complete(synchrony, out):
    """Report to the proposer that this member has completed the recovery."""
    out.sends.append((synchrony.recovery.proposer, RecoveryComplete(synchrony.recovery.id)))


def on_install_request(synchrony, out, sender_name, message):
    """Install the configuration if this member has completed its recovery."""
    recovery = synchrony.recovery
    if recovery and recovery.id == message.id and recovery.is_complete:
        deliver_and_install(synchrony, out)


def deliver_and_install(synchrony, out):
    """Deliver the remaining entries of the old configuration, then install the new one.

    Entries that some member reported as safe are delivered in the old configuration. The others follow after the
    transitional configuration. They take effect in the primary as long as a majority of its voters is certain to retain
    them; entries after a gap are delivered only if their sequencer is in the obligation set.
    """
    recovery, order = synchrony.recovery, synchrony.order
    transitional_names = [member.name for member in recovery.transitional_members]
    safe_watermark = max(recovery.plan[name].safe_watermark for name in transitional_names)
    was_eligible, voter_changes = synchrony.primary.eligible, []
    while order.delivered_watermark < safe_watermark and order.delivered_watermark + 1 in order.pending:
        order.delivered_watermark += 1
        entry = order.pending[order.delivered_watermark]
        out.notifications.append(EntryDelivered(entry, False, was_eligible))
        voter_changes += voters_in([entry])
        if was_eligible:
            queue_for_apply(synchrony, out, entry)
    out.notifications.append(
        ConfigurationChanged(
            Configuration(synchrony.configuration.id, recovery.transitional_members, sequencer_of(synchrony)), True
        )
    )
    complete_voters = full_voters(synchrony, transitional_names)
    takes_effect = (
        was_eligible
        and has_quorums(synchrony.primary, complete_voters)
        and all(is_majority(voters, complete_voters) for voters in voter_changes)
    )
    after_gap = False
    for ordinal in sorted(
        pending_ordinal for pending_ordinal in order.pending if pending_ordinal > order.delivered_watermark
    ):
        if ordinal != order.delivered_watermark + 1:
            after_gap = True
        if after_gap and not is_obligated(synchrony, order.pending[ordinal]):
            increment_counter(synchrony, "discarded")
            continue
        order.delivered_watermark = ordinal
        entry = order.pending[ordinal]
        out.notifications.append(EntryDelivered(entry, True, takes_effect and not after_gap))
        if takes_effect and not after_gap:
            queue_for_apply(synchrony, out, entry)
            takes_effect = all(is_majority(voters, complete_voters) for voters in voters_in([entry]))
    install_configuration(synchrony, out)


def is_obligated(synchrony, entry):
    """Return whether the entry's sequencer is in the obligation set, so that the entry must be delivered."""
    sequencer = sequencer_of(synchrony)
    return any(member.name == sequencer for member in synchrony.obligations)


def full_voters(synchrony, names):
    """Return the members whose logs hold this configuration's entries and that confirmed no other recovery from it.

    A member that confirmed another recovery may already count for a primary that starts without these entries.
    """
    plan, current_id = synchrony.recovery.plan, synchrony.configuration.id
    complete = [name for name in names if plan[name].durable_state and plan[name].durable_state.primary == current_id]
    return [name for name in complete if not plan[name].obligations]


def install_configuration(synchrony, out):
    """Install the promised configuration with an empty order, and decide whether it is a primary."""
    recovery = synchrony.recovery
    synchrony.configuration = Configuration(recovery.id, recovery.members, recovery.sequencer)
    synchrony.installed_ms, synchrony.peers_changed = synchrony.now_ms, True
    synchrony.log.epoch = max(synchrony.log.epoch, recovery.id.epoch)
    synchrony.recovery = None
    synchrony.obligations = frozenset()
    synchrony.messages_to_replay, synchrony.order = synchrony.order.early_messages, OrderState()
    synchrony.pending_acks = []
    increment_counter(synchrony, "installs")
    synchrony.pending_entries = {}
    synchrony.primary = decide_primary(recovery.plan)
    out.notifications.append(ConfigurationChanged(synchrony.configuration, False))
    prepare_primary(synchrony, out, recovery.plan)


def resend_due(synchrony, out):
    """Resend the messages that the recovery is waiting for."""
    recovery = synchrony.recovery
    if recovery is None or synchrony.now_ms - recovery.sent_ms < synchrony.bounds.resend_ms:
        return
    recovery.sent_ms = synchrony.now_ms
    if recovery.is_complete:
        send_complete(synchrony, out)
    elif recovery.plan is not None:
        send_rebroadcasts(synchrony, out)
