"""Polling of the runner list, and propagation of drains between daemons."""

from msgspec import structs
from twisted.internet.defer import maybeDeferred

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import send_lease_requests, session_of
from frostpost.cluster.list_reading import ListReading, digest_of

from .pool import close_expired, close_pools

MAX_BACKOFF = 8
# Share of the list's request rate that all agents together may use.
RATE_SHARE = 0.5
SHARING_MIN_AGENTS = 4
SHARED_DRAIN_RATIO = 0.8
# Turns that the leader grants within one drain interval. A turn and the propagation of its result take two lease
# renewals, so three consecutive turns may fail.
TURNS_PER_DRAIN = 10
# Share of the drain interval without a newer reading after which agents poll on their own.
LEADERLESS_DRAIN_RATIO = 0.5
LEADERLESS_SPREAD_RATIO = 0.5
# Share of the minimum interval over which agents spread their reads after a change.
SPREAD_RATIO = 0.15
DRAIN_REPORT_RETENTION_MS = 15000


def apply_list(agent, runners):
    """Apply a newly fetched list of runners."""
    list_state = agent.runner_list
    draining = tuple(sorted(runner.id for runner in runners if runner.draining))
    newly_draining = set(draining) - set(list_state.draining)
    list_state.draining = draining
    list_state.last = ListReading(digest_of(runner.id for runner in runners), now_ms(agent))
    set_runners(agent, runners)
    for runner_id in [i for i, load in agent.loads.items() if i not in agent.runners and load.own_requests <= 0]:
        del agent.loads[runner_id]
    if newly_draining:
        send_lease_requests(agent)


def set_runners(agent, runners):
    """Replace the runners, marking those reported by other daemons as draining."""
    now, reported = now_ms(agent), agent.runner_list.reported_draining
    agent.runners = {
        r.id: structs.replace(r, draining=True) if reported.get(r.id, 0) > now and not r.draining else r
        for r in runners
    }
    close_pools(agent, [i for i in agent.pools if i not in agent.runners or agent.runners[i].draining])


def on_draining(agent, runner_ids):
    """Mark runners as draining that another daemon's list shows as draining."""
    reported, until_ms = agent.runner_list.reported_draining, now_ms(agent) + DRAIN_REPORT_RETENTION_MS
    reported.update((runner_id, until_ms) for runner_id in runner_ids)
    if any(runner_id in agent.runners and not agent.runners[runner_id].draining for runner_id in runner_ids):
        set_runners(agent, agent.runners.values())
    for runner_id in [n for n, until in reported.items() if until <= now_ms(agent)]:
        del reported[runner_id]


def min_interval_ms(agent):
    """Return the minimum interval between two reads after changes, bounded by the list's rate for all agents."""
    settings, agents = agent.settings, session_of(agent).agent_count
    own_ms = settings.list_ms if agents < SHARING_MIN_AGENTS else int(settings.drain_ms * SHARED_DRAIN_RATIO)
    calls = agents * agent.runner_list.pages
    return max(own_ms, int(1000 * calls / (RATE_SHARE * settings.list_rate_per_s)))


