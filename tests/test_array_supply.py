"""Machines are rented, and drained, with regard to which arrays may use them."""

from typing import Any

import msgspec
import pytest

from sagecove.coordination.array_supply import ArraySupply, MachineKind
from sagecove.coordination.model import Machine
from sagecove.lab.deployment import MACHINE_TYPES, job_submission
from sagecove.lab.rule_checker import WAITING_LIMIT_S
from sagecove.lab.world import World
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job
from sagecove.storage.records import MachineRecord

TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 0.0, "cpus_max": 64.0, "gpus": 0, "gpus_max": 0},
    {"name": "green", "cpus": 0.0, "cpus_max": 32.0, "gpus": 0, "gpus_max": 0},
]
TYPES = [msgspec.convert(fields, MachineType) for fields in MACHINE_TYPES]
SMALL_CPUS = 4.0


def world_of_spot_machines(node_count: int) -> World:
    """Return a world with two ordinary machines, which hold a service, and seven spot machines."""
    world = World(node_count, teams=TEAMS)
    world.cloud.capacity = {"small": 40, "gpu": 0}
    for zone in "ab":
        world.cloud.start_machine("small", zone, False)
    world.run(6)
    service = {"shape": "service", "rank": "production", "vcpus": 1.0, "memoryGb": 10.0}
    world.submit("n0", job_submission(1, hands=2, reckonS=0.0, **service))
    world.run_until(lambda: world.running_task_count("run-000001") == 2, 30)
    for number in range(7):
        world.cloud.start_machine("small", "ab"[number % 2], True)
    world.run(6)
    world.poll_jobs()
    return world


@pytest.mark.parametrize("node_count", [1, 3])
def test_machines_that_alone_an_array_may_use_are_not_drained(node_count: int) -> None:
    # Guards against spot machines that count as room for an array that may not use them: review/8.
    world = world_of_spot_machines(node_count)
    stream = {"hands": 7, "vcpus": 1.0, "memoryGb": 10.0, "borrowed": True, "reckonS": 12.0}
    for number in range(2, 5):
        world.submit("n0", job_submission(number, **stream))
        world.run(13)
    world.faults_over_at = world.now
    world.submit("n0", job_submission(5, outfit="green", hands=4, vcpus=2.0))
    for number in range(6, 10):
        world.submit("n0", job_submission(number, **stream))
        world.run(5)
    # Some begin at once beside the service, the others at the latest on a machine rented for them.
    world.run_until(
        lambda: sum(task.startswith("run-000005/") for task in world.completed_tasks) == 4, 15
    )


def test_draining_does_not_keep_arrays_away_for_good() -> None:
    # Guards against a machine that is drained without end, as a service stays on it.
    world = world_of_spot_machines(1)
    world.cloud.capacity = {"small": 9, "gpu": 0}
    owner = world.owners["n0"]

    def drain() -> None:
        for machine in owner.machines.values():
            if not machine.record.spot:
                machine.drain_until = world.now + 4.0
        world.call_later(1.0, drain)

    drain()
    world.run(20)
    world.faults_over_at = world.now
    world.submit("n0", job_submission(2, outfit="green", hands=1, vcpus=2.0))
    world.run_until(lambda: "run-000002/0" in world.completed_tasks, WAITING_LIMIT_S)


# -- the accounts --


def make_machine(number: int, zone: str, spot: bool) -> Machine:
    """Return a small machine."""
    name = f"vm-{number:06d}"
    machine = Machine(name, MachineRecord("small", zone, spot, "n0", "10.9.0.1:9", 0.0), 1, 0.0)
    machine.machine_type = TYPES[0]
    return machine


def make_job(**fields: Any) -> Job:
    return msgspec.convert(job_submission(1, **fields), Job)


def make_supply(*places: tuple[str, bool]) -> ArraySupply:
    """Return the supply of small machines in these zones, spot or not."""
    machines = [make_machine(n, zone, spot) for n, (zone, spot) in enumerate(places)]
    return ArraySupply(TYPES, machines)


def available(supply: ArraySupply, job: Job) -> float:
    """Return the CPUs in the scarcest account of an array."""
    return min(account.available_cpus for account in supply.accounts_for(job))


def test_array_has_accounts_of_the_machines_it_may_use() -> None:
    # Guards against room that is counted for arrays which may not use it.
    supply = make_supply(("a", False), ("a", True), ("b", True), ("b", True))
    spot, ordinary = make_job(borrowed=True), make_job()
    in_zone = make_job(borrowed=True, range="b")
    supply.open_accounts([spot, ordinary, in_zone])
    assert available(supply, spot) == pytest.approx(0.9 * 4 * SMALL_CPUS)
    assert available(supply, ordinary) == pytest.approx(0.9 * SMALL_CPUS)
    assert available(supply, in_zone) == pytest.approx(0.9 * 2 * SMALL_CPUS)
    assert len(supply.accounts_for(ordinary)) == 2 and len(supply.accounts_for(spot)) == 1


def test_claims_of_services_are_taken_from_the_machines_they_may_use() -> None:
    # Guards against services on ordinary machines that are subtracted from the spot machines.
    supply = make_supply(("a", False), ("b", False), ("a", True), ("b", True))
    ordinary, spot_too, in_zone = make_job(), make_job(borrowed=True), make_job(range="a")
    supply.take(ordinary, 4.0)
    supply.open_accounts([ordinary, spot_too, in_zone])
    assert available(supply, spot_too) == pytest.approx(0.9 * (4 * SMALL_CPUS - 4.0))
    assert available(supply, ordinary) == pytest.approx(0.9 * (2 * SMALL_CPUS - 4.0))
    assert available(supply, in_zone) == pytest.approx(0.9 * (SMALL_CPUS - 2.0))


def test_surplus_is_that_of_the_scarcest_account() -> None:
    # Guards against draining the only machines of an array because others have room.
    supply = make_supply(("a", False), *[("a", True)] * 5)
    ordinary, spot_too = make_job(), make_job(borrowed=True)
    supply.open_accounts([ordinary, spot_too])
    for account in supply.accounts_for(ordinary):
        account.needed_cpus = 2.0
    kinds = MachineKind("small", "a", False), MachineKind("small", "a", True)
    assert supply.surplus_cpus(kinds[0]) < SMALL_CPUS < supply.surplus_cpus(kinds[1])
    before = supply.surplus_cpus(kinds[1])
    supply.remove(kinds[1], SMALL_CPUS)
    assert supply.surplus_cpus(kinds[1]) == pytest.approx(before - SMALL_CPUS)
    assert supply.surplus_cpus(kinds[0]) < SMALL_CPUS
