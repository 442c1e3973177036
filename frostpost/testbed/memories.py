"""Judge programs' histories."""

from collections import defaultdict

from msgspec import Struct

from .told import Breach, ended


class Seen(Struct):
    """A history that a runner or a reader was shown, and when."""

    what: str
    from_ms: int
    to_ms: int
    lines: list


def text_of(note):
    """Return the output of a run."""
    return "".join(f"{note['run']}:{k} " for k in range(1, note["total"] + 1))


def seen_by(caller_notes, found, runs):
    """Return all histories shown, by program."""
    programs = defaultdict(list)
    for request, notes in runs.items():
        ask = found.get(request)
        if ask is not None and ask.kind == "turns":
            key = (ask.tenant, ask.document["program"])
            programs[key] += [Seen(request, ask.asked_ms, n["at_ms"], n["history"]) for n in notes]
    for note in caller_notes:
        if note["kind"] == "read" and note["status"] in (200, 404):
            _, _, _, tenant, _, program = note["path"].split("/")
            lines = [[x["input"], x["output"]] for x in note["document"].get("history", ())]
            programs[(tenant, program)].append(Seen("read", note["asked_ms"], note["at_ms"], lines))
    return programs


def answered(found):
    """Return the turns that callers were given whole, by program."""
    kept = defaultdict(list)
    for ask in found.values():
        if ask.kind == "turns" and ended(ask):
            text = "".join(line["text"] for line in ask.lines if "piece" in line)
            kept[(ask.tenant, ask.document["program"])].append((ask.answered_ms, [ask.document["input"], text]))
    return kept


def known(found, runs):
    """Return all turns that ran, by program."""
    lines = defaultdict(list)
    for request, notes in runs.items():
        ask = found.get(request)
        if ask is not None and ask.kind == "turns":
            lines[(ask.tenant, ask.document["program"])] += [(n["at_ms"], [n["input"], text_of(n)]) for n in notes]
    return lines


def histories(caller_notes, found, runs):
    """Yield breaches: histories that changed, mixed or lack what was answered."""
    kept, real = answered(found), known(found, runs)
    for key, seen in seen_by(caller_notes, found, runs).items():
        order = [line for _, line in sorted(real[key], key=lambda r: r[0])]
        for one in seen:
            spots = [order.index(line) if line in order else -1 for line in one.lines]
            if -1 in spots or spots != sorted(set(spots)):
                yield Breach("history", f"{key} {one.what}: changed, foreign or out of order lines")
            for at_ms, line in kept[key]:
                if at_ms < one.from_ms and line not in one.lines:
                    yield Breach("history", f"{key} {one.what}: lacks what was answered")
            for other in seen:
                if other.to_ms < one.from_ms and one.lines[: len(other.lines)] != other.lines:
                    yield Breach("history", f"{key} {one.what}: doesn't go on from {other.what}")
