"""Agreement on the next configuration: proposals, promises, and the proposer's side of a recovery.

A proposer requests a promise for a configuration with a higher epoch from all desired members, collects their state
(RecoveryExchange) and sends it to all of them (RecoveryPlan). Once all have completed the recovery, it requests the
installation. Members that do not answer in time are left out of the next proposal.
"""

from .configuration import ConfigurationId
from .durable_log import durable_state_of, voters_in
from .endpoints import Member
from .events import PromiseRecord
from .failure_detector import desired_members, is_serving
from .members import elect_sequencer
from .messages import InstallRequest, ProposeRejection, ProposeRequest, RecoveryExchange, RecoveryPlan
from .state import NEVER_MS, Proposal, Recovery, increment_counter, write_record


def proposal_delay_ms(synchrony, desired):
    """Return how long the desired members must remain unchanged before this member proposes them.

    The delay grows with the member's rank in the order of members, so that usually only one member proposes.
    """
    rank = desired.index(synchrony.local_member)
    new_members = set(desired) - set(synchrony.configuration.members)
    if are_all_known_members_present(synchrony, desired):
        return rank * synchrony.bounds.proposal_ms
    base_delay_ms = synchrony.bounds.join_ms if new_members else synchrony.bounds.heartbeat_ms // 2
    return base_delay_ms + rank * synchrony.bounds.proposal_ms


def is_sole_voter_outside_primary(synchrony):
    """Return whether this member is the only voter and its initial configuration is not a primary.

    Such a member must propose a configuration of its own, although the desired members are installed already.
    """
    voters = synchrony.voters or synchrony.log.voters or synchrony.bootstrap_voters
    return synchrony.has_log and not synchrony.primary.eligible and tuple(voters) == (synchrony.name,)


def are_all_known_members_present(synchrony, desired):
    """Return whether, after a start, all voters in the log and all known peers are among the desired members.

    There is then no other member to wait for.
    """
    voters = synchrony.voters or synchrony.log.voters
    present = {member.name for member in desired}
    return (
        synchrony.configuration.members == (synchrony.local_member,)
        and bool(voters)
        and present.issuperset((*voters, *synchrony.peers))
    )


def propose_if_due(synchrony, out):
    """Propose the desired members if they differ from the installed ones or a recovery is overdue."""
    desired = desired_members(synchrony)
    if desired != synchrony.desired_members:
        synchrony.desired_members, synchrony.desired_since_ms = desired, synchrony.now_ms
        # Send heartbeats at once, so that the peers learn of the change before they receive a proposal.
        synchrony.heartbeat_ms = NEVER_MS
    is_idle = synchrony.recovery is None and synchrony.proposal is None
    if (
        is_idle
        and set(desired) == set(synchrony.configuration.members)
        and not is_sole_voter_outside_primary(synchrony)
    ):
        synchrony.desired_since_ms = synchrony.now_ms
        return
    since_ms = synchrony.desired_since_ms
    if synchrony.recovery:
        since_ms = max(since_ms, synchrony.recovery.started_ms + synchrony.bounds.proposal_ms)
    if synchrony.proposal is None and synchrony.now_ms - since_ms >= proposal_delay_ms(synchrony, desired):
        propose(synchrony, out, desired)


def highest_known_epoch(synchrony):
    """Return the highest epoch in this member's promise and log and in the peers' promises."""
    peer_epochs = [peer.promised.epoch for peer in synchrony.peers.values()]
    return max([synchrony.promised.epoch, synchrony.log.epoch, *peer_epochs])


def propose(synchrony, out, members):
    """Propose a configuration of these members, with an epoch above all known ones."""
    increment_counter(synchrony, "proposals")
    id = ConfigurationId(highest_known_epoch(synchrony) + 1, synchrony.name, synchrony.local_member.incarnation)
    proposal = Proposal(id, tuple(members), elect_sequencer(synchrony, members), synchrony.now_ms, synchrony.now_ms)
    synchrony.proposal = proposal
    for member in members:
        out.sends.append((member.name, ProposeRequest(id, proposal.members, proposal.sequencer)))


def on_propose_request(synchrony, out, sender_name, message):
    """Promise the proposed configuration, or reject it.

    Rejected are epochs at or below the promised one, a second configuration of an epoch for which this member has
    confirmed one, and proposals by outsiders that would split a serving primary.
    """
    current_id = synchrony.recovery.id if synchrony.recovery else None
    if message.id == current_id:
        return send_exchange(synchrony, out)
    is_invalid = message.id <= synchrony.promised or synchrony.local_member not in message.members
    if is_invalid or has_confirmed_in_epoch(synchrony, message.id) or would_split_serving_primary(synchrony, message):
        out.sends.append((sender_name, ProposeRejection(message.id, synchrony.promised)))
        return
    if synchrony.proposal and synchrony.proposal.id < message.id:
        synchrony.proposal = None
    promise(synchrony, out, sender_name, message)


def would_split_serving_primary(synchrony, message):
    """Return whether an outsider's proposal omits a member of the serving primary that is still desired.

    Proposals by members are not rejected on these grounds: their proposer has left the primary, which must be replaced.
    """
    members = synchrony.configuration.members
    if not is_serving(synchrony) or Member(message.id.proposer, message.id.incarnation) in members:
        return False
    desired = desired_members(synchrony)
    return any(member in desired and member not in message.members for member in members)


