from . import catch_up, discovery, failure_detector, membership, ordering, primary_component, recovery
from .events import DiskHealthChanged, DrainRequested, LogSynced, MessageReceived, OperationSubmitted, Output, TimerTick
from .messages import (
    BatchAck,
    DiscoveryUpdate,
    EntriesReply,
    EntriesRequest,
    EntryBatch,
    Heartbeat,
    InstallRequest,
    ProposeRejection,
    ProposeRequest,
    ReadyUpdate,
    Rebroadcast,
    RecoveryComplete,
    RecoveryExchange,
    RecoveryPlan,
    SafeUpdate,
    SnapshotChunk,
    SubmitRequest,
)
from .state import Peer, count

EARLY = (EntryBatch, SafeUpdate, SubmitRequest, ReadyUpdate, BatchAck, EntriesRequest)


def step(synchrony, input):
    out = Output()
    overslept(synchrony, input.now_ms)
    match input:
        case TimerTick():
            ticked(synchrony, out)
        case MessageReceived(_, place, body):
            if meet(synchrony, place):
                received(synchrony, out, place.member.name, body)
        case OperationSubmitted(_, payload, end):
            ordering.asked(synchrony, out, payload, end)
        case LogSynced(_, up_to):
            ordering.synced(synchrony, out, up_to)
            recovery.settle(synchrony, out)
        case DiskHealthChanged(_, unwell):
            synchrony.unhealthy, synchrony.peers_changed = unwell, True
        case DrainRequested():
            synchrony.draining = True
            failure_detector.beat(synchrony, out)
            discovery.tell(synchrony, out)
    loop(synchrony, out)
    return synchrony, out


def overslept(synchrony, now_ms):
    if now_ms - synchrony.now_ms > synchrony.bounds.detect_ms:
        count(synchrony, "overslept")
        synchrony.peers_changed = True
        for peer in synchrony.peers.values():
            peer.heard_ms = peer.granted_ms = -(1 << 40)
            peer.reachable = frozenset()
        synchrony.proposal = None
    synchrony.now_ms = max(synchrony.now_ms, now_ms)


def loop(synchrony, out):
    me = synchrony.name
    while True:
        mine = [body for name, body in out.sends if name == me]
        if mine:
            out.sends = [s for s in out.sends if s[0] != me]
        replays, synchrony.replayed_messages = synchrony.replayed_messages, []
        for body in mine:
            received(synchrony, out, me, body)
        for frm, body in replays:
            received(synchrony, out, frm, body)
        ordering.flush(synchrony, out)
        if not any(name == me for name, _ in out.sends) and not synchrony.replayed_messages:
            out.sends = without_superseded(out.sends)
            return


def without_superseded(sends):
    """The sends without each Safe after which the same receiver gets a Batch of as high a mark."""
    batches = {(to, body.id): body.safe_watermark for to, body in sends if isinstance(body, EntryBatch)}
    if not batches:
        return sends
    return [(to, body) for to, body in sends if not (isinstance(body, SafeUpdate) and superseded(batches, to, body))]


def superseded(batches, to, message):
    return batches.get((to, message.id), -1) >= message.safe_watermark


def meet(synchrony, place):
    name = place.member.name
    if name == synchrony.name:
        return False
    peer = synchrony.peers.get(name)
    if peer is None:
        synchrony.peers[name], synchrony.peers_changed = Peer(place), True
        synchrony.heartbeat_ms = -(1 << 40)
    elif peer.place.member.boot != place.member.boot:
        if place.member in peer.past_incarnations and synchrony.now_ms - peer.heard_ms < 2 * synchrony.bounds.detect_ms:
            count(synchrony, "past_boot")
            return False
        synchrony.peers[name], synchrony.peers_changed = (
            Peer(place, past_incarnations=(peer.past_incarnations | {peer.place.member})),
            True,
        )
        synchrony.heartbeat_ms = -(1 << 40)
    elif peer.place != place:
        peer.place, synchrony.peers_changed = place, True
    return True


def ticked(synchrony, out):
    if synchrony.now_ms - synchrony.heartbeat_ms >= synchrony.bounds.heartbeat_ms:
        failure_detector.beat(synchrony, out)
    if synchrony.now_ms - synchrony.discovery_ms >= synchrony.bounds.detect_ms:
        discovery.tell(synchrony, out)
    membership.shrink(synchrony, out)
    membership.seek(synchrony, out)
    recovery.remind(synchrony, out)
    ordering.remind(synchrony, out)
    ordering.flush(synchrony, out, force=True)
    catch_up.fetch(synchrony, out)
    synchrony.peers_changed, synchrony.ticked_ms = False, synchrony.now_ms
    synchrony.membership_differs = set(synchrony.desired_members) != set(synchrony.configuration.members)


def received(synchrony, out, frm, body):
    recovering = synchrony.recovery
    if recovering and isinstance(body, EARLY) and body.id == recovering.id:
        if len(synchrony.order.early_messages) < synchrony.bounds.held:
            synchrony.order.early_messages.append((frm, body))
        return
    match body:
        case Heartbeat():
            failure_detector.beaten(synchrony, out, frm, body)
        case DiscoveryUpdate():
            discovery.told(synchrony, frm, body)
        case ProposeRequest():
            membership.proposed(synchrony, out, frm, body)
        case ProposeRejection():
            membership.turned_away(synchrony, out, frm, body)
        case RecoveryExchange():
            membership.exchanged(synchrony, out, frm, body)
        case RecoveryPlan():
            recovery.planned(synchrony, out, body)
        case Rebroadcast():
            recovery.rebroadcasted(synchrony, out, body)
        case RecoveryComplete():
            membership.completed(synchrony, out, frm, body)
        case InstallRequest():
            recovery.installed(synchrony, out, body)
        case SubmitRequest():
            sender = synchrony.me if frm == synchrony.name else synchrony.peers[frm].place.member
            ordering.submitted(synchrony, out, frm, sender, body)
        case EntryBatch():
            ordering.batched(synchrony, out, frm, body)
        case BatchAck():
            ordering.acked(synchrony, out, frm, body)
        case SafeUpdate():
            ordering.safened(synchrony, out, body)
        case ReadyUpdate():
            primary_component.readied(synchrony, out, frm, body)
        case EntriesRequest():
            catch_up.fetched(synchrony, out, frm, body)
        case EntriesReply():
            catch_up.filled(synchrony, out, frm, body)
        case SnapshotChunk():
            catch_up.pieced(synchrony, out, frm, body)
