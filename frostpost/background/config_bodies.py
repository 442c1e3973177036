"""Bodies of configuration documents: writing, replication and pruning, and the routes built from them."""

from msgspec import Raw, json, msgpack
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.daemon.context import clock_ms
from frostpost.daemon.event_loop import tick
from frostpost.daemon.polling import poll_until
from frostpost.daemon.structured_log import log_event
from frostpost.tenant_config import body_store
from frostpost.tenant_config.instantiation import instantiate
from frostpost.virtual_synchrony.config_messages import (
    ConfigBodyChunk,
    ConfigBodyRequest,
    ConfigVersionsReply,
    ConfigVersionsRequest,
)
from frostpost.virtual_synchrony.quorum import is_majority
from frostpost.write_ahead_log import log as write_ahead_logs
from frostpost.write_ahead_log import replacement

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(body_store.BodyWrite).decode
RETENTION_MS = 600000


class BodyWriter:
    """The log of bodies on a storage daemon's disk; queue: (write, Deferred or None) pairs not yet on disk."""

    __slots__ = ("write_ahead_log", "queue", "is_writing")

    def __init__(self, write_ahead_log):
        self.write_ahead_log, self.queue, self.is_writing = write_ahead_log, [], False


def load(ctx, folder):
    """Read the bodies from disk; return the error found there, or None."""
    write_ahead_log, payloads, error = write_ahead_logs.open_log(folder, "bodies", ctx.machine.files)
    ctx.body_writer = BodyWriter(write_ahead_log)
    for payload in payloads:
        write = decode(payload)
        ctx.body_store = body_store.record_stored(ctx.body_store, write.item, write.body, clock_ms(ctx))
    return error


def send_all(ctx, messages):
    """Send (receiver, message) pairs to peers."""
    for to, message in messages:
        ctx.links["send"](to, message)


def status_vector(ctx):
    """Return this daemon's status for its heartbeats: its version vector and the configuration index in effect."""
    return {**ctx.body_store.vector, "~honoured": ctx.effective_config_index}


def publish_status(ctx):
    """Send a heartbeat with the current status vector at once instead of when the next one is due."""
    ctx.core.synchrony.status = status_vector(ctx)
    ctx.core.synchrony.heartbeat_ms = -(1 << 40)
    ctx.reactor.callLater(0, tick, ctx)


def store_bodies(ctx, writes):
    """Store bodies: on disk if this daemon has one, else in memory."""
    if not writes:
        return
    if ctx.body_writer is None:
        for write in writes:
            ctx.body_store = body_store.record_stored(ctx.body_store, write.item, write.body, clock_ms(ctx))
        publish_status(ctx)
        activate_configuration(ctx)
        return
    ctx.body_writer.queue += [(w, None) for w in writes]
    flush(ctx)


def append_and_sync(write_ahead_log, payloads):
    """Append payloads to a log and sync it."""
    write_ahead_logs.append(write_ahead_log, payloads)
    write_ahead_logs.sync(write_ahead_log)


def flush(ctx):
    """Write the queued bodies as one batch; retry after a second if the disk fails."""
    writer = ctx.body_writer
    if writer.is_writing or not writer.queue:
        return
    batch, writer.queue = writer.queue, []
    writer.is_writing = True

    def on_synced(_):
        writer.is_writing = False
        for write, result in batch:
            ctx.body_store = body_store.record_stored(ctx.body_store, write.item, write.body, clock_ms(ctx))
            if result is not None:
                result.callback(write.item)
        publish_status(ctx)
        activate_configuration(ctx)
        flush(ctx)

    def on_error(failure):
        writer.is_writing = False
        log_event("DiskError", type=failure.type.__name__, file="bodies")
        ctx.disk.set_unhealthy(True)
        writer.queue = batch + writer.queue
        ctx.reactor.callLater(1, flush, ctx)

    ctx.machine.in_thread(append_and_sync, writer.write_ahead_log, [encode(w) for w, _ in batch]).addCallbacks(
        on_synced, on_error
    )


def put(ctx, body):
    """Store a new body; return a Deferred of its item once it is stored on this daemon."""
    _, write = body_store.new_body(ctx.body_store, body)
    result = Deferred()
    if ctx.body_writer is None:
        store_bodies(ctx, [write])
        result.callback(write.item)
    else:
        ctx.body_store.items.setdefault(write.item.source, {})[write.item.number] = write.item
        ctx.body_writer.queue.append((write, result))
        flush(ctx)
    return result


def wait_for_majority(ctx, item):
    """Return a Deferred of whether a majority of the voters stores an item within the setting `ack_ms`."""

    def is_at_majority():
        holders = {n for n, p in ctx.core.synchrony.peers.items() if p.status.get(item.source, 0) >= item.number}
        if ctx.body_store.vector.get(item.source, 0) >= item.number:
            holders.add(ctx.endpoint.member.name)
        return is_majority(ctx.core.ledger.voters, holders)

    return poll_until(ctx, is_at_majority, ctx.settings.doors.ack_ms)


