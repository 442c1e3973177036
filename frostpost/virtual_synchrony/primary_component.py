"""The primary component: its eligibility, the index after which it continues the order, and its opening."""

from msgspec import msgpack

from . import delivery
from .acknowledgements import add_pending_ack
from .configuration import Entry
from .durable_log import NO_CONFIGURATION, pending_voters
from .events import ConfigurationRecord, OpenPrimary
from .members import member_names, role_of, sequencer_of
from .messages import ReadyUpdate
from .quorum import has_quorums
from .state import PrimaryState, write_record

encode = msgpack.Encoder().encode


def recovered_watermark(plan, configuration_id):
    """Return the ordinal up to which the members from this configuration jointly hold all entries."""
    exchanges = [exchange for exchange in plan.values() if exchange.last_configuration == configuration_id]
    watermark, ordinals_above_gap = (
        max(exchange.received_watermark for exchange in exchanges),
        {ordinal for exchange in exchanges for ordinal in exchange.ordinals_above_gap},
    )
    while watermark + 1 in ordinals_above_gap:
        watermark += 1
    return watermark


def recovered_length(plan, name):
    """Return the length of a member's log after the recovery."""
    exchange = plan[name]
    if exchange.durable_state.primary != exchange.last_configuration:
        return exchange.durable_state.length
    return (
        exchange.durable_state.length
        - exchange.received_watermark
        + recovered_watermark(plan, exchange.last_configuration)
    )


def decide_primary(plan):
    """Return the primary state of a new configuration, computed from all exchanges of its recovery.

    Every member computes the same result on installation. The donor is the member with the longest log of the newest
    primary. The configuration is eligible if members with a log form a majority of that log's voters and of every set
    requested by an uncommitted entry, or if that log has at most one entry and all its voters are present. If no member
    has a log, all bootstrap voters must be present.
    """
    durable_states = {name: exchange.durable_state for name, exchange in plan.items() if exchange.durable_state}
    if not durable_states:
        voters = max((exchange.voters for exchange in plan.values()), key=len, default=())
        is_eligible = bool(voters) and all(voter in plan for voter in voters)
        return PrimaryState(eligible=is_eligible, donor=min(voters, default=""), voters=voters)
    log_lengths = {name: recovered_length(plan, name) for name in durable_states}
    donor = max(durable_states, key=lambda name: (durable_states[name].primary, log_lengths[name], name))
    donor_state, base = durable_states[donor], log_lengths[donor]
    is_newly_bootstrapped = base <= 1 and all(voter in plan for voter in donor_state.voters)
    primary = PrimaryState(
        donor=donor, base=base, voters=donor_state.voters, pending_voters=pending_voters(plan, donor_state)
    )
    if has_quorums(primary, durable_states) or is_newly_bootstrapped:
        primary.eligible = True
        return primary
    return PrimaryState(voters=donor_state.voters)


def prepare_primary(synchrony, out, plan):
    """Determine whether this member's log continues into the primary; become ready if it is complete."""
    primary, log = synchrony.primary, synchrony.log
    if not primary.eligible or not synchrony.has_log:
        return
    donor_state, own_state = plan[primary.donor].durable_state, plan[synchrony.name].durable_state
    primary.log_matches = bool(donor_state and own_state and donor_state.primary == own_state.primary)
    is_initial_voter = donor_state is None and log.primary == NO_CONFIGURATION and synchrony.name in primary.voters
    if is_initial_voter or (primary.log_matches and log.length >= primary.base):
        become_ready(synchrony, out)


def become_ready(synchrony, out):
    """Bind the log to the primary and resume applying.

    Entries beyond the primary's base are truncated, and those received in this configuration are appended.
    """
    primary, log = synchrony.primary, synchrony.log
    voters = synchrony.voters or primary.voters
    log.primary, log.base, log.voters = synchrony.configuration.id, primary.base, voters
    log.truncate(primary.base)
    primary.ready_record_number = write_record(synchrony, out, ConfigurationRecord(log.primary, log.base, log.voters))
    received = {**synchrony.pending_entries}
    received.update(
        {
            entry.index: entry
            for entry in synchrony.order.pending.values()
            if entry.ordinal <= synchrony.order.received_watermark
        }
    )
    while log.length + 1 in received:
        delivery.append_to_log(synchrony, out, received[log.length + 1])
    if synchrony.order.received_watermark:
        add_pending_ack(synchrony)
    delivery.apply_pending(synchrony, out)


def send_ready(synchrony, out):
    """Report to the sequencer that this member's log is complete."""
    out.sends.append((sequencer_of(synchrony), ReadyUpdate(synchrony.configuration.id)))


def on_ready_update(synchrony, out, sender_name, message):
    """At the sequencer, order OpenPrimary once a majority of the voters is ready."""
    primary, order = synchrony.primary, synchrony.order
    if message.id != synchrony.configuration.id or not primary.eligible or synchrony.recovery:
        return
    if sequencer_of(synchrony) != synchrony.name:
        return
    primary.ready_members.add(sender_name)
    if not primary.open_ordered and has_quorums(primary, primary.ready_members):
        primary.open_ordered = True
        cores = tuple(name for name in member_names(synchrony.configuration) if role_of(synchrony, name) == "core")
        payload = encode(OpenPrimary(synchrony.configuration.members, cores, primary.voters))
        order.unsent_entries.append(
            Entry(synchrony.configuration.id, 1, primary.base + 1, synchrony.local_member, 0, payload)
        )
        order.next_ordinal = 2
