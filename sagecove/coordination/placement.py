"""Which machine a task goes to: random among the fitting ones of the best group.

Pure functions over machines; callers pass room already promised to others as `promised`.
"""

from collections.abc import Iterable
from itertools import groupby
from math import log
from random import Random

from sagecove.coordination.model import ROOM_EPSILON, JobRun, Machine
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job

RoomByMachine = dict[str, list[float]]


def type_allowed(spec: Job, kind: MachineType) -> bool:
    """A task fits an empty machine of this type, and the job allows the type."""
    return (
        (spec.types is None or kind.name in spec.types)
        and spec.cpus <= kind.cpus + ROOM_EPSILON
        and spec.gpus <= kind.gpus + ROOM_EPSILON
        and spec.memory_gb <= kind.memory_gb + ROOM_EPSILON
    )


def machine_allowed(spec: Job, machine: Machine) -> bool:
    """The job allows this machine at all."""
    record = machine.record
    return (
        machine.machine_type is not None
        and type_allowed(spec, machine.machine_type)
        and (spec.zone is None or spec.zone == record.zone)
        and (spec.spot or not record.spot)
    )


def fills_most_of_machine(spec: Job, kind: MachineType) -> bool:
    """A task takes most of such a machine, so that hardly ever one in use has room for it."""
    return 2 * spec.cpus > kind.cpus or 2 * spec.gpus > kind.gpus > 0


def machine_suits(job: JobRun, machine: Machine) -> bool:
    """The job allows this machine, and should be there."""
    kind = machine.machine_type
    return machine_allowed(job.spec, machine) and not (
        job.avoided_types and kind is not None and kind.name in job.avoided_types
    )


def hourly_price(kind: MachineType, spot: bool) -> float:
    """Price of a machine by the hour."""
    return kind.spot_price if spot and kind.spot_price else kind.price


def price_class(kind: MachineType, spot: bool, base: float) -> int:
    """Class of a machine's price by the CPU: 0 up to `base`, the cheapest type's ordinary price,
    then a class for each factor of about 3.5 (what divides spot from ordinary machines)."""
    times = hourly_price(kind, spot) / max(kind.cpus, 0.1) / base if base > 0 else 1.0
    return 0 if times <= 1 else 1 + int(log(times, 3.5))


def tasks_fitting(spec: Job, room: tuple[float, float, float]) -> int:
    """How many tasks fit a room."""
    cpus, gpus, memory = room
    if (
        cpus + ROOM_EPSILON < spec.cpus
        or gpus + ROOM_EPSILON < spec.gpus
        or memory + ROOM_EPSILON < spec.memory_gb
    ):
        return 0
    count = 1 << 20
    if spec.cpus > 0:
        count = int((cpus + ROOM_EPSILON) / spec.cpus)
    if spec.gpus > 0:
        count = min(count, int((gpus + ROOM_EPSILON) / spec.gpus))
    if spec.memory_gb > 0:
        count = min(count, int((memory + ROOM_EPSILON) / spec.memory_gb))
    return count


class NoRoomCache:
    """Needs that found no room in this pass: whoever needs as much, with the same constraints,
    need not look again. Under a backlog nearly every job is one of these."""

    def __init__(self) -> None:
        self._needs: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}

    @staticmethod
    def _key(job: JobRun) -> tuple[object, ...]:
        spec = job.spec
        types = tuple(spec.types) if spec.types else None
        return (types, spec.zone, spec.spot, job.array, job.avoided_types)

    def known(self, job: JobRun, rank: object = None) -> bool:
        """Looking is known to be futile for a job (of this rank, where rank matters)."""
        spec = job.spec
        for cpus, gpus, memory in self._needs.get((*self._key(job), rank), ()):
            if spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory:
                return True
        return False

    def add(self, job: JobRun, rank: object = None) -> None:
        """One task of the job found no room."""
        spec = job.spec
        if spec.one_zone or spec.spread:
            return
        needs = self._needs.setdefault((*self._key(job), rank), [])
        needs.append((spec.cpus, spec.gpus, spec.memory_gb))


def unpromised_room(machine: Machine, promised: RoomByMachine | None) -> tuple[float, float, float]:
    """Free room less what is promised."""
    cpus, gpus, memory = machine.free_room()
    if promised and (held := promised.get(machine.name)):
        return cpus - held[0], gpus - held[1], memory - held[2]
    return cpus, gpus, memory


