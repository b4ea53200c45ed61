"""The ledger's counts stay equal to a recount, and idle or silent machines are handled.

A state machine applies placements, claims, reports and shard changes in random order and recounts
after each; the other tests run whole controllers.
"""

from typing import Any

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import convert

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.ledger_check import ledger_differences
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.lab.deployment import job_submission
from sagecove.lab.world import World
from sagecove.protocol import workers as worker_protocol
from sagecove.protocol.users import Job
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, MachineRecord
from tests.test_size import KINDS

SIZES = st.sampled_from([0.1, 0.3, 1.0, 5.6])


class LedgerOwner:
    """The tables of an owner without its decisions."""

    def __init__(self) -> None:
        self.now = 0.0
        self.settings: Any = None
        self.jobs: dict[str, JobRun] = {}
        self.machines: dict[str, Machine] = {}
        self.machines_by_shard: dict[str, dict[str, Machine]] = {}
        self.held_shards: dict[str, Shard] = {}
        self.failures: Any = None
        self.estimates: Any = None
        self.backlog = Backlog(self)
        self.claim_totals = ClaimTotals({})
        self.ledger = Ledger(self)

    def wall(self) -> float:
        return self.now


class LedgerMachine(RuleBasedStateMachine):
    """Jobs, machines and shards come and go; tasks are placed, change state and end.

    Rules are chosen by their position among the sorted names, so a new name changes the runs.
    """

    def __init__(self) -> None:
        super().__init__()
        self.owner = LedgerOwner()
        self.count = 0

    def held_placements(self) -> list[Placement]:
        return [
            p
            for shard in self.owner.held_shards
            for m in self.owner.machines_by_shard.get(shard, {}).values()
            for p in m.tasks.values()
        ]

    @rule(tasks=st.integers(1, 5), cpus=SIZES, team=st.sampled_from(["red", "blue"]))
    def job_added(self, tasks: int, cpus: float, team: str) -> None:
        self.count += 1
        spec = convert(job_submission(self.count, hands=tasks, vcpus=cpus, outfit=team), Job)
        run = JobRun(JobRecord(spec, 0.0), 1)
        self.owner.jobs[run.id] = run
        self.owner.backlog.reclassify(run)
        self.owner.ledger.update_claims(run)

    @rule(shard=st.sampled_from("ab"), small=st.booleans())
    def machine_added(self, shard: str, small: bool) -> None:
        self.count += 1
        kind = "small" if small else "gpu"
        machine = Machine(f"m{self.count}", MachineRecord(kind, "a", False, shard), 1, 0.0)
        machine.machine_type = KINDS[kind] if self.count % 4 else None
        machine.tasks_known = True
        self.owner.machines[machine.name] = machine
        self.owner.machines_by_shard.setdefault(shard, {})[machine.name] = machine
        self.owner.ledger.update_machine(machine)

    @rule(shard=st.sampled_from("ab"))
    def shard_gained(self, shard: str) -> None:
        if shard not in self.owner.held_shards:
            gained = self.owner.held_shards[shard] = Shard(shard, 1, 0.0)
            gained.unreported_machines = set(self.owner.machines_by_shard.get(shard, {}))
            self.owner.ledger.open_shard(gained, list(self.owner.backlog.active.values()))

    @rule(shard=st.sampled_from("ab"))
    def shard_lost(self, shard: str) -> None:
        if self.owner.held_shards.pop(shard, None) is not None:
            self.owner.ledger.close_shard(shard, list(self.owner.backlog.active.values()))
            for machine in self.owner.machines_by_shard.get(shard, {}).values():
                machine.reset(0.0)

    @precondition(lambda self: self.owner.machines)
    @rule(data=st.data())
    def machine_reports(self, data: st.DataObject) -> None:
        machine = data.draw(st.sampled_from(list(self.owner.machines.values())))
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is not None:
            shard.unreported_machines.discard(machine.name)
            machine.machine_type = KINDS[machine.record.type]
            state = data.draw(
                st.sampled_from([None, worker_protocol.EXITED, worker_protocol.TASK_RUNNING])
            )
            machine.unknown_tasks = {} if state is None else {("run-999999/0", 1): state}
            self.owner.ledger.update_machine(machine)

    @precondition(lambda self: self.owner.jobs and self.owner.held_shards)
    @rule(data=st.data(), pending=st.booleans())
    def claim_tasks(self, data: st.DataObject, pending: bool) -> None:
        run = data.draw(st.sampled_from(list(self.owner.jobs.values())))
        shard = data.draw(st.sampled_from(sorted(self.owner.held_shards)))
        if run.claiming is not None:
            run.claiming = None
        elif run.unclaimed:
            bits = taskset.lowest(run.unclaimed, data.draw(st.integers(1, 5)))
            if pending:
                run.claiming = shard, bits
            else:
                claims = {**run.claims, shard: run.claims.get(shard, 0) | bits}
                run.apply_record(run.with_sets(run.finished, claims), run.stamp + 1)
        self.owner.backlog.reclassify(run)
        self.owner.ledger.update_claims(run)

    @precondition(lambda self: self.owner.jobs and self.owner.machines)
    @rule(data=st.data())
    def place_task(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(list(self.owner.jobs.values())))
        machine = data.draw(st.sampled_from(list(self.owner.machines.values())))
        shard = machine.record.shard
        bits = run.placeable(shard) if shard in self.owner.held_shards else 0
        if bits:
            index = next(taskset.members(bits))
            task = f"{run.id}/{index}"
            if task not in machine.tasks:
                self.owner.ledger.add_placement(machine, Placement(run, index, task, 1, machine))

    @precondition(lambda self: self.held_placements())
    @rule(
        data=st.data(),
        state=st.sampled_from(
            [worker_protocol.PULLING, worker_protocol.TASK_RUNNING, worker_protocol.EXITED, "stop"]
        ),
    )
    def task_state_changes(self, data: st.DataObject, state: str) -> None:
        placement = data.draw(st.sampled_from(self.held_placements()))
        run = placement.job
        assert run is not None
        if placement.state == worker_protocol.EXITED or state == "stop":
            placement.stop_grace_s = 0.0
            self.owner.ledger.mark_stopping(placement)
            return
        self.owner.ledger.set_task_state(placement, state)
        if state == worker_protocol.EXITED and run.id in self.owner.jobs:
            run.finished_unrecorded |= (1 << placement.index) & ~run.finished
        self.owner.ledger.update_claims(run)

    @precondition(lambda self: self.held_placements())
    @rule(data=st.data())
    def task_dropped(self, data: st.DataObject) -> None:
        placement = data.draw(st.sampled_from(self.held_placements()))
        self.owner.ledger.remove_placement(placement.machine, placement)

    @precondition(lambda self: self.owner.jobs)
    @rule(data=st.data())
    def job_ended(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(list(self.owner.jobs.values())))
        del self.owner.jobs[run.id]
        self.owner.backlog.remove(run)
        self.owner.ledger.remove_job(run)

    @invariant()
    def ledger_matches_recount(self) -> None:
        assert ledger_differences(self.owner) == []
        for shard, account in self.owner.ledger.accounts.items():
            machines = self.owner.machines_by_shard.get(shard, {}).values()
            with_room = {
                m.name for m in machines if m.free_room()[0] > 1e-6 and m.free_room()[2] > 1e-6
            }
            assert set(account.with_room) == with_room
            stopping = {
                p.task for m in machines for p in m.tasks.values() if p.stop_grace_s is not None
            }
            assert {t for t, p in account.stopping.items() if p.takes_room} <= stopping