def on_message(ctx, sender_name, message):
    """Handle a peer's message about bodies."""
    match message:
        case ConfigVersionsRequest():
            send_all(ctx, body_store.answer_versions(ctx.body_store, sender_name, message))
        case ConfigVersionsReply():
            ctx.body_store, messages, writes = body_store.request_bodies(
                ctx.body_store, sender_name, message, clock_ms(ctx)
            )
            send_all(ctx, messages)
            store_bodies(ctx, writes)
        case ConfigBodyRequest():
            send_all(ctx, body_store.answer_body(ctx.body_store, sender_name, message))
        case ConfigBodyChunk():
            ctx.body_store, messages, writes = body_store.receive_chunk(
                ctx.body_store, sender_name, message, clock_ms(ctx)
            )
            send_all(ctx, messages)
            store_bodies(ctx, writes)


def on_version_vector(ctx, sender_name, vector):
    """Request the newer items of a peer whose version vector is ahead."""
    send_all(ctx, body_store.request_versions(ctx.body_store, sender_name, vector))


def parse_documents(bodies):
    """Parse (path, version, body) triples; return (version, document) by path."""
    return {path: (version, parse_without_notes(body)) for path, version, body in bodies}


def parse_without_notes(body):
    """Parse a body without its notes, which may be large and are not used."""
    members = json.decode(body, type=dict[str, Raw])
    return {name: json.decode(value) for name, value in members.items() if name != "notes"}


def current_body(ctx, path):
    """Return the body of a document's current version."""
    return ctx.body_store.bodies[ctx.core.ledger.configs[path].digest]


def build_routes(documents):
    """Return the routes of all tenants by (tenant, route name); tenants without a template or with errors have none."""
    routes = {}
    for path, (version, tenant) in documents.items():
        if not path.startswith("tenants/"):
            continue
        base = f"templates/{tenant['template']}"
        if base not in documents:
            continue
        versions = ((base, documents[base][0]), (path, version))
        tenant_routes = instantiate(path.split("/", 1)[1], documents[base][1], tenant, versions)
        if tenant_routes.is_ok():
            for name, route in tenant_routes.ok.items():
                routes[(route.tenant, name)] = route
    return routes


@inlineCallbacks
def activate_configuration(ctx):
    """Build the routes of the ledger's current configuration and put them into effect, once all its bodies are here.

    Runs again at its end, since the ledger may have moved on while a thread parsed the documents.
    """
    ledger = ctx.core.ledger
    if ctx.instantiating or ctx.effective_config_index >= ledger.config_index:
        return
    index = ledger.config_index
    versions = {path: v for path, v in ledger.configs.items() if v.digest}
    if any(v.digest not in ctx.body_store.bodies for v in versions.values()):
        return
    ctx.instantiating = True
    try:
        documents = {p: d for p, d in ctx.documents.items() if p in versions and d[0] == versions[p].version}
        changed = [(p, v.version, ctx.body_store.bodies[v.digest]) for p, v in versions.items() if p not in documents]
        is_large = sum(len(body) for _, _, body in changed) > 262144
        parsed = (yield ctx.machine.in_thread(parse_documents, changed)) if is_large else parse_documents(changed)
        documents.update(parsed)
        routes = (
            (yield ctx.machine.in_thread(build_routes, documents)) if len(documents) > 20 else build_routes(documents)
        )
        ctx.documents, ctx.routes, ctx.effective_config_index = documents, routes, index
    finally:
        ctx.instantiating = False
    publish_status(ctx)
    activate_configuration(ctx)


def prune_bodies(ctx):
    """Drop bodies that no version refers to and that are older than the retention, and rewrite the log without them."""
    now_ms = clock_ms(ctx)
    if now_ms - ctx.last_prune_ms < RETENTION_MS // 10:
        return
    ctx.last_prune_ms = now_ms
    required = {v.digest for v in ctx.core.ledger.configs.values()}
    required |= {v.digest for versions in ctx.core.ledger.past.values() for v in versions}
    required |= {digest for digest, stored_ms in ctx.body_store.stored_ms.items() if now_ms - stored_ms < RETENTION_MS}
    ctx.body_store, dropped = body_store.prune(ctx.body_store, required)
    writer = ctx.body_writer
    if dropped and writer is not None and not writer.is_writing and not writer.queue:
        writer.is_writing = True
        payloads = [encode(write) for write in body_store.all_writes(ctx.body_store)]

        def on_rewritten(_):
            writer.is_writing = False
            flush(ctx)

        ctx.machine.in_thread(replacement.rewrite, writer.write_ahead_log, payloads).addBoth(on_rewritten)
