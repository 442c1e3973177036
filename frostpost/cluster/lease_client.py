"""A leaf's session with the ring: its lease, the ring's daemons, and the routing that it honours."""

from msgspec import Struct

from frostpost.daemon.news import say
from frostpost.virtual_synchrony.agent_messages import DirectoryRequest, LeaseRequest, RoutingRequest

from .agent_context import count, now_ms

RENEWS = 5
SEEKS = 20
# One renewal in so many goes to all replicas, which forget agents that they do not hear for long.
INTRODUCE_EVERY = 256
NEVER = -(1 << 40)


class Session(Struct):
    """sequencer: name of the ring's daemon that granted last. until_ms: end of the lease, on this daemon's clock."""

    sequencer: str = ""
    until_ms: int = NEVER
    heard_ms: int = NEVER
    renewed_ms: int = NEVER
    renewals: int = 0
    greeted_ms: int = NEVER
    asked_ms: int = NEVER
    epoch: int = 0
    voters: tuple[str, ...] = ()
    version: int = 0
    honoured: int = 0
    held: int = 0
    leaves: int = 1


def session(leaf):
    if leaf.session is None:
        leaf.session, leaf.directory = Session(), {}
    return leaf.session


def lease_ok(leaf):
    """Whether this daemon may act now."""
    return leaf.session is not None and now_ms(leaf) < leaf.session.until_ms


def voters(leaf):
    """Names of the voters as the last grant told them."""
    return session(leaf).voters


def ring_addresses(leaf):
    """Name -> "@host:port" of the ring's daemons."""
    session(leaf)
    return {name: address_of(endpoint) for name, endpoint in leaf.directory.items()}


def address_of(endpoint):
    return f"@{endpoint.host}:{endpoint.port}"


def tend(leaf):
    """Called every few ten ms: renew the lease, look for the ring where there is none."""
    held, now = session(leaf), now_ms(leaf)
    every_ms, seek_ms = leaf.settings.lease_ms // RENEWS, leaf.settings.lease_ms // SEEKS
    lost = now - held.heard_ms > 2 * every_ms
    if now - held.renewed_ms >= (seek_ms if lost else every_ms):
        renew(leaf)
    if lost and now - held.greeted_ms >= (seek_ms if not leaf.directory else 4 * every_ms):
        held.greeted_ms = now
        for seed in leaf.settings.seeds:
            leaf.links["send"](f"@{seed}", DirectoryRequest())


def renewal(leaf):
    """The request for a lease as of now."""
    held = session(leaf)
    return LeaseRequest(now_ms(leaf), held.held, held.epoch, tuple(leaf.extras.get("list_draining", ())))


def due_ms(leaf):
    """When `tend` has something to do next, on this daemon's clock."""
    held = session(leaf)
    every_ms, seek_ms = leaf.settings.lease_ms // RENEWS, leaf.settings.lease_ms // SEEKS
    lost_ms = held.heard_ms + 2 * every_ms + 1
    if now_ms(leaf) < lost_ms:
        return min(held.renewed_ms + every_ms, lost_ms)
    return min(held.renewed_ms + seek_ms, held.greeted_ms + (4 * every_ms if leaf.directory else seek_ms))


def renew(leaf):
    held, now = session(leaf), now_ms(leaf)
    held.renewed_ms, held.renewals = now, held.renewals + 1
    message = renewal(leaf)
    lost = now - held.heard_ms > 2 * (leaf.settings.lease_ms // RENEWS)
    everywhere = lost or held.renewals % INTRODUCE_EVERY == 0
    for name, address in ring_addresses(leaf).items():
        if everywhere or name == held.sequencer:
            leaf.links["send"](address, message)


def search(leaf):
    """The sequencer has no lease to give: ask all of the ring, now and then at the pace of a search."""
    held = session(leaf)
    held.heard_ms = NEVER
    if now_ms(leaf) - held.renewed_ms >= leaf.settings.lease_ms // SEEKS:
        renew(leaf)
    if leaf.ticker is not None:
        leaf.ticker.wake(due_ms(leaf) - now_ms(leaf))


def greeted(leaf, endpoint):
    """A daemon of the ring speaks unasked: one that isn't the known sequencer may have come to be it."""
    held = session(leaf)
    if not lease_ok(leaf):
        renew(leaf)
    elif endpoint.member.name != held.sequencer:
        leaf.links["send"](address_of(endpoint), renewal(leaf))


def directed(leaf, endpoints):
    """Places of the ring's daemons, told by any daemon."""
    session(leaf)
    known = set(leaf.directory)
    for endpoint in endpoints:
        if endpoint.role == "storage":
            leaf.directory[endpoint.member.name] = endpoint
    if set(leaf.directory) - known and not lease_ok(leaf):
        renew(leaf)


def redirected(leaf, endpoint, leader):
    """A replica that doesn't lead names the leader that it knows, if any; -> whether the leader changed."""
    held = session(leaf)
    from_leader = endpoint.member.name == held.sequencer
    if leader and leader != held.sequencer and (from_leader or not lease_ok(leaf)):
        held.sequencer = leader
        return True
    if from_leader:
        search(leaf)
    return False


def introduce(leaf, endpoints, leader):
    """Make this daemon known to replicas that it hasn't spoken to, so that each greets it when it comes to lead."""
    for endpoint in endpoints:
        if leaf.directory.get(endpoint.member.name) != endpoint and endpoint.member.name != leader:
            leaf.links["send"](address_of(endpoint), renewal(leaf))


def granted(leaf, endpoint, grant):
    """-> whether the sequencer changed."""
    held, now = session(leaf), now_ms(leaf)
    if grant.sequencer != endpoint.member.name:
        directed(leaf, grant.endpoints)
        return redirected(leaf, endpoint, grant.sequencer)
    if grant.epoch < held.epoch:
        return False
    if grant.lease_ms <= 0 and grant.version <= held.held:
        search(leaf)
        return False
    moved = held.sequencer != endpoint.member.name or held.epoch != grant.epoch
    held.sequencer, held.heard_ms = endpoint.member.name, now
    if grant.lease_ms > 0:
        held.until_ms = max(held.until_ms, grant.sent_ms + grant.lease_ms)
    held.voters, held.version = grant.voters, grant.version
    # What every running lease has honoured stays so: no later lease is granted on an older routing.
    held.honoured = max(held.honoured, grant.honoured)
    held.leaves = max(1, grant.leaves)
    if grant.draining and "drained" in leaf.extras:
        leaf.extras["drained"](grant.draining)
    if grant.endpoints:
        introduce(leaf, grant.endpoints, held.sequencer)
        leaf.directory = {p.member.name: p for p in grant.endpoints}
        held.epoch = grant.epoch
    if grant.version > held.held and now - held.asked_ms >= 100:
        held.asked_ms = now
        leaf.links["send"](address_of(endpoint), RoutingRequest(held.held))
    if moved:
        say("session", sequencer=held.sequencer, epoch=grant.epoch)
    return moved


def routed(leaf, message):
    """Take a newer routing in and tell the sequencer at once."""
    held = session(leaf)
    if message.version <= held.held:
        return
    routing = leaf.extras["routing_from_body"](message.body)
    leaf.routing, leaf.routing_body, held.held = routing, message.body, message.version
    count(leaf, "routings")
    renew(leaf)
