"""Lookups: repeated, tried once, or shared by idempotency key."""

from hashlib import blake2b

from expression import Error, Ok
from msgspec import DecodeError, json
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.daemon.context import count
from frostpost.daemon.heart import ask
from frostpost.ledger.operations import ClaimKey, Finish, Unclaim
from frostpost.ledger.results import Done, KeyReused, Shared, Won

from . import carry, faults
from .calls import remaining_ms
from .carry import unsent
from .selecting import faulted, select, status_of

VERDICT_BYTES = 65536


class Run:
    """One attempt of a lookup: the bytes heard and how it ended."""

    __slots__ = ("data", "reason", "go")

    def __init__(self, go):
        self.data, self.reason, self.go = bytearray(), None, go


@inlineCallbacks
def once(ctx, call, runner, share_ms):
    """Run a lookup on one runner, for at most `share_ms`."""
    go = carry.Go(runner, call.still or carry.always)
    run = Run(go)
    status = status_of(ctx, runner.name)
    status.in_flight += 1

    def hear(data):
        run.data += data
        if len(run.data) > ctx.settings.doors.verdict_bytes:
            stop(carry.TooMuch(ctx.settings.doors.verdict_bytes))

    ended, stop = carry.start(
        ctx,
        go,
        "/run",
        {
            "runner": runner.name,
            "instance": runner.instance,
            "kind": "lookup",
            "request": call.id,
            "lane": call.lane_name,
            "tenant": call.tenant,
            "input": call.document["input"],
            "key": call.document.get("key"),
            "config": dict(call.lane.marks),
        },
        hear,
        max(1, min(share_ms, remaining_ms(ctx, call))),
    )
    if call.lane.repeat != "keyed":
        call.stop = lambda: stop(carry.Broken("caller gone"))
    run.reason = yield ended
    status.in_flight -= 1
    if run.reason is None:
        status.faults = 0
    elif not call.gone and not carry.ours(run.reason):
        faulted(ctx, runner.name)
    return run


def read(run):
    """Return the result that a run brought, or the error that it means."""
    if isinstance(run.reason, carry.TooMuch):
        return Error(faults.RunnerFault(run.go.runner.name, "a verdict too long"))
    if run.reason is not None:
        return Error(faults.Unknown())
    try:
        document = json.decode(bytes(run.data))
        return Ok(document["result"])
    except (DecodeError, KeyError, TypeError):
        return Error(faults.RunnerFault(run.go.runner.name, "unreadable verdict"))


def spend_retry(ctx):
    """Take one retry from this daemon's retry budget; False if none is left."""
    if ctx.retries < 1:
        count(ctx, "retries_withheld")
        return False
    ctx.retries -= 1
    return True


@inlineCallbacks
def goes(ctx, call, free):
    """Try runners in order until one answers; after a sent request only if the route may repeat."""
    tried, sent = set(), False
    ctx.retries = min(50.0, ctx.retries + ctx.settings.doors.retry_ratio)
    while True:
        if remaining_ms(ctx, call) <= 0:
            return Error(faults.Unknown() if sent else faults.LimitPassed())
        ranked = select(ctx, call, (), tried)
        if not ranked or call.gone:
            return Error(faults.Unknown() if sent else faults.RunnersFull())
        share = remaining_ms(ctx, call) * 2 // 3 if free else remaining_ms(ctx, call)
        run = yield once(ctx, call, ranked[0], share)
        if run.reason is None:
            return read(run)
        tried.add(ranked[0].name)
        if unsent(run.reason):
            if not spend_retry(ctx):
                return Error(faults.Unknown() if sent else faults.RunnersFull())
            continue
        sent = True
        if isinstance(run.reason, carry.TooMuch) and not free:
            return read(run)
        if not free or call.gone or not spend_retry(ctx):
            return Error(faults.Unknown())
        count(ctx, "free_retries")


@inlineCallbacks
def keyed(ctx, call):
    """Run a lookup once per idempotency key, or wait for the attempt that owns the key."""
    key = f"{call.tenant}/{call.lane_name}/{call.document['key']}"
    digest = blake2b(call.document["input"].encode(), digest_size=16).hexdigest()
    while True:
        result = yield ask(
            ctx,
            ClaimKey(key, digest, call.lane.key_window_ms),
            min(ctx.settings.doors.ask_ms, max(1, remaining_ms(ctx, call))),
        )
        if result.is_error():
            return result
        match result.ok:
            case KeyReused():
                return Error(faults.KeyMismatch())
            case Shared("done", verdict):
                count(ctx, "keys_shared")
                return Ok(json.decode(verdict))
            case Shared("unknown", _):
                return Error(faults.Unknown())
            case Shared():
                yield settled(ctx, key, remaining_ms(ctx, call))
                if remaining_ms(ctx, call) <= 0:
                    return Error(faults.StillRunning())
            case Won():
                return (yield owned(ctx, call, key))
            case _:
                return Error(faults.Unknown())


@inlineCallbacks
def owned(ctx, call, key):
    """Run a lookup under a key that this call owns, and record its outcome."""
    ask_ms = ctx.settings.doors.ask_ms * 2
    call.still = lambda: holds(ctx, key)
    try:
        result = yield goes(ctx, call, False)
    except Exception:
        ask(ctx, Finish(key, "unknown", b""), ask_ms)
        raise
    if result.is_error() and not isinstance(result.error, (faults.Unknown, faults.RunnerFault)):
        yield ask(ctx, Unclaim(key), ask_ms)
        return result
    verdict = json.encode(result.ok) if result.is_ok() else b""
    status = "done" if result.is_ok() and len(verdict) <= VERDICT_BYTES else "unknown"
    told = yield ask(ctx, Finish(key, status, verdict if status == "done" else b""), ask_ms)
    if status == "unknown" or told.is_error() or not isinstance(told.ok, Done):
        return Error(faults.Unknown())
    return result


def holds(ctx, key):
    """Tell whether this daemon still owns a key."""
    claim = ctx.core.ledger.keys.get(key)
    return claim is not None and claim.owner == ctx.place.member and claim.status == "held"


def settled(ctx, key, wait_ms):
    """Return a Deferred that fires once a key has an outcome, or after `wait_ms`."""
    waiting = Deferred()
    ctx.key_waiters.setdefault(key, []).append(waiting)

    def expire():
        if not waiting.called:
            waiting.callback(None)

    timer = ctx.reactor.callLater(max(0.001, wait_ms / 1000), expire)

    def tidy(result):
        if timer.active():
            timer.cancel()
        if waiting in ctx.key_waiters.get(key, []):
            ctx.key_waiters[key].remove(waiting)
        return result

    return waiting.addBoth(tidy)


def wake(ctx):
    """Wake the calls that wait for keys which have an outcome now."""
    for key in list(ctx.key_waiters):
        claim = ctx.core.ledger.keys.get(key)
        if claim is None or claim.status != "held":
            for waiting in ctx.key_waiters.pop(key):
                ctx.reactor.callLater(0, fire, waiting)


def fire(waiting):
    """Fire a waiting Deferred once."""
    if not waiting.called:
        waiting.callback(None)


@inlineCallbacks
def lookup(ctx, call):
    """Serve a lookup as its route says."""
    if call.lane.repeat == "keyed":
        return (yield keyed(ctx, call))
    return (yield goes(ctx, call, call.lane.repeat == "free"))
