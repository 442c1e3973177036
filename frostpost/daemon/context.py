from collections import deque
from .machine import Machine


class Context:
    __slots__ = (
        "settings",
        "reactor",
        "place",
        "machine",
        "core",
        "inputs",
        "stepping",
        "waiters",
        "asking",
        "links",
        "disk",
        "shelf",
        "lanes",
        "honoured",
        "statuses",
        "flights",
        "leaving",
        "keyWaiters",
        "counts",
        "bodies",
        "tasks",
        "hook",
        "agent",
        "retries",
        "life",
        "listMs",
        "tickMs",
        "documents",
        "startedMs",
        "corrupt",
        "prunedMs",
        "needConfig",
        "stamping",
        "listedMs",
        "lagMs",
        "tickedMs",
        "calls",
        "channels",
    )

    def __init__(self, settings, reactor, place, machine=Machine()):
        self.settings, self.reactor, self.place, self.machine = settings, reactor, place, machine
        self.core, self.shelf, self.disk, self.bodies, self.agent, self.life = (None,) * 6
        self.inputs, self.asking, self.tasks = deque(), deque(), []
        self.stepping = self.leaving = self.stamping = False
        self.waiters, self.links, self.lanes, self.statuses = {}, {}, {}, {}
        self.keyWaiters, self.counts, self.hook, self.documents = {}, {}, {}, {}
        self.honoured = self.needConfig = self.flights = self.calls = 0
        self.channels = {}
        self.listMs = self.tickMs = self.prunedMs = self.listedMs = 0
        self.retries, self.lagMs, self.corrupt = 10.0, 0.0, None
        self.startedMs = self.tickedMs = nowMs(self)


def nowMs(ctx):
    return int(ctx.machine.seconds() * 1000)


def count(ctx, what, by=1):
    ctx.counts[what] = ctx.counts.get(what, 0) + by
