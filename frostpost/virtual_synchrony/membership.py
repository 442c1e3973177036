from .events import Booted
from .memory import memory
from .state import Proposal, Recovery, count, elect, write
from .watch import desire
from .words import ConfigurationId, Exchange, Install, Plan, Propose, TurnAway


def patience(hedge, desired):
    rank = desired.index(hedge.me)
    grown = set(desired) - set(hedge.configuration.members)
    if gathered(hedge, desired):
        return rank * hedge.bounds.proposalMs
    base = hedge.bounds.joinMs if grown else hedge.bounds.beatMs // 2
    return base + rank * hedge.bounds.proposalMs


def sole(hedge):
    """Whether the only voter stands in the configuration that it started with, which nobody has judged."""
    voters = hedge.voters or hedge.log.voters or hedge.voters0
    return hedge.storage and not hedge.primary.able and tuple(voters) == (hedge.name,)


def gathered(hedge, desired):
    """Whether nobody is left to wait for after a start: all voters of this log and all known members are there."""
    voters = hedge.voters or hedge.log.voters
    here = {m.name for m in desired}
    return hedge.configuration.members == (hedge.me,) and bool(voters) and here.issuperset((*voters, *hedge.peers))


def seek(hedge, out):
    desired = desire(hedge)
    if desired != hedge.desired:
        hedge.desired, hedge.desiredMs = desired, hedge.nowMs
    settled = hedge.recovery is None and hedge.proposal is None
    if settled and set(desired) == set(hedge.configuration.members) and not sole(hedge):
        hedge.desiredMs = hedge.nowMs
        return
    sinceMs = hedge.desiredMs
    if hedge.recovery:
        sinceMs = max(sinceMs, hedge.recovery.startedMs + hedge.bounds.proposalMs)
    if hedge.proposal is None and hedge.nowMs - sinceMs >= patience(hedge, desired):
        propose(hedge, out, desired)


def topEpoch(hedge):
    seen = [p.promised.epoch for p in hedge.peers.values()]
    return max([hedge.promised.epoch, hedge.log.epoch, *seen])


def propose(hedge, out, members):
    count(hedge, "proposals")
    id = ConfigurationId(topEpoch(hedge) + 1, hedge.name, hedge.me.boot)
    proposal = Proposal(id, tuple(members), elect(hedge, members), hedge.nowMs, hedge.nowMs)
    hedge.proposal = proposal
    for member in members:
        out.sends.append((member.name, Propose(id, proposal.members, proposal.sequencer)))


def proposed(hedge, out, frm, message):
    known = hedge.recovery.id if hedge.recovery else None
    if message.id == known:
        return sayExchange(hedge, out)
    if message.id <= hedge.promised or hedge.me not in message.members:
        out.sends.append((frm, TurnAway(message.id, hedge.promised)))
        return
    if hedge.proposal and hedge.proposal.id < message.id:
        hedge.proposal = None
    promise(hedge, out, frm, message)


def promise(hedge, out, frm, message):
    hedge.promised = message.id
    hedge.recovery = Recovery(message.id, frm, message.members, message.sequencer, hedge.nowMs, hedge.nowMs)
    hedge.order.early = []
    write(hedge, out, Booted(hedge.me.boot, message.id.epoch))
    sayExchange(hedge, out)


def sayExchange(hedge, out):
    order, id = hedge.order, hedge.recovery.id
    extra = tuple(sorted(o for o in order.held if o > order.top))
    said = Exchange(
        id,
        hedge.configuration.id,
        order.top,
        extra,
        order.safe,
        tuple(sorted(hedge.obligations)),
        memory(hedge.log) if hedge.storage else None,
        hedge.applied,
        hedge.voters or hedge.voters0,
    )
    out.sends.append((hedge.recovery.proposer, said))


def exchanged(hedge, out, frm, message):
    proposal = hedge.proposal
    if proposal is None or proposal.id != message.id:
        return
    proposal.exchanges[frm] = message
    if len(proposal.exchanges) == len(proposal.members) and not proposal.planned:
        proposal.planned = True
        sayPlan(hedge, out)


def sayPlan(hedge, out):
    proposal = hedge.proposal
    plan = Plan(proposal.id, dict(proposal.exchanges))
    for member in proposal.members:
        if member.name not in proposal.completes:
            out.sends.append((member.name, plan))


def completed(hedge, out, frm, message):
    proposal = hedge.proposal
    if proposal is None:
        if message.id == hedge.configuration.id:
            out.sends.append((frm, Install(message.id)))
        return
    if proposal.id != message.id:
        return
    proposal.completes.add(frm)
    if len(proposal.completes) == len(proposal.members):
        hedge.proposal = None
        for member in proposal.members:
            out.sends.append((member.name, Install(proposal.id)))


def turnedAway(hedge, out, frm, message):
    peer = hedge.peers.get(frm)
    if peer:
        peer.promised = max(peer.promised, message.promised)
    if hedge.proposal and hedge.proposal.id == message.id:
        count(hedge, "proposalsTurnedAway")
        hedge.proposal = None
        hedge.desiredMs = hedge.nowMs


def shrink(hedge, out):
    proposal = hedge.proposal
    if proposal is None:
        return
    waitMs = hedge.nowMs - proposal.startedMs
    if waitMs >= hedge.bounds.proposalMs:
        heard = proposal.completes if proposal.planned else set(proposal.exchanges)
        missing = [m for m in proposal.members if m.name not in heard]
        for member in missing:
            shun(hedge, member)
        count(hedge, "shrunk")
        hedge.proposal = None
        kept = [m for m in desire(hedge) if m not in missing]
        propose(hedge, out, kept or [hedge.me])
        return
    if hedge.nowMs - proposal.sentMs >= hedge.bounds.resendMs:
        proposal.sentMs = hedge.nowMs
        if proposal.planned:
            sayPlan(hedge, out)
        else:
            for member in proposal.members:
                if member.name not in proposal.exchanges:
                    out.sends.append((member.name, Propose(proposal.id, proposal.members, proposal.sequencer)))


def shun(hedge, member):
    peer = hedge.peers.get(member.name)
    if peer is None or peer.place.member != member:
        return
    if hedge.nowMs - peer.shunnedMs > 20 * hedge.bounds.proposalMs:
        peer.shuns = 0
    peer.shuns = min(peer.shuns + 1, 4)
    peer.shunnedMs = hedge.nowMs + hedge.bounds.proposalMs // 2 * (1 << peer.shuns)
