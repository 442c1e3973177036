"""Agreement on the next configuration: proposals, promises, and the proposer's side of a recovery.

A proposer asks all members that it wants to promise a configuration of a higher epoch, collects what they hold
(RecoveryExchange), sends it to all (RecoveryPlan), and lets them install the configuration once all have completed the
recovery. A member that doesn't answer in time is left out of the next proposal.
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
    """How long the wanted members must stay the same before this member proposes them.

    Members wait longer the later they come in the order of members, so that mostly one proposes.
    """
    rank = desired.index(synchrony.local_member)
    grown = set(desired) - set(synchrony.configuration.members)
    if are_all_known_members_present(synchrony, desired):
        return rank * synchrony.bounds.proposal_ms
    base = synchrony.bounds.join_ms if grown else synchrony.bounds.heartbeat_ms // 2
    return base + rank * synchrony.bounds.proposal_ms


def is_sole_voter_outside_primary(synchrony):
    """Whether the only voter stands in the configuration that it started with, which nobody has judged."""
    voters = synchrony.voters or synchrony.log.voters or synchrony.bootstrap_voters
    return synchrony.has_log and not synchrony.primary.eligible and tuple(voters) == (synchrony.name,)


def are_all_known_members_present(synchrony, desired):
    """Whether nobody is left to wait for after a start: all voters of this log and all known members are there."""
    voters = synchrony.voters or synchrony.log.voters
    here = {m.name for m in desired}
    return (
        synchrony.configuration.members == (synchrony.local_member,)
        and bool(voters)
        and here.issuperset((*voters, *synchrony.peers))
    )


def propose_if_due(synchrony, out):
    """Propose the wanted members if they differ from the installed ones, or a recovery has taken too long."""
    desired = desired_members(synchrony)
    if desired != synchrony.desired_members:
        synchrony.desired_members, synchrony.desired_since_ms = desired, synchrony.now_ms
        # A heartbeat is due: whom this daemon hears is told before it proposes.
        synchrony.heartbeat_ms = NEVER_MS
    settled = synchrony.recovery is None and synchrony.proposal is None
    if (
        settled
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
    """The highest epoch that this member or a peer has promised, or that the log has seen."""
    seen = [p.promised.epoch for p in synchrony.peers.values()]
    return max([synchrony.promised.epoch, synchrony.log.epoch, *seen])


def propose(synchrony, out, members):
    """Propose a configuration of these members, in an epoch above all known ones."""
    increment_counter(synchrony, "proposals")
    id = ConfigurationId(highest_known_epoch(synchrony) + 1, synchrony.name, synchrony.local_member.incarnation)
    proposal = Proposal(id, tuple(members), elect_sequencer(synchrony, members), synchrony.now_ms, synchrony.now_ms)
    synchrony.proposal = proposal
    for member in members:
        out.sends.append((member.name, ProposeRequest(id, proposal.members, proposal.sequencer)))


def on_propose_request(synchrony, out, sender_name, message):
    """Promise the proposed configuration, or reject it.

    Rejected are epochs at or below the promised one, a second configuration of an epoch in which this member has
    confirmed one, and proposals of outsiders that would split a serving primary.
    """
    known = synchrony.recovery.id if synchrony.recovery else None
    if message.id == known:
        return send_exchange(synchrony, out)
    refused = message.id <= synchrony.promised or synchrony.local_member not in message.members
    if refused or has_confirmed_in_epoch(synchrony, message.id) or would_split_serving_primary(synchrony, message):
        out.sends.append((sender_name, ProposeRejection(message.id, synchrony.promised)))
        return
    if synchrony.proposal and synchrony.proposal.id < message.id:
        synchrony.proposal = None
    promise(synchrony, out, sender_name, message)


def would_split_serving_primary(synchrony, message):
    """Whether an outsider's proposal would part this daemon from a member of the serving primary that it still hears.

    A member's own proposal is never refused for this: its proposer has left the primary, which must be replaced.
    """
    members = synchrony.configuration.members
    if not is_serving(synchrony) or Member(message.id.proposer, message.id.incarnation) in members:
        return False
    wanted = desired_members(synchrony)
    return any(member in wanted and member not in message.members for member in members)


def has_confirmed_in_epoch(synchrony, id):
    """Whether this member has confirmed another configuration of the same epoch, which may open a primary.

    An opened primary was confirmed by a majority of the voters, so no second one can be opened in its epoch.
    """
    if id.epoch != synchrony.promised.epoch:
        return False
    return synchrony.recovery is None or synchrony.recovery.is_complete


def promise(synchrony, out, sender_name, message):
    """Bind this member to the proposal; the promise is on disk before the recovery is confirmed."""
    synchrony.promised = message.id
    synchrony.recovery = Recovery(
        message.id, sender_name, message.members, message.sequencer, synchrony.now_ms, synchrony.now_ms
    )
    synchrony.order.early_messages = []
    write_record(synchrony, out, PromiseRecord(synchrony.local_member.incarnation, message.id.epoch))
    send_exchange(synchrony, out)


def send_exchange(synchrony, out):
    """Tell the proposer what this member holds."""
    order, id = synchrony.order, synchrony.recovery.id
    extra = tuple(sorted(o for o in order.pending if o > order.received_watermark))
    said = RecoveryExchange(
        id,
        synchrony.configuration.id,
        order.received_watermark,
        extra,
        order.safe_watermark,
        tuple(sorted(synchrony.obligations)),
        durable_state_of(synchrony.log) if synchrony.has_log else None,
        synchrony.applied,
        synchrony.voters or synchrony.bootstrap_voters,
        voters_in(order.pending.values()),
    )
    out.sends.append((synchrony.recovery.proposer, said))


def on_recovery_exchange(synchrony, out, sender_name, message):
    """At the proposer: once all members have told what they hold, send the plan."""
    proposal = synchrony.proposal
    if proposal is None or proposal.id != message.id:
        return
    proposal.exchanges[sender_name] = message
    if len(proposal.exchanges) == len(proposal.members) and not proposal.plan_sent:
        proposal.plan_sent = True
        send_plan(synchrony, out)


def send_plan(synchrony, out):
    """Send the plan to the members that haven't completed the recovery."""
    proposal = synchrony.proposal
    plan = RecoveryPlan(proposal.id, dict(proposal.exchanges))
    for member in proposal.members:
        if member.name not in proposal.completed_members:
            out.sends.append((member.name, plan))


