"""Bodies of configuration documents: writing, replication, repair, and the routes made of them."""

from msgspec import Raw, json, msgpack
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.daemon.context import clock_ms
from frostpost.daemon.event_loop import tick
from frostpost.daemon.polling import poll_until
from frostpost.daemon.structured_log import log_event
from frostpost.tenant_config import body_store as shelves
from frostpost.tenant_config.instantiation import instantiate
from frostpost.virtual_synchrony.config_messages import (
    ConfigBodyChunk,
    ConfigBodyRequest,
    ConfigVersionsReply,
    ConfigVersionsRequest,
)
from frostpost.virtual_synchrony.quorum import is_majority
from frostpost.write_ahead_log import log as write_ahead_logs

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(shelves.BodyWrite).decode
RETENTION_MS = 600000


class Bodies:
    """The log of bodies on a storage daemon's disk, with the stores that wait to be written."""

    __slots__ = ("write_ahead_log", "queue", "busy")

    def __init__(self, write_ahead_log):
        self.write_ahead_log, self.queue, self.busy = write_ahead_log, [], False


def load(ctx, folder):
    """Read the bodies from disk; return the error found there, or None."""
    write_ahead_log, payloads, error = write_ahead_logs.open_log(folder, "bodies", ctx.machine.files)
    ctx.body_writer = Bodies(write_ahead_log)
    for payload in payloads:
        store = decode(payload)
        ctx.body_store = shelves.record_stored(ctx.body_store, store.item, store.body, clock_ms(ctx))
    return error


def send(ctx, sends):
    """Send messages to peers."""
    for to, body in sends:
        ctx.links["send"](to, body)


def news(ctx):
    """Return this daemon's version vector and the configuration index that it honours."""
    return {**ctx.body_store.vector, "~honoured": ctx.effective_config_index}


def publish(ctx):
    """Tell the peers this daemon's news with the next heartbeat."""
    ctx.core.synchrony.status = news(ctx)
    ctx.core.synchrony.heartbeat_ms = -(1 << 40)
    ctx.reactor.callLater(0, tick, ctx)


def keep(ctx, stores):
    """Store bodies: on disk where there is one, else in memory."""
    if not stores:
        return
    if ctx.body_writer is None:
        for store in stores:
            ctx.body_store = shelves.record_stored(ctx.body_store, store.item, store.body, clock_ms(ctx))
        publish(ctx)
        honour(ctx)
        return
    ctx.body_writer.queue += [(s, None) for s in stores]
    flush(ctx)


def write(write_ahead_log, payloads):
    """Append payloads to a log and sync it."""
    write_ahead_logs.append(write_ahead_log, payloads)
    write_ahead_logs.sync(write_ahead_log)


def flush(ctx):
    """Write the waiting stores in one batch, and again after a second if the disk fails."""
    bodies = ctx.body_writer
    if bodies.busy or not bodies.queue:
        return
    batch, bodies.queue = bodies.queue, []
    bodies.busy = True

    def done(_):
        bodies.busy = False
        for store, answer in batch:
            ctx.body_store = shelves.record_stored(ctx.body_store, store.item, store.body, clock_ms(ctx))
            if answer is not None:
                answer.callback(store.item)
        publish(ctx)
        honour(ctx)
        flush(ctx)

    def failed(failure):
        bodies.busy = False
        log_event("DiskError", type=failure.type.__name__, file="bodies")
        ctx.disk.turn(True)
        bodies.queue = batch + bodies.queue
        ctx.reactor.callLater(1, flush, ctx)

    ctx.machine.in_thread(write, bodies.write_ahead_log, [encode(s) for s, _ in batch]).addCallbacks(done, failed)


def put(ctx, body):
    """Store a new body; Deferred of its item once it is on this daemon's disk."""
    _, store = shelves.new_body(ctx.body_store, body)
    answer = Deferred()
    if ctx.body_writer is None:
        keep(ctx, [store])
        answer.callback(store.item)
    else:
        ctx.body_store.items.setdefault(store.item.source, {})[store.item.number] = store.item
        ctx.body_writer.queue.append((store, answer))
        flush(ctx)
    return answer


def spread(ctx, item):
    """Deferred of whether a majority of the voters holds an item in time."""

    def held():
        holders = {n for n, p in ctx.core.synchrony.peers.items() if p.status.get(item.source, 0) >= item.number}
        if ctx.body_store.vector.get(item.source, 0) >= item.number:
            holders.add(ctx.endpoint.member.name)
        return is_majority(ctx.core.ledger.voters, holders)

    return poll_until(ctx, held, ctx.settings.doors.ack_ms)


