"""Client of the turn store on an edge: writes bodies to a majority of the voters and fetches them from any replica."""

from expression import Error, Ok
from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.cluster import lease_client
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest, PutBodyReply, PutBodyRequest

from .cache import cache_of, insert, lookup
from .repair import is_truncated

RESEND_MS = 300
# How long a fetch waits for a reply before it asks the next replica.
NEXT_REPLICA_MS = 150
# The same wait once all replicas have been asked, or only one is left to ask.
LAST_REPLICA_MS = 450
# Clients are told to retry after this time.
RETRY_MS = 1000


class PendingPut(Struct):
    """A body that is being written. synced_replicas: names of the replicas that have synced it to disk."""

    number: int
    turn: str
    data: bytes
    result: Deferred
    synced_replicas: set[str] = set()
    timers: dict[str, object] = {}


class Synced(Struct, frozen=True):
    """Result of a put: the replicas that have the body on disk, a majority of the voters among them."""

    holders: frozenset[str]


class PendingFetch(Struct):
    """Bodies that are being fetched.

    contacted_replicas: ordered by last request. exhausted_replicas: those without any of the missing bodies.
    """

    number: int
    turns: tuple[str, ...]
    found: dict[str, bytes]
    missing: dict[str, None]
    result: Deferred
    contacted_replicas: list[str] = []
    exhausted_replicas: set[str] = set()
    timers: dict[str, object] = {}


class BodyClient(Struct):
    """An agent's pending puts and fetches by request number. last_number: the request number used last."""

    last_number: int = 0
    puts: dict[int, PendingPut] = {}
    fetches: dict[int, PendingFetch] = {}


def client_of(agent):
    """Return an agent's body client, creating it on first use."""
    if not isinstance(agent.body_client, BodyClient):
        agent.body_client = BodyClient()
    return agent.body_client


def put(agent, turn, data, timeout_ms):
    """Write a body to the replicas.

    Returns a Deferred of Ok(Synced) once a majority of the voters has the body on disk, or of Error(Unavailable) after
    `timeout_ms`. The voters are those of the lease that is valid at the time of the check.
    """
    client = client_of(agent)
    client.last_number += 1
    pending = PendingPut(client.last_number, turn, data, Deferred(lambda _: remove_pending(client.puts, pending)))
    client.puts[pending.number] = pending
    start_timer(
        agent,
        pending,
        "timeout",
        timeout_ms,
        lambda: finish(
            client.puts, pending, Error(Unavailable(RETRY_MS, "body not synced by a majority of the voters"))
        ),
    )
    send_put(agent, pending)
    return pending.result


def send_put(agent, pending):
    """Send a body to every replica that has not confirmed it, and schedule the next resend."""
    start_timer(agent, pending, "resend", RESEND_MS, lambda: send_put(agent, pending))
    message = PutBodyRequest(agent.endpoint.member.incarnation, pending.number, pending.turn, pending.data)
    for name, address in lease_client.replica_addresses(agent).items():
        if name not in pending.synced_replicas:
            agent.links["send"](address, message)


def fetch(agent, turns, timeout_ms):
    """Fetch the bodies of turns from the cache or the replicas.

    Returns a Deferred of Ok(bodies in the order of `turns`), or of Error(Unavailable) after `timeout_ms` or once no
    replica has a body.
    """
    cache, found = cache_of(agent), {}
    for turn in turns:
        data = lookup(cache, turn)
        if data is not None:
            found[turn] = data
    missing = {turn: None for turn in turns if turn not in found}
    if not missing:
        return succeed(Ok(tuple(found[turn] for turn in turns)))
    client = client_of(agent)
    client.last_number += 1
    pending = PendingFetch(
        client.last_number,
        tuple(turns),
        found,
        missing,
        Deferred(lambda _: remove_pending(client.fetches, pending)),
    )
    client.fetches[pending.number] = pending
    start_timer(agent, pending, "timeout", timeout_ms, lambda: fail_fetch(agent, pending))
    request_from_next_replica(agent, pending)
    return pending.result


