"""Time of day that all daemons agree on, although the clocks of their machines differ and may be set.

With each lease request an agent sends its time of day. The leader takes the median of what the agents with a running
lease and it itself show, and returns it with the lease. Each daemon keeps the difference to its own monotonic clock, so
setting the clock of one machine moves nothing.
"""

from statistics import median_low

from msgspec import Struct

MEDIAN_INTERVAL_MS = 250
# A reply after a longer time tells too little; it is used only by an agent that knows no better.
MAX_REPLY_DELAY_MS = 500
NEVER_MS = -(1 << 40)


class FleetClock(Struct):
    """The leader's cached median: fleet time minus its own monotonic clock, as computed at computed_ms."""

    offset_ms: int = 0
    computed_ms: int = NEVER_MS


def own_offset_ms(machine, now_ms):
    """Return the time of day of this machine minus its monotonic clock."""
    return int(machine.wall_s() * 1000) - now_ms


def leader_time_ms(clock, sessions, machine, now_ms):
    """Return the fleet's time of day at the leader, in milliseconds since 1970; `sessions` are those of its agents."""
    if now_ms - clock.computed_ms >= MEDIAN_INTERVAL_MS:
        offsets = [s.wall_offset_ms for s in sessions if s.wall_offset_ms is not None and s.until_ms > now_ms]
        clock.offset_ms = median_low([*offsets, own_offset_ms(machine, now_ms)])
        clock.computed_ms = now_ms
    return now_ms + clock.offset_ms


def on_grant(session, grant, now_ms):
    """Take over the fleet's time of day from a lease reply, which was sent half a round trip ago."""
    reply_delay_ms = now_ms - grant.sent_ms
    if not grant.fleet_ms or session.fleet_offset_ms is not None and reply_delay_ms > MAX_REPLY_DELAY_MS:
        return
    session.fleet_offset_ms = grant.fleet_ms + reply_delay_ms // 2 - now_ms


def agent_time_ms(agent, monotonic_ms):
    """Return the fleet's time of day at a time of this agent's monotonic clock."""
    session = agent.session
    if session is None or session.fleet_offset_ms is None:
        return monotonic_ms + own_offset_ms(agent.machine, int(agent.machine.seconds() * 1000))
    return monotonic_ms + session.fleet_offset_ms
