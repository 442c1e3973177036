"""Schedule of the fleet's polls of the platform's runner list, granted by the leader with the leases.

One reading serves all agents, so one joint rate is enough. Were each agent to poll on its own timer, a common event
could synchronise all timers and leave a gap as long as one agent's interval. The leader grants the next poll to the
next agent that renews its lease after the period is over. An agent that is gone does not renew and is skipped; a failed
poll is not waited for, the next one makes up for it.

As long as one polling agent renews its lease, two polls lie at most a period and a renewal interval apart, and one
interval more at the end of a round.
"""

from msgspec import Struct, field


class ListPollSchedule(Struct):
    """Soft state of the replica that leads; a new leader starts afresh by granting a poll at once.

    due_ms: when the next poll is due, on the leader's clock. served: the agents that polled in this round.
    """

    due_ms: int = 0
    served: set[str] = field(default_factory=set)


def grant_poll(schedule, agent_name, period_ms, renewal_ms, now_ms):
    """Whether the agent that renews its lease now is to poll the list, as a bool.

    period_ms: the time between two polls that the agent requests; 0 if it can't poll now. renewal_ms: how often each
    agent renews. An agent that has polled in this round is skipped for one renewal interval, in which all others renew;
    if none of them takes the poll, a new round begins.
    """
    if period_ms <= 0 or now_ms < schedule.due_ms:
        return False
    if agent_name in schedule.served:
        if now_ms < schedule.due_ms + renewal_ms:
            return False
        schedule.served.clear()
    schedule.served.add(agent_name)
    schedule.due_ms = now_ms + period_ms
    return True
