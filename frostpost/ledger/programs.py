"""Budgets, reservations and histories of programs."""

from heapq import heappush
from zlib import crc32

from .entities import HistoryEntry, Program, Reservation
from .results import BudgetSpent, Done, NoRunner, NotHeld, Reserved, StaleConfig, TurnOpen


def history_entry(input, output):
    """Return a history entry with the checksum of its input and output."""
    return HistoryEntry(input, output, crc32(output.encode(), crc32(input.encode())))


def is_intact(turn):
    """Return whether a history entry matches its checksum."""
    return crc32(turn.output.encode(), crc32(turn.input.encode())) == turn.sum


def instance_key(runner):
    """Return the key of a runner's instance, as `NAME/INSTANCE`."""
    return f"{runner.name}/{runner.instance}"


def admissible_runner(ledger, name, instance, pools):
    """Return the runner of this name if it can accept another turn, else None."""
    runner = ledger.runners.get(name)
    if runner is None or runner.instance != instance or instance_key(runner) in ledger.leaving:
        return None
    if runner.pool not in pools or ledger.running.get(name, 0) >= runner.room:
        return None
    return runner


def stale_config(ledger, expected_versions):
    """Return StaleConfig for the first document that is not at its expected version, else None."""
    for path, expected in expected_versions:
        version = ledger.configs.get(path)
        current = version.version if version and version.digest else 0
        if current != expected:
            return StaleConfig(path, current)


def reserve(ledger, entry, op):
    """Reserve units of a program's budget and a runner's slot for one turn."""
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
    admissible = (admissible_runner(ledger, name, instance, op.pools) for name, instance in op.candidates)
    runner = next((r for r in admissible if r), None)
    if runner is None:
        return NoRunner(len(op.candidates))
    ledger.programs[op.program] = program
    program.turn, program.reserved = entry.index, program.reserved + amount
    extend_retention(ledger, op.program, program)
    ledger.reservations[entry.index] = Reservation(op.program, entry.sender, amount, runner.name)
    ledger.running[runner.name] = ledger.running.get(runner.name, 0) + 1
    return Reserved(entry.index, runner, amount, tuple(program.lines))


def extend_retention(ledger, name, program):
    """Extend the retention of a program and of its budget from the ledger's current time."""
    now_ms = program.touched_ms = ledger.clock_ms
    if ledger.rules < 2:
        heappush(ledger.expiries, (now_ms + program.retention_ms, "program", name))
        return
    program.retained_until_ms = max(program.retained_until_ms, now_ms + program.retention_ms)
    program.budget_retained_until_ms = max(
        program.budget_retained_until_ms, program.retained_until_ms, now_ms + program.budget_retention_ms
    )
    if not program.due_ms:
        schedule_expiry(ledger, name, program)


def schedule_expiry(ledger, name, program):
    """Schedule the next expiry check of a program."""
    program.due_ms = program.retained_until_ms if program.lines or program.turn else program.budget_retained_until_ms
    heappush(ledger.expiries, (program.due_ms, "program", name))


def close_reservation(ledger, number, used):
    """End a reservation, charge the units used and return the program."""
    reservation = ledger.reservations.pop(number)
    program = ledger.programs[reservation.program]
    program.reserved -= reservation.amount
    program.spent += min(used, reservation.amount)
    if program.turn == number:
        program.turn = 0
    extend_retention(ledger, reservation.program, program)
    running = ledger.running.get(reservation.runner, 0) - 1
    if running > 0:
        ledger.running[reservation.runner] = running
    else:
        ledger.running.pop(reservation.runner, None)
    return program


def settle(ledger, entry, op):
    """End an executed turn and append it to the program's history."""
    reservation = ledger.reservations.get(op.reservation)
    if reservation is None or reservation.owner != entry.sender:
        return NotHeld("reservation")
    program = close_reservation(ledger, op.reservation, op.used)
    if op.line is not None:
        program.lines.append(op.line)
    return Done(entry.index)


def release(ledger, entry, op):
    """End a turn that was never executed; no units are charged."""
    reservation = ledger.reservations.get(op.reservation)
    if reservation is None or reservation.owner != entry.sender:
        return NotHeld("reservation")
    close_reservation(ledger, op.reservation, 0)
    return Done(entry.index)


def end_orphaned_reservations(ledger):
    """End the reservations of departed members and charge them in full, as their outcome is unknown."""
    for number, reservation in list(ledger.reservations.items()):
        if reservation.owner not in ledger.members:
            close_reservation(ledger, number, reservation.amount)


def restart_retention(ledger):
    """Restart the retention of all programs after a full stop, during which the ledger's clock did not advance."""
    for name, program in ledger.programs.items():
        program.retained_until_ms += ledger.clock_ms - program.touched_ms
        program.budget_retained_until_ms += ledger.clock_ms - program.touched_ms
        extend_retention(ledger, name, program)


def expire(ledger, name):
    """Remove a program's history, and the program itself, once their retention has passed."""
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
