"""Common faults of a fleet, and what to do about each."""

from collections import Counter

from .doctor import Finding

FORGOTTEN_MS = 600000


def unanswered(fleet, chief):
    """Yield findings for daemons that do not answer."""
    retired = {n for n, state in (chief or {}).get("retiring", {}).items() if state == "completed"}
    for seed in fleet.seeds_silent:
        yield Finding(
            "SeedUnreached",
            seed,
            "no daemon answers at this seed address",
            "raise that daemon, or give the inner address of one that runs",
        )
    for name, address in fleet.ring_silent.items():
        if name not in retired:
            yield Finding(
                "Silent", name, f"no answer from {address}", "see whether its process runs, and its log's last lines"
            )
    for name, address in fleet.leaves_silent.items():
        left_ms = fleet.listed[name]["lease_left_ms"]
        if left_ms is None or left_ms > -FORGOTTEN_MS:
            yield Finding(
                "Silent",
                name,
                f"no answer from {address}",
                "see whether its process runs; leave it if the machine was given up",
            )


def primary(fleet, chief):
    """Yield findings about the primary configuration."""
    waiting = [n for n, f in fleet.ring.items() if f["charter_waiting"]]
    if waiting:
        yield Finding(
            "CharterWaiting",
            ", ".join(sorted(waiting)),
            "an empty disk at a first start waits for the charter",
            "raise the seed with the lowest address; a disk that was emptied later needs settings without first start",
        )
    if chief is None:
        yield Finding(
            "NoPrimary",
            ", ".join(sorted(fleet.ring)) or "ring",
            "no ring daemon sequences a primary configuration",
            "raise the voters that are missing, or mend the network between the zones",
        )
    ids = Counter(
        (f["configuration"]["epoch"], f["configuration"]["proposer"])
        for f in fleet.ring.values()
        if "configuration" in f
    )
    if len(ids) > 1:
        yield Finding(
            "Split",
            ", ".join(f"{count} in {e} by {p}" for (e, p), count in sorted(ids.items())),
            "ring daemons are in several configurations",
            "ask again in a second; if it stays, see which links between them are cut",
        )


def voters(fleet, chief):
    """Yield findings about the voters."""
    held, needed = chief["voters"], 2 * chief["tolerated"] + 1
    away = [v for v in held if v not in chief["members"]]
    if away:
        yield Finding(
            "VoterAway",
            ", ".join(away),
            "a voter is no member of the primary configuration",
            "raise it; a new storage daemon takes its place by itself",
        )
    if len(held) < needed:
        yield Finding(
            "FewVoters",
            ", ".join(held),
            f"{len(held)} voters, and the losses to be borne need {needed}",
            "raise storage daemons until there are that many; they become voters once refilled",
        )
    if len(held) % 2 == 0:
        yield Finding(
            "EvenVoters",
            ", ".join(held),
            f"{len(held)} voters bear no more losses than {len(held) - 1}",
            "raise one more storage daemon, or retire one",
        )
    zones = Counter(fleet.zones.get(v, "") for v in held)
    zone, count = zones.most_common(1)[0] if zones else ("", 0)
    if zone and 2 * count > len(held) and len(zones_of(fleet)) > 1:
        yield Finding(
            "ZoneMajority",
            zone,
            f"holds {count} of {len(held)} voters: its loss ends the primary",
            "spread the storage daemons over more zones, and retire one of these",
        )


def zones_of(fleet):
    """Return the zones that the fleet's daemons are in."""
    told = [f["zone"] for f in (*fleet.ring.values(), *fleet.agents.values())]
    return {zone for zone in (*fleet.zones.values(), *told) if zone}


def ring_daemons(fleet):
    """Yield findings about storage daemons."""
    for name, facts in fleet.ring.items():
        if facts["disk_unwell"] or facts["turn_store"]["lost"]:
            yield Finding(
                "DiskUnwell",
                name,
                "a sync overran its bound, or the disk is full",
                "look at the disk; the daemon is taken back by itself once it is well",
            )
        if facts["turn_store"]["missing"]:
            yield Finding(
                "BodiesMissing",
                name,
                f"lacks {facts['turn_store']['missing']} bodies of turns",
                "it fetches them from the others; see that those run and that its disk has room",
            )


def retiring(fleet, chief):
    """Yield findings about storage daemons that are being retired."""
    held, needed = chief["voters"], 2 * chief["tolerated"] + 1
    staying = [n for n in chief["members"] if n not in chief["retiring"]]
    lacking = [
        n
        for n in staying
        if n not in fleet.ring or fleet.ring[n]["turn_store"]["missing"] or not fleet.ring[n].get("refilled")
    ]
    for name, state in chief["retiring"].items():
        if state == "completed":
            if name in chief["members"]:
                yield Finding("RetiredStays", name, "it is retired and still a member", "end its process")
        elif name in held and len(held) <= needed:
            yield Finding(
                "RetiringStuck",
                name,
                f"it is one of {len(held)} voters, of which {needed} are needed",
                "raise another storage daemon, which takes its place",
            )
        elif lacking:
            yield Finding(
                "RetiringStuck",
                name,
                f"{', '.join(lacking)} must first hold all that it holds",
                "see that these run and that their disks have room",
            )


def leaf_daemons(fleet, chief):
    """Yield findings about edge and core daemons."""
    newest = max((f["routing"]["version"] for f in fleet.ring.values() if "routing" in f), default=0)
    for name, facts in fleet.agents.items():
        if facts["lease_left_ms"] <= 0:
            yield Finding(
                "NoLease",
                name,
                "it acts on nothing without a lease",
                "see that it reaches the ring's sequencer" if chief else "bring the primary back first",
            )
        if facts["routing"]["held"] < newest:
            yield Finding(
                "RoutingLag",
                name,
                f"holds routing {facts['routing']['held']}, the ring {newest}",
                "ask again in a second; if it stays, see that it reaches the ring's sequencer",
            )
        if facts["list"]["wanted"] and not facts["list"]["fetched"]:
            yield Finding(
                "ListNeverFetched",
                name,
                f"no list of runners came from {facts['list']['address'] or 'nowhere'}",
                "see that the platform answers there, and the count list_failures"
                if facts["list"]["address"]
                else "give its settings the address of the list",
            )


def findings_of(fleet, chief):
    """Findings of a Fleet; chief: facts of its sequencer, or None."""
    found = [*unanswered(fleet, chief), *primary(fleet, chief), *ring_daemons(fleet), *leaf_daemons(fleet, chief)]
    return found if chief is None else [*found, *voters(fleet, chief), *retiring(fleet, chief)]
