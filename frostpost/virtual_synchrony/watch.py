from .state import RANK, role
from .words import Beat, Install


def alive(synchrony, peer):
    return (
        synchrony.now_ms - peer.heard_ms < synchrony.bounds.detect_ms
        and not peer.unwell
        and not peer.leaving
        and synchrony.now_ms >= peer.shunned_ms
    )


def judged(synchrony, peer):
    """What a tick judges of a peer, as far as heartbeats tell it."""
    return alive(synchrony, peer), peer.hears, peer.configuration, peer.promised, peer.ready


def hearing(synchrony):
    mine = {p.place.member for p in synchrony.peers.values() if alive(synchrony, p)}
    graph = {synchrony.me: mine}
    for peer in synchrony.peers.values():
        if alive(synchrony, peer) and synchrony.me in peer.hears:
            graph[peer.place.member] = peer.hears
    return graph


def desire(synchrony):
    if synchrony.unwell or synchrony.leaving:
        return (synchrony.me,)
    graph = hearing(synchrony)
    rest = sorted(graph, key=lambda m: (RANK[role(synchrony, m.name)], m.name, m.boot))
    while True:
        group = []
        for member in rest:
            if all(member in graph[g] and g in graph[member] for g in group):
                group.append(member)
        if synchrony.me in group:
            return tuple(group)
        rest = [m for m in rest if m not in group]


def beat(synchrony, out):
    synchrony.beat_ms = synchrony.now_ms
    hears = tuple(p.place.member for p in synchrony.peers.values() if alive(synchrony, p))
    for name, peer in synchrony.peers.items():
        out.sends.append(
            (
                name,
                Beat(
                    synchrony.configuration.id,
                    synchrony.promised,
                    hears,
                    synchrony.now_ms,
                    peer.sent_ms,
                    synchrony.unwell or synchrony.leaving,
                    synchrony.primary.ready,
                    synchrony.applied,
                    dict(synchrony.news),
                ),
            )
        )


def beaten(synchrony, out, frm, message):
    peer = synchrony.peers[frm]
    before = judged(synchrony, peer)
    peer.heard_ms, peer.sent_ms = synchrony.now_ms, message.sent_ms
    peer.hears = frozenset(message.hears)
    peer.configuration, peer.promised = message.configuration, message.promised
    peer.unwell, peer.ready, peer.applied = message.unwell, message.ready, message.applied
    peer.news = message.news
    if before != judged(synchrony, peer):
        synchrony.changed = True
    agreed = message.configuration == synchrony.configuration.id == message.promised
    if agreed and message.echo_ms > peer.granted_ms:
        peer.granted_ms = message.echo_ms
    mine = synchrony.configuration.id
    proposed_here = mine.proposer == synchrony.name and mine.boot == synchrony.me.boot
    if proposed_here and message.promised == mine and message.configuration != mine:
        out.sends.append((frm, Install(mine)))


def lease_ok(synchrony, now_ms):
    if not synchrony.primary.opened or synchrony.recovery is not None or synchrony.leaving:
        return False
    if synchrony.applied < synchrony.primary.base + 1:
        return False
    present = {synchrony.name}
    for name, peer in synchrony.peers.items():
        if (
            now_ms - peer.granted_ms < synchrony.bounds.lease_ms
            and peer.place.member in synchrony.configuration.members
        ):
            present.add(name)
    voters = synchrony.voters or synchrony.voters0
    return sum(v in present for v in voters) * 2 > len(voters)


def lease_remaining_ms(synchrony, now_ms):
    """How long this daemon's own lease runs on; 0 if it has none."""
    if not lease_ok(synchrony, now_ms):
        return 0
    voters = synchrony.voters or synchrony.voters0
    granted = sorted(
        (
            now_ms if v == synchrony.name else synchrony.peers[v].granted_ms if v in synchrony.peers else -(1 << 40)
            for v in voters
        ),
        reverse=True,
    )
    return max(0, synchrony.bounds.lease_ms - (now_ms - granted[len(voters) // 2]))
