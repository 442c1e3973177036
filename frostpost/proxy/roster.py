"""The list of runners, kept current; what one daemon's list shows as leaving, all daemons know."""

from msgspec import structs
from twisted.internet.defer import maybeDeferred

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import send_lease_requests, session_of

from .pool import close_pools, sweep

MOST_BACKOFF = 8
RATE_SHARE = 0.5
SHARING = 4
SHARED_DRAIN_RATIO = 0.8
TOLD_MS = 15000


def take_list(agent, runners):
    """Replace the runners by those of a new list."""
    leaving = tuple(sorted(runner.id for runner in runners if runner.draining))
    news = set(leaving) - set(agent.extras.get("list_draining", ()))
    agent.extras["list_draining"] = leaving
    set_runners(agent, runners)
    for runner_id in [i for i, load in agent.loads.items() if i not in agent.runners and load.own <= 0]:
        del agent.loads[runner_id]
    if news:
        send_lease_requests(agent)


def set_runners(agent, runners):
    """Replace the runners; those that other daemons tell of as draining are so here too."""
    now, told = now_ms(agent), agent.extras.get("told_draining", {})
    agent.runners = {
        r.id: structs.replace(r, draining=True) if told.get(r.id, 0) > now and not r.draining else r for r in runners
    }
    close_pools(agent, [i for i in agent.pools if i not in agent.runners or agent.runners[i].draining])


def drained(agent, names):
    """Runners that another daemon's list shows as leaving."""
    told, until_ms = agent.extras.setdefault("told_draining", {}), now_ms(agent) + TOLD_MS
    told.update((name, until_ms) for name in names)
    if any(name in agent.runners and not agent.runners[name].draining for name in names):
        set_runners(agent, agent.runners.values())
    for name in [n for n, until in told.items() if until <= now_ms(agent)]:
        del told[name]


def interval_ms(agent):
    """Between two readings: often enough alone, else shared, and never above the list's rate for all daemons."""
    settings, leaves = agent.settings, session_of(agent).agent_count
    own_ms = settings.list_ms if leaves < SHARING else int(settings.drain_ms * SHARED_DRAIN_RATIO)
    calls = leaves * agent.extras.get("list_pages", 1)
    return max(own_ms, int(1000 * calls / (RATE_SHARE * settings.list_rate_per_s)))


def poll(agent):
    """Fetch the list again and again; returns what stops it."""
    state = {"timer": None, "failed": 0, "stopped": False}
    agent.extras["drained"] = lambda names: drained(agent, names)

    def fetch():
        sweep(agent)
        maybeDeferred(agent.extras["fetch_list"]).addCallbacks(fetched, failed)

    def fetched(runners):
        state["failed"] = 0
        take_list(agent, runners)
        again(interval_ms(agent))

    def failed(failure):
        count(agent, "list_failures")
        state["failed"] += 1
        times = min(MOST_BACKOFF, 1 << state["failed"]) / 2
        again(min(times * agent.settings.list_ms, max(agent.settings.list_ms, agent.settings.drain_ms // 2)))

    def again(wait_ms):
        if not state["stopped"]:
            spread = 0.8 + 0.2 * int(agent.machine.token(2), 16) / 65535
            state["timer"] = agent.reactor.callLater(spread * wait_ms / 1000, fetch)

    def stop():
        state["stopped"] = True
        if state["timer"] is not None and state["timer"].active():
            state["timer"].cancel()

    fetch()
    return stop
