"""Which members form the primary component, from which entry on it continues the order, and when it opens."""

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


def recovered_watermark(plan, last):
    """The ordinal up to which the members of a configuration hold all entries together."""
    said = [e for e in plan.values() if e.last_configuration == last]
    top, extras = max(e.received_watermark for e in said), {o for e in said for o in e.ordinals_above_gap}
    while top + 1 in extras:
        top += 1
    return top


def recovered_length(plan, name):
    """The length that a member's log has after the recovery."""
    said = plan[name]
    if said.durable_state.primary != said.last_configuration:
        return said.durable_state.length
    return said.durable_state.length - said.received_watermark + recovered_watermark(plan, said.last_configuration)


def decide_primary(plan):
    """Decide from all exchanges whether the new configuration is a primary, and from which index it goes on.

    Called alike at every member when a configuration is installed. The longest log of the newest primary is the
    donor's. The configuration is eligible if a majority of that log's voters, and of every set that an uncommitted
    entry asks for, told of a log; without any log, if all founding voters are here.
    """
    memories = {n: e.durable_state for n, e in plan.items() if e.durable_state}
    if not memories:
        voters = max((e.voters for e in plan.values()), key=len, default=())
        able = bool(voters) and all(v in plan for v in voters)
        return PrimaryState(eligible=able, donor=min(voters, default=""), voters=voters)
    lengths = {n: recovered_length(plan, n) for n in memories}
    donor = max(memories, key=lambda n: (memories[n].primary, lengths[n], n))
    best, base = memories[donor], lengths[donor]
    untouched = base <= 1 and all(v in plan for v in best.voters)
    found = PrimaryState(donor=donor, base=base, voters=best.voters, pending_voters=pending_voters(plan, best))
    if has_quorums(found, memories) or untouched:
        found.eligible = True
        return found
    return PrimaryState(voters=best.voters)


def prepare_primary(synchrony, out, plan):
    """Find out whether this member's log continues into the primary, and become ready if it is complete."""
    primary, log = synchrony.primary, synchrony.log
    if not primary.eligible or not synchrony.has_log:
        return
    best, mine = plan[primary.donor].durable_state, plan[synchrony.name].durable_state
    primary.log_matches = bool(best and mine and best.primary == mine.primary)
    fresh = best is None and log.primary == NO_CONFIGURATION and synchrony.name in primary.voters
    if fresh or (primary.log_matches and log.length >= primary.base):
        become_ready(synchrony, out)


def become_ready(synchrony, out):
    """Bind the log to the primary: cut what isn't part of it, add what has come meanwhile, and go on applying."""
    primary, log = synchrony.primary, synchrony.log
    voters = synchrony.voters or primary.voters
    log.primary, log.base, log.voters = synchrony.configuration.id, primary.base, voters
    del log.entries[max(0, primary.base - log.snapshot_index) :]
    primary.ready_record_number = write_record(synchrony, out, ConfigurationRecord(log.primary, log.base, log.voters))
    later = {**synchrony.pending_entries}
    later.update(
        {e.index: e for e in synchrony.order.pending.values() if e.ordinal <= synchrony.order.received_watermark}
    )
    while log.length + 1 in later:
        delivery.append_to_log(synchrony, out, later[log.length + 1])
    if synchrony.order.received_watermark:
        add_pending_ack(synchrony)
    delivery.apply_pending(synchrony, out)


def send_ready(synchrony, out):
    """Tell the sequencer that this member's log is complete."""
    out.sends.append((sequencer_of(synchrony), ReadyUpdate(synchrony.configuration.id)))


def on_ready_update(synchrony, out, sender_name, message):
    """At the sequencer: order OpenPrimary once a majority of the voters is ready."""
    primary, order = synchrony.primary, synchrony.order
    if message.id != synchrony.configuration.id or not primary.eligible or synchrony.recovery:
        return
    if sequencer_of(synchrony) != synchrony.name:
        return
    primary.ready_members.add(sender_name)
    if not primary.open_ordered and has_quorums(primary, primary.ready_members):
        primary.open_ordered = True
        cores = tuple(n for n in member_names(synchrony.configuration) if role_of(synchrony, n) == "core")
        payload = encode(OpenPrimary(synchrony.configuration.members, cores, primary.voters))
        order.unsent_entries.append(
            Entry(synchrony.configuration.id, 1, primary.base + 1, synchrony.local_member, 0, payload)
        )
        order.next_ordinal = 2
