"""The books against a recount: every event in random order, and whole controllers in trouble."""

from typing import Any

from hypothesis import settings as how
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import convert

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.ledger_check import ledger_differences
from sagecove.coordination.limits.claim_totals import ClaimTotals
from sagecove.coordination.model import JobRun, Machine, Placement, Shard
from sagecove.lab.deployment import job
from sagecove.lab.world import World
from sagecove.protocol import workers as w
from sagecove.protocol.users import Job
from sagecove.storage import taskset
from sagecove.storage.records import JobRecord, MachineRecord
from tests.test_size import KINDS

SIZES = st.sampled_from([0.1, 0.3, 1.0, 5.6])


class Books:
    """An owner's tables, and nothing that decides."""

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


class EveryEvent(RuleBasedStateMachine):
    """Jobs, machines and shards come and go; tasks are placed, move on and end."""

    def __init__(self) -> None:
        super().__init__()
        self.books = Books()
        self.count = 0

    def live(self) -> list[Placement]:
        return [
            p
            for shard in self.books.held_shards
            for m in self.books.machines_by_shard.get(shard, {}).values()
            for p in m.tasks.values()
        ]

    @rule(tasks=st.integers(1, 5), cpus=SIZES, team=st.sampled_from(["red", "blue"]))
    def job_comes(self, tasks: int, cpus: float, team: str) -> None:
        self.count += 1
        spec = convert(job(self.count, hands=tasks, vcpus=cpus, outfit=team), Job)
        run = JobRun(JobRecord(spec, 0.0), 1)
        self.books.jobs[run.id] = run
        self.books.backlog.reclassify(run)
        self.books.ledger.update_claims(run)

    @rule(shard=st.sampled_from("ab"), small=st.booleans())
    def machine_comes(self, shard: str, small: bool) -> None:
        self.count += 1
        kind = "small" if small else "gpu"
        machine = Machine(f"m{self.count}", MachineRecord(kind, "a", False, shard), 1, 0.0)
        machine.machine_type = KINDS[kind] if self.count % 4 else None
        machine.tasks_known = True
        self.books.machines[machine.name] = machine
        self.books.machines_by_shard.setdefault(shard, {})[machine.name] = machine
        self.books.ledger.update_machine(machine)

    @rule(shard=st.sampled_from("ab"))
    def shard_gained(self, shard: str) -> None:
        if shard not in self.books.held_shards:
            mine = self.books.held_shards[shard] = Shard(shard, 1, 0.0)
            mine.unreported_machines = set(self.books.machines_by_shard.get(shard, {}))
            self.books.ledger.open_shard(mine, list(self.books.backlog.active.values()))

    @rule(shard=st.sampled_from("ab"))
    def shard_lost(self, shard: str) -> None:
        if self.books.held_shards.pop(shard, None) is not None:
            self.books.ledger.close_shard(shard, list(self.books.backlog.active.values()))
            for machine in self.books.machines_by_shard.get(shard, {}).values():
                machine.reset(0.0)

    @precondition(lambda self: self.books.machines)
    @rule(data=st.data())
    def machine_told(self, data: st.DataObject) -> None:
        machine = data.draw(st.sampled_from(list(self.books.machines.values())))
        shard = self.books.held_shards.get(machine.record.shard)
        if shard is not None:
            shard.unreported_machines.discard(machine.name)
            machine.machine_type = KINDS[machine.record.type]
            state = data.draw(st.sampled_from([None, w.EXITED, w.TASK_RUNNING]))
            machine.unknown_tasks = {} if state is None else {("run-999999/0", 1): state}
            self.books.ledger.update_machine(machine)

    @precondition(lambda self: self.books.jobs and self.books.held_shards)
    @rule(data=st.data(), under_way=st.booleans())
    def claimed(self, data: st.DataObject, under_way: bool) -> None:
        run = data.draw(st.sampled_from(list(self.books.jobs.values())))
        shard = data.draw(st.sampled_from(sorted(self.books.held_shards)))
        if run.claiming is not None:
            run.claiming = None
        elif run.unclaimed:
            bits = taskset.lowest(run.unclaimed, data.draw(st.integers(1, 5)))
            if under_way:
                run.claiming = shard, bits
            else:
                claims = {**run.claims, shard: run.claims.get(shard, 0) | bits}
                run.apply_record(run.with_sets(run.finished, claims), run.stamp + 1)
        self.books.backlog.reclassify(run)
        self.books.ledger.update_claims(run)

    @precondition(lambda self: self.books.jobs and self.books.machines)
    @rule(data=st.data())
    def placed(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(list(self.books.jobs.values())))
        machine = data.draw(st.sampled_from(list(self.books.machines.values())))
        shard = machine.record.shard
        bits = run.placeable(shard) if shard in self.books.held_shards else 0
        if bits:
            index = next(taskset.members(bits))
            task = f"{run.id}/{index}"
            if task not in machine.tasks:
                self.books.ledger.add_placement(machine, Placement(run, index, task, 1, machine))

    @precondition(lambda self: self.live())
    @rule(data=st.data(), state=st.sampled_from([w.PULLING, w.TASK_RUNNING, w.EXITED, "stop"]))
    def task_moves_on(self, data: st.DataObject, state: str) -> None:
        placement = data.draw(st.sampled_from(self.live()))
        run = placement.job
        assert run is not None
        if placement.state == w.EXITED or state == "stop":
            placement.stop_grace_s = 0.0
            self.books.ledger.mark_stopping(placement)
            return
        self.books.ledger.set_task_state(placement, state)
        if state == w.EXITED and run.id in self.books.jobs:
            run.finished_unrecorded |= (1 << placement.index) & ~run.finished
        self.books.ledger.update_claims(run)

    @precondition(lambda self: self.live())
    @rule(data=st.data())
    def task_dropped(self, data: st.DataObject) -> None:
        placement = data.draw(st.sampled_from(self.live()))
        self.books.ledger.remove_placement(placement.machine, placement)

    @precondition(lambda self: self.books.jobs)
    @rule(data=st.data())
    def job_over(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(list(self.books.jobs.values())))
        del self.books.jobs[run.id]
        self.books.backlog.remove(run)
        self.books.ledger.remove_job(run)

    @invariant()
    def the_books_are_right(self) -> None:
        assert ledger_differences(self.books) == []
        for shard, account in self.books.ledger.accounts.items():
            machines = self.books.machines_by_shard.get(shard, {}).values()
            free = {m.name for m in machines if m.free_room()[0] > 1e-6 and m.free_room()[2] > 1e-6}
            assert set(account.free) == free
            going = {
                p.task for m in machines for p in m.tasks.values() if p.stop_grace_s is not None
            }
            assert {t for t, p in account.stopping.items() if p.takes_room} <= going