def request_from_next_replica(agent, pending):
    """Request the missing bodies from a replica not asked yet, else from the one that was asked the longest ago."""
    names = sorted(lease_client.replica_addresses(agent))
    unasked = [name for name in names if name not in pending.contacted_replicas]
    repeatable = [
        name for name in pending.contacted_replicas if name in names and name not in pending.exhausted_replicas
    ]
    if names and not unasked and not repeatable:
        fail_fetch(agent, pending)
        return
    delay_ms = NEXT_REPLICA_MS if len(unasked) > 1 or not names else LAST_REPLICA_MS
    start_timer(agent, pending, "next_replica", delay_ms, lambda: request_from_next_replica(agent, pending))
    if names:
        request_bodies(agent, pending, unasked[pending.number % len(unasked)] if unasked else repeatable[0])


def request_bodies(agent, pending, name):
    """Request the missing bodies from a replica."""
    if name in pending.contacted_replicas:
        pending.contacted_replicas.remove(name)
    pending.contacted_replicas.append(name)
    address = lease_client.replica_addresses(agent).get(name)
    if address is not None:
        agent.links["send"](
            address, GetBodiesRequest(agent.endpoint.member.incarnation, pending.number, tuple(pending.missing))
        )


def fail_fetch(agent, pending):
    """End a fetch that timed out or whose bodies no replica has."""
    finish(client_of(agent).fetches, pending, Error(Unavailable(RETRY_MS, "bodies not available from any replica")))


def on_reply(agent, name, message):
    """Handle PutBodyReply and GetBodiesReply from the named replica; return whether the message was one of them."""
    if not isinstance(message, (PutBodyReply, GetBodiesReply)):
        return False
    client = client_of(agent)
    if message.incarnation == agent.endpoint.member.incarnation:
        if isinstance(message, PutBodyReply) and message.number in client.puts:
            on_put_reply(agent, client.puts[message.number], name, message.synced)
        elif isinstance(message, GetBodiesReply) and message.number in client.fetches:
            on_get_reply(agent, client.fetches[message.number], name, message.items)
    return True


def on_put_reply(agent, pending, name, synced):
    """Record a replica's confirmation."""
    if not synced:
        return
    pending.synced_replicas.add(name)
    finish_if_durable(agent, pending)


def is_durable_at(agent, holders):
    """Return whether `holders` include a majority of the voters under a lease that is valid now."""
    voters = lease_client.voters_of(agent)
    return lease_client.holds_lease(agent) and 2 * sum(voter in holders for voter in voters) > len(voters)


def finish_if_durable(agent, pending):
    """End a put and cache its body once a majority of the voters has it on disk."""
    if is_durable_at(agent, pending.synced_replicas):
        insert(cache_of(agent), pending.turn, pending.data)
        finish(client_of(agent).puts, pending, Ok(Synced(frozenset(pending.synced_replicas))))


def recheck_puts(agent):
    """Check all pending puts again after a lease was granted, since the voters may have changed."""
    for pending in list(client_of(agent).puts.values()):
        finish_if_durable(agent, pending)


def on_get_reply(agent, pending, name, items):
    """Take over the bodies of a reply, then end the fetch or request what is still missing."""
    for turn, data in items:
        if turn in pending.missing:
            del pending.missing[turn]
            pending.found[turn] = data
            insert(cache_of(agent), turn, data)
    if not pending.missing:
        finish(client_of(agent).fetches, pending, Ok(tuple(pending.found[turn] for turn in pending.turns)))
    elif is_truncated(items):
        request_bodies(agent, pending, name)
    elif name not in pending.exhausted_replicas:
        pending.exhausted_replicas.add(name)
        on_replica_exhausted(agent, pending)


def on_replica_exhausted(agent, pending):
    """Request the missing bodies from a replica not asked yet; fail the fetch once every replica lacks them."""
    names = lease_client.replica_addresses(agent).keys()
    if names <= pending.exhausted_replicas:
        fail_fetch(agent, pending)
    elif not names <= set(pending.contacted_replicas):
        request_from_next_replica(agent, pending)


def start_timer(agent, pending, name, delay_ms, function):
    """Start a timer of a put or fetch, replacing the one of the same name."""
    timer = pending.timers.pop(name, None)
    if timer is not None and timer.active():
        timer.cancel()
    pending.timers[name] = agent.reactor.callLater(max(0, delay_ms) / 1000, function)


def remove_pending(requests, pending):
    """Remove a put or fetch from `requests` and cancel its timers."""
    requests.pop(pending.number, None)
    for timer in pending.timers.values():
        if timer.active():
            timer.cancel()


def finish(requests, pending, result):
    """End a put or fetch with a result, unless it has ended already."""
    if pending.number in requests:
        remove_pending(requests, pending)
        pending.result.callback(result)
