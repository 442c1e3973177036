"""Lookups: repeated, tried once, or shared by idempotency key."""

from hashlib import blake2b

from expression import Error, Ok
from msgspec import DecodeError, json
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.daemon.context import count
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import ClaimKey, Finish, Unclaim
from frostpost.ledger.results import Done, KeyReused, Shared, Won

from . import errors, forward
from .calls import remaining_ms
from .forward import unsent
from .selecting import health_of, record_failure, select

RESULT_BYTES = 65536


class Run:
    """One attempt of a lookup: the bytes heard and how it ended."""

    __slots__ = ("data", "reason", "attempt")

    def __init__(self, attempt):
        self.data, self.reason, self.attempt = bytearray(), None, attempt


@inlineCallbacks
def once(ctx, call, runner, share_ms):
    """Run a lookup on one runner, for at most `share_ms`."""
    attempt = forward.Attempt(runner, call.still or forward.always)
    run = Run(attempt)
    status = health_of(ctx, runner.name)
    status.in_flight += 1

    def hear(data):
        run.data += data
        if len(run.data) > ctx.settings.doors.result_bytes:
            stop(forward.TooMuch(ctx.settings.doors.result_bytes))

    ended, stop = forward.start(
        ctx,
        attempt,
        "/run",
        {
            "runner": runner.name,
            "instance": runner.instance,
            "kind": "lookup",
            "request": call.id,
            "route": call.route_name,
            "tenant": call.tenant,
            "input": call.document["input"],
            "key": call.document.get("key"),
            "config": dict(call.route.marks),
        },
        hear,
        max(1, min(share_ms, remaining_ms(ctx, call))),
    )
    if call.route.repeat != "keyed":
        call.stop = lambda: stop(forward.Broken("caller gone"))
    run.reason = yield ended
    status.in_flight -= 1
    if run.reason is None:
        status.failures = 0
    elif not call.gone and not forward.ours(run.reason):
        record_failure(ctx, runner.name)
    return run


def read(run):
    """Return the result that a run brought, or the error that it means."""
    if isinstance(run.reason, forward.TooMuch):
        return Error(errors.RunnerError(run.attempt.runner.name, "a result too long"))
    if run.reason is not None:
        return Error(errors.Unknown())
    try:
        document = json.decode(bytes(run.data))
        return Ok(document["result"])
    except (DecodeError, KeyError, TypeError):
        return Error(errors.RunnerError(run.attempt.runner.name, "unreadable result"))


def spend_retry(ctx):
    """Take one retry from this daemon's retry budget; False if none is left."""
    if ctx.retry_tokens < 1:
        count(ctx, "retries_withheld")
        return False
    ctx.retry_tokens -= 1
    return True


@inlineCallbacks
def try_runners(ctx, call, free):
    """Try runners in order until one answers; after a sent request only if the route may repeat."""
    tried, sent = set(), False
    ctx.retry_tokens = min(50.0, ctx.retry_tokens + ctx.settings.doors.retry_ratio)
    while True:
        if remaining_ms(ctx, call) <= 0:
            return Error(errors.Unknown() if sent else errors.DeadlineExceeded())
        ranked = select(ctx, call, (), tried)
        if not ranked or call.gone:
            return Error(errors.Unknown() if sent else errors.RunnersFull())
        share = remaining_ms(ctx, call) * 2 // 3 if free else remaining_ms(ctx, call)
        run = yield once(ctx, call, ranked[0], share)
        if run.reason is None:
            return read(run)
        tried.add(ranked[0].name)
        if unsent(run.reason):
            if not spend_retry(ctx):
                return Error(errors.Unknown() if sent else errors.RunnersFull())
            continue
        sent = True
        if isinstance(run.reason, forward.TooMuch) and not free:
            return read(run)
        if not free or call.gone or not spend_retry(ctx):
            return Error(errors.Unknown())
        count(ctx, "free_retries")


@inlineCallbacks
def keyed(ctx, call):
    """Run a lookup once per idempotency key, or wait for the attempt that owns the key."""
    key = f"{call.tenant}/{call.route_name}/{call.document['key']}"
    digest = blake2b(call.document["input"].encode(), digest_size=16).hexdigest()
    while True:
        result = yield submit(
            ctx,
            ClaimKey(key, digest, call.route.key_window_ms),
            min(ctx.settings.doors.ask_ms, max(1, remaining_ms(ctx, call))),
        )
        if result.is_error():
            return result
        match result.ok:
            case KeyReused():
                return Error(errors.KeyMismatch())
            case Shared("done", encoded):
                count(ctx, "keys_shared")
                return Ok(json.decode(encoded))
            case Shared("unknown", _):
                return Error(errors.Unknown())
            case Shared():
                yield settled(ctx, key, remaining_ms(ctx, call))
                if remaining_ms(ctx, call) <= 0:
                    return Error(errors.StillRunning())
            case Won():
                return (yield owned(ctx, call, key))
            case _:
                return Error(errors.Unknown())


@inlineCallbacks
def owned(ctx, call, key):
    """Run a lookup under a key that this call owns, and record its outcome."""
    ask_ms = ctx.settings.doors.ask_ms * 2
    call.still = lambda: holds(ctx, key)
    try:
        result = yield try_runners(ctx, call, False)
    except Exception:
        submit(ctx, Finish(key, "unknown", b""), ask_ms)
        raise
    if result.is_error() and not isinstance(result.error, (errors.Unknown, errors.RunnerError)):
        yield submit(ctx, Unclaim(key), ask_ms)
        return result
    encoded = json.encode(result.ok) if result.is_ok() else b""
    status = "done" if result.is_ok() and len(encoded) <= RESULT_BYTES else "unknown"
    told = yield submit(ctx, Finish(key, status, encoded if status == "done" else b""), ask_ms)
    if status == "unknown" or told.is_error() or not isinstance(told.ok, Done):
        return Error(errors.Unknown())
    return result


def holds(ctx, key):
    """Tell whether this daemon still owns a key."""
    claim = ctx.core.ledger.keys.get(key)
    return claim is not None and claim.owner == ctx.endpoint.member and claim.status == "held"


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
    if call.route.repeat == "keyed":
        return (yield keyed(ctx, call))
    return (yield try_runners(ctx, call, call.route.repeat == "free"))
