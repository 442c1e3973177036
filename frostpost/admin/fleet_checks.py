"""Check a fleet for common problems by the statuses that `admin fleet` has queried."""

from collections import Counter

from .doctor import Finding

DECOMMISSIONED_AFTER_MS = 600000


def check_unanswered(fleet, sequencer):
    """Yield findings for daemons that do not answer."""
    retired = {n for n, state in (sequencer or {}).get("retiring", {}).items() if state == "completed"}
    for seed in fleet.seeds_silent:
        yield Finding(
            "SeedUnreached",
            seed,
            "no daemon answers at this seed address",
            "start that daemon, or give the inner address of a running one",
        )
    for name, address in fleet.ring_silent.items():
        if name not in retired:
            yield Finding(
                "Silent", name, f"no answer from {address}", "check that its process is running, and the end of its log"
            )
    for name, address in fleet.leaves_silent.items():
        lease_left_ms = fleet.listed[name]["lease_left_ms"]
        if lease_left_ms is None or lease_left_ms > -DECOMMISSIONED_AFTER_MS:
            yield Finding(
                "Silent",
                name,
                f"no answer from {address}",
                "check that its process is running; ignore this if the machine was decommissioned",
            )


def check_primary(fleet, sequencer):
    """Yield findings about the primary configuration."""
    waiting = [n for n, f in fleet.ring.items() if f["charter_waiting"]]
    if waiting:
        yield Finding(
            "CharterWaiting",
            ", ".join(sorted(waiting)),
            "an empty disk at a first start waits for the charter",
            "start the seed with the lowest address; a disk that was emptied later needs settings without first start",
        )
    if sequencer is None:
        yield Finding(
            "NoPrimary",
            ", ".join(sorted(fleet.ring)) or "ring",
            "no ring daemon sequences a primary configuration",
            "start the missing voters, or restore the network between the zones",
        )
    configuration_ids = Counter(
        (f["configuration"]["epoch"], f["configuration"]["proposer"])
        for f in fleet.ring.values()
        if "configuration" in f
    )
    if len(configuration_ids) > 1:
        yield Finding(
            "Split",
            ", ".join(f"{count} in {e} by {p}" for (e, p), count in sorted(configuration_ids.items())),
            "ring daemons are in several configurations",
            "repeat this in a second; if it persists, check which links between them are down",
        )


def check_voters(fleet, sequencer):
    """Yield findings about the voters."""
    voters, needed = sequencer["voters"], 2 * sequencer["tolerated"] + 1
    absent = [v for v in voters if v not in sequencer["members"]]
    if absent:
        yield Finding(
            "VoterAway",
            ", ".join(absent),
            "a voter is not a member of the primary configuration",
            "start it; a new storage daemon replaces it automatically",
        )
    if len(voters) < needed:
        yield Finding(
            "FewVoters",
            ", ".join(voters),
            f"{len(voters)} voters, and tolerating the configured losses takes {needed}",
            "start storage daemons until there are that many; they become voters once their data is complete",
        )
    if len(voters) % 2 == 0:
        yield Finding(
            "EvenVoters",
            ", ".join(voters),
            f"{len(voters)} voters tolerate no more losses than {len(voters) - 1}",
            "start one more storage daemon, or retire one",
        )
    zones = Counter(fleet.zones.get(v, "") for v in voters)
    zone, count = zones.most_common(1)[0] if zones else ("", 0)
    if zone and 2 * count > len(voters) and len(zones_in(fleet)) > 1:
        yield Finding(
            "ZoneMajority",
            zone,
            f"holds {count} of {len(voters)} voters: its loss ends the primary",
            "spread the storage daemons over more zones, and retire one of these",
        )


def zones_in(fleet):
    """Return the zones of the fleet's daemons."""
    reported = [f["zone"] for f in (*fleet.ring.values(), *fleet.agents.values())]
    return {zone for zone in (*fleet.zones.values(), *reported) if zone}


