"""Poll the runners' load reports."""

from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.body_reader import read_body
from frostpost.daemon.context import clock_ms, count
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import Drain
from frostpost.placement.ranking import RunnerHealth


class Report(Struct):
    """A runner's load report."""

    runner: str
    instance: str
    load: float
    room: int
    prefixes: list[str] = []
    leaving: bool = False


@inlineCallbacks
def poll(ctx, runner):
    """Ask one runner for its load and record its health; order a drain mark if it reports that it leaves."""
    health = ctx.runner_health.setdefault(runner.name, RunnerHealth())
    try:
        response = yield ctx.http_agent.get(
            f"http://{runner.host}:{runner.port}/load",
            timeout=ctx.settings.background.load_ms / 1000,
            unbuffered=True,
            reactor=ctx.reactor,
        )
        raw = yield read_body(response, ctx.settings.doors.result_bytes)
        report = json.decode(raw, type=Report)
    except Exception as error:
        health.failed_ms, health.failures = clock_ms(ctx), health.failures + 1
        count(ctx, f"load_error/{type(error).__name__}")
        return
    if report.runner != runner.name or report.instance != runner.instance:
        health.instance = f"{report.runner}/{report.instance}"
        return
    if health.failures and clock_ms(ctx) - health.failed_ms > ctx.settings.weights.rest_ms:
        health.failures = 0
    health.instance, health.load, health.room = report.instance, report.load, report.room
    health.prefixes, health.reported_ms = frozenset(report.prefixes), clock_ms(ctx)
    health.leaving = report.leaving
    if report.leaving and holds_lease(ctx.core, clock_ms(ctx)):
        key = f"{runner.name}/{runner.instance}"
        if key not in ctx.core.ledger.leaving:
            submit(ctx, Drain(runner.name, True), ctx.settings.doors.ask_ms)


def poll_all(ctx):
    """Poll all runners, spread over the interval."""
    if ctx.endpoint.role != "edge" and not ctx.requests_in_flight:
        return
    listed = list(ctx.core.ledger.runners.values())
    names = {r.name for r in listed}
    for gone in [n for n, s in ctx.runner_health.items() if n not in names and not s.in_flight]:
        del ctx.runner_health[gone]
    space_s = ctx.settings.background.load_ms / 1000 / max(1, len(listed))
    for n, runner in enumerate(listed):
        ctx.reactor.callLater(n * space_s, poll, ctx, runner)
