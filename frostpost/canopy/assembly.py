"""Daemons put together: leaves (edge, core) and storage daemons, from settings to their end."""
import signal

from twisted.internet.task import LoopingCall

from frostpost.drove import roster
from frostpost.hedgerow.events import Left
from frostpost.hedgerow.outer import Directory, Grant, Hello, RoutingTell, SiloDone, SiloGot, Told
from frostpost.hedgerow.words import SPEAKS, Member, Place, Roster
from frostpost.orchard.context import nowMs
from frostpost.orchard.heart import feed
from frostpost.orchard.links import listen, sender
from frostpost.orchard.machine import Machine
from frostpost.orchard.news import say
from frostpost.orchard.waiting import until
from frostpost.silo import client as silo_client

from . import asking, founding, lease, peers, ring
from .context import Leaf, now_ms

TEND_S = 0.05
LISTEN_RATIO = 0.35


def make_leaf(settings, front, reactor, machine):
    boot = 1 + int(machine.token(6), 16)
    place = Place(Member(settings.name, boot), settings.role, settings.zone, settings.host, settings.port, 0, SPEAKS)
    leaf = Leaf(settings, reactor, place, machine)
    leaf.wire = front.wire
    leaf.links["send"] = sender(leaf)
    leaf.extras["routing_from_body"] = front.routing_from_body
    leaf.extras["fetch_list"] = lambda: front.fetch_list(leaf)
    leaf.extras["stops"] = []
    lease.session(leaf)
    if settings.control:
        founding.begin(leaf)
    if settings.data:
        leaf.extras["peers"] = peers.open_(settings.data, machine)
    return leaf


def received(leaf, frame):
    """A frame from any daemon."""
    place, body = frame.place, frame.body
    match body:
        case Grant():
            if lease.granted(leaf, place, body):
                asking.send_all(leaf)
        case Told():
            asking.told(leaf, body)
        case RoutingTell():
            lease.routed(leaf, body)
        case SiloDone() | SiloGot():
            silo_client.received(leaf, place.member.name, body)
        case Directory():
            lease.directed(leaf, body.places)
        case Hello():
            if place.role == ring.ROLE:
                founding.waits(leaf, place.member.name)
            elif not leaf.directory:
                leaf.extras.setdefault("askers", {})[place.member.name] = place
            direct(leaf, place)
        case Roster():
            lease.directed(leaf, [place])
            direct(leaf, place)
            for asker in leaf.extras.pop("askers", {}).values():
                direct(leaf, asker)


def direct(leaf, place):
    """Tell a daemon that asks where the ring's daemons are."""
    leaf.links["send"](lease.address_of(place), Directory(tuple(leaf.directory.values()), leaf.charter))


def tend(leaf):
    lease.tend(leaf)
    if leaf.extras.get("peers") and lease.lease_ok(leaf):
        peers.keep_addresses(leaf.extras["peers"], [f"{p.host}:{p.port}" for p in leaf.directory.values()])
    asking.tend(leaf)
    founding.tend(leaf)


def loop(owner, job, every_s, fail):
    task = LoopingCall(job)
    task.clock = owner.reactor

    def broken(failure):
        say("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        fail(70)
    task.start(every_s, now=False).addErrback(broken)
    return task


def start_leaf(leaf, front, stop):
    def fallen(failure):
        say("ListenFault", text=failure.getErrorMessage())
        stop(69)

    def up(ports):
        leaf.extras["ports"] = ports
        for address in leaf.extras["peers"].addresses if "peers" in leaf.extras else ():
            leaf.links["send"](f"@{address}", Hello())
        leaf.tasks.append(loop(leaf, lambda: tend(leaf), TEND_S, stop))
        if leaf.settings.front and leaf.settings.list_host:
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


def leave_ring(house, stop):
    if not house.waiting:
        feed(house.ctx, Left(nowMs(house.ctx)))
    house.reactor.callLater(0.4, stop, 0)


def reread(leaf, front):
    result = front.reread()
    if result.is_ok():
        leaf.settings = result.ok
        say("settings", seeds=list(result.ok.seeds))
    else:
        say(type(result.error).__name__, path=result.error.path)


def run(settings, front):
    """Run one daemon until it is told to stop; -> its exit status."""
    from twisted.internet import reactor
    machine, status = Machine(), []
    reactor.seconds = machine.seconds

    def stop(code):
        status.append(code)
        if reactor.running:
            reactor.stop()
    if settings.role == ring.ROLE:
        owner = ring.assemble(settings, reactor, machine, stop)
        reactor.callWhenRunning(ring.start, owner)
        leave = lambda: leave_ring(owner, stop)
    else:
        owner = make_leaf(settings, front, reactor, machine)
        reactor.callWhenRunning(start_leaf, owner, front, stop)
        leave = lambda: leave_leaf(owner, stop)

    def signals():
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(leave))
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reread, owner, front))
    reactor.addSystemEventTrigger("after", "startup", signals)
    reactor.run(installSignalHandlers=True)
    return max(status, default=0)
