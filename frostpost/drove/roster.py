"""The list of runners, kept current."""
from twisted.internet.defer import maybeDeferred

from frostpost.canopy.context import count

from .pool import close_pools, sweep

MOST_BACKOFF = 8


def take_list(leaf, runners):
    """Replace the runners by those of a new list."""
    leaf.runners = {runner.id: runner for runner in runners}
    close_pools(leaf, [i for i in leaf.pools if i not in leaf.runners or leaf.runners[i].draining])
    for runner_id in [i for i, load in leaf.loads.items() if i not in leaf.runners and load.own <= 0]:
        del leaf.loads[runner_id]


def poll(leaf):
    """Fetch the list again and again; returns what stops it."""
    state = {"timer": None, "failed": 0, "stopped": False}

    def fetch():
        sweep(leaf)
        maybeDeferred(leaf.extras["fetch_list"]).addCallbacks(fetched, failed)

    def fetched(runners):
        state["failed"] = 0
        take_list(leaf, runners)
        again(1)

    def failed(failure):
        count(leaf, "list_failures")
        state["failed"] += 1
        again(min(MOST_BACKOFF, 1 << state["failed"]))

    def again(times):
        if not state["stopped"]:
            state["timer"] = leaf.reactor.callLater(min(times * leaf.settings.list_ms, max(leaf.settings.list_ms, leaf.settings.drain_ms // 2)) / 1000, fetch)

    def stop():
        state["stopped"] = True
        if state["timer"] is not None and state["timer"].active():
            state["timer"].cancel()

    fetch()
    return stop
