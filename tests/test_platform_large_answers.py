"""Recorded answers of keyed requests: large ones at once, and while a replica is down, stop neither order nor reads."""

import pytest
from fleet_simulator import stage as stages
from fleet_simulator import world as worlds

from frostpost.cluster import operation_client
from frostpost.program_ledger.key_messages import ClaimOperationKey, KeyAnswered, ResolveOperationKey

WINDOW_MS = 60_000


class KeyedAnswers:
    """An edge that claims operation keys and records their answers, as it does for keyed requests."""

    def __init__(self, seed):
        self.world, self.operators, status, _ = stages.open_(seed)
        assert status == 200
        self.agent, self.recorded = self.world.of("edge")[0].owner, []

    def claim(self, number):
        operation = ClaimOperationKey(f"key{number}", f"attempt{number}", WINDOW_MS)
        return operation_client.submit_until_decided(self.agent, operation)

    def record(self, number, answer_bytes):
        """Claim a key and record its answer once the claim is decided."""
        answer = b"%08d" % number * (answer_bytes // 8)
        operation = ResolveOperationKey(f"key{number}", f"attempt{number}", answer)
        claimed = self.claim(number)
        claimed.addCallback(lambda _: operation_client.submit_until_decided(self.agent, operation))
        claimed.addCallback(lambda _: self.recorded.append(number))

    def run_until_recorded(self, count, wait_ms):
        until_ms = self.world.now_ms() + wait_ms
        while len(self.recorded) < count and self.world.now_ms() < until_ms:
            self.world.run(self.world.now_ms() + 20)
        assert len(self.recorded) == count

    def check_answers(self, count):
        """A later claim of each key gets its answer, and the configuration is read."""
        for number in range(count):
            result = stages.await_(self.world, self.claim(number), 5000)
            assert isinstance(result.ok, KeyAnswered) and result.ok.answer[:8] == b"%08d" % number
        assert stages.await_(self.world, self.operators[0].read(), 5000)["issue"] == 3


@pytest.mark.parametrize("count, answer_bytes", ((24, 2_000_000), (8, 7_000_000)))
def test_burst_of_large_answers_is_recorded(count, answer_bytes):
    """Guards against an order that stops for good: 24 answers of 2 MB were joined into frames that links dropped."""
    scenario = KeyedAnswers(21)
    for number in range(count):
        scenario.record(number, answer_bytes)
    scenario.run_until_recorded(count, 20_000)
    scenario.check_answers(count)


@pytest.mark.parametrize("member", (0, 1))
def test_replica_that_missed_large_answers_completes(member):
    scenario = KeyedAnswers(22)
    daemon = scenario.world.of("storage")[member]
    for number in range(30):
        scenario.world.later(30 * number, scenario.record, number, 1_000_000)
    scenario.world.run(scenario.world.now_ms() + 300)
    worlds.kill(scenario.world, daemon)
    scenario.run_until_recorded(30, 20_000)
    worlds.start(scenario.world, daemon)
    scenario.world.run(scenario.world.now_ms() + scenario.world.notes.sheet["recovery"])
    for replica in scenario.world.of("storage"):
        assert replica.owner.ctx.core.synchrony.primary.ready
    scenario.check_answers(30)
