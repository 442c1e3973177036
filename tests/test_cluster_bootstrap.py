from random import Random

import pytest
from test_cluster_lease_client import endpoint_of
from test_turn_store_drive import Threads, lose_unsynced
from twisted.internet.task import Clock

from frostpost.cluster import agent as assembly
from frostpost.cluster import bootstrap
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.simulator import drives
from frostpost.virtual_synchrony.agent_messages import (
    BootstrapReply,
    BootstrapRequest,
    DirectoryReply,
    DirectoryRequest,
)
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.frames import Frame
from frostpost.virtual_synchrony.messages import DiscoveryUpdate

NAMES = ("s1", "s2", "s3")
SEEDS = ("10.0.0.10:70", "10.0.0.9:70", "10.0.0.9:8")
FIRST, SECOND = ("10.0.0.9", 8), ("10.0.0.9", 70)


class Core:
    """A core daemon on a drive that can lose its power."""

    def __init__(self, address=FIRST, first_start=True, drive=None, clock=None, tolerated=1, kept=None):
        self.clock, self.threads, self.out = clock or Clock(), Threads(), []
        self.drive = drive or drives.Drive(Random(7), {}, {}, {})
        settings = DaemonSettings(
            "c1", "core", "z", *address, seeds=SEEDS, first_start=first_start, data="/data", tolerated=tolerated
        )
        machine = Machine(seconds=self.clock.seconds, in_thread=self.threads.run, files=drives.files_of(self.drive))
        self.agent = AgentContext(settings, self.clock, endpoint_of("c1", "core"), machine)
        self.kept = {seed: () for seed in SEEDS if seed != f"{address[0]}:{address[1]}"} if kept is None else kept
        self.silent = set()
        self.agent.links["send"] = self.send
        assembly.lease_client.session_of(self.agent)
        bootstrap.open_bootstrap(self.agent)

    def send(self, to, body):
        """Other seeds keep what they are asked to, and answer."""
        seed = to.removeprefix("@")
        if not isinstance(body, BootstrapRequest):
            self.out.append(body)
        elif seed in self.kept and seed not in self.silent:
            self.kept[seed] = body.names or self.kept[seed]
            host, port = seed.split(":")
            endpoint = Endpoint(Member(seed, 1), "core", "z", host, int(port), 0)
            assembly.on_frame(self.agent, Frame(1, endpoint, "", BootstrapReply(self.kept[seed])))

    def hello(self, *names, role="storage"):
        for name in names:
            assembly.on_frame(self.agent, Frame(1, endpoint_of(name, role), "", DirectoryRequest()))

    def after(self, wait_s):
        self.clock.advance(wait_s)
        bootstrap.advance(self.agent)
        return self.agent.bootstrap_voters


STILL_S = bootstrap.SETTLED_MS / 1000 + 0.01
FEW_S = bootstrap.TOO_FEW_WAIT_MS / 1000 + 0.01


def test_lowest_seed_founds_with_all_that_wait_once_none_came_for_a_while():
    core = Core()
    core.hello("s3", "s1", "s2", "s1")
    assert core.after(STILL_S) == ("s1", "s2", "s3")


def test_addresses_are_compared_as_numbers_and_no_other_seed_founds():
    for address in (SECOND, ("10.0.0.10", 70)):
        core = Core(address)
        core.hello("s1", "s2", "s3")
        assert core.after(STILL_S) == core.after(FEW_S) == ()


def test_none_is_founded_at_a_later_start():
    core = Core(first_start=False)
    core.hello("s1", "s2", "s3")
    assert core.after(STILL_S) == core.after(FEW_S) == ()


def test_only_storage_daemons_that_ask_are_counted():
    core = Core()
    core.hello("e1", "e2", "c2", role="edge")
    assembly.on_frame(core.agent, Frame(1, endpoint_of("s1"), "", DiscoveryUpdate((), False)))
    assert core.after(FEW_S) == ()


def test_none_is_founded_while_more_storage_keeps_arriving():
    core = Core()
    for n in range(9):
        core.hello(f"s{n}")
        assert core.after(0.6) == ()
    assert len(core.after(0.2)) == 9


