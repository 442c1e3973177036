from random import Random

import pytest
from test_cluster_lease_client import endpoint_of
from test_turn_store_disk import Threads, lose_unsynced
from twisted.internet.task import Clock

from frostpost.cluster import agent as assembly
from frostpost.cluster import bootstrap, bootstrap_record
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.simulator import simulated_disk
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
    """A core daemon on a simulated disk that can lose power."""

    def __init__(self, address=FIRST, first_start=True, disk=None, clock=None, tolerated=1, copies=None):
        self.clock, self.threads, self.out = clock or Clock(), Threads(), []
        self.disk = disk or simulated_disk.SimulatedDisk(Random(7), {}, {}, {})
        settings = DaemonSettings(
            "c1", "core", "z", *address, seeds=SEEDS, first_start=first_start, data="/data", tolerated=tolerated
        )
        machine = Machine(
            seconds=self.clock.seconds, in_thread=self.threads.run, files=simulated_disk.files_of(self.disk)
        )
        self.agent = AgentContext(settings, self.clock, endpoint_of("c1", "core"), machine)
        self.copies = {seed: () for seed in SEEDS if seed != f"{address[0]}:{address[1]}"} if copies is None else copies
        self.silent = set()
        self.agent.links["send"] = self.send
        assembly.lease_client.session_of(self.agent)
        bootstrap_record.open_bootstrap(self.agent)

    def send(self, to, body):
        """Store and confirm copies on behalf of the other seeds."""
        seed = to.removeprefix("@")
        if not isinstance(body, BootstrapRequest):
            self.out.append(body)
        elif seed in self.copies and seed not in self.silent:
            self.copies[seed] = body.names or self.copies[seed]
            host, port = seed.split(":")
            endpoint = Endpoint(Member(seed, 1), "core", "z", host, int(port), 0)
            assembly.on_frame(self.agent, Frame(1, endpoint, "", BootstrapReply(self.copies[seed])))

    def request_record(self, *names, role="storage"):
        for name in names:
            assembly.on_frame(self.agent, Frame(1, endpoint_of(name, role), "", DirectoryRequest()))

    def advance(self, wait_s):
        self.clock.advance(wait_s)
        bootstrap.advance(self.agent)
        return self.agent.bootstrap_voters


QUIET_S = bootstrap.QUIET_PERIOD_MS / 1000 + 0.01
FEW_REPLICAS_S = bootstrap.FEW_REPLICAS_WAIT_MS / 1000 + 0.01


def test_the_lowest_seed_makes_the_record_after_a_quiet_period():
    core = Core()
    core.request_record("s3", "s1", "s2", "s1")
    assert core.advance(QUIET_S) == ("s1", "s2", "s3")


def test_seed_addresses_are_compared_as_numbers_and_no_other_seed_makes_the_record():
    for address in (SECOND, ("10.0.0.10", 70)):
        core = Core(address)
        core.request_record("s1", "s2", "s3")
        assert core.advance(QUIET_S) == core.advance(FEW_REPLICAS_S) == ()


def test_no_record_is_made_at_a_later_start():
    core = Core(first_start=False)
    core.request_record("s1", "s2", "s3")
    assert core.advance(QUIET_S) == core.advance(FEW_REPLICAS_S) == ()


def test_only_storage_daemons_that_request_the_record_are_counted():
    core = Core()
    core.request_record("e1", "e2", "c2", role="edge")
    assembly.on_frame(core.agent, Frame(1, endpoint_of("s1"), "", DiscoveryUpdate((), False)))
    assert core.advance(FEW_REPLICAS_S) == ()


def test_no_record_is_made_while_storage_daemons_still_arrive():
    core = Core()
    for number in range(9):
        core.request_record(f"s{number}")
        assert core.advance(0.6) == ()
    assert len(core.advance(0.2)) == 9


def test_too_few_storage_daemons_become_voters_only_after_a_long_wait():
    core = Core(tolerated=2)
    core.request_record("s1", "s2", "s3", "s4")
    assert core.advance(QUIET_S) == () and core.advance(FEW_REPLICAS_S - QUIET_S - 0.1) == ()
    core.request_record("s5")
    assert core.advance(0.2) == () and core.advance(QUIET_S) == ("s1", "s2", "s3", "s4", "s5")
    single = Core(tolerated=2)
    single.request_record("s1")
    assert single.advance(FEW_REPLICAS_S - 0.1) == () and single.advance(0.1) == ("s1",)


