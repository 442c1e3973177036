from frostpost.ledger import duties
from frostpost.ledger.words import Tick
from frostpost.daemon.context import nowMs
from frostpost.daemon.core import leaseOk
from frostpost.daemon.heart import ask


def tickLedger(ctx):
    fence = duties.held(ctx.core.granary, "ticks", ctx.place.member)
    now = nowMs(ctx)
    if not fence or not leaseOk(ctx.core, now):
        ctx.tickMs = 0
        return
    lastMs, ctx.tickMs = ctx.tickMs, now
    if lastMs:
        ask(ctx, Tick(fence, min(now - lastMs, 3 * ctx.settings.tending.tickMs)), ctx.settings.doors.askMs)
