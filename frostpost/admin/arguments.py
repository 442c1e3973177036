"""Command-line arguments of the operator commands."""

from typing import Annotated

import cappa
from msgspec import Struct

DAEMON_ADDRESS = Annotated[
    str, cappa.Arg(long="--door", help="IP:port of any daemon", default=cappa.Env("FROSTPOST_DOOR"))
]
JSON_OUTPUT = Annotated[bool, cappa.Arg(long="--json", help="print JSON instead of text")]


@cappa.command(name="apply", help="Apply a folder of configurations; unchanged ones are skipped.")
class Apply(Struct, kw_only=True):
    """Arguments of apply."""

    folder: Annotated[str, cappa.Arg(help="folder with templates/*.json and tenants/*.json")]
    whole: Annotated[
        bool,
        cappa.Arg(long=True, help="apply all or nothing, and remove what the folder lacks"),
    ] = False
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="diff", help="Show what apply would change; exit status 1 if there are differences.")
class Diff(Struct, kw_only=True):
    """Arguments of diff."""

    folder: Annotated[str, cappa.Arg(help="folder with templates/*.json and tenants/*.json")]
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="get", help="Print one configuration, or list all.")
class Get(Struct, kw_only=True):
    """Arguments of get."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")] = ""
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="history", help="Print the retained versions of one configuration.")
class History(Struct, kw_only=True):
    """Arguments of history."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")]
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="rollback", help="Restore a retained version as a new version.")
class Rollback(Struct, kw_only=True):
    """Arguments of rollback."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")]
    version: Annotated[int, cappa.Arg(help="the version to restore")]
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="remove", help="Remove one configuration; a template in use is refused.")
class Remove(Struct, kw_only=True):
    """Arguments of remove."""

    path: Annotated[str, cappa.Arg(help="templates/NAME or tenants/NAME")]
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="drain", help="Drain a runner, or cancel its drain.")
class Drain(Struct, kw_only=True):
    """Arguments of drain."""

    runner: Annotated[str, cappa.Arg(help="the runner's name")]
    stay: Annotated[bool, cappa.Arg(long=True, help="cancel the drain")] = False
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="status", help="Print one daemon's status.")
class Status(Struct, kw_only=True):
    """Arguments of status."""

    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="members", help="Print a daemon's peers and the log index that each has applied.")
class Members(Struct, kw_only=True):
    """Arguments of members."""

    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="runners", help="Print the runners with their load and drain state.")
class Runners(Struct, kw_only=True):
    """Arguments of runners."""

    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="explain", help="Print the placement scores of the runners for a route.")
class Explain(Struct, kw_only=True):
    """Arguments of explain."""

    tenant: str
    route: str
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="voters", help="Print the storage voters, or change them.")
class Voters(Struct, kw_only=True):
    """Arguments of voters."""

    add: Annotated[str, cappa.Arg(long=True, help="make this storage daemon a voter")] = ""
    remove: Annotated[str, cappa.Arg(long=True, help="remove this storage daemon from the voters")] = ""
    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="doctor", help="Check a fleet for common problems; exit status 1 if any is found.")
class Doctor(Struct, kw_only=True):
    """Arguments of doctor."""

    door: DAEMON_ADDRESS
    json: JSON_OUTPUT = False


@cappa.command(name="fleet", help="Print the status of every daemon of a fleet, queried over the inner addresses.")
class Fleet(Struct, kw_only=True):
    """Arguments of fleet."""

    seed: Annotated[list[str], cappa.Arg(long="--seed", required=True, help="IP:port, the inner address of any daemon")]
    doctor: Annotated[bool, cappa.Arg(long=True, help="check for common problems; exit status 1 if any is found")] = (
        False
    )
    json: JSON_OUTPUT = False


@cappa.command(name="admin", help="Show and change the configurations, runners, voters and members of a fleet.")
class Admin(Struct):
    """Arguments of admin: one of its subcommands."""

    command: cappa.Subcommands[
        Apply | Diff | Get | History | Rollback | Remove | Drain | Status | Members | Runners | Explain | Voters | Fleet
    ]