EveryEvent.TestCase.settings = how(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=40
)
TestEveryEvent = EveryEvent.TestCase


def world_with_two_running_tasks(run_s: float) -> World:
    """One controller, a machine, and two tasks of one job that run on it for so many seconds."""
    world = World(nodes=1)
    world.cloud.start("small", "a", False)
    world.run(3)
    world.workers["vm-000000"].run_s = run_s
    world.submit("n0", job(1, hands=2))
    world.until(lambda: world.running("run-000001") == 2, 10)
    world.run(6)
    return world


def test_a_machine_that_goes_to_another_shard_takes_its_tasks_out_of_the_books_alone() -> None:
    # Nothing shows that they are gone: were they no longer their jobs', they would start twice.
    world = world_with_two_running_tasks(600.0)
    owner = world.owners["n0"]
    owner.ledger.detach_machine(owner.machines["vm-000000"])
    assert owner.ledger.used("n0", "red") == (0.0, 0.0)
    assert sorted(owner.jobs["run-000001"].placed) == [0, 1]
    assert owner.jobs["run-000001"].placeable("n0") == 0


def test_the_recount_sees_a_figure_that_is_wrong() -> None:
    # A check that can't fail is none: one task more than there is must be told.
    world = World(nodes=1)
    world.cloud.start("small", "a", False)
    world.run(3)
    world.submit("n0", job(1, hands=2))
    world.until(lambda: world.running("run-000001") == 2, 10)
    owner = world.owners["n0"]
    assert ledger_differences(owner) == []
    owner.ledger.accounts["n0"].used["red"][0] += 1000
    assert any("used by red" in wrong for wrong in ledger_differences(owner))


