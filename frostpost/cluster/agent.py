"""An edge or core daemon put together, from its settings to its end."""

from frostpost.daemon.links import listen, sender
from frostpost.daemon.news import say
from frostpost.daemon.ticker import Ticker
from frostpost.daemon.waiting import until
from frostpost.turn_store import client as turn_store_client
from frostpost.virtual_synchrony.agent_messages import (
    BootstrapReply,
    BootstrapRequest,
    DirectoryReply,
    DirectoryRequest,
    GetBodiesReply,
    LeaseReply,
    OperationReply,
    PutBodyReply,
    RoutingUpdate,
)
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.messages import DiscoveryUpdate

from . import address_book, bootstrap, directory, lease_client, operation_client, status
from .agent_context import Leaf, now_ms

RING = "storage"
TEND_S = 0.05
LISTEN_RATIO = 0.35


def make_leaf(settings, front, reactor, machine):
    incarnation = 1 + int(machine.token(6), 16)
    endpoint = Endpoint(
        Member(settings.name, incarnation),
        settings.role,
        settings.zone,
        settings.host,
        settings.port,
        0,
        PROTOCOL_REVISION,
    )
    leaf = Leaf(settings, reactor, endpoint, machine)
    leaf.wire = front.wire
    leaf.links["send"] = sender(leaf)
    leaf.extras["routing_from_body"] = front.routing_from_body
    leaf.extras["fetch_list"] = lambda: front.fetch_list(leaf)
    leaf.extras["stops"] = []
    lease_client.session(leaf)
    status.begin(leaf)
    if settings.control:
        bootstrap.begin(leaf)
    if settings.data:
        leaf.extras["peers"] = address_book.open_(settings.data, machine)
    return leaf


def received(leaf, frame):
    """A frame from any daemon."""
    endpoint, body = frame.endpoint, frame.body
    if status.leaf_answered(leaf, endpoint, body):
        return
    match body:
        case LeaseReply():
            if lease_client.granted(leaf, endpoint, body):
                operation_client.send_all(leaf)
            turn_store_client.granted(leaf)
            if leaf.ticker is not None:
                leaf.ticker.wake(lease_client.due_ms(leaf) - now_ms(leaf))
        case OperationReply():
            operation_client.told(leaf, body)
        case RoutingUpdate():
            lease_client.routed(leaf, body)
        case PutBodyReply() | GetBodiesReply():
            turn_store_client.received(leaf, endpoint.member.name, body)
        case BootstrapRequest():
            bootstrap.asked(leaf, endpoint, body)
        case BootstrapReply():
            bootstrap.held(leaf, endpoint, body)
        case DirectoryReply():
            lease_client.directed(leaf, body.endpoints)
            if endpoint.role == RING:
                lease_client.greeted(leaf, endpoint)
        case DirectoryRequest():
            if endpoint.role == RING:
                bootstrap.waits(leaf, endpoint.member.name)
            elif not leaf.directory:
                leaf.extras.setdefault("askers", {})[endpoint.member.name] = endpoint
                return
            direct(leaf, endpoint)
        case DiscoveryUpdate():
            lease_client.directed(leaf, [endpoint])
            if body.endpoints or directory.is_news(leaf, endpoint):
                leaf.links["send"](lease_client.address_of(endpoint), directory.tell(leaf, endpoint))
            for asker in leaf.extras.pop("askers", {}).values():
                direct(leaf, asker)


def direct(leaf, endpoint):
    """Tell a daemon that asks where the ring's daemons are."""
    leaf.links["send"](lease_client.address_of(endpoint), directory.current(leaf))


def tend(leaf):
    lease_client.tend(leaf)
    if leaf.extras.get("peers") and lease_client.lease_ok(leaf):
        address_book.keep_addresses(leaf.extras["peers"], [f"{p.host}:{p.port}" for p in leaf.directory.values()])
    operation_client.tend(leaf)
    bootstrap.tend(leaf)


def due_in_ms(leaf):
    """How long `tend` will have nothing to do, unless something is asked meanwhile."""
    if bootstrap.pending(leaf):
        return 0
    asked_ms, lease_ms = operation_client.due_ms(leaf), lease_client.due_ms(leaf)
    return (lease_ms if asked_ms is None else min(asked_ms, lease_ms)) - now_ms(leaf)


def start_ticker(leaf, stop):
    def broken(failure):
        say("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        stop(70)

    leaf.ticker = Ticker(leaf.reactor, TEND_S, lambda: tend(leaf), lambda: due_in_ms(leaf), broken)
    leaf.ticker.start()
    leaf.tasks.append(leaf.ticker)


def start_leaf(leaf, front, stop):
    def fallen(failure):
        say("ListenError", text=failure.getErrorMessage())
        stop(69)

    def up(ports):
        leaf.extras["ports"] = ports
        for address in leaf.extras["peers"].addresses if "peers" in leaf.extras else ():
            leaf.links["send"](f"@{address}", DirectoryRequest())
        start_ticker(leaf, stop)
        if leaf.settings.front and leaf.settings.list_host:
            from frostpost.proxy import roster

            leaf.extras["stops"].append(roster.poll(leaf))
        say("started", name=leaf.settings.name, role=leaf.settings.role)

    listen(leaf, received).addCallback(lambda _: front.listen(leaf)).addCallbacks(up, fallen)


def leave_leaf(leaf, stop):
    """Be unready, serve on until callers know, then end when nothing is under way."""
    if leaf.leaving:
        return
    leaf.leaving = True
    say("leaving", flights=leaf.flights)
    grace_ms = leaf.settings.grace_ms

    def last_call(_):
        leaf.extras["last_call"] = True
        for port in leaf.extras.get("ports", [])[:1]:
            port.stopListening()
        if leaf.front is not None:
            leaf.front.close_idle()
        return until(leaf, lambda: leaf.flights == 0 and leaf.calls == 0, int(grace_ms * 0.55))

    def over(_):
        say("left", flights=leaf.flights)
        leaf.reactor.callLater(0.1, stop, 0)

    wait_ms = int(grace_ms * LISTEN_RATIO) if leaf.settings.front else 100
    until(leaf, lambda: False, wait_ms).addCallback(last_call).addCallback(over)
