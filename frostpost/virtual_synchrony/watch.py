from .state import RANK, role
from .words import Beat, Install


def alive(hedge, peer):
    return (
        hedge.nowMs - peer.heardMs < hedge.bounds.detectMs
        and not peer.unwell
        and not peer.leaving
        and hedge.nowMs >= peer.shunnedMs
    )


def hearing(hedge):
    mine = {p.place.member for p in hedge.peers.values() if alive(hedge, p)}
    graph = {hedge.me: mine}
    for peer in hedge.peers.values():
        if alive(hedge, peer) and hedge.me in peer.hears:
            graph[peer.place.member] = peer.hears
    return graph


def desire(hedge):
    if hedge.unwell or hedge.leaving:
        return (hedge.me,)
    graph = hearing(hedge)
    rest = sorted(graph, key=lambda m: (RANK[role(hedge, m.name)], m.name, m.boot))
    while True:
        group = []
        for member in rest:
            if all(member in graph[g] and g in graph[member] for g in group):
                group.append(member)
        if hedge.me in group:
            return tuple(group)
        rest = [m for m in rest if m not in group]


def beat(hedge, out):
    hedge.beatMs = hedge.nowMs
    hears = tuple(p.place.member for p in hedge.peers.values() if alive(hedge, p))
    for name, peer in hedge.peers.items():
        out.sends.append(
            (
                name,
                Beat(
                    hedge.configuration.id,
                    hedge.promised,
                    hears,
                    hedge.nowMs,
                    peer.sentMs,
                    hedge.unwell or hedge.leaving,
                    hedge.primary.ready,
                    hedge.applied,
                    dict(hedge.news),
                ),
            )
        )


def beaten(hedge, out, frm, message):
    peer = hedge.peers[frm]
    peer.heardMs, peer.sentMs = hedge.nowMs, message.sentMs
    peer.hears = frozenset(message.hears)
    peer.configuration, peer.promised = message.configuration, message.promised
    peer.unwell, peer.ready, peer.applied = message.unwell, message.ready, message.applied
    peer.news = message.news
    agreed = message.configuration == hedge.configuration.id == message.promised
    if agreed and message.echoMs > peer.grantedMs:
        peer.grantedMs = message.echoMs
    mine = hedge.configuration.id
    if message.promised == mine and message.configuration != mine and mine.proposer == hedge.name:
        if mine.boot == hedge.me.boot:
            out.sends.append((frm, Install(mine)))


def leaseOk(hedge, nowMs):
    if not hedge.primary.opened or hedge.recovery is not None or hedge.leaving:
        return False
    if hedge.applied < hedge.primary.base + 1:
        return False
    present = {hedge.name}
    for name, peer in hedge.peers.items():
        if nowMs - peer.grantedMs < hedge.bounds.leaseMs and peer.place.member in hedge.configuration.members:
            present.add(name)
    voters = hedge.voters or hedge.voters0
    return sum(v in present for v in voters) * 2 > len(voters)


def leaseLeftMs(hedge, nowMs):
    """How long this daemon's own lease runs on; 0 if it has none."""
    if not leaseOk(hedge, nowMs):
        return 0
    voters = hedge.voters or hedge.voters0
    granted = sorted(
        (nowMs if v == hedge.name else hedge.peers[v].grantedMs if v in hedge.peers else -(1 << 40) for v in voters),
        reverse=True,
    )
    return max(0, hedge.bounds.leaseMs - (nowMs - granted[len(voters) // 2]))