def poll_period_ms(agent):
    """Return the interval between two turns of the whole fleet, bounded by the list's rate."""
    settings = agent.settings
    rate_ms = 1000 * agent.runner_list.pages / (RATE_SHARE * settings.list_rate_per_s)
    return max(1, settings.drain_ms // TURNS_PER_DRAIN, int(rate_ms))


def leaderless_wait_ms(agent, random):
    """Return the age of the newest known reading at which this agent polls on its own, without a turn from the leader.

    random: from 0 to 1. Spread over the turns of all agents, so that about one of them reads in a period.
    """
    drain_ms = agent.settings.drain_ms
    spread_ms = max(drain_ms * LEADERLESS_SPREAD_RATIO, session_of(agent).agent_count * poll_period_ms(agent))
    return int(drain_ms * LEADERLESS_DRAIN_RATIO + random * spread_ms)


class ListPoller:
    """Reads the list when the leader grants this agent a turn, or when another agent's newer reading differs.

    Without a leader it polls on its own. Runs on the event loop; created by `poll`. failures: consecutive failed reads.
    started_ms: start of the last read. newest_ms: time of the newest reading by any agent.
    """

    __slots__ = (
        "agent",
        "timer",
        "failures",
        "stopped",
        "started_ms",
        "newest_ms",
        "due_ms",
        "is_reading",
        "change_pending",
    )

    def __init__(self, agent):
        self.agent, self.timer, self.failures, self.stopped = agent, None, 0, False
        self.started_ms = self.newest_ms = self.due_ms = now_ms(agent)
        self.is_reading = self.change_pending = False

    def fetch(self):
        """Read the list now."""
        self._cancel()
        self.started_ms, self.is_reading, self.change_pending = now_ms(self.agent), True, False
        close_expired(self.agent)
        maybeDeferred(self.agent.attachments["fetch_list"]).addCallbacks(self._on_fetched, self._on_failed)

    def poll_period_ms(self):
        """Return the turn period that the next lease request asks for; 0 while this agent can take no turn."""
        return poll_period_ms(self.agent) if self._may_read() else 0

    def on_poll_granted(self):
        """Handle a turn granted by the leader."""
        if self._may_read():
            self.fetch()

    def on_newest_reading(self, newest):
        """Handle the newest reading of any agent, received with a lease; schedules a read if its list differs."""
        if not self._may_read() or newest.read_ms <= self.newest_ms:
            return
        self.newest_ms = newest.read_ms
        last = self.agent.runner_list.last
        if newest.digest != last.digest and newest.read_ms > last.read_ms:
            self._schedule_after_change()
        elif not self.change_pending:
            self._schedule_leaderless()

    def stop(self):
        """Stop polling."""
        self.stopped = True
        self._cancel()

    def _may_read(self):
        return not (self.is_reading or self.failures or self.stopped)

    def _on_fetched(self, runners):
        self.is_reading, self.failures = False, 0
        apply_list(self.agent, runners)
        self.newest_ms = self.agent.runner_list.last.read_ms
        self._schedule_leaderless()

    def _on_failed(self, failure):
        count(self.agent, "list_failures")
        self.is_reading = False
        self.failures += 1
        settings, backoff = self.agent.settings, min(MAX_BACKOFF, 1 << self.failures) / 2
        wait_ms = min(backoff * settings.list_ms, max(settings.list_ms, settings.drain_ms // 2))
        self._schedule(now_ms(self.agent) + wait_ms * (0.8 + 0.2 * self._random()))

    def _random(self):
        return int(self.agent.machine.token(2), 16) / 65535

    def _schedule_after_change(self):
        """Schedule a read soon, since another agent has read a newer list."""
        min_ms = min_interval_ms(self.agent)
        spread_ms = int(SPREAD_RATIO * min_ms * self._random())
        due_ms = max(now_ms(self.agent) + spread_ms, self.started_ms + min_ms)
        if not self.change_pending or due_ms < self.due_ms:
            self.change_pending = True
            self._schedule(due_ms)

    def _schedule_leaderless(self):
        """Schedule a read for the case that no newer reading is reported."""
        self._schedule(self.newest_ms + leaderless_wait_ms(self.agent, self._random()))

    def _schedule(self, due_ms):
        self._cancel()
        if not self.stopped:
            self.due_ms = int(due_ms)
            wait_s = max(0, self.due_ms - now_ms(self.agent)) / 1000
            self.timer = self.agent.reactor.callLater(wait_s, self.fetch)

    def _cancel(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


def poll(agent):
    """Start polling the list; returns a function that stops it."""
    poller, list_state = ListPoller(agent), agent.runner_list
    list_state.on_draining = lambda runner_ids: on_draining(agent, runner_ids)
    list_state.on_newest_reading, list_state.on_poll_granted, list_state.poll_period_ms = (
        poller.on_newest_reading,
        poller.on_poll_granted,
        poller.poll_period_ms,
    )
    poller.fetch()
    return poller.stop
