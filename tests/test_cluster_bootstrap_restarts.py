"""The founding of a system whose daemons are killed, cut off and wiped at every step of it: one record, and never two.

The seeds run the product's code on simulated disks; messages, worker threads and restarts are moved one step at a time,
drawn by seed. What a dead process has sent may arrive after frames of its successor, and what is sent while nobody
listens reaches the next process; a frame on its way to a process is lost with that.
"""

from itertools import count
from random import Random

import pytest
from test_turn_store_disk import Threads
from twisted.internet.task import Clock

from frostpost.cluster import agent as assembly
from frostpost.cluster import bootstrap, bootstrap_record
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.simulator import simulated_disk
from frostpost.virtual_synchrony.agent_messages import BootstrapReply, BootstrapRequest, DirectoryRequest
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.frames import Frame

SEEDS = ("10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70")
OTHERS = ("10.0.0.4:70", "10.0.0.5:70")
FOUNDER = SEEDS[0]
STORAGE = ("s1", "s2", "s3")
STEP_S, STEPS, CALM_STEPS, SAMPLES = 0.15, 120, 120, 400


class Seed:
    """A core daemon's process, and the disk that outlives it."""

    def __init__(self, network, address):
        self.network, self.address, self.agent, self.threads = network, address, None, None
        self.disk = simulated_disk.SimulatedDisk(Random(1), {}, {}, {})

    def start(self, first_start, seeds=SEEDS):
        host, port = self.address.split(":")
        settings = DaemonSettings(
            self.address, "core", "z", host, int(port), seeds=seeds, first_start=first_start, data="/data", tolerated=1
        )
        member = Member(self.address, next(self.network.incarnations))
        endpoint = Endpoint(member, "core", "z", host, int(port), 0)
        self.threads = Threads()
        self.threads.is_paused = True
        machine = Machine(
            seconds=self.network.clock.seconds,
            in_thread=self.threads.run,
            files=simulated_disk.files_of(self.disk),
        )
        self.agent = AgentContext(settings, self.network.clock, endpoint, machine)
        self.agent.links["send"] = lambda to, body: self.network.send(endpoint, to.removeprefix("@"), body)
        assembly.lease_client.session_of(self.agent)
        bootstrap_record.open_bootstrap(self.agent)

    def kill(self, power=False):
        self.agent, jobs = None, [] if self.threads is None else self.threads.jobs
        jobs = [(function, args) for _, function, args in jobs]
        (simulated_disk.lose_power if power else simulated_disk.kill)(self.disk, jobs)

    def wipe(self):
        self.kill(True)
        simulated_disk.wipe(self.disk)

    def finish_job(self):
        if self.agent is not None and self.threads.jobs:
            self.threads.finish()


class Network:
    """The seeds, the frames between them by pair of processes, and each record that any of them handed out."""

    def __init__(self, addresses=SEEDS):
        self.clock, self.incarnations, self.queues, self.records = Clock(), count(1), {}, set()
        self.seeds, self.cuts = {address: Seed(self, address) for address in addresses}, set()
        self.storage = list(STORAGE)

    def send(self, sender, to, body):
        if to in self.seeds and isinstance(body, BootstrapRequest | BootstrapReply):
            receiver = self.seeds[to].agent
            self.queues.setdefault((sender, to, receiver and receiver.endpoint.member), []).append(body)

    def deliver(self, queue):
        sender, to, receiver = queue
        frames, agent = self.queues[queue], self.seeds[to].agent
        body = frames.pop(0)
        if not frames:
            del self.queues[queue]
        if agent is not None and receiver in (None, agent.endpoint.member):
            assembly.on_frame(agent, Frame(1, sender, "", body))

    def deliverable(self):
        return [queue for queue in self.queues if frozenset((queue[0].member.name, queue[1])) not in self.cuts]

    def tick(self, wait_s=STEP_S):
        """Let time pass; storage daemons that wait for the record ask all seeds for it."""
        self.clock.advance(wait_s)
        for seed in self.seeds.values():
            if seed.agent is None:
                continue
            for name in self.storage:
                endpoint = Endpoint(Member(name, 1), "storage", "z", name, 1, 0)
                assembly.on_frame(seed.agent, Frame(1, endpoint, "", DirectoryRequest()))
            bootstrap.advance(seed.agent)

    def observe(self):
        self.records |= {s.agent.bootstrap_voters for s in self.seeds.values() if s.agent is not None} - {()}

    def calm(self, steps=CALM_STEPS):
        """Start what is down, with settings as of a later start, and let everything arrive."""
        self.cuts = set()
        for seed in self.seeds.values():
            if seed.agent is None:
                seed.start(False)
        self.run(steps)

    def run(self, steps=CALM_STEPS):
        """Let time pass and everything arrive."""
        for _ in range(steps):
            self.tick()
            self.settle()

    def settle(self):
        for _ in range(8):
            for queue in self.deliverable():
                while queue in self.queues:
                    self.deliver(queue)
            for seed in self.seeds.values():
                seed.finish_job()
            self.observe()


