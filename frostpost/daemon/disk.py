from msgspec import msgpack

from frostpost.write_ahead_log import disk as furrows
from frostpost.virtual_synchrony.events import Probe, Record, Rewrite, Stalled, Synced
from .context import count, nowMs
from .news import say

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Record).decode


class Keeper:
    __slots__ = ("ctx", "write_ahead_log", "queue", "upTo", "busy", "sinceMs", "unwell", "good", "probes", "syncs")

    def __init__(self, ctx, furrow):
        self.ctx, self.furrow, self.queue = ctx, furrow, []
        self.upTo, self.busy, self.unwell, self.good, self.probes, self.syncs = 0, False, False, 0, 0, 0
        self.sinceMs = 0

    def write(self, writes):
        self.queue += writes
        self.upTo += len(writes)
        self.next()

    def next(self):
        if self.busy or not self.queue:
            return
        batch, self.queue = self.queue, []
        self.busy, self.sinceMs = True, nowMs(self.ctx)
        delayMs = self.ctx.hook.get("syncDelayMs", 0)
        self.ctx.machine.inThread(store, self.ctx.machine, self.furrow, batch, delayMs).addCallbacks(
            self.done, self.failed, callbackArgs=(self.upTo,), errbackArgs=(batch,)
        )

    def done(self, _, upTo):
        self.busy = False
        self.syncs += 1
        slow = nowMs(self.ctx) - self.sinceMs > self.ctx.core.hedge.bounds.detectMs
        self.good = 0 if slow else self.good + 1
        from .heart import feed

        feed(self.ctx, Synced(nowMs(self.ctx), upTo))
        if self.unwell and self.good >= 3:
            self.turn(False)
        self.next()

    def failed(self, failure, batch):
        self.busy, self.good = False, 0
        count(self.ctx, "diskFaults")
        say("DiskFault", type=failure.type.__name__)
        self.queue = batch + self.queue
        if failure.check(furrows.SyncLost):
            self.ctx.life.crash()
            return
        self.turn(True)

    def turn(self, unwell):
        if unwell != self.unwell:
            self.unwell = unwell
            say("DiskUnwell" if unwell else "DiskWell")
            from .heart import feed

            feed(self.ctx, Stalled(nowMs(self.ctx), unwell))

    def watch(self):
        if self.busy and nowMs(self.ctx) - self.sinceMs > self.ctx.core.hedge.bounds.detectMs:
            self.turn(True)
        if self.unwell and not self.busy:
            self.probes += 1
            if not self.queue:
                self.queue = [Probe(self.probes)]
            self.next()


class Diskless:
    __slots__ = ("syncs", "unwell")

    def __init__(self):
        self.syncs, self.unwell = 0, False

    def write(self, writes):
        return None

    def watch(self):
        return None


def store(machine, furrow, batch, delayMs):
    if delayMs:
        machine.sleep(delayMs / 1000)
    at = max((n for n, r in enumerate(batch) if isinstance(r, Rewrite)), default=-1)
    if at >= 0:
        furrows.rewrite(furrow, [encode(r) for r in batch[at].records])
        batch = batch[at + 1 :]
    if batch:
        furrows.append(furrow, [encode(r) for r in batch])
        furrows.sync(furrow)


def open_(folder, files):
    furrow, payloads, fault = furrows.open_(folder, "log", files)
    return furrow, [decode(p) for p in payloads], fault
