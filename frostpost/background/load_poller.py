"""Poll the runners for their load reports."""

from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.body_reader import read_body
from frostpost.daemon.context import clock_ms, count
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import Drain
from frostpost.placement.ranking import RunnerHealth


class LoadReport(Struct):
    """A runner's load report, a JSON document."""

    runner: str
    instance: str
    load: float
    room: int
    prefixes: list[str] = []
    leaving: bool = False


@inlineCallbacks
def poll_runner(ctx, runner):
    """Fetch a runner's load report and record its health; submit a Drain if it is leaving.

    A report from another runner or instance at this address records only who answered.
    """
    health = ctx.runner_health.setdefault(runner.name, RunnerHealth())
    try:
        response = yield ctx.http_agent.get(
            f"http://{runner.host}:{runner.port}/load",
            timeout=ctx.settings.background.load_ms / 1000,
            unbuffered=True,
            reactor=ctx.reactor,
        )
        raw = yield read_body(response, ctx.settings.doors.result_bytes)
        report = json.decode(raw, type=LoadReport)
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


def poll_all_runners(ctx):
    """Poll all runners, spread over the interval; a daemon that is no edge polls only while it has open requests.

    Drops the health of runners that left the list and have no request in flight.
    """
    if ctx.endpoint.role != "edge" and not ctx.requests_in_flight:
        return
    runners = list(ctx.core.ledger.runners.values())
    names = {r.name for r in runners}
    for removed_name in [n for n, h in ctx.runner_health.items() if n not in names and not h.in_flight]:
        del ctx.runner_health[removed_name]
    spacing_s = ctx.settings.background.load_ms / 1000 / max(1, len(runners))
    for position, runner in enumerate(runners):
        ctx.reactor.callLater(position * spacing_s, poll_runner, ctx, runner)
