from heapq import heappush
from zlib import crc32

from .words import (
    BudgetSpent,
    Done,
    Line,
    NoRunner,
    NotHeld,
    Program,
    Reservation,
    Reserved,
    StaleConfig,
    TurnOpen,
)


def line(input, output):
    return Line(input, output, crc32(output.encode(), crc32(input.encode())))


def whole(kept):
    return crc32(kept.output.encode(), crc32(kept.input.encode())) == kept.sum


def instanceKey(runner):
    return f"{runner.name}/{runner.instance}"


def admissible(granary, name, instance, pools):
    runner = granary.runners.get(name)
    if runner is None or runner.instance != instance or instanceKey(runner) in granary.leaving:
        return None
    if runner.pool not in pools or granary.running.get(name, 0) >= runner.room:
        return None
    return runner


def stale(granary, marks):
    for path, version in marks:
        mark = granary.configs.get(path)
        held = mark.version if mark and mark.digest else 0
        if held != version:
            return StaleConfig(path, held)


def reserve(granary, entry, op):
    fault = stale(granary, op.marks)
    if fault:
        return fault
    program = granary.programs.get(op.program) or Program(op.budget, op.keepMs)
    program.budget, program.keepMs, program.budgetKeepMs = op.budget, op.keepMs, op.budgetKeepMs
    if program.turn:
        return TurnOpen(op.program)
    amount = min(op.amount, program.budget - program.spent - program.reserved)
    if amount <= 0:
        return BudgetSpent(program.budget, program.spent)
    found = (admissible(granary, n, i, op.pools) for n, i in op.candidates)
    runner = next((r for r in found if r), None)
    if runner is None:
        return NoRunner(len(op.candidates))
    granary.programs[op.program] = program
    program.turn, program.reserved = entry.index, program.reserved + amount
    touch(granary, op.program, program)
    granary.reservations[entry.index] = Reservation(op.program, entry.sender, amount, runner.name)
    granary.running[runner.name] = granary.running.get(runner.name, 0) + 1
    return Reserved(entry.index, runner, amount, tuple(program.lines))


def touch(granary, name, program):
    now = program.touchedMs = granary.clockMs
    if granary.rules < 2:
        heappush(granary.expiries, (now + program.keepMs, "program", name))
        return
    program.keptMs = max(program.keptMs, now + program.keepMs)
    program.budgetKeptMs = max(program.budgetKeptMs, program.keptMs, now + program.budgetKeepMs)
    if not program.dueMs:
        due(granary, name, program)


def due(granary, name, program):
    program.dueMs = program.keptMs if program.lines or program.turn else program.budgetKeptMs
    heappush(granary.expiries, (program.dueMs, "program", name))


def close(granary, number, used):
    held = granary.reservations.pop(number)
    program = granary.programs[held.program]
    program.reserved -= held.amount
    program.spent += min(used, held.amount)
    if program.turn == number:
        program.turn = 0
    touch(granary, held.program, program)
    left = granary.running.get(held.runner, 0) - 1
    if left > 0:
        granary.running[held.runner] = left
    else:
        granary.running.pop(held.runner, None)
    return program


def settle(granary, entry, op):
    held = granary.reservations.get(op.reservation)
    if held is None or held.owner != entry.sender:
        return NotHeld("reservation")
    program = close(granary, op.reservation, op.used)
    if op.line is not None:
        program.lines.append(op.line)
    return Done(entry.index)


def release(granary, entry, op):
    held = granary.reservations.get(op.reservation)
    if held is None or held.owner != entry.sender:
        return NotHeld("reservation")
    close(granary, op.reservation, 0)
    return Done(entry.index)


def orphan(granary):
    for number, held in list(granary.reservations.items()):
        if held.owner not in granary.members:
            close(granary, number, held.amount)


def anew(granary):
    for name, program in granary.programs.items():
        program.keptMs += granary.clockMs - program.touchedMs
        program.budgetKeptMs += granary.clockMs - program.touchedMs
        touch(granary, name, program)


def expire(granary, name):
    program = granary.programs.get(name)
    if program is None:
        return
    program.dueMs = 0
    if program.turn:
        return
    if granary.rules < 2:
        if granary.clockMs - program.touchedMs >= program.keepMs:
            del granary.programs[name]
        return
    if granary.clockMs >= program.keptMs:
        program.lines = []
    if granary.clockMs >= program.budgetKeptMs:
        del granary.programs[name]
    else:
        due(granary, name, program)
