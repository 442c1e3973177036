"""Advance the ledger's clock."""

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease
from frostpost.daemon.event_loop import submit
from frostpost.ledger import singleton_roles
from frostpost.ledger.operations import Tick


def tick_ledger(ctx):
    """Submit the milliseconds since the last tick to the ledger, if this daemon holds the role "ticks".

    A tick advances the clock by at most three intervals. The first tick after the role or the lease was lost only
    restarts the measurement.
    """
    fencing_token = singleton_roles.fencing_token(ctx.core.ledger, "ticks", ctx.endpoint.member)
    now_ms = clock_ms(ctx)
    if not fencing_token or not holds_lease(ctx.core, now_ms):
        ctx.last_ledger_tick_ms = 0
        return
    last_ms, ctx.last_ledger_tick_ms = ctx.last_ledger_tick_ms, now_ms
    if last_ms:
        submit(
            ctx,
            Tick(fencing_token, min(now_ms - last_ms, 3 * ctx.settings.background.tick_ms)),
            ctx.settings.doors.ask_ms,
        )
