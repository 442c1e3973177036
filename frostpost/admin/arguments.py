"""Arguments of the operators' commands."""

from typing import Annotated

import cappa
from msgspec import Struct

DOOR = Annotated[str, cappa.Arg(long="--door", help="IP:port of any daemon", default=cappa.Env("FROSTPOST_DOOR"))]
TEXT = Annotated[bool, cappa.Arg(long="--json", help="print JSON instead of text")]


@cappa.command(name="apply", help="Bring the directory's declarations into effect; what is the same is left alone.")
class Apply(Struct, kw_only=True):
    """Arguments of apply."""

    folder: Annotated[str, cappa.Arg(help="folder with templates/*.json and tenants/*.json")]
    whole: Annotated[bool, cappa.Arg(long=True, help="take the folder as one: all or nothing, others removed")] = False
    door: DOOR
    json: TEXT = False


@cappa.command(name="diff", help="Show what apply would change; exit status 1 if anything.")
class Diff(Struct, kw_only=True):
    """Arguments of diff."""

    folder: Annotated[str, cappa.Arg(help="folder with templates/*.json and tenants/*.json")]
    door: DOOR
    json: TEXT = False


@cappa.command(name="get", help="Print one configuration, or the list of all.")
class Get(Struct, kw_only=True):
    """Arguments of get."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")] = ""
    door: DOOR
    json: TEXT = False


@cappa.command(name="history", help="Print the kept versions of one configuration.")
class History(Struct, kw_only=True):
    """Arguments of history."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")]
    door: DOOR
    json: TEXT = False


@cappa.command(name="rollback", help="Bring a kept version back, as a new version.")
class Rollback(Struct, kw_only=True):
    """Arguments of rollback."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")]
    version: Annotated[int, cappa.Arg(help="the version to bring back")]
    door: DOOR
    json: TEXT = False


@cappa.command(name="remove", help="Remove one configuration; a template in use is refused.")
class Remove(Struct, kw_only=True):
    """Arguments of remove."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")]
    door: DOOR
    json: TEXT = False


@cappa.command(name="drain", help="Mark a runner as leaving, or as staying.")
class Drain(Struct, kw_only=True):
    """Arguments of drain."""

    runner: Annotated[str, cappa.Arg(help="the runner's name")]
    stay: Annotated[bool, cappa.Arg(long=True, help="take the mark away")] = False
    door: DOOR
    json: TEXT = False


@cappa.command(name="status", help="Print one daemon's status.")
class Status(Struct, kw_only=True):
    """Arguments of status."""

    door: DOOR
    json: TEXT = False


@cappa.command(name="members", help="Print the daemons that this one knows, and what each has reached.")
class Members(Struct, kw_only=True):
    """Arguments of members."""

    door: DOOR
    json: TEXT = False


@cappa.command(name="runners", help="Print the runners with load and drain marks.")
class Runners(Struct, kw_only=True):
    """Arguments of runners."""

    door: DOOR
    json: TEXT = False


@cappa.command(name="explain", help="Print why a runner would be chosen for a route.")
class Explain(Struct, kw_only=True):
    """Arguments of explain."""

    tenant: str
    route: str
    door: DOOR
    json: TEXT = False


@cappa.command(name="voters", help="Print the storage voters, or change them.")
class Voters(Struct, kw_only=True):
    """Arguments of voters."""

    add: Annotated[str, cappa.Arg(long=True, help="take this storage daemon in as a voter")] = ""
    remove: Annotated[str, cappa.Arg(long=True, help="empty this storage daemon: it votes no more")] = ""
    door: DOOR
    json: TEXT = False


@cappa.command(name="doctor", help="Look for common problems; exit status 1 if any is found.")
class Doctor(Struct, kw_only=True):
    """Arguments of doctor."""

    door: DOOR
    json: TEXT = False


@cappa.command(
    name="fleet", help="Print every daemon of a fleet on the users' machines, asked over the inner addresses."
)
class Fleet(Struct, kw_only=True):
    """Arguments of fleet."""

    seed: Annotated[list[str], cappa.Arg(long="--seed", required=True, help="IP:port, the inner address of any daemon")]
    doctor: Annotated[bool, cappa.Arg(long=True, help="look for common problems; exit status 1 if any is found")] = (
        False
    )
    json: TEXT = False


@cappa.command(name="admin", help="Change and show configurations, runners, voters and members of a fleet.")
class Admin(Struct):
    """Arguments of admin: one of its subcommands."""

    command: cappa.Subcommands[
        Apply | Diff | Get | History | Rollback | Remove | Drain | Status | Members | Runners | Explain | Voters | Fleet
    ]
