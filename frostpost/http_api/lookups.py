from hashlib import blake2b

from expression import Error, Ok
from msgspec import DecodeError, json
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.ledger.words import ClaimKey, Done, Finish, KeyReused, Shared, Unclaim, Won
from frostpost.daemon.context import count
from frostpost.daemon.heart import ask
from . import carry, faults
from .calls import leftMs
from .carry import unsent
from .turns import faulted, select, statusOf

VERDICT_BYTES = 65536


class Run:
    __slots__ = ("data", "reason", "go")

    def __init__(self, go):
        self.data, self.reason, self.go = bytearray(), None, go


@inlineCallbacks
def once(ctx, call, runner, shareMs):
    go = carry.Go(runner, call.still or carry.always)
    run = Run(go)
    status = statusOf(ctx, runner.name)
    status.inFlight += 1

    def hear(data):
        run.data += data
        if len(run.data) > ctx.settings.doors.verdictBytes:
            stop(carry.TooMuch(ctx.settings.doors.verdictBytes))

    ended, stop = carry.start(
        ctx,
        go,
        "/run",
        {
            "runner": runner.name,
            "instance": runner.instance,
            "kind": "lookup",
            "request": call.id,
            "lane": call.laneName,
            "tenant": call.tenant,
            "input": call.document["input"],
            "key": call.document.get("key"),
            "config": dict(call.lane.marks),
        },
        hear,
        max(1, min(shareMs, leftMs(ctx, call))),
    )
    if call.lane.repeat != "keyed":
        call.stop = lambda: stop(carry.Broken("caller gone"))
    run.reason = yield ended
    status.inFlight -= 1
    if run.reason is None:
        status.faults = 0
    elif not call.gone and not carry.ours(run.reason):
        faulted(ctx, runner.name)
    return run


def read(run):
    if isinstance(run.reason, carry.TooMuch):
        return Error(faults.RunnerFault(run.go.runner.name, "a verdict too long"))
    if run.reason is not None:
        return Error(faults.Unknown())
    try:
        document = json.decode(bytes(run.data))
        return Ok(document["result"])
    except (DecodeError, KeyError, TypeError):
        return Error(faults.RunnerFault(run.go.runner.name, "unreadable verdict"))


def spendRetry(ctx):
    if ctx.retries < 1:
        count(ctx, "retriesWithheld")
        return False
    ctx.retries -= 1
    return True


@inlineCallbacks
def goes(ctx, call, free):
    tried, sent = set(), False
    ctx.retries = min(50.0, ctx.retries + ctx.settings.doors.retryRatio)
    while True:
        if leftMs(ctx, call) <= 0:
            return Error(faults.Unknown() if sent else faults.LimitPassed())
        ranked = select(ctx, call, (), tried)
        if not ranked or call.gone:
            return Error(faults.Unknown() if sent else faults.RunnersFull())
        share = leftMs(ctx, call) * 2 // 3 if free else leftMs(ctx, call)
        run = yield once(ctx, call, ranked[0], share)
        if run.reason is None:
            return read(run)
        tried.add(ranked[0].name)
        if unsent(run.reason):
            if not spendRetry(ctx):
                return Error(faults.Unknown() if sent else faults.RunnersFull())
            continue
        sent = True
        if isinstance(run.reason, carry.TooMuch) and not free:
            return read(run)
        if not free or call.gone or not spendRetry(ctx):
            return Error(faults.Unknown())
        count(ctx, "freeRetries")


@inlineCallbacks
def keyed(ctx, call):
    key = f"{call.tenant}/{call.laneName}/{call.document['key']}"
    digest = blake2b(call.document["input"].encode(), digest_size=16).hexdigest()
    while True:
        result = yield ask(
            ctx, ClaimKey(key, digest, call.lane.keyWindowMs), min(ctx.settings.doors.askMs, max(1, leftMs(ctx, call)))
        )
        if result.is_error():
            return result
        match result.ok:
            case KeyReused():
                return Error(faults.KeyMismatch())
            case Shared("done", verdict):
                count(ctx, "keysShared")
                return Ok(json.decode(verdict))
            case Shared("unknown", _):
                return Error(faults.Unknown())
            case Shared():
                yield settled(ctx, key, leftMs(ctx, call))
                if leftMs(ctx, call) <= 0:
                    return Error(faults.StillRunning())
            case Won():
                return (yield owned(ctx, call, key))
            case _:
                return Error(faults.Unknown())


@inlineCallbacks
def owned(ctx, call, key):
    askMs = ctx.settings.doors.askMs * 2
    call.still = lambda: holds(ctx, key)
    try:
        result = yield goes(ctx, call, False)
    except Exception:
        ask(ctx, Finish(key, "unknown", b""), askMs)
        raise
    if result.is_error() and not isinstance(result.error, (faults.Unknown, faults.RunnerFault)):
        yield ask(ctx, Unclaim(key), askMs)
        return result
    verdict = json.encode(result.ok) if result.is_ok() else b""
    status = "done" if result.is_ok() and len(verdict) <= VERDICT_BYTES else "unknown"
    told = yield ask(ctx, Finish(key, status, verdict if status == "done" else b""), askMs)
    if status == "unknown" or told.is_error() or not isinstance(told.ok, Done):
        return Error(faults.Unknown())
    return result


def holds(ctx, key):
    claim = ctx.core.granary.keys.get(key)
    return claim is not None and claim.owner == ctx.place.member and claim.status == "held"


def settled(ctx, key, waitMs):
    waiting = Deferred()
    ctx.keyWaiters.setdefault(key, []).append(waiting)

    def expire():
        if not waiting.called:
            waiting.callback(None)

    timer = ctx.reactor.callLater(max(0.001, waitMs / 1000), expire)

    def tidy(result):
        if timer.active():
            timer.cancel()
        if waiting in ctx.keyWaiters.get(key, []):
            ctx.keyWaiters[key].remove(waiting)
        return result

    return waiting.addBoth(tidy)


def wake(ctx):
    for key in list(ctx.keyWaiters):
        claim = ctx.core.granary.keys.get(key)
        if claim is None or claim.status != "held":
            for waiting in ctx.keyWaiters.pop(key):
                ctx.reactor.callLater(0, fire, waiting)


def fire(waiting):
    if not waiting.called:
        waiting.callback(None)


@inlineCallbacks
def lookup(ctx, call):
    if call.lane.repeat == "keyed":
        return (yield keyed(ctx, call))
    return (yield goes(ctx, call, call.lane.repeat == "free"))