def test_few_storage_daemons_found_only_after_a_long_wait_for_more():
    core = Core(tolerated=2)
    core.hello("s1", "s2", "s3", "s4")
    assert core.after(STILL_S) == () and core.after(FEW_S - STILL_S - 0.1) == ()
    core.hello("s5")
    assert core.after(0.2) == () and core.after(STILL_S) == ("s1", "s2", "s3", "s4", "s5")
    alone = Core(tolerated=2)
    alone.hello("s1")
    assert alone.after(FEW_S - 0.1) == () and alone.after(0.1) == ("s1",)


def test_charter_is_handed_out_only_once_it_is_synced():
    core = Core()
    core.threads.is_paused = True
    core.hello("s1", "s2", "s3")
    assert core.after(STILL_S) == () and core.after(1) == ()
    core.hello("s4")
    assert core.after(1) == () and core.out[-1] == DirectoryReply((), ()) and len(core.threads.jobs) == 1
    core.threads.finish()
    core.hello("s4")
    assert core.out[-1] == DirectoryReply((), ("s1", "s2", "s3"))


def test_charter_is_made_once_for_a_disk():
    core = Core()
    core.hello("s1", "s2", "s3")
    made = core.after(STILL_S)
    lose_unsynced(core.drive)
    again = Core(drive=core.drive, clock=core.clock)
    assert again.agent.bootstrap_voters == made
    again.hello("s7", "s8", "s9")
    assert again.after(STILL_S) == made
    assert Core(SECOND, first_start=False, drive=core.drive).agent.bootstrap_voters == made


def test_loss_of_power_before_the_sync_leaves_no_charter():
    core = Core()
    core.threads.is_paused = True
    core.hello("s1", "s2", "s3")
    core.after(STILL_S)
    lose_unsynced(core.drive)
    assert Core(drive=core.drive).agent.bootstrap_voters == ()


def test_charter_whose_sync_failed_is_not_handed_out_and_tried_again():
    core = Core()
    core.drive.broken = {"sync": 1}
    core.hello("s1", "s2", "s3")
    assert core.after(STILL_S) == () and core.agent.extras["founding"].writing is False
    assert core.after(STILL_S) == ("s1", "s2", "s3")
    lose_unsynced(core.drive)
    assert Core(drive=core.drive).agent.bootstrap_voters == ("s1", "s2", "s3")


def test_no_charter_is_proposed_before_all_other_seeds_have_answered():
    core = Core()
    silent, other = core.kept
    core.silent = {silent}
    core.hello("s1", "s2", "s3")
    assert core.after(STILL_S) == core.after(FEW_S) == () and core.kept[other] == ()
    core.silent = set()
    assert (
        core.after(STILL_S) == ("s1", "s2", "s3")
        and core.kept[other] == core.kept[silent] == core.agent.bootstrap_voters
    )


def test_no_charter_is_handed_out_before_all_other_seeds_keep_it():
    core = Core()
    late = next(iter(core.kept))
    core.hello("s1", "s2", "s3")
    sent = core.send
    core.agent.links["send"] = lambda to, body: (
        None if to == f"@{late}" and body == BootstrapRequest(NAMES) else sent(to, body)
    )
    assert core.after(STILL_S) == core.after(FEW_S) == ()
    core.hello("s4")
    assert core.out[-1] == DirectoryReply((), ())
    core.agent.links["send"] = sent
    assert core.after(STILL_S) == NAMES == core.kept[late]


@pytest.mark.parametrize("lost", SEEDS[:2])
def test_a_founder_without_its_disk_finds_the_charter_with_any_other_seed(lost):
    core = Core()
    core.hello(*NAMES)
    assert core.after(STILL_S) == NAMES
    kept = core.kept | {lost: ()}
    again = Core(kept=kept)
    again.hello("s9")
    assert again.after(FEW_S) == NAMES and set(again.kept.values()) == {NAMES}


def test_a_seed_keeps_a_charter_over_a_loss_of_power_but_does_not_hand_it_out():
    core = Core(SECOND)
    asker = Endpoint(Member("c1", 1), "core", "z", *FIRST, 0)
    assembly.on_frame(core.agent, Frame(1, asker, "", BootstrapRequest()))
    assembly.on_frame(core.agent, Frame(1, asker, "", BootstrapRequest(NAMES)))
    assert core.out == [BootstrapReply(()), BootstrapReply(NAMES)]
    lose_unsynced(core.drive)
    again = Core(SECOND, drive=core.drive)
    assembly.on_frame(again.agent, Frame(1, asker, "", BootstrapRequest()))
    again.hello("s1")
    assert again.out == [BootstrapReply(NAMES), DirectoryReply((), ())]