def founded(addresses=SEEDS, seeds=SEEDS):
    """Return a network whose system is founded; storage daemons with other names wait from now on."""
    network = Network(addresses)
    for seed in network.seeds.values():
        seed.start(True, seeds)
    network.calm(20)
    assert network.records == {STORAGE}
    network.storage = ["s7", "s8", "s9"]
    return network


def random_step(network, random, wiped):
    """Move one message, thread, process or clock."""
    seed = random.choice(list(network.seeds.values()))
    queues = network.deliverable()
    move = random.random()
    if move < 0.45 and queues:
        network.deliver(random.choice(queues))
    elif move < 0.7:
        seed.finish_job()
    elif move < 0.88:
        network.tick(random.choice((0.02, STEP_S, 0.8)))
    elif move < 0.94:
        seed.kill(random.random() < 0.5) if seed.agent is not None else seed.start(False)
    elif move < 0.95 and seed.address in wiped:
        seed.wipe()
    elif move < 0.97:
        network.cuts ^= {frozenset(random.sample(sorted(network.seeds), 2))}
    else:
        network.storage = random.sample([*STORAGE, "s4", "s5"], 3)
    network.observe()


@pytest.mark.parametrize("part", range(8))
def test_kills_cuts_and_a_lost_disk_at_any_step_leave_one_record(part):
    """Guards against review/5: a founder that was killed never founded the system."""
    for sample in range(SAMPLES // 8):
        random = Random(f"{part}/{sample}")
        network, wiped = Network(), [random.choice(SEEDS)] if random.random() < 0.5 else []
        for seed in random.sample(list(network.seeds.values()), len(SEEDS)):
            seed.start(True)
        for _ in range(2):
            for _ in range(STEPS):
                random_step(network, random, wiped)
            network.calm()
            assert len(network.records) == 1, (part, sample, network.records)
            assert network.seeds[FOUNDER].agent.bootstrap_voters in network.records, (part, sample)


@pytest.mark.parametrize("step", range(40))
@pytest.mark.parametrize("loss", ["kill", "power", "wipe"])
@pytest.mark.parametrize("victim", SEEDS)
def test_each_seed_may_be_lost_once_at_each_step(victim, loss, step):
    network, steps = Network(), count()

    def lose_at_step():
        if next(steps) == step:
            seed = network.seeds[victim]
            seed.wipe() if loss == "wipe" else seed.kill(loss == "power")
            seed.start(False)

    for seed in network.seeds.values():
        seed.start(True)
    for _ in range(12):
        network.tick()
        lose_at_step()
        while network.queues or any(seed.threads.jobs for seed in network.seeds.values()):
            for queue in list(network.queues):
                if queue in network.queues:
                    network.deliver(queue)
                    network.observe()
                    lose_at_step()
            for seed in network.seeds.values():
                seed.finish_job()
                network.observe()
                lose_at_step()
    network.calm(20)
    assert network.records == {STORAGE} and network.seeds[FOUNDER].agent.bootstrap_voters == STORAGE


def test_founder_killed_before_it_wrote_anything_founds_with_what_the_other_seeds_know():
    network = Network()
    for address in SEEDS[1:]:
        network.seeds[address].start(True)
    network.calm()
    assert network.records == {STORAGE}


def test_founder_goes_by_the_seeds_of_the_first_start_if_its_settings_name_others_later():
    network = Network(SEEDS + OTHERS)
    for seed in network.seeds.values():
        seed.start(True)
    network.seeds[FOUNDER].kill()
    network.seeds[FOUNDER].start(False, (*SEEDS[1:], OTHERS[0]))
    network.calm()
    assert network.records == {STORAGE}


def test_no_other_seed_founds_when_later_settings_name_it_first():
    network = Network(SEEDS + OTHERS)
    for seed in network.seeds.values():
        seed.start(True)
    second = network.seeds[SEEDS[1]]
    second.kill()
    second.start(False, (*SEEDS[1:], OTHERS[0]))
    network.cuts = {frozenset((FOUNDER, other)) for other in network.seeds if other != FOUNDER}
    network.run()
    assert network.records == set()


def test_machines_added_later_found_nothing_though_no_seed_of_theirs_holds_a_record():
    network = founded(SEEDS + OTHERS)
    for address in SEEDS:
        network.seeds[address].wipe()
    replaced = network.seeds[FOUNDER]
    replaced.start(False, (FOUNDER, *OTHERS))
    network.run()
    assert network.records == {STORAGE} and replaced.agent.bootstrap_voters == ()


def test_two_seeds_without_their_disks_found_nothing():
    network = founded()
    for address in SEEDS[:2]:
        network.seeds[address].wipe()
    network.seeds[SEEDS[2]].kill()
    for address in SEEDS[:2]:
        network.seeds[address].start(False)
    network.run()
    assert network.records == {STORAGE}
    assert network.seeds[FOUNDER].agent.bootstrap_voters == ()


def test_single_seed_without_its_disk_founds_nothing_at_a_later_start():
    network = founded((FOUNDER,), (FOUNDER,))
    seed = network.seeds[FOUNDER]
    seed.wipe()
    seed.start(False, (FOUNDER,))
    network.run()
    assert network.records == {STORAGE} and seed.agent.bootstrap_voters == ()


def test_late_order_of_a_dead_founder_changes_no_copy():
    network = Network()
    for seed in network.seeds.values():
        seed.start(True)
    founder, second = network.seeds[FOUNDER], network.seeds[SEEDS[1]]
    dead = founder.agent.endpoint
    network.calm(20)
    assert network.records == {STORAGE}
    founder.kill()
    founder.start(False)
    assembly.on_frame(second.agent, Frame(1, founder.agent.endpoint, "", BootstrapRequest()))
    assembly.on_frame(second.agent, Frame(1, dead, "", BootstrapRequest(("s8", "s9"))))
    second.finish_job()
    assert second.agent.attachments["founding"].copied_voters == STORAGE


def test_seeds_that_all_lost_their_disks_found_nothing_though_other_machines_name_them():
    network = founded(SEEDS + OTHERS)
    for address in SEEDS:
        network.seeds[address].wipe()
    for address in SEEDS:
        network.seeds[address].start(False, (SEEDS[0], *OTHERS))
    network.run()
    assert network.seeds[FOUNDER].agent.attachments["founding"].seeds == SEEDS
    assert network.records == {STORAGE} and network.seeds[FOUNDER].agent.bootstrap_voters == ()


def test_reply_to_an_earlier_process_of_the_founder_is_ignored():
    """Both other seeds reported before a record was made; the founder's next process must not go by that."""
    network = Network()
    for address in SEEDS[1:]:
        network.seeds[address].start(True)
    founder = network.seeds[FOUNDER]
    founder.start(False)
    earlier = founder.agent.endpoint.member.incarnation
    founder.kill()
    founder.start(False)
    for address in SEEDS[1:]:
        endpoint = network.seeds[address].agent.endpoint
        assembly.on_frame(founder.agent, Frame(1, endpoint, "", BootstrapReply((), SEEDS, earlier)))
    state = founder.agent.attachments["founding"]
    assert (state.seeds, state.vouching_seeds, state.reported_voters) == ((), set(), {})


def rot(disk, name):
    disk.names[f"/data/{name}"].data[30] ^= 0x5A


@pytest.mark.parametrize("address, name", [(FOUNDER, "charter"), (SEEDS[1], "kept-charter")])
def test_disk_with_a_damaged_record_counts_as_lost_from_then_on(address, name):
    """A record that was set aside looks like none in the next life: it vouches for nothing and founds nothing."""
    network = founded()
    seed = network.seeds[address]
    seed.kill()
    rot(seed.disk, name)
    for _ in range(2):
        seed.start(False)
        founding = seed.agent.attachments.get("founding")
        assert founding is None or (founding.has_first_disk, founding.seeds) == (False, ())
        seed.kill()
