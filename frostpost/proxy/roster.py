"""The list of runners, kept current; what one daemon's list shows as draining, all daemons know."""

from msgspec import structs
from twisted.internet.defer import maybeDeferred

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import send_lease_requests, session_of
from frostpost.cluster.list_reading import ListReading, digest_of

from .pool import close_pools, sweep

MOST_BACKOFF = 8
RATE_SHARE = 0.5
SHARING = 4
SHARED_DRAIN_RATIO = 0.8
# All agents together read the list this often in the time that a draining runner may still be sent to: so often that
# a gap of half that time between two readings, at random moments, is out of the question.
READINGS_PER_DRAIN = 20
# Those who learn that the list has changed read it within this part of the shortest interval, not all at once.
SPREAD_RATIO = 0.15
TOLD_MS = 15000


def take_list(agent, runners):
    """Replace the runners by those of a new list."""
    listed = agent.runner_list
    draining = tuple(sorted(runner.id for runner in runners if runner.draining))
    newly_draining = set(draining) - set(listed.draining)
    listed.draining = draining
    listed.last = ListReading(digest_of(runner.id for runner in runners), now_ms(agent))
    set_runners(agent, runners)
    for runner_id in [i for i, load in agent.loads.items() if i not in agent.runners and load.own <= 0]:
        del agent.loads[runner_id]
    if newly_draining:
        send_lease_requests(agent)


def set_runners(agent, runners):
    """Replace the runners; those that other daemons tell of as draining are so here too."""
    now, told = now_ms(agent), agent.runner_list.reported_draining
    agent.runners = {
        r.id: structs.replace(r, draining=True) if told.get(r.id, 0) > now and not r.draining else r for r in runners
    }
    close_pools(agent, [i for i in agent.pools if i not in agent.runners or agent.runners[i].draining])


def on_draining(agent, names):
    """Runners that another daemon's list shows as draining."""
    told, until_ms = agent.runner_list.reported_draining, now_ms(agent) + TOLD_MS
    told.update((name, until_ms) for name in names)
    if any(name in agent.runners and not agent.runners[name].draining for name in names):
        set_runners(agent, agent.runners.values())
    for name in [n for n, until in told.items() if until <= now_ms(agent)]:
        del told[name]


def least_interval_ms(agent):
    """The shortest time between two readings: often enough alone, else shared, never above the list's rate for all."""
    settings, agents = agent.settings, session_of(agent).agent_count
    own_ms = settings.list_ms if agents < SHARING else int(settings.drain_ms * SHARED_DRAIN_RATIO)
    calls = agents * agent.runner_list.pages
    return max(own_ms, int(1000 * calls / (RATE_SHARE * settings.list_rate_per_s)))


def interval_ms(agent):
    """The time between two readings while nothing changes: the more agents read, the less often each of them does."""
    joint_ms = agent.settings.drain_ms * session_of(agent).agent_count // READINGS_PER_DRAIN
    return max(least_interval_ms(agent), joint_ms)


class ListPoller:
    """Reads the list again and again, sooner when another agent's newer reading shows another list.

    Made by `poll`; runs on the event loop. failures: readings in a row that failed. started_ms: of the last reading.
    """

    __slots__ = ("agent", "timer", "failures", "stopped", "started_ms", "due_ms", "reading")

    def __init__(self, agent):
        self.agent, self.timer, self.failures, self.stopped = agent, None, 0, False
        self.started_ms = self.due_ms = now_ms(agent)
        self.reading = False

    def fetch(self):
        """Read the list now."""
        self.started_ms, self.reading = now_ms(self.agent), True
        sweep(self.agent)
        maybeDeferred(self.agent.extras["fetch_list"]).addCallbacks(self._fetched, self._failed)

    def on_newest(self, newest):
        """A lease tells of the newest reading of any agent: read too where that showed something else."""
        if self.reading or self.stopped:
            return
        now, last = now_ms(self.agent), self.agent.runner_list.last
        due_ms = self.started_ms + interval_ms(self.agent)
        if newest.digest != last.digest and newest.read_ms > last.read_ms and not self.failures:
            spread_ms = int(SPREAD_RATIO * least_interval_ms(self.agent) * self._random())
            due_ms = max(now + spread_ms, self.started_ms + least_interval_ms(self.agent))
        if due_ms < self.due_ms:
            self._plan(max(0, due_ms - now))

    def stop(self):
        """Read no more."""
        self.stopped = True
        self._cancel()

    def _fetched(self, runners):
        self.reading, self.failures = False, 0
        take_list(self.agent, runners)
        self._plan(interval_ms(self.agent) * (0.8 + 0.2 * self._random()))

    def _failed(self, failure):
        count(self.agent, "list_failures")
        self.reading = False
        self.failures += 1
        settings, times = self.agent.settings, min(MOST_BACKOFF, 1 << self.failures) / 2
        wait_ms = min(times * settings.list_ms, max(settings.list_ms, settings.drain_ms // 2))
        self._plan(wait_ms * (0.8 + 0.2 * self._random()))

    def _random(self):
        return int(self.agent.machine.token(2), 16) / 65535

    def _plan(self, wait_ms):
        self._cancel()
        if not self.stopped:
            self.due_ms = now_ms(self.agent) + int(wait_ms)
            self.timer = self.agent.reactor.callLater(wait_ms / 1000, self.fetch)

    def _cancel(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


def poll(agent):
    """Read the list again and again; returns what stops it."""
    poller = ListPoller(agent)
    agent.runner_list.on_draining = lambda names: on_draining(agent, names)
    agent.runner_list.on_newest = poller.on_newest
    poller.fetch()
    return poller.stop
