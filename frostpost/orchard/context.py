from collections import deque
from time import monotonic


class Context:
    __slots__ = (
        "settings", "reactor", "place", "core", "inputs", "stepping", "waiters", "asking",
        "links", "disk", "shelf", "lanes", "honoured", "statuses", "flights", "urgencies",
        "leaving", "keyWaiters", "indexWaiters", "counts", "bodies", "tasks", "hook", "agent",
        "retries", "life", "listMs", "tickMs", "documents", "startedMs", "goes", "stampedFor",
        "corrupt", "prunedMs", "registry", "needConfig", "stamping", "listedMs", "lagMs", "tickedMs",
    )

    def __init__(self, settings, reactor, place):
        self.settings, self.reactor, self.place = settings, reactor, place
        self.core, self.shelf, self.disk, self.bodies, self.agent, self.life = (None,) * 6
        self.inputs, self.asking = deque(), deque()
        self.stepping, self.leaving = False, False
        self.waiters, self.links, self.lanes, self.statuses = {}, {}, {}, {}
        self.urgencies, self.keyWaiters, self.counts, self.hook = {}, {}, {}, {}
        self.documents, self.goes, self.indexWaiters, self.tasks = {}, {}, [], []
        self.honoured, self.flights, self.retries = 0, 0, 10.0
        self.needConfig, self.stamping, self.listedMs = 0, False, 0
        self.lagMs, self.tickedMs = 0.0, nowMs()
        self.listMs, self.tickMs, self.prunedMs = 0, 0, 0
        self.startedMs, self.stampedFor, self.corrupt, self.registry = nowMs(), -1, None, None


def nowMs():
    return int(monotonic() * 1000)


def count(ctx, what, by=1):
    ctx.counts[what] = ctx.counts.get(what, 0) + by
