"""Look for common faults of a fleet by the status of its daemons."""

from concurrent.futures import ThreadPoolExecutor

from msgspec import Struct, to_builtins

from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION

from .asking import DONE, FOUND, Door, Refused, ask, fail, say


class Finding(Struct, frozen=True):
    """One problem found: where, its cause and what to do about it."""

    problem: str
    where: str
    cause: str
    remedy: str


def reach(places):
    """Ask all daemons for their status, at once."""

    def one(place):
        return ask(Door(place["http"]), "/v1/status", wait_s=3)

    with ThreadPoolExecutor(16) as pool:
        return dict(zip((p["name"] for p in places), pool.map(one, places), strict=True))


def silent(name, error):
    """Return the finding for a daemon that does not answer."""
    why = error.error.get("text", "") if isinstance(error, Refused) else error.why
    return Finding("Silent", name, why, "see whether its process runs, and its log's last lines")


def of_daemon(name, said):
    """Yield the findings that one daemon's status shows."""
    if not said["primary"] or not said["serving"] and not said["leaving"]:
        yield Finding(
            "NoMajority",
            name,
            "it is not with the majority of the voters, or just changing",
            "raise the missing storage daemons, or mend the network between the zones",
        )
    if said["unwell"]:
        yield Finding(
            "DiskUnwell",
            name,
            "a sync overran its bound or the disk is full",
            "look at the disk; it is taken back by itself once it is well",
        )
    if said["disk_free_part"] is not None and said["disk_free_part"] < 0.1:
        yield Finding(
            "DiskNearlyFull",
            name,
            f"{said['disk_free_part']:.0%} of the disk is free",
            "make room, or give the data folder a larger disk",
        )
    if said["corrupt"]:
        yield Finding(
            "DiskDamaged",
            name,
            said["corrupt"],
            "it refills by itself from the others; replace the disk if it comes again",
        )
    if said["honoured"] < said["config_index"]:
        yield Finding(
            "ConfigLag",
            name,
            f"honours {said['honoured']} of {said['config_index']}",
            "see that it can reach a storage daemon; large bodies take a while",
        )
    if said["counts"].get("other_versions"):
        yield Finding(
            "MixedVersions",
            name,
            f"{said['counts']['other_versions']} frames of another version",
            "finish the roll-out; no two inner versions can share a configuration",
        )
    if said["primary"] and said.get("rules", 1) < PROTOCOL_REVISION:
        yield Finding(
            "OlderRules",
            name,
            "the ledger still goes by the rules of the version before",
            "restart the daemons that are still of that version; it changes by itself then",
        )
    if said["counts"].get("overslept", 0) > 3:
        yield Finding(
            "Overslept",
            name,
            f"it stood still {said['counts']['overslept']} times",
            "the machine is overloaded or was suspended",
        )


def together(found):
    """Yield the findings that only the daemons' statuses together show."""
    statuses = {n: s for n, s in found.items()}
    ids = {(s["configuration"]["epoch"], s["configuration"]["proposer"]) for s in statuses.values()}
    if len(ids) > 1:
        yield Finding(
            "Split",
            ", ".join(f"{e} by {p}" for e, p in sorted(ids)),
            "daemons are in several configurations",
            "see which links between them are cut",
        )
    top = max(s["applied"] for s in statuses.values())
    for name, said in statuses.items():
        if top - said["applied"] > 1000:
            yield Finding("LedgerLag", name, f"{top - said['applied']} entries behind", "see its load")
    clocks = sorted(s["wall_ms"] for s in statuses.values())
    if clocks[-1] - clocks[0] > 5000:
        for name, said in statuses.items():
            if abs(said["wall_ms"] - clocks[len(clocks) // 2]) > 5000:
                yield Finding(
                    "ClockOff",
                    name,
                    "its wall clock differs by seconds from the others'",
                    "nothing here relies on it but log times: set the clock",
                )
    voters = next(iter(statuses.values()))["voters"]
    lost = [v for v in voters if v not in statuses]
    if lost:
        yield Finding(
            "VoterMissing",
            ", ".join(lost),
            "a storage voter can't be reached",
            "raise it, or replace the machine under the same name with an empty data folder",
        )
    holder = next((s["duties"].get("list", {}).get("holder") for s in statuses.values()), None)
    said = statuses.get(holder)
    if said is not None and said["list_set"] and (said["list_age_ms"] is None or said["list_age_ms"] > 15000):
        yield Finding(
            "ListStale",
            holder,
            "the platform's runner list was not read for 15 s",
            "see whether the platform answers, and the count list_refused",
        )
    for duty in ("list", "ticks"):
        if not any(s["duties"].get(duty, {}).get("holder") for s in statuses.values()):
            yield Finding("DutyVacant", duty, "nobody holds this duty", "see that core daemons are up")


def run(command, door):
    """Run the doctor command."""
    first = ask(door, "/v1/status")
    if first.is_error():
        return fail(command, first.error)
    places = [p for p in first.ok["places"]]
    answers = reach(places)
    findings = [silent(n, r.error) for n, r in answers.items() if r.is_error()]
    found = {n: r.ok for n, r in answers.items() if r.is_ok()}
    for name, said in found.items():
        findings += of_daemon(name, said)
    findings += together(found)
    unknown = [s for s in first.ok["seeds"] if s not in {p["inner"] for p in places}]
    findings += [
        Finding(
            "SeedUnreached",
            s,
            "no daemon was met at this seed address",
            "mend the settings file's seeds, or raise that daemon",
        )
        for s in unknown
    ]
    text = "\n".join(f"{f.problem} at {f.where}: {f.cause}; {f.remedy}" for f in findings)
    say(command, to_builtins(findings), text or f"{len(found)} daemons are in order")
    return FOUND if findings else DONE
