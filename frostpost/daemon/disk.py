"""The log on disk: batches written and synced in a thread, and how well the disk keeps up."""

from msgspec import msgpack

from frostpost.virtual_synchrony.events import Probe, Record, Rewrite, Stalled, Synced
from frostpost.write_ahead_log import disk as write_ahead_logs

from .context import clock_ms, count
from .news import say

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Record).decode


class Keeper:
    """Writes records in batches; marks the disk unwell when a sync takes too long or fails."""

    __slots__ = ("ctx", "write_ahead_log", "queue", "up_to", "busy", "since_ms", "unwell", "good", "probes", "syncs")

    def __init__(self, ctx, write_ahead_log):
        self.ctx, self.write_ahead_log, self.queue = ctx, write_ahead_log, []
        self.up_to, self.busy, self.unwell, self.good, self.probes, self.syncs = 0, False, False, 0, 0, 0
        self.since_ms = 0

    def write(self, writes):
        """Queue records."""
        self.queue += writes
        self.up_to += len(writes)
        self.next()

    def next(self):
        """Write the queue as one batch, if no batch is being written."""
        if self.busy or not self.queue:
            return
        batch, self.queue = self.queue, []
        self.busy, self.since_ms = True, clock_ms(self.ctx)
        delay_ms = self.ctx.hook.get("sync_delay_ms", 0)
        self.ctx.machine.in_thread(store, self.ctx.machine, self.write_ahead_log, batch, delay_ms).addCallbacks(
            self.done, self.failed, callbackArgs=(self.up_to,), errbackArgs=(batch,)
        )

    def done(self, _, up_to):
        """Tell the core how far records are synced, and write the next batch."""
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
        """Queue a failed batch again; a lost sync ends the daemon, since the page cache can't be trusted."""
        self.busy, self.good = False, 0
        count(self.ctx, "disk_faults")
        say("DiskError", type=failure.type.__name__)
        self.queue = batch + self.queue
        if failure.check(write_ahead_logs.SyncLostError):
            self.ctx.life.crash()
            return
        self.turn(True)

    def turn(self, unwell):
        """Mark the disk well or unwell, and tell the core."""
        if unwell != self.unwell:
            self.unwell = unwell
            say("DiskUnwell" if unwell else "DiskWell")
            from .heart import feed

            feed(self.ctx, Stalled(clock_ms(self.ctx), unwell))

    def watch(self):
        """Mark the disk unwell if a sync takes too long; probe an unwell disk."""
        if self.busy and clock_ms(self.ctx) - self.since_ms > self.ctx.core.synchrony.bounds.detect_ms:
            self.turn(True)
        if self.unwell and not self.busy:
            self.probes += 1
            if not self.queue:
                self.queue = [Probe(self.probes)]
            self.next()


class Diskless:
    """In the place of a Keeper on daemons without a disk."""

    __slots__ = ("syncs", "unwell")

    def __init__(self):
        self.syncs, self.unwell = 0, False

    def write(self, writes):
        """Write nothing."""
        return None

    def watch(self):
        """Watch nothing."""
        return None


def store(machine, write_ahead_log, batch, delay_ms):
    """Write one batch of records and sync it; runs in a thread."""
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
    """Open the log of a folder; return (log, records, error or None)."""
    write_ahead_log, payloads, error = write_ahead_logs.open_(folder, "log", files)
    return write_ahead_log, [decode(p) for p in payloads], error
