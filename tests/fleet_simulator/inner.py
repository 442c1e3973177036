"""What no client sees: daemons that ended by themselves, broken callbacks, ledgers that differ or hold too much."""

from collections import defaultdict

from msgspec import msgpack


def inner(world):
    for host in world.net.hosts.values():
        for text in host.breaks[:2]:
            yield f"{host.name}: {text}"
    for daemon in world.daemons.values():
        bad = [t for t in world.notes.troubles if t.kind == "bad disk" and daemon.name in t.names]
        for at_ms, code in daemon.exits:
            if code != 0 and not any(t.from_ms <= at_ms <= t.until_ms + 1000 for t in bad):
                yield f"{daemon.name} ended with {code} at {round(at_ms)}"
    held = defaultdict(dict)
    for daemon in world.of("storage"):
        if daemon.owner is not None and daemon.owner.ctx.core is not None:
            ledger = daemon.owner.ctx.core.ledger
            held[ledger.index].setdefault(msgpack.encode(ledger.program_ledger), []).append(daemon.name)
    yield from leaks(world)
    for index, states in held.items():
        if len(states) > 1:
            yield f"ledgers differ at {index}: {list(states.values())}"


def released(daemon):
    """Whether a storage machine was emptied and let out of the configuration: its copies count for nothing."""
    core = daemon.owner.ctx.core
    return core is not None and core.ledger.program_ledger.retiring.get(daemon.name) == "completed"


def leaks(world):
    """What the ledger still holds for tries that are over, though the edges that took them never ended."""
    storage = next((d for d in world.of("storage") if d.owner is not None and d.owner.ctx.core is not None), None)
    if storage is None:
        return
    program_ledger, tries = storage.owner.ctx.core.ledger.program_ledger, {t.try_id: t for t in world.notes.tries}

    def steady(name):
        request = tries.get(name)
        return (
            request is not None
            and 0 <= request.ended_ms < world.now_ms() - 3000
            and not any(address == request.edge and at_ms > request.sent_ms for address, at_ms in world.starts)
        )

    held = [n for n in program_ledger.attempts if steady(n)]
    if held:
        yield f"{len(held)} attempts stay open: {[(n, tries[n].status, round(tries[n].sent_ms)) for n in held[:4]]}"
    keys = [
        k
        for k, key in program_ledger.keys.items()
        if not key.answered and steady(key.attempt) and tries[key.attempt].status in (503, 409)
    ]
    if keys:
        yield f"keys stay at work: {[(k, program_ledger.keys[k].attempt) for k in keys[:4]]}"
    lacking = {
        d.name: d.owner.turn_store.missing_count
        for d in world.of("storage")
        if d.owner is not None and d.owner.turn_store.missing_count and not released(d)
    }
    if lacking:
        yield f"bodies are missing: {lacking}"
