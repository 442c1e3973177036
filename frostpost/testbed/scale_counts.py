"""What a daemon of a scale run costs: messages and bytes on its links, processor time, memory."""

from resource import RUSAGE_SELF, getrusage

from frostpost.daemon import frames, outgoing_link
from frostpost.daemon.context import count


def count_links():
    """Count each message and its bytes (with the four of its length) for the daemon that sends or hears it."""
    send, hear = outgoing_link.FrameWriter.sendString, frames.FrameReader.stringReceived

    def sent(mouth, data):
        count(mouth.link.ctx, "wire/sent")
        count(mouth.link.ctx, "wire/sent_bytes", len(data) + 4)
        send(mouth, data)

    def heard(ear, data):
        count(ear.factory.ctx, "wire/heard")
        count(ear.factory.ctx, "wire/heard_bytes", len(data) + 4)
        hear(ear, data)

    outgoing_link.FrameWriter.sendString, frames.FrameReader.stringReceived = sent, heard


def count_kinds(ctx):
    """-> a sender that counts each kind of message that this daemon sends."""
    send = ctx.links["send"]

    def sender(to, body):
        count(ctx, f"kind/{type(body).__name__}")
        send(to, body)

    ctx.links["send"] = sender
    return sender


def cpu_s():
    """Return the processor seconds that this process used."""
    used = getrusage(RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def memory_mb():
    """Return this process's resident memory in megabytes."""
    with open("/proc/self/status") as file:
        held = dict(line.split(":", 1) for line in file)
    return int(held["VmRSS"].split()[0]) / 1024


def rates(before, after, seconds):
    """Per-second rates of all counters that grew."""
    return {
        name: round((value - before.get(name, 0)) / seconds, 2)
        for name, value in sorted(after.items())
        if value != before.get(name, 0)
    }


def quantile(values, share):
    """Return the value at a share of the sorted values, None for no values."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 2) if ordered else None