def room_for(
    job: JobRun,
    machines: Iterable[Machine],
    promised: RoomByMachine,
    asked: RoomByMachine,
    most: int,
) -> int:
    """How many tasks of a job find room on machines, counted up to `most`, beside what is promised
    and what was counted for others before: it is added to `asked`."""
    found = 0
    spec = job.spec
    for machine in machines:
        if found >= most:
            break
        if not machine_suits(job, machine):
            continue
        room = unpromised_room(machine, promised)
        if taken := asked.get(machine.name):
            room = room[0] - taken[0], room[1] - taken[1], room[2] - taken[2]
        if count := min(tasks_fitting(spec, room), most - found):
            add_promised(asked, machine.name, spec, count)
            found += count
    return found


def add_promised(promised: RoomByMachine, name: str, spec: Job, count: int = 1) -> None:
    """Count planned tasks on a machine in (or, with a negative count, out)."""
    held = promised.setdefault(name, [0.0, 0.0, 0.0])
    held[0] += spec.cpus * count
    held[1] += spec.gpus * count
    held[2] += spec.memory_gb * count


def promise_reserved(promised: RoomByMachine, job: JobRun, sign: int = 1) -> None:
    """What others were stopped for stays kept for the job they were stopped for (or, with -1, is
    there for it)."""
    for name, count in job.reserved.items():
        add_promised(promised, name, job.spec, sign * count)


def rank(job: JobRun, machine: Machine) -> tuple[int, int, int]:
    """Groups of machines, best first: without GPUs the task has no use for, of the cheaper kind
    where the job may use it, with its image. Arrays fill the dear ones last, whatever images are
    there: those are to run empty and be returned as soon as there is less to do."""
    spec = job.spec
    kind = machine.machine_type
    assert kind is not None
    waste = machine.price_class if job.array else 1 if kind.gpus > 0 and spec.gpus == 0 else 0
    if machine.name in job.failed_on:
        # A second opinion tells a faulty machine from a faulty job.
        waste += 99
    wrong_kind = 0 if machine.record.spot == spec.spot else 1
    return waste, _warmth(spec, machine), wrong_kind


def _warmth(spec: Job, machine: Machine) -> int:
    """Groups of machines by how soon they have an image: there; on its way; to be fetched; to be
    fetched beside another, which shares the rate."""
    if spec.image in machine.images:
        return 0
    if spec.image in machine.fetching:
        return 1
    return 3 if machine.fetching else 2


def tasks_by_zone(job: JobRun) -> dict[str, int]:
    """Where the job's tasks are, those on their way out included."""
    counts: dict[str, int] = {}
    for placement in job.placed.values():
        if placement.takes_room:
            zone = placement.machine.record.zone
            counts[zone] = counts.get(zone, 0) + 1
    return counts


def _beside(
    machine: Machine, large: Job, room: tuple[float, float, float]
) -> tuple[float, float, float]:
    """What arrays may still take of a machine beside a large task that waits for it."""
    kind = machine.machine_type
    assert kind is not None
    cpus, gpus, memory = (
        kind.cpus - large.cpus,
        kind.gpus - large.gpus,
        kind.memory_gb - large.memory_gb,
    )
    for placement in machine.tasks.values():
        if placement.takes_room and placement.job is not None and placement.job.array:
            cpus -= placement.job.spec.cpus
            gpus -= placement.job.spec.gpus
            memory -= placement.job.spec.memory_gb
    return min(cpus, room[0]), min(gpus, room[1]), min(memory, room[2])


