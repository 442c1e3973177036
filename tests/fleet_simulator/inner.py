"""Internal checks: unexpected exits, failed callbacks, diverging ledgers and leaked ledger entries."""

from collections import defaultdict

from msgspec import msgpack


def inner(world):
    for host in world.net.hosts.values():
        for text in host.tracebacks[:2]:
            yield f"{host.name}: {text}"
    for daemon in world.daemons.values():
        disk_faults = [
            trouble for trouble in world.notes.troubles if trouble.kind == "bad disk" and daemon.name in trouble.names
        ]
        for at_ms, code in daemon.exits:
            if code != 0 and not any(fault.from_ms <= at_ms <= fault.until_ms + 1000 for fault in disk_faults):
                yield f"{daemon.name} ended with {code} at {round(at_ms)}"
    daemons_by_state = defaultdict(dict)
    for daemon in world.of("storage"):
        if daemon.owner is not None and daemon.owner.ctx.core is not None:
            ledger = daemon.owner.ctx.core.ledger
            daemons_by_state[ledger.index].setdefault(msgpack.encode(ledger.program_ledger), []).append(daemon.name)
    yield from leaks(world)
    for index, states in daemons_by_state.items():
        if len(states) > 1:
            yield f"ledgers differ at {index}: {list(states.values())}"


def released(daemon):
    """Return whether a storage machine has completed retirement, so that its copies no longer count."""
    core = daemon.owner.ctx.core
    return core is not None and core.ledger.program_ledger.retiring.get(daemon.name) == "completed"


def leaks(world):
    """Yield ledger entries of ended requests whose edges have not restarted since, and missing turn bodies."""
    storage = next((d for d in world.of("storage") if d.owner is not None and d.owner.ctx.core is not None), None)
    if storage is None:
        return
    program_ledger, tries = storage.owner.ctx.core.ledger.program_ledger, {t.try_id: t for t in world.notes.tries}

    def ended_on_running_edge(name):
        request = tries.get(name)
        return (
            request is not None
            and 0 <= request.ended_ms < world.now_ms() - 3000
            and not any(address == request.edge and at_ms > request.sent_ms for address, at_ms in world.starts)
        )

    leaked = [n for n in program_ledger.attempts if ended_on_running_edge(n)]
    if leaked:
        yield f"{len(leaked)} attempts stay open: {[(n, tries[n].status, round(tries[n].sent_ms)) for n in leaked[:4]]}"
    keys = [
        k
        for k, key in program_ledger.keys.items()
        if not key.answered and ended_on_running_edge(key.attempt) and tries[key.attempt].status in (503, 409)
    ]
    if keys:
        yield f"keys stay at work: {[(k, program_ledger.keys[k].attempt) for k in keys[:4]]}"
    missing_bodies = {
        d.name: d.owner.turn_store.missing_count
        for d in world.of("storage")
        if d.owner is not None and d.owner.turn_store.missing_count and not released(d)
    }
    if missing_bodies:
        yield f"bodies are missing: {missing_bodies}"
