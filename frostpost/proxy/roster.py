"""The list of runners, kept current; what one daemon's list shows as leaving, all daemons know."""

from msgspec import structs
from twisted.internet.defer import maybeDeferred

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import renew, session

from .pool import close_pools, sweep

MOST_BACKOFF = 8
RATE_SHARE = 0.5
SHARING = 4
SHARED_DRAIN_RATIO = 0.8
TOLD_MS = 15000


def take_list(leaf, runners):
    """Replace the runners by those of a new list."""
    leaving = tuple(sorted(runner.id for runner in runners if runner.draining))
    news = set(leaving) - set(leaf.extras.get("list_draining", ()))
    leaf.extras["list_draining"] = leaving
    set_runners(leaf, runners)
    for runner_id in [i for i, load in leaf.loads.items() if i not in leaf.runners and load.own <= 0]:
        del leaf.loads[runner_id]
    if news:
        renew(leaf)


def set_runners(leaf, runners):
    """Replace the runners; those that other daemons tell of as draining are so here too."""
    now, told = now_ms(leaf), leaf.extras.get("told_draining", {})
    leaf.runners = {
        r.id: structs.replace(r, draining=True) if told.get(r.id, 0) > now and not r.draining else r for r in runners
    }
    close_pools(leaf, [i for i in leaf.pools if i not in leaf.runners or leaf.runners[i].draining])


def drained(leaf, names):
    """Runners that another daemon's list shows as leaving."""
    told, until_ms = leaf.extras.setdefault("told_draining", {}), now_ms(leaf) + TOLD_MS
    told.update((name, until_ms) for name in names)
    if any(name in leaf.runners and not leaf.runners[name].draining for name in names):
        set_runners(leaf, leaf.runners.values())
    for name in [n for n, until in told.items() if until <= now_ms(leaf)]:
        del told[name]


def interval_ms(leaf):
    """Between two readings: often enough alone, else shared, and never above the list's rate for all daemons."""
    settings, leaves = leaf.settings, session(leaf).leaves
    own_ms = settings.list_ms if leaves < SHARING else int(settings.drain_ms * SHARED_DRAIN_RATIO)
    calls = leaves * leaf.extras.get("list_pages", 1)
    return max(own_ms, int(1000 * calls / (RATE_SHARE * settings.list_rate_per_s)))


def poll(leaf):
    """Fetch the list again and again; returns what stops it."""
    state = {"timer": None, "failed": 0, "stopped": False}
    leaf.extras["drained"] = lambda names: drained(leaf, names)

    def fetch():
        sweep(leaf)
        maybeDeferred(leaf.extras["fetch_list"]).addCallbacks(fetched, failed)

    def fetched(runners):
        state["failed"] = 0
        take_list(leaf, runners)
        again(interval_ms(leaf))

    def failed(failure):
        count(leaf, "list_failures")
        state["failed"] += 1
        times = min(MOST_BACKOFF, 1 << state["failed"]) / 2
        again(min(times * leaf.settings.list_ms, max(leaf.settings.list_ms, leaf.settings.drain_ms // 2)))

    def again(wait_ms):
        if not state["stopped"]:
            spread = 0.8 + 0.2 * int(leaf.machine.token(2), 16) / 65535
            state["timer"] = leaf.reactor.callLater(spread * wait_ms / 1000, fetch)

    def stop():
        state["stopped"] = True
        if state["timer"] is not None and state["timer"].active():
            state["timer"].cancel()

    fetch()
    return stop