def test_decimals_that_come_and_go_leave_nothing_behind() -> None:
    # As floats, 0.1 and 0.3 added and taken off ten thousand times no longer make nothing.
    books = Books()
    machine = Machine("m", MachineRecord("gpu", "a", False, "a"), 1, 0.0)
    machine.machine_type = KINDS["gpu"]
    books.machines_by_shard["a"] = {"m": machine}
    shard = books.held_shards["a"] = Shard("a", 1, 0.0)
    books.ledger.open_shard(shard, [])
    run = JobRun(JobRecord(convert(job(1, vcpus=0.1, hands=3), Job), 0.0), 1)
    for number in range(3000):
        placement = Placement(run, number % 3, f"{run.id}/{number % 3}", number, machine)
        books.ledger.add_placement(machine, placement)
        if number % 2:
            books.ledger.set_task_state(placement, w.EXITED)
        books.ledger.remove_placement(machine, placement)
    assert books.ledger.used("a", "red") == (0.0, 0.0)
    assert abs(machine.used[0]) < 1e-9


def test_three_controllers_that_go_quiet_return_all_machines() -> None:
    # Each kept one machine for services that never came: `real` found three of them idle.
    world = World()
    world.cloud.boot_s = 5.0
    world.run(3)
    for number in range(6):
        world.submit(f"n{number % 3}", job(number, hands=3))
    world.submit("n1", job(9, shape="service", hands=2, rank="production"))
    world.until(lambda: len(world.completed) == 18, 120)
    assert world.user("n0", "POST", "/api/jobs/run-000009/cancel")[0] == 200
    world.until(lambda: not world.workers, 130)
    rented = len(world.cloud.requests)
    world.run(30)
    assert len(world.cloud.requests) == rented


def test_work_that_comes_as_the_last_machine_goes_is_served() -> None:
    world = World()
    world.cloud.boot_s = 5.0
    world.run(3)
    world.submit("n0", job(1, hands=2))
    world.until(lambda: len(world.completed) == 2, 60)
    world.until(lambda: any(m.record.leaving for m in world.owners["n0"].machines.values()), 120)
    world.submit("n2", job(2, hands=3))
    world.until(lambda: len(world.completed) == 5, 60)


def test_services_that_keep_coming_find_a_machine_kept_for_them() -> None:
    world = World(nodes=1)
    world.run(3)
    for number in range(5):
        run = job(number, shape="service", rank="production")
        world.submit("n0", run)
        world.until(lambda run=run: world.running(run["nameId"]) == 1, 60)
        world.user("n0", "POST", f"/api/jobs/{run['nameId']}/cancel")
        world.run(18)
    assert len([m for m in world.workers.values() if not m.live()]) >= 1


def test_a_machine_that_says_the_same_again_is_heard_all_the_same() -> None:
    # Repeated reports are not taken apart; what they stand for must still be seen to.
    world = world_with_two_running_tasks(40.0)
    worker = world.workers["vm-000000"]
    machine = world.owners["n0"].machines["vm-000000"]
    assert machine.quiescent and machine.last_report_at > world.now - 3
    # Cut off beyond its lease and back, its list is the same and its session another.
    worker.cut = True
    world.run(16)
    worker.cut = False
    world.until(lambda: machine.tasks_known and machine.session == 2, 20)
    world.until(lambda: world.running("run-000001") == 2, 30)
    world.until(lambda: len(world.completed) == 2, 90)


def test_hints_of_a_controller_with_thousands_of_machines_fit_a_body() -> None:
    # 6,000 machines of one holder made a hint longer than a body may be: peers took it for silent.
    import msgspec

    world = World()
    world.run(3)
    owner = world.owners["n0"]
    names = [f"vm-{number:06d}" for number in range(6000)]
    for name in names:
        machine = Machine(name, MachineRecord("small", "a", False, "n0"), 1, world.now)
        machine.tasks_known = True
        owner.machines[name] = machine
    sent: list[int] = []
    deliver = world.deliver

    def weighed(node: str, of: Any, call: Any) -> None:
        if call.path == "/hint":
            sent.append(len(msgspec.json.encode(call.body)))
        deliver(node, of, call)

    world.deliver = weighed  # type: ignore[method-assign]
    world.audit = False
    world.run(8)
    assert max(sent) < 64 * 1024
    peers = world.owners["n1"].peers
    assert peers.has_all_parts("n0")
    assert all(peers.machine_reports_to("n0", name) for name in names)
