"""The disk of a member that votes: records are appended in batches, and the core is told when they are synced.

A disk that fails or is slower than `detect_ms` makes the member tell the others that it is unwell, so that nothing
waits for it; probes tell when it is well again. A sync that failed ends the process: only a new start knows what lasts.
"""

from errno import errorcode

from msgspec import msgpack

from frostpost.virtual_synchrony.events import (
    DiskHealthChanged,
    LogSynced,
    ProbeRecord,
    Record,
    RewriteLog,
    SnapshotRecord,
)
from frostpost.write_ahead_log import log as write_ahead_logs

from . import log_compaction as rewritings
from .context import clock_ms, count
from .log_compaction import Rewriting
from .structured_log import log_event

# Good syncs after which a disk counts as well; the more if it was well for less than RELAPSE_RATIO times `detect_ms`.
GOOD_SYNCS = 3
MOST_GOOD_SYNCS = 4 * GOOD_SYNCS
RELAPSE_RATIO = 20
encode = msgpack.Encoder().encode
decode = msgpack.Decoder(Record).decode


class LogWriter:
    """Writes what the core asks for, one batch at a time."""

    __slots__ = (
        "ctx",
        "write_ahead_log",
        "queue",
        "up_to",
        "told_up_to",
        "busy",
        "since_ms",
        "allowed_ms",
        "unwell",
        "good",
        "probes",
        "syncs",
        "rewriting",
        "adopting",
        "good_wanted",
        "turned_ms",
    )

    def __init__(self, ctx, write_ahead_log):
        self.ctx, self.write_ahead_log, self.queue = ctx, write_ahead_log, []
        self.up_to, self.busy, self.unwell, self.good, self.probes, self.syncs = 0, False, False, 0, 0, 0
        self.since_ms, self.allowed_ms, self.told_up_to = 0, 0, 0
        self.rewriting, self.adopting = Rewriting(), False
        self.good_wanted, self.turned_ms = GOOD_SYNCS, -(1 << 40)

    @property
    def bounds(self):
        """The settings of the synchrony."""
        return self.ctx.core.synchrony.bounds

    def write(self, writes):
        """Append records after those given before; a RewriteLog replaces all before it, in the background."""
        for record in writes:
            if isinstance(record, RewriteLog):
                rewritings.plan(self.rewriting, record)
            else:
                self.queue.append(record)
                rewritings.follow(self.rewriting, record)
        self.up_to += len(writes)
        self.next()

    def next(self):
        """Start what is due."""
        self.rewrite()
        if self.busy:
            return
        if self.rewriting.fresh is not None:
            self.adopt()
        elif self.queue:
            batch, self.queue = self.queue, []
            self.start(batch, lambda failure: self.failed(failure, batch), append_batch, self.write_ahead_log, batch)
        elif self.told_up_to < self.up_to:
            self.tell(self.up_to)

    def start(self, batch, failed, job, *args):
        """Run a job of the disk in a thread."""
        self.busy, self.since_ms = True, clock_ms(self.ctx)
        self.allowed_ms = self.bounds.detect_ms + snapshot_bytes(batch) * 1000 // self.bounds.refill_bytes_s
        delay_ms = self.ctx.hooks.sync_delay_ms
        self.ctx.machine.in_thread(delayed, self.ctx.machine, delay_ms, job, *args).addCallbacks(
            self.done, failed, callbackArgs=(self.up_to,)
        )

    def adopt(self):
        """Put the rewritten file in place; what is queued is in its tail."""
        planned, tail, fresh = self.rewriting.planned, self.rewriting.tail, self.rewriting.fresh
        self.rewriting, self.adopting = Rewriting(), True
        batch, self.queue = self.queue, []

        def failed(failure):
            if self.rewriting.planned is None:
                self.rewriting = Rewriting(planned, tail + self.queue)
                rewritings.failed(self.rewriting, clock_ms(self.ctx), self.bounds.detect_ms)
            if failure.check(write_ahead_logs.SyncLostError):
                self.failed(failure, batch)
                return
            self.busy = self.adopting = False
            self.report(failure)
            self.queue = batch + self.queue
            self.next()

        self.start(batch, failed, rewritings.adopt, self.write_ahead_log, fresh, tail)

    def rewrite(self):
        """Prepare the rewritten file, beside the appends."""
        if self.adopting or not rewritings.is_due(self.rewriting, clock_ms(self.ctx)):
            return
        planned, self.rewriting.preparing = self.rewriting.planned, True

        def prepared(fresh):
            rewritings.prepared(self.rewriting, planned, fresh)
            self.next()

        def failed(failure):
            self.report(failure)
            rewritings.failed(self.rewriting, clock_ms(self.ctx), self.bounds.detect_ms)

        self.ctx.machine.in_thread(rewritings.prepare, self.write_ahead_log, planned).addCallbacks(prepared, failed)

    def done(self, _, up_to):
        """Tell the core how far records are synced, and start what is due next."""
        self.busy = self.adopting = False
        self.syncs += 1
        slow = clock_ms(self.ctx) - self.since_ms > self.allowed_ms
        self.good = 0 if slow else self.good + 1
        self.tell(up_to)
        if self.unwell and self.good >= self.good_wanted:
            self.turn(False)
        self.next()

    def tell(self, up_to):
        """Tell the core how far its records are synced."""
        from .event_loop import feed_input

        self.told_up_to = up_to
        feed_input(self.ctx, LogSynced(clock_ms(self.ctx), up_to))

    def report(self, failure):
        """Log and count a failed call of the disk."""
        count(self.ctx, "disk_faults")
        number = getattr(failure.value, "errno", None)
        log_event("DiskError", type=failure.type.__name__, error=errorcode.get(number, ""))

    def failed(self, failure, batch):
        """Queue a failed batch again; a lost sync ends the daemon, since the page cache can't be trusted."""
        self.busy, self.adopting, self.good = False, False, 0
        self.report(failure)
        self.queue = batch + self.queue
        if failure.check(write_ahead_logs.SyncLostError):
            self.ctx.life.crash()
            return
        self.turn(True)

    def turn(self, unwell):
        """Mark the disk well or unwell, and tell the core."""
        if unwell != self.unwell:
            self.unwell, now_ms = unwell, clock_ms(self.ctx)
            if unwell:
                relapsed = now_ms - self.turned_ms < RELAPSE_RATIO * self.bounds.detect_ms
                self.good_wanted = min(2 * self.good_wanted, MOST_GOOD_SYNCS) if relapsed else GOOD_SYNCS
            self.turned_ms = now_ms
            log_event("DiskUnwell" if unwell else "DiskWell")
            from .event_loop import feed_input

            feed_input(self.ctx, DiskHealthChanged(clock_ms(self.ctx), unwell))

    def watch(self):
        """Called often: tell of a stalled disk, and probe one that was unwell."""
        if self.busy and clock_ms(self.ctx) - self.since_ms > self.allowed_ms:
            self.turn(True)
        if self.unwell and not self.busy:
            self.probes += 1
            if not self.queue:
                self.queue = [ProbeRecord(self.probes)]
        self.next()


class NoLogWriter:
    """Stands where a daemon that does not vote has no log."""

    __slots__ = ("syncs", "unwell")

    def __init__(self):
        self.syncs, self.unwell = 0, False

    def write(self, writes):
        """Nothing is kept."""
        return None

    def watch(self):
        """There is no disk to watch."""
        return None


def snapshot_bytes(batch):
    """Bytes of the snapshots in a batch: they are allowed the time that fetching them took."""
    return sum(len(record.state) for record in batch if isinstance(record, SnapshotRecord))


def delayed(machine, delay_ms, job, *args):
    """Run a job of the disk after the delay that a test asks for; in a thread."""
    if delay_ms:
        machine.sleep(delay_ms / 1000)
    job(*args)


def append_batch(write_ahead_log, batch):
    """Append a batch of records and sync it; in a thread."""
    write_ahead_logs.append(write_ahead_log, [encode(r) for r in batch])
    write_ahead_logs.sync(write_ahead_log)


def open_log(folder, files):
    """-> the open log, the records read, and what was wrong with the file."""
    write_ahead_log, payloads, error = write_ahead_logs.open_log(folder, "log", files)
    return write_ahead_log, [decode(p) for p in payloads], error