def check_replicas(fleet):
    """Yield findings about storage daemons."""
    for name, facts in fleet.ring.items():
        if facts["disk_unwell"] or facts["turn_store"]["lost"]:
            yield Finding(
                "DiskUnwell",
                name,
                "a sync exceeded its time limit, or the disk is full",
                "check the disk; the daemon returns to service automatically once syncs succeed in time",
            )
        if facts["turn_store"]["missing"]:
            yield Finding(
                "BodiesMissing",
                name,
                f"lacks {facts['turn_store']['missing']} bodies of turns",
                "it fetches them from the other daemons; check that those run and that its disk has room",
            )


def check_completeness(fleet, sequencer):
    """Yield findings about members of the primary whose log lacks entries, so that they bear no loss."""
    for name, facts in fleet.ring.items():
        if name in sequencer["members"] and not facts.get("refilled"):
            yield Finding(
                "Incomplete",
                name,
                f"its log ends at {facts.get('log_length', 0)}, that of the sequencer at {sequencer['log_length']}",
                "repeat this in a second; if it persists, restore it before another storage daemon is lost",
            )


def check_links(fleet):
    """Yield findings about daemons that dropped frames recently, since a link to another daemon was full."""
    for name, facts in (*fleet.ring.items(), *fleet.agents.items()):
        for address, dropped in facts.get("dropped_frames", {}).items():
            yield Finding(
                "FramesDropped",
                name,
                f"{dropped} frames to {address} were dropped, the last of them within seconds",
                "check that the daemon there runs, and the bandwidth between the two",
            )


def check_retirements(fleet, sequencer):
    """Yield findings about storage daemons that are being retired."""
    voters, needed = sequencer["voters"], 2 * sequencer["tolerated"] + 1
    remaining = [n for n in sequencer["members"] if n not in sequencer["retiring"]]
    incomplete = [
        n
        for n in remaining
        if n not in fleet.ring or fleet.ring[n]["turn_store"]["missing"] or not fleet.ring[n].get("refilled")
    ]
    for name, state in sequencer["retiring"].items():
        if state == "completed":
            if name in sequencer["members"]:
                yield Finding("RetiredStays", name, "it is retired but still a member", "stop its process")
        elif name in voters and len(voters) <= needed:
            yield Finding(
                "RetiringStuck",
                name,
                f"it is one of {len(voters)} voters, of which {needed} are needed",
                "start another storage daemon, which replaces it",
            )
        elif incomplete:
            yield Finding(
                "RetiringStuck",
                name,
                f"{', '.join(incomplete)} must first have all of its data",
                "check that these run and that their disks have room",
            )


def check_agents(fleet, sequencer):
    """Yield findings about edge and core daemons."""
    newest = max((f["routing"]["version"] for f in fleet.ring.values() if "routing" in f), default=0)
    for name, facts in fleet.agents.items():
        if facts["lease_left_ms"] <= 0:
            yield Finding(
                "NoLease",
                name,
                "it serves no requests without a lease",
                "check that it can reach the sequencer" if sequencer else "restore the primary first",
            )
        if facts["routing"]["held"] < newest:
            yield Finding(
                "RoutingLag",
                name,
                f"holds routing {facts['routing']['held']}, the ring {newest}",
                "repeat this in a second; if it persists, check that it can reach the sequencer",
            )
        if facts["list"]["wanted"] and not facts["list"]["fetched"]:
            yield Finding(
                "ListNeverFetched",
                name,
                f"no runner list was received from {facts['list']['address'] or 'nowhere'}",
                "check that the platform answers there, and the counter list_failures"
                if facts["list"]["address"]
                else "set the address of the list in its settings",
            )


def check_fleet(fleet, sequencer):
    """Return the findings of a Fleet; `sequencer` holds the facts of its sequencer, or is None."""
    findings = [
        *check_unanswered(fleet, sequencer),
        *check_primary(fleet, sequencer),
        *check_replicas(fleet),
        *check_links(fleet),
        *check_agents(fleet, sequencer),
    ]
    return (
        findings
        if sequencer is None
        else [
            *findings,
            *check_voters(fleet, sequencer),
            *check_completeness(fleet, sequencer),
            *check_retirements(fleet, sequencer),
        ]
    )
