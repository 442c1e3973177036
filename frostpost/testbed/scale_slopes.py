"""What state costs by its size, measured in this process: the ledger, its snapshot, the turn_store."""

import os
from resource import RUSAGE_SELF, getrusage
from tempfile import TemporaryDirectory
from time import perf_counter, process_time
from tracemalloc import get_traced_memory, start, stop
from types import SimpleNamespace

from msgspec import json, msgpack

from frostpost.ledger.apply import decode_op
from frostpost.program_ledger.apply import act
from frostpost.program_ledger.state import ProgramLedger
from frostpost.program_ledger.words import BeginAttempt, Candidate, ClaimOperationKey, EndAttempt, ResolveOperationKey
from frostpost.turn_store.repair import missing_turns
from frostpost.turn_store.segments import BodyFiles, open_segments, read_body, write_batch

RETENTION_MS, ANSWER_BYTES, ROUNDS = 3600000, 400, 2000
encode = msgpack.Encoder().encode


def name_of(program, number):
    """Return the name of a program's turn."""
    return f"{program:016x}{number:016x}"


def runners(count):
    """Return a number of candidates."""
    return tuple(Candidate(f"runner-{n:06d}", 1 << 20) for n in range(count))


def turn_ops(program, number, candidates):
    """Return the two operations of a turn."""
    this, previous = name_of(program, number), name_of(program, number - 1) if number else ""
    return (
        BeginAttempt(
            this, name_of(program, 0), 1 << 30, 400, previous, 5000, candidates, (("part-of-tenant", 2000),), "", 4000
        ),
        EndAttempt(this, 360, RETENTION_MS, 2000),
    )


def each_us(count, job):
    """Return the processor microseconds that a job takes for each of `count` things."""
    begun_s = process_time()
    job()
    return round((process_time() - begun_s) / count * 1e6, 2)


def held_bytes(count, job):
    """Bytes of memory held by each of `count` things that a job makes and returns."""
    start()
    kept = job()
    held = get_traced_memory()[0]
    stop()
    return kept, round(held / count)


def apply_all(program_ledger, ops, now_ms=0):
    """Apply operations to a ledger."""
    for op in ops:
        act(program_ledger, now_ms, (), (), op)


def grown(programs, turns, candidates):
    """Return a ledger with programs of some turns each."""
    program_ledger = ProgramLedger()
    for program in range(programs):
        for number in range(turns):
            apply_all(program_ledger, turn_ops(program, number, candidates))
    return program_ledger


