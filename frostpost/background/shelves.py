from msgspec import Raw, json, msgpack
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.write_ahead_log import disk as furrows
from frostpost.virtual_synchrony.state import majority
from frostpost.virtual_synchrony.words import BodyAsk, BodyPiece, NewsAsk, NewsTell
from frostpost.daemon.context import nowMs
from frostpost.daemon.heart import tick
from frostpost.daemon.news import say
from frostpost.daemon.waiting import until
from frostpost.tenant_config import shelf as shelves
from frostpost.tenant_config.stamp import stamp

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(shelves.Store).decode
KEEP_MS = 600000


class Bodies:
    __slots__ = ("write_ahead_log", "queue", "busy")

    def __init__(self, furrow):
        self.furrow, self.queue, self.busy = furrow, [], False


def load(ctx, folder):
    furrow, payloads, fault = furrows.open_(folder, "bodies", ctx.machine.files)
    ctx.bodies = Bodies(furrow)
    for payload in payloads:
        store = decode(payload)
        ctx.shelf = shelves.stored(ctx.shelf, store.item, store.body, nowMs(ctx))
    return fault


def send(ctx, sends):
    for to, body in sends:
        ctx.links["send"](to, body)


def news(ctx):
    return {**ctx.shelf.vector, "~honoured": ctx.honoured}


def publish(ctx):
    ctx.core.hedge.news = news(ctx)
    ctx.core.hedge.beatMs = -(1 << 40)
    ctx.reactor.callLater(0, tick, ctx)


def keep(ctx, stores):
    if not stores:
        return
    if ctx.bodies is None:
        for store in stores:
            ctx.shelf = shelves.stored(ctx.shelf, store.item, store.body, nowMs(ctx))
        publish(ctx)
        honour(ctx)
        return
    ctx.bodies.queue += [(s, None) for s in stores]
    flush(ctx)


def write(furrow, payloads):
    furrows.append(furrow, payloads)
    furrows.sync(furrow)


def flush(ctx):
    bodies = ctx.bodies
    if bodies.busy or not bodies.queue:
        return
    batch, bodies.queue = bodies.queue, []
    bodies.busy = True

    def done(_):
        bodies.busy = False
        for store, answer in batch:
            ctx.shelf = shelves.stored(ctx.shelf, store.item, store.body, nowMs(ctx))
            if answer is not None:
                answer.callback(store.item)
        publish(ctx)
        honour(ctx)
        flush(ctx)

    def failed(failure):
        bodies.busy = False
        say("DiskFault", type=failure.type.__name__, file="bodies")
        ctx.disk.turn(True)
        bodies.queue = batch + bodies.queue
        ctx.reactor.callLater(1, flush, ctx)

    ctx.machine.inThread(write, bodies.furrow, [encode(s) for s, _ in batch]).addCallbacks(done, failed)


def put(ctx, body):
    _, store = shelves.put(ctx.shelf, body)
    answer = Deferred()
    if ctx.bodies is None:
        keep(ctx, [store])
        answer.callback(store.item)
    else:
        ctx.shelf.items.setdefault(store.item.source, {})[store.item.number] = store.item
        ctx.bodies.queue.append((store, answer))
        flush(ctx)
    return answer


def spread(ctx, item):
    def held():
        holders = {n for n, p in ctx.core.hedge.peers.items() if p.news.get(item.source, 0) >= item.number}
        if ctx.shelf.vector.get(item.source, 0) >= item.number:
            holders.add(ctx.place.member.name)
        return majority(ctx.core.granary.voters, holders)

    return until(ctx, held, ctx.settings.doors.ackMs)


def received(ctx, frm, body):
    match body:
        case NewsAsk():
            send(ctx, shelves.asked(ctx.shelf, frm, body))
        case NewsTell():
            ctx.shelf, sends, stores = shelves.told(ctx.shelf, frm, body, nowMs(ctx))
            send(ctx, sends)
            keep(ctx, stores)
        case BodyAsk():
            send(ctx, shelves.bodyAsked(ctx.shelf, frm, body))
        case BodyPiece():
            ctx.shelf, sends, stores = shelves.bodyPieced(ctx.shelf, frm, body, nowMs(ctx))
            send(ctx, sends)
            keep(ctx, stores)


def heard(ctx, frm, vector):
    send(ctx, shelves.heard(ctx.shelf, frm, vector))


def parseAll(bodies):
    return {path: (version, light(body)) for path, version, body in bodies}


def light(body):
    parts = json.decode(body, type=dict[str, Raw])
    return {name: json.decode(part) for name, part in parts.items() if name != "notes"}


def bodyOf(ctx, path):
    return ctx.shelf.bodies[ctx.core.granary.configs[path].digest]


def stampAll(documents):
    lanes = {}
    for path, (version, tenant) in documents.items():
        if not path.startswith("tenants/"):
            continue
        base = f"templates/{tenant['template']}"
        if base not in documents:
            continue
        marks = ((base, documents[base][0]), (path, version))
        stamped = stamp(path.split("/", 1)[1], documents[base][1], tenant, marks)
        if stamped.is_ok():
            for name, lane in stamped.ok.items():
                lanes[(lane.tenant, name)] = lane
    return lanes


@inlineCallbacks
def honour(ctx):
    granary = ctx.core.granary
    if ctx.stamping or ctx.honoured >= granary.configIndex:
        return
    index = granary.configIndex
    marks = {p: m for p, m in granary.configs.items() if m.digest}
    if any(m.digest not in ctx.shelf.bodies for m in marks.values()):
        return
    ctx.stamping = True
    try:
        documents = {p: d for p, d in ctx.documents.items() if p in marks and d[0] == marks[p].version}
        fresh = [(p, m.version, ctx.shelf.bodies[m.digest]) for p, m in marks.items() if p not in documents]
        big = sum(len(b) for _, _, b in fresh) > 262144
        parsed = (yield ctx.machine.inThread(parseAll, fresh)) if big else parseAll(fresh)
        documents.update(parsed)
        lanes = (yield ctx.machine.inThread(stampAll, documents)) if len(documents) > 20 else stampAll(documents)
        ctx.documents, ctx.lanes, ctx.honoured = documents, lanes, index
    finally:
        ctx.stamping = False
    publish(ctx)
    honour(ctx)


def tidy(ctx):
    now = nowMs(ctx)
    if now - ctx.prunedMs < KEEP_MS // 10:
        return
    ctx.prunedMs = now
    wanted = {m.digest for m in ctx.core.granary.configs.values()}
    wanted |= {m.digest for marks in ctx.core.granary.past.values() for m in marks}
    wanted |= {d for d, sinceMs in ctx.shelf.since.items() if now - sinceMs < KEEP_MS}
    ctx.shelf, gone = shelves.prune(ctx.shelf, wanted)
    bodies = ctx.bodies
    if gone and bodies is not None and not bodies.busy and not bodies.queue:
        bodies.busy = True
        payloads = [encode(s) for s in shelves.records(ctx.shelf)]

        def done(_):
            bodies.busy = False
            flush(ctx)

        ctx.machine.inThread(furrows.rewrite, bodies.furrow, payloads).addBoth(done)
