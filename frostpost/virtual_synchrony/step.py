from . import membership, ordering, recovery, settling, watch
from .state import Peer, count
from .events import Asked, Left, Out, Received, Stalled, Synced, Tick
from .words import (
    Ack,
    Batch,
    Beat,
    Complete,
    Exchange,
    Fetch,
    Fill,
    Install,
    Piece,
    Plan,
    Propose,
    Ready,
    Rebroadcast,
    Roster,
    Safe,
    Submit,
    TurnAway,
)

EARLY = (Batch, Safe, Submit, Ready, Ack, Fetch)


def step(hedge, input):
    out = Out()
    overslept(hedge, input.nowMs)
    match input:
        case Tick():
            ticked(hedge, out)
        case Received(_, place, body):
            if meet(hedge, place):
                received(hedge, out, place.member.name, body)
        case Asked(_, payload, end):
            ordering.asked(hedge, out, payload, end)
        case Synced(_, upTo):
            ordering.synced(hedge, out, upTo)
            recovery.settle(hedge, out)
        case Stalled(_, unwell):
            hedge.unwell = unwell
        case Left():
            hedge.leaving = True
            watch.beat(hedge, out)
            sayRoster(hedge, out)
    loop(hedge, out)
    return hedge, out


def overslept(hedge, nowMs):
    if nowMs - hedge.nowMs > hedge.bounds.detectMs:
        count(hedge, "overslept")
        for peer in hedge.peers.values():
            peer.heardMs = peer.grantedMs = -(1 << 40)
            peer.hears = frozenset()
        hedge.proposal = None
    hedge.nowMs = max(hedge.nowMs, nowMs)


def loop(hedge, out):
    while True:
        mine = [body for name, body in out.sends if name == hedge.name]
        out.sends = [s for s in out.sends if s[0] != hedge.name]
        replays, hedge.replays = hedge.replays, []
        for body in mine:
            received(hedge, out, hedge.name, body)
        for frm, body in replays:
            received(hedge, out, frm, body)
        ordering.flush(hedge, out)
        if not any(name == hedge.name for name, _ in out.sends) and not hedge.replays:
            return


def meet(hedge, place):
    name = place.member.name
    if name == hedge.name:
        return False
    peer = hedge.peers.get(name)
    if peer is None:
        hedge.peers[name] = Peer(place)
        hedge.beatMs = -(1 << 40)
    elif peer.place.member.boot != place.member.boot:
        if place.member in peer.past and hedge.nowMs - peer.heardMs < 2 * hedge.bounds.detectMs:
            count(hedge, "pastBoot")
            return False
        hedge.peers[name] = Peer(place, past=(peer.past | {peer.place.member}))
        hedge.beatMs = -(1 << 40)
    elif peer.place != place:
        peer.place = place
    return True


def ticked(hedge, out):
    if hedge.nowMs - hedge.beatMs >= hedge.bounds.beatMs:
        watch.beat(hedge, out)
    if hedge.nowMs - hedge.rosterMs >= hedge.bounds.detectMs:
        sayRoster(hedge, out)
    membership.shrink(hedge, out)
    membership.seek(hedge, out)
    recovery.remind(hedge, out)
    ordering.remind(hedge, out)
    ordering.flush(hedge, out, force=True)
    settling.fetch(hedge, out)


def sayRoster(hedge, out):
    hedge.rosterMs = hedge.nowMs
    places = (hedge.place, *(p.place for p in hedge.peers.values()))
    message = Roster(places, hedge.leaving)
    known = {f"@{p.place.host}:{p.place.port}" for p in hedge.peers.values()}
    mine = f"@{hedge.place.host}:{hedge.place.port}"
    for seed in hedge.seeds:
        if seed not in known and seed != mine:
            out.sends.append((seed, message))
    for name in hedge.peers:
        out.sends.append((name, message))


def rostered(hedge, frm, message):
    hedge.peers[frm].leaving = message.leaving
    for place in message.places:
        if place.member.name not in hedge.peers and place.member.name != hedge.name:
            hedge.peers[place.member.name] = Peer(place)


def received(hedge, out, frm, body):
    recovering = hedge.recovery
    if recovering and isinstance(body, EARLY) and body.id == recovering.id:
        if len(hedge.order.early) < hedge.bounds.held:
            hedge.order.early.append((frm, body))
        return
    match body:
        case Beat():
            watch.beaten(hedge, out, frm, body)
        case Roster():
            rostered(hedge, frm, body)
        case Propose():
            membership.proposed(hedge, out, frm, body)
        case TurnAway():
            membership.turnedAway(hedge, out, frm, body)
        case Exchange():
            membership.exchanged(hedge, out, frm, body)
        case Plan():
            recovery.planned(hedge, out, body)
        case Rebroadcast():
            recovery.rebroadcasted(hedge, out, body)
        case Complete():
            membership.completed(hedge, out, frm, body)
        case Install():
            recovery.installed(hedge, out, body)
        case Submit():
            sender = hedge.me if frm == hedge.name else hedge.peers[frm].place.member
            ordering.submitted(hedge, out, frm, sender, body)
        case Batch():
            ordering.batched(hedge, out, frm, body)
        case Ack():
            ordering.acked(hedge, out, frm, body)
        case Safe():
            ordering.safened(hedge, out, body)
        case Ready():
            settling.readied(hedge, out, frm, body)
        case Fetch():
            settling.fetched(hedge, out, frm, body)
        case Fill():
            settling.filled(hedge, out, frm, body)
        case Piece():
            settling.pieced(hedge, out, frm, body)