def received(ctx, sender_name, body):
    """Handle a peer's message about bodies."""
    match body:
        case ConfigVersionsRequest():
            send(ctx, shelves.answer_versions(ctx.body_store, sender_name, body))
        case ConfigVersionsReply():
            ctx.body_store, sends, stores = shelves.request_bodies(ctx.body_store, sender_name, body, clock_ms(ctx))
            send(ctx, sends)
            keep(ctx, stores)
        case ConfigBodyRequest():
            send(ctx, shelves.answer_body(ctx.body_store, sender_name, body))
        case ConfigBodyChunk():
            ctx.body_store, sends, stores = shelves.receive_chunk(ctx.body_store, sender_name, body, clock_ms(ctx))
            send(ctx, sends)
            keep(ctx, stores)


def heard(ctx, sender_name, vector):
    """Handle a peer's version vector."""
    send(ctx, shelves.request_versions(ctx.body_store, sender_name, vector))


def parse_all(bodies):
    """Parse bodies; return (version, document) by path."""
    return {path: (version, light(body)) for path, version, body in bodies}


def light(body):
    """Parse a body without its notes, which may be large and are not used."""
    parts = json.decode(body, type=dict[str, Raw])
    return {name: json.decode(part) for name, part in parts.items() if name != "notes"}


def body_of(ctx, path):
    """Return the body of a document's current version."""
    return ctx.body_store.bodies[ctx.core.ledger.configs[path].digest]


def stamp_all(documents):
    """Return the routes of all tenants by (tenant, route)."""
    routes = {}
    for path, (version, tenant) in documents.items():
        if not path.startswith("tenants/"):
            continue
        base = f"templates/{tenant['template']}"
        if base not in documents:
            continue
        marks = ((base, documents[base][0]), (path, version))
        stamped = instantiate(path.split("/", 1)[1], documents[base][1], tenant, marks)
        if stamped.is_ok():
            for name, route in stamped.ok.items():
                routes[(route.tenant, name)] = route
    return routes


@inlineCallbacks
def honour(ctx):
    """Make the routes of the ledger's current configuration once all its bodies are here."""
    ledger = ctx.core.ledger
    if ctx.instantiating or ctx.effective_config_index >= ledger.config_index:
        return
    index = ledger.config_index
    marks = {p: m for p, m in ledger.configs.items() if m.digest}
    if any(m.digest not in ctx.body_store.bodies for m in marks.values()):
        return
    ctx.instantiating = True
    try:
        documents = {p: d for p, d in ctx.documents.items() if p in marks and d[0] == marks[p].version}
        fresh = [(p, m.version, ctx.body_store.bodies[m.digest]) for p, m in marks.items() if p not in documents]
        big = sum(len(b) for _, _, b in fresh) > 262144
        parsed = (yield ctx.machine.in_thread(parse_all, fresh)) if big else parse_all(fresh)
        documents.update(parsed)
        routes = (yield ctx.machine.in_thread(stamp_all, documents)) if len(documents) > 20 else stamp_all(documents)
        ctx.documents, ctx.routes, ctx.effective_config_index = documents, routes, index
    finally:
        ctx.instantiating = False
    publish(ctx)
    honour(ctx)


def tidy(ctx):
    """Drop bodies that no version refers to any more."""
    now = clock_ms(ctx)
    if now - ctx.last_prune_ms < RETENTION_MS // 10:
        return
    ctx.last_prune_ms = now
    wanted = {m.digest for m in ctx.core.ledger.configs.values()}
    wanted |= {m.digest for marks in ctx.core.ledger.past.values() for m in marks}
    wanted |= {d for d, since_ms in ctx.body_store.stored_ms.items() if now - since_ms < RETENTION_MS}
    ctx.body_store, gone = shelves.prune(ctx.body_store, wanted)
    bodies = ctx.body_writer
    if gone and bodies is not None and not bodies.busy and not bodies.queue:
        bodies.busy = True
        payloads = [encode(s) for s in shelves.all_writes(ctx.body_store)]

        def done(_):
            bodies.busy = False
            flush(ctx)

        ctx.machine.in_thread(write_ahead_logs.rewrite, bodies.write_ahead_log, payloads).addBoth(done)
