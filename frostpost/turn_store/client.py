"""An edge's side of the turn_store: bodies put on a majority of the voters, and fetched from any replica."""

from expression import Error, Ok
from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.cluster import lease_client
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import GetBodiesReply, GetBodiesRequest, PutBodyReply, PutBodyRequest

from .cache import cache_of, lookup, remember
from .repair import is_truncated

RESEND_MS = 300
ASK_OTHER_MS = 150
ASK_AGAIN_MS = 450
RETRY_MS = 1000


class PendingPut(Struct):
    """A body on its way to the replicas; synced: those that have it on disk."""

    number: int
    turn: str
    data: bytes
    result: Deferred
    synced: set[str] = set()
    timers: dict[str, object] = {}


class Synced(Struct, frozen=True):
    """A body is on disk at these replicas, a majority of the voters among them."""

    holders: frozenset[str]


class PendingFetch(Struct):
    """exhausted: the daemons that have said that they lack all of what is still wanted."""

    number: int
    turns: tuple[str, ...]
    found: dict[str, bytes]
    wanted: dict[str, None]
    result: Deferred
    asked: list[str] = []
    exhausted: set[str] = set()
    timers: dict[str, object] = {}


class BodyClient(Struct):
    """Return an agent's puts and fetches; made at first use."""

    number: int = 0
    puts: dict[int, PendingPut] = {}
    fetches: dict[int, PendingFetch] = {}


def client_of(agent):
    """Return an agent's puts and fetches; made at first use."""
    if not isinstance(agent.body_client, BodyClient):
        agent.body_client = BodyClient()
    return agent.body_client


def put(agent, turn, data, wait_ms):
    """-> Deferred[Result[Synced, Unavailable]]: Ok once a majority of the voters has synced the body.

    The voters are those of a lease that runs at that moment.
    """
    state = client_of(agent)
    state.number += 1
    job = PendingPut(state.number, turn, data, Deferred(lambda _: forget_job(state.puts, job)))
    state.puts[job.number] = job
    start_timer(
        agent,
        job,
        "end",
        wait_ms,
        lambda: end_job(state.puts, job, Error(Unavailable(RETRY_MS, "body not synced by a majority of the voters"))),
    )
    send_puts(agent, job)
    return job.result


def send_puts(agent, job):
    """Send a body to every replica that has not confirmed it, and again after a while."""
    start_timer(agent, job, "resend", RESEND_MS, lambda: send_puts(agent, job))
    message = PutBodyRequest(agent.endpoint.member.incarnation, job.number, job.turn, job.data)
    for name, address in lease_client.replica_addresses(agent).items():
        if name not in job.synced:
            agent.links["send"](address, message)


def fetch(agent, turns, wait_ms):
    """-> Deferred[Result[tuple[bytes, ...], Unavailable]], in the order asked for."""
    cache, found = cache_of(agent), {}
    for turn in turns:
        data = lookup(cache, turn)
        if data is not None:
            found[turn] = data
    wanted = {turn: None for turn in turns if turn not in found}
    if not wanted:
        return succeed(Ok(tuple(found[turn] for turn in turns)))
    state = client_of(agent)
    state.number += 1
    job = PendingFetch(state.number, tuple(turns), found, wanted, Deferred(lambda _: forget_job(state.fetches, job)))
    state.fetches[job.number] = job
    start_timer(agent, job, "end", wait_ms, lambda: out_of_reach(agent, job))
    request_from_next(agent, job)
    return job.result


def request_from_next(agent, job):
    """Ask another replica for what is still wanted."""
    names = sorted(lease_client.replica_addresses(agent))
    fresh = [name for name in names if name not in job.asked]
    again = [name for name in job.asked if name in names and name not in job.exhausted]
    if names and not fresh and not again:
        out_of_reach(agent, job)
        return
    wait_ms = ASK_OTHER_MS if len(fresh) > 1 or not names else ASK_AGAIN_MS
    start_timer(agent, job, "other", wait_ms, lambda: request_from_next(agent, job))
    if names:
        request_bodies(agent, job, fresh[job.number % len(fresh)] if fresh else again[0])


def request_bodies(agent, job, name):
    """Ask one replica for what is still wanted."""
    if name in job.asked:
        job.asked.remove(name)
    job.asked.append(name)
    address = lease_client.replica_addresses(agent).get(name)
    if address is not None:
        agent.links["send"](address, GetBodiesRequest(agent.endpoint.member.incarnation, job.number, tuple(job.wanted)))


def out_of_reach(agent, job):
    """End a fetch whose bodies no replica has."""
    end_job(client_of(agent).fetches, job, Error(Unavailable(RETRY_MS, "bodies out of reach")))


def on_reply(agent, name, body):
    """Takes PutBodyReply and GetBodiesReply from the replica of that name; -> whether it was one of them."""
    if not isinstance(body, (PutBodyReply, GetBodiesReply)):
        return False
    state = client_of(agent)
    if body.incarnation == agent.endpoint.member.incarnation:
        if isinstance(body, PutBodyReply) and body.number in state.puts:
            on_put_reply(agent, state.puts[body.number], name, body.synced)
        elif isinstance(body, GetBodiesReply) and body.number in state.fetches:
            on_bodies(agent, state.fetches[body.number], name, body.items)
    return True


def on_put_reply(agent, job, name, synced):
    """Count a replica's confirmation; a majority of the voters ends the put."""
    if not synced:
        return
    job.synced.add(name)
    count_holders(agent, job)


def is_durable_at(agent, holders):
    """Whether these are a majority of the voters under a lease that runs now."""
    voters = lease_client.voters_of(agent)
    return lease_client.holds_lease(agent) and 2 * sum(voter in holders for voter in voters) > len(voters)


def count_holders(agent, job):
    """End a put, and keep its body, once a majority of the voters has it on disk."""
    if is_durable_at(agent, job.synced):
        remember(cache_of(agent), job.turn, job.data)
        end_job(client_of(agent).puts, job, Ok(Synced(frozenset(job.synced))))


def recount_holders(agent):
    """A lease was granted, maybe with other voters: what is put already is counted anew."""
    for job in list(client_of(agent).puts.values()):
        count_holders(agent, job)


def on_bodies(agent, job, name, items):
    """Take in the bodies that a replica sent."""
    for turn, data in items:
        if turn in job.wanted:
            del job.wanted[turn]
            job.found[turn] = data
            remember(cache_of(agent), turn, data)
    if not job.wanted:
        end_job(client_of(agent).fetches, job, Ok(tuple(job.found[turn] for turn in job.turns)))
    elif is_truncated(items):
        request_bodies(agent, job, name)
    elif name not in job.exhausted:
        job.exhausted.add(name)
        answered(agent, job)


def answered(agent, job):
    """Ask the next replica, or give up once all lack what is wanted."""
    names = lease_client.replica_addresses(agent).keys()
    if names <= job.exhausted:
        out_of_reach(agent, job)
    elif not names <= set(job.asked):
        request_from_next(agent, job)


def start_timer(agent, job, what, wait_ms, call):
    """Start a timer of a job in place of the one of the same name."""
    timer = job.timers.pop(what, None)
    if timer is not None and timer.active():
        timer.cancel()
    job.timers[what] = agent.reactor.callLater(max(0, wait_ms) / 1000, call)


def forget_job(jobs, job):
    """Forget a job and cancel its timers."""
    jobs.pop(job.number, None)
    for timer in job.timers.values():
        if timer.active():
            timer.cancel()


def end_job(jobs, job, result):
    """End a job with a result, once."""
    if job.number in jobs:
        forget_job(jobs, job)
        job.result.callback(result)
