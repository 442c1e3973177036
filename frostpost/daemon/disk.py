"""The log of a voting member: appends records in batches and reports to the core how far they are synced.

A disk that fails, or is slower than `detect_ms`, makes the member report itself as unhealthy, so that the others don't
wait for it; probe records show when the disk has recovered. After a failed sync the process exits, since only a restart
can determine what is durable.
"""

from errno import errorcode

from msgspec import msgpack

from frostpost.virtual_synchrony.events import (
    DiskHealthChanged,
    LogSynced,
    ProbeRecord,
    RewriteLog,
    SnapshotRecord,
)
from frostpost.write_ahead_log import log as write_ahead_logs

from . import log_compaction
from .context import clock_ms, count
from .log_compaction import Compaction
from .structured_log import log_event

# Successive timely syncs after which a disk counts as healthy again. Doubled for each relapse, which is a failure
# within RELAPSE_RATIO times `detect_ms` of the last recovery.
RECOVERY_SYNCS = 3
MAX_RECOVERY_SYNCS = 4 * RECOVERY_SYNCS
RELAPSE_RATIO = 20
encode = msgpack.Encoder().encode


class LogWriter:
    """Writes the records of the core, one batch at a time, in threads."""

    __slots__ = (
        "ctx",
        "write_ahead_log",
        "queue",
        "submitted",
        "reported",
        "busy",
        "job_started_ms",
        "job_allowed_ms",
        "unhealthy",
        "timely_syncs",
        "probes",
        "syncs",
        "compaction",
        "installing",
        "required_syncs",
        "health_changed_ms",
    )

    def __init__(self, ctx, write_ahead_log):
        self.ctx, self.write_ahead_log, self.queue = ctx, write_ahead_log, []
        self.submitted, self.busy, self.unhealthy, self.timely_syncs, self.probes, self.syncs = 0, False, False, 0, 0, 0
        self.job_started_ms, self.job_allowed_ms, self.reported = 0, 0, 0
        self.compaction, self.installing = Compaction(), False
        self.required_syncs, self.health_changed_ms = RECOVERY_SYNCS, -(1 << 40)

    @property
    def bounds(self):
        """The time and size bounds of the virtual synchrony."""
        return self.ctx.core.synchrony.bounds

    def write(self, writes):
        """Queue records for the next batch; a RewriteLog replaces all records before it, by a background compaction."""
        for record in writes:
            if isinstance(record, RewriteLog):
                log_compaction.request(self.compaction, record)
            else:
                self.queue.append(record)
                log_compaction.add_to_tail(self.compaction, record)
        self.submitted += len(writes)
        self.start_next()

    def start_next(self):
        """Start a due compaction, and the next job on the log if none is running."""
        self.start_compaction()
        if self.busy:
            return
        if self.compaction.replacement is not None:
            self.install_replacement()
        elif self.queue:
            batch, self.queue = self.queue, []
            self.start_job(
                batch, lambda failure: self.on_job_failed(failure, batch), append_batch, self.write_ahead_log, batch
            )
        elif self.reported < self.submitted:
            self.report_synced(self.submitted)

    def start_job(self, batch, on_failed, job, *args):
        """Run a job on the log in a thread."""
        self.busy, self.job_started_ms = True, clock_ms(self.ctx)
        self.job_allowed_ms = self.bounds.detect_ms + snapshot_bytes(batch) * 1000 // self.bounds.refill_bytes_s
        delay_ms = self.ctx.hooks.sync_delay_ms
        self.ctx.machine.in_thread(run_delayed, self.ctx.machine, delay_ms, job, *args).addCallbacks(
            self.on_job_done, on_failed, callbackArgs=(self.submitted,)
        )

    def install_replacement(self):
        """Replace the log's file by the compacted one; the queued records are part of the compaction's tail."""
        requested, tail, replacement = (
            self.compaction.requested,
            self.compaction.tail,
            self.compaction.replacement,
        )
        self.compaction, self.installing = Compaction(), True
        batch, self.queue = self.queue, []

        def on_failed(failure):
            if self.compaction.requested is None:
                self.compaction = Compaction(requested, tail + self.queue)
                log_compaction.on_failed(self.compaction, clock_ms(self.ctx), self.bounds.detect_ms)
            if failure.check(write_ahead_logs.SyncLostError):
                self.on_job_failed(failure, batch)
                return
            self.busy = self.installing = False
            self.log_failure(failure)
            self.queue = batch + self.queue
            self.start_next()

        self.start_job(batch, on_failed, log_compaction.install, self.write_ahead_log, replacement, tail)

    def start_compaction(self):
        """Start writing the replacement file of a due compaction, concurrently with appends."""
        if self.installing or not log_compaction.is_due(self.compaction, clock_ms(self.ctx)):
            return
        requested, self.compaction.preparing = self.compaction.requested, True

        def on_prepared(replacement):
            log_compaction.on_prepared(self.compaction, requested, replacement)
            self.start_next()

        def on_failed(failure):
            self.log_failure(failure)
            log_compaction.on_failed(self.compaction, clock_ms(self.ctx), self.bounds.detect_ms)

        self.ctx.machine.in_thread(log_compaction.prepare, self.write_ahead_log, requested).addCallbacks(
            on_prepared, on_failed
        )

    def on_job_done(self, _, synced_count):
        """Report the synced records, and start the next job."""
        self.busy = self.installing = False
        self.syncs += 1
        slow = clock_ms(self.ctx) - self.job_started_ms > self.job_allowed_ms
        self.timely_syncs = 0 if slow else self.timely_syncs + 1
        self.report_synced(synced_count)
        if self.unhealthy and self.timely_syncs >= self.required_syncs:
            self.set_unhealthy(False)
        self.start_next()

    def report_synced(self, synced_count):
        """Report to the core how many of the records submitted so far are synced."""
        from .event_loop import feed_input

        self.reported = synced_count
        feed_input(self.ctx, LogSynced(clock_ms(self.ctx), synced_count))

    def log_failure(self, failure):
        """Log and count a failed disk operation."""
        count(self.ctx, "disk_faults")
        number = getattr(failure.value, "errno", None)
        log_event("DiskError", type=failure.type.__name__, error=errorcode.get(number, ""))

    def on_job_failed(self, failure, batch):
        """Queue a failed batch again; after a failed sync, end the daemon, since the page cache can't be trusted."""
        self.busy, self.installing, self.timely_syncs = False, False, 0
        self.log_failure(failure)
        self.queue = batch + self.queue
        if failure.check(write_ahead_logs.SyncLostError):
            self.ctx.lifecycle.crash()
            return
        self.set_unhealthy(True)

    def set_unhealthy(self, unhealthy):
        """Set the health of the disk, and report a change to the core."""
        if unhealthy != self.unhealthy:
            self.unhealthy, now_ms = unhealthy, clock_ms(self.ctx)
            if unhealthy:
                relapsed = now_ms - self.health_changed_ms < RELAPSE_RATIO * self.bounds.detect_ms
                self.required_syncs = min(2 * self.required_syncs, MAX_RECOVERY_SYNCS) if relapsed else RECOVERY_SYNCS
            self.health_changed_ms = now_ms
            log_event("DiskUnwell" if unhealthy else "DiskWell")
            from .event_loop import feed_input

            feed_input(self.ctx, DiskHealthChanged(clock_ms(self.ctx), unhealthy))

    def check_health(self):
        """Detect a stalled disk, and write a probe record to an unhealthy one; called periodically."""
        if self.busy and clock_ms(self.ctx) - self.job_started_ms > self.job_allowed_ms:
            self.set_unhealthy(True)
        if self.unhealthy and not self.busy:
            self.probes += 1
            if not self.queue:
                self.queue = [ProbeRecord(self.probes)]
        self.start_next()


class NullLogWriter:
    """The LogWriter of a daemon that doesn't vote and keeps no log."""

    __slots__ = ("syncs", "unhealthy")

    def __init__(self):
        self.syncs, self.unhealthy = 0, False

    def write(self, writes):
        """Discard the records."""
        return None

    def check_health(self):
        """Do nothing; there is no disk to check."""
        return None


def snapshot_bytes(batch):
    """Return the total size of the snapshots in a batch, which extends the time allowed for writing it."""
    return sum(len(record.state) for record in batch if isinstance(record, SnapshotRecord))


def run_delayed(machine, delay_ms, job, *args):
    """Run a job after the delay set by a test hook; runs in a thread."""
    if delay_ms:
        machine.sleep(delay_ms / 1000)
    job(*args)


def append_batch(write_ahead_log, batch):
    """Append and sync a batch of records; runs in a thread."""
    write_ahead_logs.append(write_ahead_log, [encode(r) for r in batch])
    write_ahead_logs.sync(write_ahead_log)
