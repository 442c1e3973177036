"""Budgets, reservations and histories of programs."""

from heapq import heappush
from zlib import crc32

from .entities import HistoryLine, Program, Reservation
from .results import BudgetSpent, Done, NoRunner, NotHeld, Reserved, StaleConfig, TurnOpen


def history_line(input, output):
    """Return a history line with the checksum of its input and output."""
    return HistoryLine(input, output, crc32(output.encode(), crc32(input.encode())))


def is_intact(kept):
    """Tell whether a history line matches its checksum."""
    return crc32(kept.output.encode(), crc32(kept.input.encode())) == kept.sum


def instance_key(runner):
    """Return the name of one instance of a runner, as `NAME/INSTANCE`."""
    return f"{runner.name}/{runner.instance}"


def admissible_runner(ledger, name, instance, pools):
    """Return the runner of that name if it may take another turn now, else None."""
    runner = ledger.runners.get(name)
    if runner is None or runner.instance != instance or instance_key(runner) in ledger.leaving:
        return None
    if runner.pool not in pools or ledger.running.get(name, 0) >= runner.room:
        return None
    return runner


def stale_config(ledger, marks):
    """Return StaleConfig for the first configuration that is not at the caller's version, else None."""
    for path, version in marks:
        mark = ledger.configs.get(path)
        held = mark.version if mark and mark.digest else 0
        if held != version:
            return StaleConfig(path, held)


def reserve(ledger, entry, op):
    """Reserve units of a program's budget and a slot of a runner for one turn."""
    error = stale_config(ledger, op.config_versions)
    if error:
        return error
    program = ledger.programs.get(op.program) or Program(op.budget, op.retention_ms)
    program.budget, program.retention_ms, program.budget_retention_ms = (
        op.budget,
        op.retention_ms,
        op.budget_retention_ms,
    )
    if program.turn:
        return TurnOpen(op.program)
    amount = min(op.amount, program.budget - program.spent - program.reserved)
    if amount <= 0:
        return BudgetSpent(program.budget, program.spent)
    found = (admissible_runner(ledger, n, i, op.pools) for n, i in op.candidates)
    runner = next((r for r in found if r), None)
    if runner is None:
        return NoRunner(len(op.candidates))
    ledger.programs[op.program] = program
    program.turn, program.reserved = entry.index, program.reserved + amount
    extend_retention(ledger, op.program, program)
    ledger.reservations[entry.index] = Reservation(op.program, entry.sender, amount, runner.name)
    ledger.running[runner.name] = ledger.running.get(runner.name, 0) + 1
    return Reserved(entry.index, runner, amount, tuple(program.lines))


def extend_retention(ledger, name, program):
    """Extend the retention of a program from now on."""
    now = program.touched_ms = ledger.clock_ms
    if ledger.rules < 2:
        heappush(ledger.expiries, (now + program.retention_ms, "program", name))
        return
    program.retained_until_ms = max(program.retained_until_ms, now + program.retention_ms)
    program.budget_retained_until_ms = max(
        program.budget_retained_until_ms, program.retained_until_ms, now + program.budget_retention_ms
    )
    if not program.due_ms:
        schedule_expiry(ledger, name, program)


def schedule_expiry(ledger, name, program):
    """Schedule the next check of a program's retention."""
    program.due_ms = program.retained_until_ms if program.lines or program.turn else program.budget_retained_until_ms
    heappush(ledger.expiries, (program.due_ms, "program", name))


def close_reservation(ledger, number, used):
    """End a reservation, account the units used and return the program."""
    held = ledger.reservations.pop(number)
    program = ledger.programs[held.program]
    program.reserved -= held.amount
    program.spent += min(used, held.amount)
    if program.turn == number:
        program.turn = 0
    extend_retention(ledger, held.program, program)
    left = ledger.running.get(held.runner, 0) - 1
    if left > 0:
        ledger.running[held.runner] = left
    else:
        ledger.running.pop(held.runner, None)
    return program


def settle(ledger, entry, op):
    """End a turn that ran and append its line to the program's history."""
    held = ledger.reservations.get(op.reservation)
    if held is None or held.owner != entry.sender:
        return NotHeld("reservation")
    program = close_reservation(ledger, op.reservation, op.used)
    if op.line is not None:
        program.lines.append(op.line)
    return Done(entry.index)


def release(ledger, entry, op):
    """End a turn that never ran; nothing is spent."""
    held = ledger.reservations.get(op.reservation)
    if held is None or held.owner != entry.sender:
        return NotHeld("reservation")
    close_reservation(ledger, op.reservation, 0)
    return Done(entry.index)


def end_orphaned_reservations(ledger):
    """End the reservations of members that are gone; all that they reserved counts as spent."""
    for number, held in list(ledger.reservations.items()):
        if held.owner not in ledger.members:
            close_reservation(ledger, number, held.amount)


def restart_retention(ledger):
    """Start the retention of every program again, after a time in which no ledger clock ran."""
    for name, program in ledger.programs.items():
        program.retained_until_ms += ledger.clock_ms - program.touched_ms
        program.budget_retained_until_ms += ledger.clock_ms - program.touched_ms
        extend_retention(ledger, name, program)


def expire(ledger, name):
    """Drop the history or the whole of a program whose retention has passed."""
    program = ledger.programs.get(name)
    if program is None:
        return
    program.due_ms = 0
    if program.turn:
        return
    if ledger.rules < 2:
        if ledger.clock_ms - program.touched_ms >= program.retention_ms:
            del ledger.programs[name]
        return
    if ledger.clock_ms >= program.retained_until_ms:
        program.lines = []
    if ledger.clock_ms >= program.budget_retained_until_ms:
        del ledger.programs[name]
    else:
        schedule_expiry(ledger, name, program)