LedgerMachine.TestCase.settings = hypothesis_settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=40
)
TestLedgerMachine = LedgerMachine.TestCase


def world_with_two_running_tasks(run_s: float) -> World:
    """Return a world with one machine on which two tasks of one job run for `run_s` seconds."""
    world = World(node_count=1)
    world.cloud.start_machine("small", "a", False)
    world.run(3)
    world.workers["vm-000000"].task_run_s = run_s
    world.submit("n0", job_submission(1, hands=2))
    world.run_until(lambda: world.running_task_count("run-000001") == 2, 10)
    world.run(6)
    return world


def test_tasks_of_detached_machine_stay_placed() -> None:
    # Nothing shows that the tasks have ended: if they were not placed any more, they would start
    # twice.
    world = world_with_two_running_tasks(600.0)
    owner = world.owners["n0"]
    owner.ledger.detach_machine(owner.machines["vm-000000"])
    assert owner.ledger.used("n0", "red") == (0.0, 0.0)
    assert sorted(owner.jobs["run-000001"].placed) == [0, 1]
    assert owner.jobs["run-000001"].placeable("n0") == 0


def test_ledger_check_finds_wrong_count() -> None:
    # Guards the check itself: a count that is too large must be reported.
    world = World(node_count=1)
    world.cloud.start_machine("small", "a", False)
    world.run(3)
    world.submit("n0", job_submission(1, hands=2))
    world.run_until(lambda: world.running_task_count("run-000001") == 2, 10)
    owner = world.owners["n0"]
    assert ledger_differences(owner) == []
    owner.ledger.accounts["n0"].used["red"][0] += 1000
    assert any("used by red" in text for text in ledger_differences(owner))


