"""Command-line arguments of `serve`."""

from typing import Annotated

import cappa
from msgspec import Struct


@cappa.command(name="serve", help="Run one frostpost daemon from a settings file.")
class Serve(Struct):
    """Arguments of `serve`; each but `settings` and `check` overrides a setting."""

    settings: Annotated[str, cappa.Arg(help="path of the settings file (TOML)")]
    name: Annotated[str | None, cappa.Arg(long=True, help="name of the daemon")] = None
    role: Annotated[str | None, cappa.Arg(long=True, help="edge, core or storage")] = None
    zone: Annotated[str | None, cappa.Arg(long=True, help="zone of this machine")] = None
    host: Annotated[str | None, cappa.Arg(long=True, help="IP address to listen on")] = None
    port: Annotated[int | None, cappa.Arg(long=True, help="port for peers")] = None
    http_port: Annotated[int | None, cappa.Arg(long="--http-port", help="port for clients and operators")] = None
    data: Annotated[str | None, cappa.Arg(long=True, help="data directory of a storage daemon")] = None
    seeds: Annotated[list[str], cappa.Arg(long="--seed", help="IP:port of another daemon; repeatable")] = []
    check: Annotated[bool, cappa.Arg(long=True, help="check the settings and exit")] = False