def test_the_record_is_handed_out_only_after_its_sync():
    core = Core()
    core.threads.is_paused = True
    core.request_record("s1", "s2", "s3")
    assert core.advance(QUIET_S) == () and core.advance(1) == ()
    core.request_record("s4")
    assert core.advance(1) == () and core.out[-1] == DirectoryReply((), ()) and len(core.threads.jobs) == 1
    core.threads.finish()
    core.request_record("s4")
    assert core.out[-1] == DirectoryReply((), ("s1", "s2", "s3"))


def test_the_record_is_made_once_per_disk():
    core = Core()
    core.request_record("s1", "s2", "s3")
    voters = core.advance(QUIET_S)
    lose_unsynced(core.disk)
    restarted = Core(disk=core.disk, clock=core.clock)
    assert restarted.agent.bootstrap_voters == voters
    restarted.request_record("s7", "s8", "s9")
    assert restarted.advance(QUIET_S) == voters
    assert Core(SECOND, first_start=False, disk=core.disk).agent.bootstrap_voters == voters


def test_power_loss_before_the_sync_leaves_no_record():
    core = Core()
    core.threads.is_paused = True
    core.request_record("s1", "s2", "s3")
    core.advance(QUIET_S)
    lose_unsynced(core.disk)
    assert Core(disk=core.disk).agent.bootstrap_voters == ()


def test_a_record_whose_sync_failed_is_not_handed_out_and_is_written_again():
    core = Core()
    core.disk.failing = {"sync": 1}
    core.request_record("s1", "s2", "s3")
    assert core.advance(QUIET_S) == () and core.agent.attachments["founding"].writing is False
    assert core.advance(QUIET_S) == ("s1", "s2", "s3")
    lose_unsynced(core.disk)
    assert Core(disk=core.disk).agent.bootstrap_voters == ("s1", "s2", "s3")


def test_no_record_is_proposed_before_all_other_seeds_have_replied():
    core = Core()
    silent, other = core.copies
    core.silent = {silent}
    core.request_record("s1", "s2", "s3")
    assert core.advance(QUIET_S) == core.advance(FEW_REPLICAS_S) == () and core.copies[other] == ()
    core.silent = set()
    assert (
        core.advance(QUIET_S) == ("s1", "s2", "s3")
        and core.copies[other] == core.copies[silent] == core.agent.bootstrap_voters
    )


def test_no_record_is_handed_out_before_all_other_seeds_have_stored_it():
    core = Core()
    last_seed = next(iter(core.copies))
    core.request_record("s1", "s2", "s3")
    send = core.send
    core.agent.links["send"] = lambda to, body: (
        None if to == f"@{last_seed}" and body == BootstrapRequest(NAMES) else send(to, body)
    )
    assert core.advance(QUIET_S) == core.advance(FEW_REPLICAS_S) == ()
    core.request_record("s4")
    assert core.out[-1] == DirectoryReply((), ())
    core.agent.links["send"] = send
    assert core.advance(QUIET_S) == NAMES == core.copies[last_seed]


@pytest.mark.parametrize("lost_copy", SEEDS[:2])
def test_a_founder_that_lost_its_disk_recovers_the_record_from_any_other_seed(lost_copy):
    core = Core()
    core.request_record(*NAMES)
    assert core.advance(QUIET_S) == NAMES
    copies = core.copies | {lost_copy: ()}
    restarted = Core(copies=copies)
    restarted.request_record("s9")
    assert restarted.advance(FEW_REPLICAS_S) == NAMES and set(restarted.copies.values()) == {NAMES}


def test_a_stored_copy_survives_power_loss_and_is_not_handed_out():
    core = Core(SECOND)
    founder = Endpoint(Member("c1", 1), "core", "z", *FIRST, 0)
    assembly.on_frame(core.agent, Frame(1, founder, "", BootstrapRequest()))
    assembly.on_frame(core.agent, Frame(1, founder, "", BootstrapRequest(NAMES)))
    assert core.out == [BootstrapReply((), SEEDS, 1), BootstrapReply(NAMES, SEEDS, 1)]
    lose_unsynced(core.disk)
    restarted = Core(SECOND, disk=core.disk)
    assembly.on_frame(restarted.agent, Frame(1, founder, "", BootstrapRequest()))
    restarted.request_record("s1")
    assert restarted.out == [BootstrapReply(NAMES, SEEDS, 1), DirectoryReply((), ())]