def on_recovery_complete(synchrony, out, sender_name, message):
    """At the proposer: once all members have completed the recovery, let them install."""
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
    """Give the proposal up, and propose above the promised epoch next time."""
    peer = synchrony.peers.get(sender_name)
    if peer:
        peer.promised = max(peer.promised, message.promised)
    if synchrony.proposal and synchrony.proposal.id == message.id:
        increment_counter(synchrony, "proposals_turned_away")
        synchrony.proposal = None
        synchrony.desired_since_ms = synchrony.now_ms


def check_proposal(synchrony, out):
    """Send the proposal again, or after `proposal_ms` propose without the members that haven't answered."""
    proposal = synchrony.proposal
    if proposal is None:
        return
    wait_ms = synchrony.now_ms - proposal.started_ms
    if wait_ms >= synchrony.bounds.proposal_ms:
        heard = proposal.completed_members if proposal.plan_sent else set(proposal.exchanges)
        missing = [m for m in proposal.members if m.name not in heard]
        for member in missing:
            exclude_temporarily(synchrony, member)
        increment_counter(synchrony, "shrunk")
        synchrony.proposal = None
        kept = [m for m in desired_members(synchrony) if m not in missing]
        propose(synchrony, out, kept or [synchrony.local_member])
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
    """Leave a member that kept a proposal waiting out of the wanted ones; each time for longer."""
    peer = synchrony.peers.get(member.name)
    if peer is None or peer.endpoint.member != member:
        return
    if synchrony.now_ms - peer.excluded_until_ms > 20 * synchrony.bounds.proposal_ms:
        peer.exclusions = 0
    peer.exclusions = min(peer.exclusions + 1, 4)
    peer.excluded_until_ms = synchrony.now_ms + synchrony.bounds.proposal_ms // 2 * (1 << peer.exclusions)
