"""Advance the ledger's clock."""

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.ledger import singleton_roles
from frostpost.ledger.operations import Tick


def tick_ledger(ctx):
    """Order the milliseconds since the last tick, if this daemon holds that duty."""
    fence = singleton_roles.fencing_token(ctx.core.ledger, "ticks", ctx.endpoint.member)
    now = clock_ms(ctx)
    if not fence or not holds_lease(ctx.core, now):
        ctx.last_ledger_tick_ms = 0
        return
    last_ms, ctx.last_ledger_tick_ms = ctx.last_ledger_tick_ms, now
    if last_ms:
        submit(ctx, Tick(fence, min(now - last_ms, 3 * ctx.settings.background.tick_ms)), ctx.settings.doors.ask_ms)