def plan_placements(
    job: JobRun,
    indexes: list[int],
    machines: Iterable[Machine],
    random: Random,
    promised: RoomByMachine,
    packing: bool = False,
    withheld: dict[str, JobRun] | None = None,
) -> list[tuple[int, Machine]]:
    """Machines for as many of the tasks as fit (for a gang: all or none).

    What is planned is added to `promised`.
    """
    spec = job.spec
    open_machines: list[tuple[Machine, int]] = []
    for machine in machines:
        room = unpromised_room(machine, promised)
        if withheld and job.array and machine.name in withheld:
            room = _beside(machine, withheld[machine.name].spec, room)
        count = tasks_fitting(spec, room)
        if count > 0 and machine.accepts_tasks and machine_suits(job, machine):
            open_machines.append((machine, count))
    if not open_machines:
        return []
    # Of arrays that may be anywhere nobody asks where they are, and there are hundreds of tasks.
    counts = {} if job.array and not spec.spread and not spec.one_zone else tasks_by_zone(job)
    if spec.one_zone:
        if counts:
            zones = [next(iter(counts))]
        else:
            per_zone: dict[str, int] = {}
            for machine, count in open_machines:
                zone = machine.record.zone
                per_zone[zone] = per_zone.get(zone, 0) + count
            most = max(per_zone.values())
            zones = [z for z, c in per_zone.items() if c >= min(most, len(indexes))]
            # A zone in which few images are to be fetched.
            warm = dict.fromkeys(zones, 0)
            for machine, count in open_machines:
                if machine.record.zone in warm and spec.image in machine.images:
                    warm[machine.record.zone] += count
            most = min(max(warm.values()), len(indexes))
            zones = [random.choice(sorted(z for z in zones if warm[z] >= most))]
        open_machines = [(m, c) for m, c in open_machines if m.record.zone in zones]
    if job.gang and sum(c for _, c in open_machines) < len(indexes):
        return []
    cap = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
    left = {machine.name: count for machine, count in open_machines}
    ranked = sorted(((rank(job, m), m) for m, _ in open_machines), key=lambda pair: pair[0])
    if job.array and not spec.spread:
        return _plan_array(spec, indexes, ranked, left, random, promised, packing)
    here: dict[str, int] = {}
    if job.service:
        for placement in job.placed.values():
            here[placement.machine.name] = here.get(placement.machine.name, 0) + 1
    planned: list[tuple[int, Machine]] = []
    for index in indexes:
        best: list[Machine] = []
        best_rank: tuple[int, ...] | None = None
        for order, machine in ranked:
            name = machine.name
            if left[name] <= 0 or counts.get(machine.record.zone, 0) >= cap:
                continue
            # A service's replicas on one machine fail together: spread them where there is room,
            # but not at the price of an image's fetch.
            full: tuple[int, ...] = order
            if job.service:
                full = (*order[:2], here.get(name, 0), order[2])
            elif job.gang and order[1]:
                # All tasks wait for the slowest fetch: as few machines as will do, each for
                # as many of the tasks as it has room for.
                fetches = 1 if name in here else order[1]
                full = (order[0], fetches, order[2], -min(left[name], len(indexes) - len(planned)))
            elif job.gang:
                full = (*order, 0)
            if best_rank is None or full < best_rank:
                best, best_rank = [machine], full
            elif full == best_rank:
                best.append(machine)
        if not best:
            break
        if packing and len(best) > 1:
            fullest = min(unpromised_room(m, promised)[0] for m in best)
            best = [m for m in best if unpromised_room(m, promised)[0] <= fullest + ROOM_EPSILON]
        machine = best[0] if len(best) == 1 else random.choice(best)
        left[machine.name] -= 1
        here[machine.name] = here.get(machine.name, 0) + 1
        counts[machine.record.zone] = counts.get(machine.record.zone, 0) + 1
        add_promised(promised, machine.name, spec)
        planned.append((index, machine))
    if job.gang and len(planned) < len(indexes):
        for _, machine in planned:
            add_promised(promised, machine.name, spec, -1)
        return []
    return planned


def _plan_array(
    spec: Job,
    indexes: list[int],
    ranked: list[tuple[tuple[int, int, int], Machine]],
    left: dict[str, int],
    random: Random,
    promised: RoomByMachine,
    packing: bool,
) -> list[tuple[int, Machine]]:
    """Independent tasks need no look at each other: group by group, the random pick (or, when
    packing, the fullest first) costs a step a task, however many machines there are."""
    planned: list[tuple[int, Machine]] = []
    waiting = iter(indexes)
    for _, group in groupby(ranked, key=lambda pair: pair[0]):
        machines = [machine for _, machine in group]
        filling = packing or machines[0].price_class > 0
        if filling:
            random.shuffle(machines)
            machines.sort(key=lambda m: -unpromised_room(m, promised)[0])
        while machines:
            at = len(machines) - 1 if filling else random.randrange(len(machines))
            index = next(waiting, None)
            if index is None:
                return planned
            machine = machines[at]
            planned.append((index, machine))
            add_promised(promised, machine.name, spec)
            left[machine.name] -= 1
            if not left[machine.name]:
                machines[at] = machines[-1]
                machines.pop()
    return planned
