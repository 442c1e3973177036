"""A scale run: three real storage daemons, a seed and many hollow leaves on loopback; prints what they cost."""

import os
import signal
import sys
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec import json
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.task import deferLater

from frostpost.cluster import control_client, lease_client
from frostpost.cluster.settings import DaemonSettings
from frostpost.program_ledger.words import Candidate

from . import scale_leaves as leaves_
from .scale_counts import count_links, cpu_s, memory_mb, quantile, rates

RINGS, START_S, STARTS_PER_S, CHANGE_MS = 3, 60, 100, 4000


class Ring(ProcessProtocol):
    """A storage daemon's process; `ask` -> Deferred of its sight."""

    def __init__(self, log):
        self.log, self.waiting, self.text, self.ended = log, [], b"", Deferred()

    def ask(self, what=b"sight"):
        """Ask for the costs so far; Deferred of a document."""
        answer = Deferred()
        self.waiting.append(answer)
        self.transport.write(what + b"\n")
        return answer

    def outReceived(self, data):
        """Hand answers to those who wait for them."""
        *lines, self.text = (self.text + data).split(b"\n")
        for line in lines:
            self.waiting.pop(0).callback(json.decode(line))

    def errReceived(self, data):
        """Write the daemon's log."""
        self.log.write(data)

    def processEnded(self, reason):
        """Fail all that still wait."""
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer.errback(reason)
        self.ended.callback(reason)


def start_ring(number, port, seed, folder):
    """Start a storage daemon's process."""
    name = f"ring-{number}"
    settings = DaemonSettings(
        name=name,
        role="storage",
        zone="z",
        host=f"127.77.0.{number}",
        port=port,
        seeds=(seed,),
        first_start=True,
        data=os.path.join(folder, name),
        disk_mb=512,
    )
    path = os.path.join(folder, f"{name}.json")
    with open(path, "wb") as file:
        file.write(json.encode(settings))
    protocol = Ring(open(os.path.join(folder, f"{name}.log"), "wb"))  # noqa: SIM115 - closed when the run ends
    reactor.spawnProcess(
        protocol, sys.executable, [sys.executable, "-m", "frostpost.testbed.scale_ring", path], env=os.environ
    )
    return protocol


def pause(seconds):
    """Return a Deferred that fires after some seconds."""
    return deferLater(reactor, seconds)


@inlineCallbacks
def until(ready, within_s, what):
    """Wait for a condition, or raise TimeoutError."""
    end_s = reactor.seconds() + within_s
    while not ready():
        if reactor.seconds() > end_s:
            raise TimeoutError(what)
        yield pause(0.05)


def sums(leaves):
    """Return the leaves' counters added up."""
    total = Counter()
    for agent in leaves:
        total.update(agent.counts)
    return total


def per_leaf(before, after, seconds, count):
    """Return rates per second and agent."""
    return {name: round(value / count, 4) for name, value in rates(before, after, seconds).items()}


def ring_report(before, after):
    """Return a storage daemon's costs between two answers."""
    seconds = after["at_s"] - before["at_s"]
    return {
        "name": after["name"],
        "sequencing": after["sequencing"],
        "epoch": after["epoch"],
        "cpu_cores": round((after["cpu_s"] - before["cpu_s"]) / seconds, 4),
        "memory_mb": after["memory_mb"],
        "lag_ms": after["lag_ms"],
        "sessions": after["sessions"],
        "per_s": rates(before["counts"], after["counts"], seconds),
        "ordering_per_s": rates(before["ordered"], after["ordered"], seconds),
        "syncs_per_s": round((after["syncs"] - before["syncs"]) / seconds, 1),
        "silo_syncs_per_s": round((after["silo_syncs"] - before["silo_syncs"]) / seconds, 1),
        "ledger": after["ledger"],
    }


@inlineCallbacks
def change_routing(seed, size):
    """-> milliseconds until all leaves with a lease honour a new routing of that many bytes, None if they don't."""
    begun_s = reactor.seconds()
    result = yield control_client.set_routing(seed, 0, 1, os.urandom(size), b"scale", CHANGE_MS)
    return round((reactor.seconds() - begun_s) * 1000, 1) if result.is_ok() else None


