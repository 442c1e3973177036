"""Hollow leaves: real sessions with the replicas, sharing one process, without an HTTP front."""

from types import SimpleNamespace

from msgspec import Struct, field
from twisted.internet.defer import inlineCallbacks, succeed
from twisted.internet.task import LoopingCall

from frostpost.cluster import agent as leaves
from frostpost.cluster import lease_client, operation_client
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.program_ledger.words import (
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    Candidate,
    ClaimOperationKey,
    EndAttempt,
    KeyClaimed,
    ResolveOperationKey,
)
from frostpost.turn_store import client as turn_store

from .scale_counts import count_kinds

WAIT_MS, RETENTION_MS, WINDOW_MS, MOST_UNDER_WAY = 5000, 600000, 60000, 4000
TURNS, WATCH_S, FEED_S = 67, 0.1, 0.02


class Load(Struct):
    """What the leaves hand in; latencies in milliseconds, kept only while `measuring`."""

    rate_per_s: float
    candidates: tuple[Candidate, ...]
    body: bytes
    begun_ms: list[float] = []
    claimed_ms: list[float] = []
    ended_ms: list[float] = []
    put_ms: list[float] = []
    outcomes: dict[str, int] = {}
    started: int = 0
    under_way: int = 0
    measuring: bool = False
    error: str = ""
    since_s: float | None = None
    chains: dict[str, list[str]] = field(default_factory=dict)


def hollow_front():
    """Return an HTTP front that does nothing."""
    return SimpleNamespace(
        wire=None,
        routing_from_body=lambda body: body,
        fetch_list=lambda agent: succeed([]),
        listen=lambda agent: succeed([]),
        close_idle=lambda: None,
    )


def leaf_settings(name, role, host, port, seed, data=""):
    """Return an agent's settings."""
    control = (host, port) if data else None
    return DaemonSettings(
        name=name,
        role=role,
        zone="z",
        host=host,
        port=port,
        control=control,
        seeds=(seed,),
        first_start=True,
        data=data,
        cache_bytes=1 << 18,
    )


def start_agent(settings, reactor, stop):
    """Start an agent without an HTTP front."""
    agent = leaves.make_agent(settings, hollow_front(), reactor, Machine())
    count_kinds(agent)
    leaves.start_agent(agent, hollow_front(), stop)
    return agent


def watch(leaves, gaps):
    """Count, by name, how often each agent that had a lease was found without one."""
    held = {}

    def look():
        for agent in leaves:
            name, now = agent.settings.name, lease_client.holds_lease(agent)
            if held.get(name) and not now:
                gaps[name] = gaps.get(name, 0) + 1
            held[name] = now

    task = LoopingCall(look)
    task.start(WATCH_S)
    return task


def feed(leaves, load, reactor):
    """Start jobs, each of two ordered operations, so that the leaves together hand in the load's rate."""
    load.since_s = reactor.seconds()
    first = load.started

    def start_due():
        due = int((reactor.seconds() - load.since_s) * load.rate_per_s / 2)
        while load.started - first < due:
            load.started += 1
            if load.under_way >= MOST_UNDER_WAY:
                note(load, "unstarted")
                continue
            agent = leaves[load.started // 2 % len(leaves)]
            way = turn if load.started % 2 else keyed
            load.under_way += 1
            way(agent, load, reactor, load.started).addErrback(broken, load).addBoth(lambda _: finished(load))

    task = LoopingCall(start_due)
    task.start(FEED_S)
    return task


def broken(failure, load):
    """Keep the first traceback of a failed job."""
    load.error = load.error or failure.getTraceback()[-1500:]


def finished(load):
    """Count a job as ended."""
    load.under_way -= 1


def note(load, what):
    """Count an outcome, while measuring."""
    if load.measuring:
        load.outcomes[what] = load.outcomes.get(what, 0) + 1


@inlineCallbacks
def timed(load, reactor, values, asked, kind):
    """Wait for a result; -> whether it was of the kind wanted."""
    at_s = reactor.seconds()
    result = yield asked
    if load.measuring:
        values.append((reactor.seconds() - at_s) * 1000)
    outcome = result.ok if result.is_ok() else result.error
    note(load, type(outcome).__name__)
    return kind is None and result.is_ok() or kind is not None and isinstance(outcome, kind)


@inlineCallbacks
def turn(agent, load, reactor, number):
    """A turn that follows the agent's last; a chain that is as long as the target's is left for a new one."""
    name = agent.settings.name
    chain = load.chains.pop(name, [])
    if len(chain) >= TURNS:
        chain = []
    this = f"{name}-{agent.endpoint.member.incarnation:013x}-{number:010d}"
    program = chain[0] if chain else this
    begin = BeginAttempt(
        this,
        program,
        1 << 30,
        400,
        chain[-1] if chain else "",
        WAIT_MS,
        load.candidates,
        (("part-of-tenant", 2000),),
        "",
        4000,
    )
    ok = yield timed(load, reactor, load.begun_ms, operation_client.call_replicas(agent, begin, WAIT_MS), AttemptBegun)
    if not ok:
        return
    bodied = timed(load, reactor, load.put_ms, turn_store.put(agent, this, load.body, WAIT_MS), None)
    end = operation_client.submit_until_decided(agent, EndAttempt(this, 360, RETENTION_MS, len(load.body)))
    ended = yield timed(load, reactor, load.ended_ms, end, AttemptEnded)
    yield bodied
    if ended:
        load.chains[name] = chain + [this]


@inlineCallbacks
def keyed(agent, load, reactor, number):
    """Claim and resolve an idempotency key."""
    this = f"{agent.settings.name}-{agent.endpoint.member.incarnation:013x}-{number:010d}"
    claim = ClaimOperationKey(f"key-{this}", this, WINDOW_MS)
    ok = yield timed(load, reactor, load.claimed_ms, operation_client.call_replicas(agent, claim, WAIT_MS), KeyClaimed)
    if ok:
        resolve = ResolveOperationKey(f"key-{this}", this, load.body[:400])
        yield timed(load, reactor, load.ended_ms, operation_client.submit_until_decided(agent, resolve), AttemptEnded)
