from msgspec import Struct, json
from twisted.internet.defer import inlineCallbacks

from frostpost.http_api.reading import gather
from frostpost.ledger.words import Drain
from frostpost.placement.judge import Status
from frostpost.daemon.context import count, nowMs
from frostpost.daemon.core import leaseOk
from frostpost.daemon.heart import ask


class Report(Struct):
    runner: str
    instance: str
    load: float
    room: int
    prefixes: list[str] = []
    leaving: bool = False


@inlineCallbacks
def poll(ctx, runner):
    status = ctx.statuses.setdefault(runner.name, Status())
    try:
        response = yield ctx.agent.get(
            f"http://{runner.host}:{runner.port}/load",
            timeout=ctx.settings.tending.loadMs / 1000,
            unbuffered=True,
            reactor=ctx.reactor,
        )
        raw = yield gather(response, ctx.settings.doors.verdictBytes)
        report = json.decode(raw, type=Report)
    except Exception as fault:
        status.faultMs, status.faults = nowMs(ctx), status.faults + 1
        count(ctx, f"loadFault/{type(fault).__name__}")
        return
    if report.runner != runner.name or report.instance != runner.instance:
        status.instance = f"{report.runner}/{report.instance}"
        return
    if status.faults and nowMs(ctx) - status.faultMs > ctx.settings.weights.restMs:
        status.faults = 0
    status.instance, status.load, status.room = report.instance, report.load, report.room
    status.prefixes, status.heardMs = frozenset(report.prefixes), nowMs(ctx)
    status.leaving = report.leaving
    if report.leaving and leaseOk(ctx.core, nowMs(ctx)):
        key = f"{runner.name}/{runner.instance}"
        if key not in ctx.core.granary.leaving:
            ask(ctx, Drain(runner.name, True), ctx.settings.doors.askMs)


def pollAll(ctx):
    if ctx.place.role != "edge" and not ctx.flights:
        return
    listed = list(ctx.core.granary.runners.values())
    names = {r.name for r in listed}
    for gone in [n for n, s in ctx.statuses.items() if n not in names and not s.inFlight]:
        del ctx.statuses[gone]
    spaceS = ctx.settings.tending.loadMs / 1000 / max(1, len(listed))
    for n, runner in enumerate(listed):
        ctx.reactor.callLater(n * spaceS, poll, ctx, runner)