@inlineCallbacks
def run(options, folder, rings, report):
    """Run the measurement and fill the report."""
    port = options.port or 21000 + os.getpid() % 8000
    seed_at = f"127.77.1.1:{port}"
    rings += [start_ring(n + 1, port, seed_at, folder) for n in range(RINGS)]

    def stop(code):
        report["error"] = f"a leaf stopped: {code}"
        reactor.stop()

    seed = leaves_.start_agent(
        leaves_.leaf_settings("seed", "core", "127.77.1.1", port, seed_at, os.path.join(folder, "seed")), reactor, stop
    )
    yield until(lambda: lease_client.holds_lease(seed), START_S, "the ring did not open")
    leaves, gaps = [], {}
    for n in range(options.leaves):
        host = f"127.77.{2 + n // 250}.{1 + n % 250}"
        leaves.append(
            leaves_.start_agent(leaves_.leaf_settings(f"leaf-{n}", "edge", host, port, seed_at), reactor, stop)
        )
        yield pause(1 / STARTS_PER_S)
    yield until(lambda: all(map(lease_client.holds_lease, leaves)), START_S, "not all leaves have a lease")
    leaves_.watch(leaves, gaps)
    candidates = tuple(Candidate(f"runner-{n:06d}", 64) for n in range(options.candidates))
    load = leaves_.Load(options.rate, candidates, os.urandom(options.body))
    task = leaves_.feed(leaves, load, reactor) if options.rate else None
    yield pause(options.warm)
    before = yield gatherResults([ring.ask() for ring in rings])
    gaps.clear()
    load.measuring, begun_s, own_cpu_s = True, reactor.seconds(), cpu_s()
    counts, seed_counts = sums(leaves), dict(seed.counts)
    yield pause(options.seconds)
    seconds, used_s = reactor.seconds() - begun_s, cpu_s() - own_cpu_s
    counts_after, seed_after, load.measuring = sums(leaves), dict(seed.counts), False
    after = yield gatherResults([ring.ask(b"whole") for ring in rings])
    routing_ms = yield change_routing(seed, options.routing)
    if task is not None:
        task.stop()
    if load.error:
        report["error"] = load.error
    decided = sum(map(len, (load.begun_ms, load.claimed_ms, load.ended_ms)))
    report.update(
        leaves=options.leaves,
        rate_per_s=options.rate,
        seconds=round(seconds, 2),
        body_bytes=options.body,
        candidates=options.candidates,
        load_average=os.getloadavg()[0],
        rings=[ring_report(b, a) for b, a in zip(before, after, strict=True)],
        agent={
            "per_s": per_leaf(counts, counts_after, seconds, options.leaves),
            "cpu_cores": round(used_s / seconds / options.leaves, 6),
            "process_cpu_cores": round(used_s / seconds, 4),
            "process_memory_mb": round(memory_mb(), 1),
        },
        routing_bytes=options.routing,
        routing_ms=routing_ms,
        seed={"per_s": rates(seed_counts, seed_after, seconds)},
        decided_per_s=round(decided / seconds, 1),
        outcomes=load.outcomes,
        under_way=load.under_way,
        begin_ms={"p50": quantile(load.begun_ms, 0.5), "p99": quantile(load.begun_ms, 0.99)},
        claim_ms={"p50": quantile(load.claimed_ms, 0.5), "p99": quantile(load.claimed_ms, 0.99)},
        put_ms={"p50": quantile(load.put_ms, 0.5), "p99": quantile(load.put_ms, 0.99)},
        lease_gaps={"times": sum(gaps.values()), "leaves": len(gaps)},
    )


def measure(options):
    """Run the measurement that the arguments ask for and print its report; returns the exit status."""
    rings, report = [], {}
    count_links()
    signal.alarm(int(options.seconds) + 180)
    with TemporaryDirectory(prefix="scale-") as folder:

        def failed(failure):
            report["error"] = failure.getErrorMessage()

        @inlineCallbacks
        def whole():
            yield run(options, folder, rings, report).addErrback(failed)
            for ring in rings:
                ring.transport.loseConnection()
            yield gatherResults([ring.ended.addErrback(lambda _: None) for ring in rings])
            reactor.stop()

        reactor.callWhenRunning(whole)
        reactor.run()
        for ring in rings:
            ring.log.close()
        if "error" in report:
            for log in sorted(Path(folder).glob("*.log")):
                sys.stderr.write(log.read_bytes()[-3000:].decode(errors="replace"))
    print(json.format(json.encode(report), indent=1).decode())
    return 1 if "error" in report else 0