def has_confirmed_in_epoch(synchrony, id):
    """Return whether this member has confirmed another configuration of the same epoch, which may open a primary.

    An open primary was confirmed by a majority of the voters, so no second one can open in its epoch.
    """
    if id.epoch != synchrony.promised.epoch:
        return False
    return synchrony.recovery is None or synchrony.recovery.is_complete


def promise(synchrony, out, sender_name, message):
    """Promise the proposed configuration; the promise is synced before the recovery is confirmed."""
    synchrony.promised = message.id
    synchrony.recovery = Recovery(
        message.id, sender_name, message.members, message.sequencer, synchrony.now_ms, synchrony.now_ms
    )
    synchrony.order.early_messages = []
    write_record(synchrony, out, PromiseRecord(synchrony.local_member.incarnation, message.id.epoch))
    send_exchange(synchrony, out)


def send_exchange(synchrony, out):
    """Send this member's state to the proposer."""
    order, id = synchrony.order, synchrony.recovery.id
    above_gap = tuple(sorted(ordinal for ordinal in order.pending if ordinal > order.received_watermark))
    exchange = RecoveryExchange(
        id,
        synchrony.configuration.id,
        order.received_watermark,
        above_gap,
        order.safe_watermark,
        tuple(sorted(synchrony.obligations)),
        durable_state_of(synchrony.log) if synchrony.has_log else None,
        synchrony.applied,
        synchrony.voters or synchrony.bootstrap_voters,
        voters_in(order.pending.values()),
    )
    out.sends.append((synchrony.recovery.proposer, exchange))


def on_recovery_exchange(synchrony, out, sender_name, message):
    """At the proposer, record a member's state and send the plan once all members have replied."""
    proposal = synchrony.proposal
    if proposal is None or proposal.id != message.id:
        return
    proposal.exchanges[sender_name] = message
    if len(proposal.exchanges) == len(proposal.members) and not proposal.plan_sent:
        proposal.plan_sent = True
        send_plan(synchrony, out)


def send_plan(synchrony, out):
    """Send the plan to the members that have not completed the recovery."""
    proposal = synchrony.proposal
    plan = RecoveryPlan(proposal.id, dict(proposal.exchanges))
    for member in proposal.members:
        if member.name not in proposal.completed_members:
            out.sends.append((member.name, plan))


def on_recovery_complete(synchrony, out, sender_name, message):
    """At the proposer, request the installation once all members have completed the recovery."""
    proposal = synchrony.proposal
    if proposal is None:
        if message.id == synchrony.configuration.id:
            out.sends.append((sender_name, InstallRequest(message.id)))
        return
    if proposal.id != message.id:
        return
    proposal.completed_members.add(sender_name)
    if len(proposal.completed_members) == len(proposal.members):
        synchrony.proposal = None
        for member in proposal.members:
            out.sends.append((member.name, InstallRequest(proposal.id)))


def on_propose_rejection(synchrony, out, sender_name, message):
    """Abandon the proposal, and record the promised epoch for the next one."""
    peer = synchrony.peers.get(sender_name)
    if peer:
        peer.promised = max(peer.promised, message.promised)
    if synchrony.proposal and synchrony.proposal.id == message.id:
        increment_counter(synchrony, "proposals_turned_away")
        synchrony.proposal = None
        synchrony.desired_since_ms = synchrony.now_ms


def check_proposal(synchrony, out):
    """Resend the proposal, or after `proposal_ms` replace it by one without the members that have not answered."""
    proposal = synchrony.proposal
    if proposal is None:
        return
    elapsed_ms = synchrony.now_ms - proposal.started_ms
    if elapsed_ms >= synchrony.bounds.proposal_ms:
        answered = proposal.completed_members if proposal.plan_sent else set(proposal.exchanges)
        missing = [member for member in proposal.members if member.name not in answered]
        for member in missing:
            exclude_temporarily(synchrony, member)
        increment_counter(synchrony, "shrunk")
        synchrony.proposal = None
        remaining = [member for member in desired_members(synchrony) if member not in missing]
        propose(synchrony, out, remaining or [synchrony.local_member])
        return
    if synchrony.now_ms - proposal.sent_ms >= synchrony.bounds.resend_ms:
        proposal.sent_ms = synchrony.now_ms
        if proposal.plan_sent:
            send_plan(synchrony, out)
        else:
            for member in proposal.members:
                if member.name not in proposal.exchanges:
                    out.sends.append((member.name, ProposeRequest(proposal.id, proposal.members, proposal.sequencer)))


def exclude_temporarily(synchrony, member):
    """Exclude a member that delayed a proposal from the desired members, each time for longer."""
    peer = synchrony.peers.get(member.name)
    if peer is None or peer.endpoint.member != member:
        return
    if synchrony.now_ms - peer.excluded_until_ms > 20 * synchrony.bounds.proposal_ms:
        peer.exclusions = 0
    peer.exclusions = min(peer.exclusions + 1, 4)
    peer.excluded_until_ms = synchrony.now_ms + synchrony.bounds.proposal_ms // 2 * (1 << peer.exclusions)
