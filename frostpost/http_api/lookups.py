"""Lookups: retried on other runners, attempted once, or run once per idempotency key."""

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
from .forward import was_not_run
from .runner_selection import health_of, rank_runners, record_failure

MAX_RECORDED_RESULT_BYTES = 65536


class LookupRun:
    """One attempt of a lookup: the bytes received and the reason for its end."""

    __slots__ = ("data", "reason", "attempt")

    def __init__(self, attempt):
        self.data, self.reason, self.attempt = bytearray(), None, attempt


@inlineCallbacks
def attempt_once(ctx, call, runner, attempt_timeout_ms):
    """Run a lookup on one runner, for at most `attempt_timeout_ms`."""
    attempt = forward.Attempt(runner, call.may_proceed or forward.always_true)
    run = LookupRun(attempt)
    health = health_of(ctx, runner.name)
    health.in_flight += 1

    def on_data(data):
        run.data += data
        if len(run.data) > ctx.settings.doors.result_bytes:
            stop(forward.TooMuch(ctx.settings.doors.result_bytes))

    ended, stop = forward.start_attempt(
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
        on_data,
        max(1, min(attempt_timeout_ms, remaining_ms(ctx, call))),
    )
    if call.route.repeat != "keyed":
        call.cancel = lambda: stop(forward.Broken("caller gone"))
    run.reason = yield ended
    health.in_flight -= 1
    if run.reason is None:
        health.failures = 0
    elif not call.client_gone and not forward.is_local_failure(run.reason):
        record_failure(ctx, runner.name)
    return run


def decode_result(run):
    """Return the decoded result of an attempt, or the corresponding error."""
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
    """Take one retry from this daemon's retry budget; returns False if none is left."""
    if ctx.retry_tokens < 1:
        count(ctx, "retries_withheld")
        return False
    ctx.retry_tokens -= 1
    return True


@inlineCallbacks
def try_runners(ctx, call, is_repeatable):
    """Try runners in order of preference until one returns a result.

    is_repeatable: whether another runner may be tried although the request may already have run.
    """
    tried, sent = set(), False
    ctx.retry_tokens = min(50.0, ctx.retry_tokens + ctx.settings.doors.retry_ratio)
    while True:
        if remaining_ms(ctx, call) <= 0:
            return Error(errors.Unknown() if sent else errors.DeadlineExceeded())
        candidates = rank_runners(ctx, call, (), tried)
        if not candidates or call.client_gone:
            return Error(errors.Unknown() if sent else errors.RunnersFull())
        attempt_timeout_ms = remaining_ms(ctx, call) * 2 // 3 if is_repeatable else remaining_ms(ctx, call)
        run = yield attempt_once(ctx, call, candidates[0], attempt_timeout_ms)
        if run.reason is None:
            return decode_result(run)
        tried.add(candidates[0].name)
        if was_not_run(run.reason):
            if not spend_retry(ctx):
                return Error(errors.Unknown() if sent else errors.RunnersFull())
            continue
        sent = True
        if isinstance(run.reason, forward.TooMuch) and not is_repeatable:
            return decode_result(run)
        if not is_repeatable or call.client_gone or not spend_retry(ctx):
            return Error(errors.Unknown())
        count(ctx, "free_retries")


@inlineCallbacks
def run_keyed(ctx, call):
    """Run a lookup once per idempotency key; if another call owns the key, wait for its outcome."""
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
                yield wait_for_outcome(ctx, key, remaining_ms(ctx, call))
                if remaining_ms(ctx, call) <= 0:
                    return Error(errors.StillRunning())
            case Won():
                return (yield run_with_key(ctx, call, key))
            case _:
                return Error(errors.Unknown())


@inlineCallbacks
def run_with_key(ctx, call, key):
    """Run a lookup under a key that this call owns and record its outcome.

    The key is released if nothing ran. The result is returned only after the ledger has recorded it.
    """
    submit_timeout_ms = ctx.settings.doors.ask_ms * 2
    call.may_proceed = lambda: owns_key(ctx, key)
    try:
        result = yield try_runners(ctx, call, False)
    except Exception:
        submit(ctx, Finish(key, "unknown", b""), submit_timeout_ms)
        raise
    if result.is_error() and not isinstance(result.error, (errors.Unknown, errors.RunnerError)):
        yield submit(ctx, Unclaim(key), submit_timeout_ms)
        return result
    encoded = json.encode(result.ok) if result.is_ok() else b""
    status = "done" if result.is_ok() and len(encoded) <= MAX_RECORDED_RESULT_BYTES else "unknown"
    recorded = yield submit(ctx, Finish(key, status, encoded if status == "done" else b""), submit_timeout_ms)
    if status == "unknown" or recorded.is_error() or not isinstance(recorded.ok, Done):
        return Error(errors.Unknown())
    return result


def owns_key(ctx, key):
    """Return whether this daemon still owns a key without an outcome."""
    claim = ctx.core.ledger.keys.get(key)
    return claim is not None and claim.owner == ctx.endpoint.member and claim.status == "held"


def wait_for_outcome(ctx, key, timeout_ms):
    """Return a Deferred that fires once a key has an outcome, or after `timeout_ms`."""
    waiter = Deferred()
    ctx.key_waiters.setdefault(key, []).append(waiter)

    def expire():
        if not waiter.called:
            waiter.callback(None)

    timer = ctx.reactor.callLater(max(0.001, timeout_ms / 1000), expire)

    def clean_up(result):
        if timer.active():
            timer.cancel()
        if waiter in ctx.key_waiters.get(key, []):
            ctx.key_waiters[key].remove(waiter)
        return result

    return waiter.addBoth(clean_up)


def wake_key_waiters(ctx):
    """Resume the calls waiting for keys that have an outcome or were released."""
    for key in list(ctx.key_waiters):
        claim = ctx.core.ledger.keys.get(key)
        if claim is None or claim.status != "held":
            for waiter in ctx.key_waiters.pop(key):
                ctx.reactor.callLater(0, fire_once, waiter)


def fire_once(waiter):
    """Fire a Deferred unless it has fired already."""
    if not waiter.called:
        waiter.callback(None)


@inlineCallbacks
def lookup(ctx, call):
    """Serve a lookup according to its route's `repeat` setting."""
    if call.route.repeat == "keyed":
        return (yield run_keyed(ctx, call))
    return (yield try_runners(ctx, call, call.route.repeat == "free"))