def measure_ledger(programs, turns):
    """-> costs for each turn, and the program_ledger that holds them all."""
    count, few = programs * turns, max(1, programs // 8)
    _, memory_bytes = held_bytes(few * turns, lambda: grown(few, turns, runners(8)))
    begun_s = process_time()
    program_ledger = grown(programs, turns, runners(8))
    grown_s, begun_s = process_time() - begun_s, process_time()
    snapshot = encode(program_ledger)
    encode_s, begun_s = process_time() - begun_s, process_time()
    msgpack.decode(snapshot, type=ProgramLedger)
    return {
        "programs": programs,
        "turns": count,
        "memory_bytes_per_turn": memory_bytes,
        "snapshot_bytes_per_turn": round(len(snapshot) / count),
        "begin_and_end_us": round(grown_s / count * 1e6, 1),
        "encode_us_per_turn": round(encode_s / count * 1e6, 3),
        "decode_us_per_turn": round((process_time() - begun_s) / count * 1e6, 3),
    }, program_ledger


def measure_accounts(count):
    """Programs of one turn each: what a program costs beside its turns."""
    program_ledger, memory_bytes = held_bytes(count, lambda: grown(count, 1, runners(1)))
    return {
        "programs": count,
        "memory_bytes_per_program_of_one_turn": memory_bytes,
        "snapshot_bytes_per_program_of_one_turn": round(len(encode(program_ledger)) / count),
    }


def claimed(count):
    """Return a ledger with idempotency keys."""
    program_ledger = ProgramLedger()
    for n in range(count):
        key = name_of(n, 1)
        apply_all(
            program_ledger,
            (ClaimOperationKey(key, key, RETENTION_MS), ResolveOperationKey(key, key, os.urandom(ANSWER_BYTES))),
        )
    return program_ledger


def measure_keys(count):
    """Return what a key costs."""
    program_ledger, memory_bytes = held_bytes(count, lambda: claimed(count))
    return {
        "keys": count,
        "answer_bytes": ANSWER_BYTES,
        "memory_bytes_per_key": memory_bytes,
        "snapshot_bytes_per_key": round(len(encode(program_ledger)) / count),
    }


def measure_index(count):
    """What a body costs in the memory of a storage daemon: its name, and where it lies."""
    _, memory_bytes = held_bytes(count, lambda: {name_of(n, 1): (n >> 12, n * 300, 2000 + n) for n in range(count)})
    return {"bodies": count, "memory_bytes_per_body": memory_bytes}


def measure_candidates(counts):
    """A Begin by the number of runners it names: its bytes, and its cost at delivery (read and applied)."""
    found = {}
    for count in counts:
        program_ledger, candidates = ProgramLedger(), runners(count)
        payloads = [[encode(op) for op in turn_ops(program, 0, candidates)] for program in range(ROUNDS)]

        def deliver(program_ledger=program_ledger, payloads=payloads):
            for pair in payloads:
                apply_all(program_ledger, map(decode_op, pair))

        found[str(count)] = {"begin_bytes": len(payloads[0][0]), "begin_and_end_us": each_us(ROUNDS, deliver)}
    return found


def measure_chain(turns):
    """Return what a turn costs after many others of its program."""
    program_ledger, last = ProgramLedger(), turns - 1
    for number in range(turns):
        apply_all(program_ledger, turn_ops(1, number, runners(8)))
    begin, _ = turn_ops(1, turns, runners(8))
    first = turn_ops(2, 0, runners(8))[0]

    def often(op):
        def job():
            for _ in range(ROUNDS):
                act(program_ledger, 0, (), (), op)

        return job

    return {
        "turns_before": last + 1,
        "begin_us": each_us(ROUNDS, often(begin)),
        "begin_of_a_first_turn_us": each_us(ROUNDS, often(first)),
        "result_bytes": len(encode(act(program_ledger, 0, (), (), begin))),
    }


def measure_repair(program_ledger):
    """What one look for bodies that are lacking costs (five a second)."""
    replica = SimpleNamespace(turn_store=SimpleNamespace(index=dict.fromkeys(program_ledger.turns, (0, 0, 0))))
    count, wall_s = len(program_ledger.turns), []
    for _ in range(5):
        begun_s = perf_counter()
        missing_turns(replica.turn_store, program_ledger.turns)
        wall_s.append(perf_counter() - begun_s)
    return {"turns": count, "us_per_turn": round(min(wall_s) / count * 1e6, 4)}


def measure_turn_store(folder, body_bytes, count, batch):
    """Return what storing and reading a body costs."""
    log, index, _, _ = open_segments(os.path.join(folder, f"turn_store-{body_bytes}"), BodyFiles(), 8 << 20)
    bodies = [(name_of(n, body_bytes), os.urandom(body_bytes)) for n in range(count)]
    used_s, begun_s = process_time(), perf_counter()
    for at in range(0, count, batch):
        index.update(write_batch(log, bodies[at : at + batch]).spots)
    put_cpu_s, put_s = process_time() - used_s, perf_counter() - begun_s
    used_s = process_time()
    for turn, _ in bodies:
        read_body(log, index[turn])
    return {
        "body_bytes": body_bytes,
        "bodies": count,
        "batch": batch,
        "put_cpu_us": round(put_cpu_s / count * 1e6, 1),
        "sync_ms": round(put_s / count * batch * 1000, 2),
        "get_cpu_us": round((process_time() - used_s) / count * 1e6, 1),
    }


def measure(options):
    """Measure by the number of programs and turns that the arguments ask for; returns the exit status."""
    with TemporaryDirectory(prefix="scale-") as folder:
        keys = measure_keys(20000)
        accounts = measure_accounts(20000)
        ledger, program_ledger = measure_ledger(options.programs, options.turns)
        found = {
            "ledger": ledger,
            "accounts": accounts,
            "keys": keys,
            "index": measure_index(50000),
            "repair": measure_repair(program_ledger),
            "candidates": measure_candidates((8, 32, 200)),
            "chain": measure_chain(options.turns),
            "turn_store": [measure_turn_store(folder, 2000, 4000, 10), measure_turn_store(folder, 16000, 2000, 10)],
            "peak_memory_mb": round(getrusage(RUSAGE_SELF).ru_maxrss / 1024),
        }
    print(json.format(json.encode(found), indent=1).decode())
    return 0
