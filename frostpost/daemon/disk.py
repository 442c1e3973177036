from msgspec import msgpack

from frostpost.virtual_synchrony.events import Probe, Record, Rewrite, Stalled, Synced
from frostpost.write_ahead_log import disk as write_ahead_logs

from .context import clock_ms, count
from .news import say

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Record).decode


class Keeper:
    __slots__ = ("ctx", "write_ahead_log", "queue", "up_to", "busy", "since_ms", "unwell", "good", "probes", "syncs")

    def __init__(self, ctx, write_ahead_log):
        self.ctx, self.write_ahead_log, self.queue = ctx, write_ahead_log, []
        self.up_to, self.busy, self.unwell, self.good, self.probes, self.syncs = 0, False, False, 0, 0, 0
        self.since_ms = 0

    def write(self, writes):
        self.queue += writes
        self.up_to += len(writes)
        self.next()

    def next(self):
        if self.busy or not self.queue:
            return
        batch, self.queue = self.queue, []
        self.busy, self.since_ms = True, clock_ms(self.ctx)
        delay_ms = self.ctx.hook.get("sync_delay_ms", 0)
        self.ctx.machine.in_thread(store, self.ctx.machine, self.write_ahead_log, batch, delay_ms).addCallbacks(
            self.done, self.failed, callbackArgs=(self.up_to,), errbackArgs=(batch,)
        )

    def done(self, _, up_to):
        self.busy = False
        self.syncs += 1
        slow = clock_ms(self.ctx) - self.since_ms > self.ctx.core.synchrony.bounds.detect_ms
        self.good = 0 if slow else self.good + 1
        from .heart import feed

        feed(self.ctx, Synced(clock_ms(self.ctx), up_to))
        if self.unwell and self.good >= 3:
            self.turn(False)
        self.next()

    def failed(self, failure, batch):
        self.busy, self.good = False, 0
        count(self.ctx, "disk_faults")
        say("DiskFault", type=failure.type.__name__)
        self.queue = batch + self.queue
        if failure.check(write_ahead_logs.SyncLostError):
            self.ctx.life.crash()
            return
        self.turn(True)

    def turn(self, unwell):
        if unwell != self.unwell:
            self.unwell = unwell
            say("DiskUnwell" if unwell else "DiskWell")
            from .heart import feed

            feed(self.ctx, Stalled(clock_ms(self.ctx), unwell))

    def watch(self):
        if self.busy and clock_ms(self.ctx) - self.since_ms > self.ctx.core.synchrony.bounds.detect_ms:
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


def store(machine, write_ahead_log, batch, delay_ms):
    if delay_ms:
        machine.sleep(delay_ms / 1000)
    at = max((n for n, r in enumerate(batch) if isinstance(r, Rewrite)), default=-1)
    if at >= 0:
        write_ahead_logs.rewrite(write_ahead_log, [encode(r) for r in batch[at].records])
        batch = batch[at + 1 :]
    if batch:
        write_ahead_logs.append(write_ahead_log, [encode(r) for r in batch])
        write_ahead_logs.sync(write_ahead_log)


def open_(folder, files):
    write_ahead_log, payloads, fault = write_ahead_logs.open_(folder, "log", files)
    return write_ahead_log, [decode(p) for p in payloads], fault
