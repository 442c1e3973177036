"""Every kind of trouble and work that a drawn day may hold, under the name that the platform's bench gives it."""

from . import machine_cuts as cuts
from . import machines, servers, troubles, works

KINDS = {
    "add_nodes": works.add_storage,
    "after_ack_kill": machines.after_ack_kill,
    "after_ack_wipe": machines.after_ack_wipe,
    "answer_lost": servers.answer_lost,
    "burst": servers.burst,
    "clock_step": machines.clock_step,
    "config_change": works.config_change,
    "config_race": works.config_race,
    "core_cut": cuts.core_cut,
    "disk_full": machines.disk_full,
    "disk_slow": machines.disk_slow,
    "disk_stall": machines.disk_stall,
    "garble": servers.garble,
    "herd_kill": machines.herd_kill,
    "herd_power_taken": machines.herd_power_taken,
    "hup": works.hup,
    "node_cut": cuts.node_cut,
    "node_cut_edge": cuts.edge_cut,
    "node_cut_servers": cuts.runner_cut,
    "node_freeze": troubles.freeze_one,
    "node_kill": machines.node_kill,
    "node_slow": machines.node_slow,
    "release": servers.release,
    "replace_core": troubles.replace_one,
    "replace_planned": works.replace_planned,
    "replace_with_reuse": works.crash_runner,
    "reset_conns": machines.reset_conns,
    "retire": works.retire,
    "roll_core": works.roll_core,
    "roll_term": works.roll_edge,
    "roll_storage": works.roll_storage,
    "scale_in": works.drain_runner,
    "scale_in_spot": servers.spot,
    "scale_out": servers.scale_out,
    "seed_turnover": works.seed_turnover,
    "srv_crash": servers.srv_crash,
    "srv_freeze": works.freeze_runner,
    "srv_grey": servers.srv_grey,
    "srv_slow": servers.srv_slow,
    "zone_lost": machines.zone_lost,
    "after_turn": troubles.after_ack,
    "bad_disk": troubles.bad_disk,
    "halves": cuts.halves,
    "freeze_many": troubles.freeze_many,
    "list_down": works.list_down,
    "storage_power": troubles.storage_power,
    "wipe": troubles.wipe_one,
    "node_kill_edge": troubles.kill_edge,
    "node_kill_storage": troubles.kill_storage,
    "node_freeze_edge": troubles.freeze_edge,
    "node_freeze_storage": troubles.freeze_storage,
}


def strike(world, random, kind):
    """Let one trouble or piece of work of a kind befall the deployment."""
    KINDS[kind](world, random)
