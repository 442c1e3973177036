"""A member's side of a recovery: entries handed on, the transitional configuration, the new configuration.

Steps 3 to 6 of the paper's recovery algorithm: members from the same configuration exchange the entries that one of
them lacks, confirm, deliver what is safe in the old configuration and the rest in the transitional one, and begin anew.
"""

from .configuration import Configuration
from .durable_log import voters_in
from .events import ConfigurationChanged, EntryDelivered
from .members import sequencer_of
from .messages import Rebroadcast, RecoveryComplete
from .ordering import advance_received_watermark, queue_for_apply
from .primary_component import decide_primary, prepare_primary
from .quorum import has_quorums, is_majority
from .state import OrderState, increment_counter


def has_entry(exchange, ordinal):
    """Whether the member that sent this exchange holds an entry."""
    return ordinal <= exchange.received_watermark or ordinal in exchange.ordinals_above_gap


def on_recovery_plan(synchrony, out, sender_name, message):
    """Work out which entries are wanted and who hands them on, then hand on this member's share."""
    recovery = synchrony.recovery
    if recovery is None or recovery.id != message.id:
        return
    if recovery.plan is None:
        last = synchrony.configuration.id
        if message.exchanges[synchrony.name].last_configuration != last:
            increment_counter(synchrony, "foreign")
            return
        recovery.plan = message.exchanges
        recovery.transitional_members = tuple(
            m for m in recovery.members if message.exchanges[m.name].last_configuration == last
        )
        said = {m.name: message.exchanges[m.name] for m in recovery.transitional_members}
        floor = min(e.received_watermark for e in said.values())
        union = set(range(floor + 1, max(e.received_watermark for e in said.values()) + 1))
        for exchange in said.values():
            union.update(exchange.ordinals_above_gap)
        recovery.required_ordinals = frozenset(union)
        recovery.ordinals_to_rebroadcast = assign_rebroadcasts(synchrony, said, union)
    if recovery.is_complete:
        send_complete(synchrony, out)
    else:
        send_rebroadcasts(synchrony, out)
        complete_if_ready(synchrony, out)


def assign_rebroadcasts(synchrony, said, union):
    """The ordinals that this member hands on, by receiver: of each entry the first holder by name does."""
    mine: dict[str, list[int]] = {}
    for ordinal in sorted(union):
        holders = sorted(n for n, e in said.items() if has_entry(e, ordinal))
        if holders and holders[0] == synchrony.name:
            for name, exchange in said.items():
                if not has_entry(exchange, ordinal):
                    mine.setdefault(name, []).append(ordinal)
    return {name: tuple(o) for name, o in mine.items()}


def send_rebroadcasts(synchrony, out):
    """Hand on the entries that others lack."""
    recovery, held = synchrony.recovery, synchrony.order.pending
    for name, ordinals in recovery.ordinals_to_rebroadcast.items():
        entries = [held[o] for o in ordinals if o in held]
        for at in range(0, len(entries), synchrony.bounds.batch):
            part = tuple(entries[at : at + synchrony.bounds.batch])
            increment_counter(synchrony, "rebroadcast", len(part))
            out.sends.append((name, Rebroadcast(recovery.id, part)))


def on_rebroadcast(synchrony, out, sender_name, message):
    """Keep entries that another member hands on."""
    recovery = synchrony.recovery
    if recovery is None or recovery.id != message.id:
        return
    for entry in message.entries:
        if entry.configuration == synchrony.configuration.id and entry.ordinal > synchrony.order.delivered_watermark:
            synchrony.order.pending[entry.ordinal] = entry
    complete_if_ready(synchrony, out)


def complete_if_ready(synchrony, out):
    """Confirm the recovery once all wanted entries are here and synced.

    The obligations are taken over first: a member that has confirmed must deliver what the others may have delivered.
    """
    recovery, order = synchrony.recovery, synchrony.order
    if recovery is None or recovery.plan is None or recovery.is_complete:
        return
    if any(o > order.received_watermark and o not in order.pending for o in recovery.required_ordinals):
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
    """Tell the proposer that this member has completed the recovery."""
    out.sends.append((synchrony.recovery.proposer, RecoveryComplete(synchrony.recovery.id)))


def on_install_request(synchrony, out, sender_name, message):
    """Install the configuration if this member has completed its recovery."""
    recovery = synchrony.recovery
    if recovery and recovery.id == message.id and recovery.is_complete:
        deliver_and_install(synchrony, out)


def deliver_and_install(synchrony, out):
    """Deliver the rest of the old configuration, then begin the new one.

    Entries that some member knows to be safe are delivered in the old configuration. Of the others, after the
    transitional configuration, those count in the primary that a majority of its voters is certain to keep; entries
    behind a gap are delivered only from members that this one is obliged to.
    """
    recovery, order = synchrony.recovery, synchrony.order
    group = [m.name for m in recovery.transitional_members]
    safe = max(recovery.plan[n].safe_watermark for n in group)
    acting, changes = synchrony.primary.eligible, []
    while order.delivered_watermark < safe and order.delivered_watermark + 1 in order.pending:
        order.delivered_watermark += 1
        entry = order.pending[order.delivered_watermark]
        out.notifications.append(EntryDelivered(entry, False, acting))
        changes += voters_in([entry])
        if acting:
            queue_for_apply(synchrony, out, entry)
    out.notifications.append(
        ConfigurationChanged(
            Configuration(synchrony.configuration.id, recovery.transitional_members, sequencer_of(synchrony)), True
        )
    )
    full = full_voters(synchrony, group)
    keeping = acting and has_quorums(synchrony.primary, full) and all(is_majority(v, full) for v in changes)
    gap = False
    for ordinal in sorted(o for o in order.pending if o > order.delivered_watermark):
        if ordinal != order.delivered_watermark + 1:
            gap = True
        if gap and not is_obligated(synchrony, order.pending[ordinal]):
            increment_counter(synchrony, "discarded")
            continue
        order.delivered_watermark = ordinal
        entry = order.pending[ordinal]
        out.notifications.append(EntryDelivered(entry, True, keeping and not gap))
        if keeping and not gap:
            queue_for_apply(synchrony, out, entry)
            keeping = all(is_majority(voters, full) for voters in voters_in([entry]))
    install_configuration(synchrony, out)


def is_obligated(synchrony, entry):
    """Whether an entry's sequencer is among the members whose entries must be delivered."""
    first = sequencer_of(synchrony)
    return any(m.name == first for m in synchrony.obligations)


def full_voters(synchrony, group):
    """Members whose logs hold what this configuration ordered, and that have confirmed no other recovery from it.

    One that has may already count for a primary that begins without the entries that would be kept here.
    """
    plan, last = synchrony.recovery.plan, synchrony.configuration.id
    full = [n for n in group if plan[n].durable_state and plan[n].durable_state.primary == last]
    return [n for n in full if not plan[n].obligations]


def install_configuration(synchrony, out):
    """Begin the promised configuration with an empty order, and decide whether it is a primary."""
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
    """Send again what the recovery waits for."""
    recovery = synchrony.recovery
    if recovery is None or synchrony.now_ms - recovery.sent_ms < synchrony.bounds.resend_ms:
        return
    recovery.sent_ms = synchrony.now_ms
    if recovery.is_complete:
        send_complete(synchrony, out)
    elif recovery.plan is not None:
        send_rebroadcasts(synchrony, out)