def test_fractional_amounts_sum_to_zero() -> None:
    # As floats, 0.1 and 0.3 added and subtracted ten thousand times no longer sum to zero.
    owner = LedgerOwner()
    machine = Machine("m", MachineRecord("gpu", "a", False, "a"), 1, 0.0)
    machine.machine_type = KINDS["gpu"]
    owner.machines_by_shard["a"] = {"m": machine}
    shard = owner.held_shards["a"] = Shard("a", 1, 0.0)
    owner.ledger.open_shard(shard, [])
    run = JobRun(JobRecord(convert(job_submission(1, vcpus=0.1, hands=3), Job), 0.0), 1)
    for number in range(3000):
        placement = Placement(run, number % 3, f"{run.id}/{number % 3}", number, machine)
        owner.ledger.add_placement(machine, placement)
        if number % 2:
            owner.ledger.set_task_state(placement, worker_protocol.EXITED)
        owner.ledger.remove_placement(machine, placement)
    assert owner.ledger.used("a", "red") == (0.0, 0.0)
    assert abs(machine.used[0]) < 1e-9


def test_idle_controllers_return_all_machines() -> None:
    # Each controller kept one machine for services that never came: three stayed idle.
    world = World()
    world.cloud.boot_s = 5.0
    world.run(3)
    for number in range(6):
        world.submit(f"n{number % 3}", job_submission(number, hands=3))
    world.submit("n1", job_submission(9, shape="service", hands=2, rank="production"))
    world.run_until(lambda: len(world.completed_tasks) == 18, 120)
    assert world.user_request("n0", "POST", "/api/jobs/run-000009/cancel")[0] == 200
    world.run_until(lambda: not world.workers, 130)
    rented = len(world.cloud.machines_by_request)
    world.run(30)
    assert len(world.cloud.machines_by_request) == rented


def test_job_submitted_while_last_machine_leaves_is_served() -> None:
    world = World()
    world.cloud.boot_s = 5.0
    world.run(3)
    world.submit("n0", job_submission(1, hands=2))
    world.run_until(lambda: len(world.completed_tasks) == 2, 60)
    world.run_until(
        lambda: any(m.record.leaving for m in world.owners["n0"].machines.values()), 120
    )
    world.submit("n2", job_submission(2, hands=3))
    world.run_until(lambda: len(world.completed_tasks) == 5, 60)


def test_machine_is_kept_for_recurring_services() -> None:
    world = World(node_count=1)
    world.run(3)
    for number in range(5):
        run = job_submission(number, shape="service", rank="production")
        world.submit("n0", run)
        world.run_until(lambda run=run: world.running_task_count(run["nameId"]) == 1, 60)
        world.user_request("n0", "POST", f"/api/jobs/{run['nameId']}/cancel")
        world.run(18)
    assert len([m for m in world.workers.values() if not m.live_tasks()]) >= 1


def test_repeated_identical_report_is_handled() -> None:
    # An unchanged report is not decoded again, but what it implies must still be done.
    world = world_with_two_running_tasks(40.0)
    worker = world.workers["vm-000000"]
    machine = world.owners["n0"].machines["vm-000000"]
    assert machine.quiescent and machine.last_report_at > world.now - 3
    # Cut off beyond its lease, the worker comes back with the same task list in a new session.
    worker.isolated = True
    world.run(16)
    worker.isolated = False
    world.run_until(lambda: machine.tasks_known and machine.session == 2, 20)
    world.run_until(lambda: world.running_task_count("run-000001") == 2, 30)
    world.run_until(lambda: len(world.completed_tasks) == 2, 90)


def test_hints_for_thousands_of_machines_fit_body_limit() -> None:
    # With 6,000 machines a holder's hint exceeded the body limit: peers took the holder for silent.
    import msgspec

    world = World()
    world.run(3)
    owner = world.owners["n0"]
    names = [f"vm-{number:06d}" for number in range(6000)]
    for name in names:
        machine = Machine(name, MachineRecord("small", "a", False, "n0"), 1, world.now)
        machine.tasks_known = True
        owner.machines[name] = machine
    hint_sizes_bytes: list[int] = []
    deliver = world.deliver_call

    def record_size(node: str, sender: Any, call: Any) -> None:
        if call.path == "/hint":
            hint_sizes_bytes.append(len(msgspec.json.encode(call.body)))
        deliver(node, sender, call)

    world.deliver_call = record_size  # type: ignore[method-assign]
    world.checks_ledgers = False
    world.run(8)
    assert max(hint_sizes_bytes) < 64 * 1024
    peers = world.owners["n1"].peers
    assert peers.has_all_parts("n0")
    assert all(peers.machine_reports_to("n0", name) for name in names)
