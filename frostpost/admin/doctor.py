"""Check a fleet for common problems by the statuses of its daemons."""

from concurrent.futures import ThreadPoolExecutor

from msgspec import Struct, to_builtins

from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION

from .api_client import EXIT_FOUND, EXIT_OK, DaemonAddress, Refused, print_error, print_result, send_request


class Finding(Struct, frozen=True):
    """A problem: its kind, where it was found, its cause and its remedy."""

    problem: str
    where: str
    cause: str
    remedy: str


def query_statuses(endpoints):
    """Query all daemons for their status concurrently. Returns the results by daemon name."""

    def query_status(endpoint):
        return send_request(DaemonAddress(endpoint["http"]), "/v1/status", timeout_s=3)

    with ThreadPoolExecutor(16) as pool:
        return dict(zip((endpoint["name"] for endpoint in endpoints), pool.map(query_status, endpoints), strict=True))


def no_answer_finding(name, error):
    """Return the finding for a daemon that does not answer."""
    reason = error.error.get("text", "") if isinstance(error, Refused) else error.reason
    return Finding("Silent", name, reason, "check that its process is running, and the end of its log")


def check_daemon(name, status):
    """Yield the findings of one daemon's status."""
    if not status["primary"] or not status["serving"] and not status["leaving"]:
        yield Finding(
            "NoMajority",
            name,
            "it is not in the majority of the voters, or its configuration is changing",
            "start the missing storage daemons, or restore the network between the zones",
        )
    if status["unwell"]:
        yield Finding(
            "DiskUnwell",
            name,
            "a sync exceeded its time limit, or the disk is full",
            "check the disk; the daemon returns to service automatically once syncs succeed in time",
        )
    if status["disk_free_part"] is not None and status["disk_free_part"] < 0.1:
        yield Finding(
            "DiskNearlyFull",
            name,
            f"{status['disk_free_part']:.0%} of the disk is free",
            "make room, or give the data folder a larger disk",
        )
    if status["corrupt"]:
        yield Finding(
            "DiskDamaged",
            name,
            status["corrupt"],
            "it recovers its data from the other daemons automatically; replace the disk if this recurs",
        )
    if status["honoured"] < status["config_index"]:
        yield Finding(
            "ConfigLag",
            name,
            f"honours {status['honoured']} of {status['config_index']}",
            "check that it can reach a storage daemon; large bodies take a while",
        )
    if status["counts"].get("other_versions"):
        yield Finding(
            "MixedVersions",
            name,
            f"{status['counts']['other_versions']} frames of another version",
            "finish the roll-out; no two inner versions can share a configuration",
        )
    if status["primary"] and status.get("rules", 1) < PROTOCOL_REVISION:
        yield Finding(
            "OlderRules",
            name,
            "the ledger still runs under the rules of the previous version",
            "restart the daemons that still run that version; the rules then change automatically",
        )
    if status["counts"].get("overslept", 0) > 3:
        yield Finding(
            "Overslept",
            name,
            f"it was suspended {status['counts']['overslept']} times",
            "the machine is overloaded or was suspended",
        )


def check_fleet(results):
    """Yield the findings that follow from comparing the daemons' statuses."""
    statuses = {n: s for n, s in results.items()}
    configuration_ids = {(s["configuration"]["epoch"], s["configuration"]["proposer"]) for s in statuses.values()}
    if len(configuration_ids) > 1:
        yield Finding(
            "Split",
            ", ".join(f"{e} by {p}" for e, p in sorted(configuration_ids)),
            "daemons are in several configurations",
            "check which links between them are down",
        )
    newest_applied = max(s["applied"] for s in statuses.values())
    for name, status in statuses.items():
        if newest_applied - status["applied"] > 1000:
            yield Finding("LedgerLag", name, f"{newest_applied - status['applied']} entries behind", "check its load")
    clocks = sorted(s["wall_ms"] for s in statuses.values())
    if clocks[-1] - clocks[0] > 5000:
        for name, status in statuses.items():
            if abs(status["wall_ms"] - clocks[len(clocks) // 2]) > 5000:
                yield Finding(
                    "ClockOff",
                    name,
                    "its wall clock differs by seconds from the others'",
                    "only log times depend on it; set the clock",
                )
    voters = next(iter(statuses.values()))["voters"]
    unreachable = [v for v in voters if v not in statuses]
    if unreachable:
        yield Finding(
            "VoterMissing",
            ", ".join(unreachable),
            "a storage voter is unreachable",
            "start it, or replace the machine under the same name with an empty data folder",
        )
    holder = next((s["duties"].get("list", {}).get("holder") for s in statuses.values()), None)
    status = statuses.get(holder)
    if status is not None and status["list_set"] and (status["list_age_ms"] is None or status["list_age_ms"] > 15000):
        yield Finding(
            "ListStale",
            holder,
            "the platform's runner list was not read for 15 s",
            "check whether the platform answers, and the counter list_refused",
        )
    for duty in ("list", "ticks"):
        if not any(s["duties"].get(duty, {}).get("holder") for s in statuses.values()):
            yield Finding("DutyVacant", duty, "no daemon holds this duty", "check that core daemons are running")


def run(command, daemon):
    """Check the fleet that a daemon belongs to, and print the findings."""
    first = send_request(daemon, "/v1/status")
    if first.is_error():
        return print_error(command, first.error)
    endpoints = [endpoint for endpoint in first.ok["places"]]
    answers = query_statuses(endpoints)
    findings = [no_answer_finding(n, result.error) for n, result in answers.items() if result.is_error()]
    statuses = {n: result.ok for n, result in answers.items() if result.is_ok()}
    for name, status in statuses.items():
        findings += check_daemon(name, status)
    findings += check_fleet(statuses)
    unknown = [s for s in first.ok["seeds"] if s not in {endpoint["inner"] for endpoint in endpoints}]
    findings += [
        Finding(
            "SeedUnreached",
            s,
            "no daemon was found at this seed address",
            "correct the seeds in the settings file, or start that daemon",
        )
        for s in unknown
    ]
    text = "\n".join(f"{f.problem} at {f.where}: {f.cause}; {f.remedy}" for f in findings)
    print_result(command, to_builtins(findings), text or f"{len(statuses)} daemons checked, no problems found")
    return EXIT_FOUND if findings else EXIT_OK
