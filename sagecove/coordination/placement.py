"""Chooses machines for tasks: at random among the fitting machines of the best rank.

These are pure functions over machines; callers pass the room already planned for others as
`promised`.
"""

from collections.abc import Iterable
from itertools import groupby
from math import log
from random import Random

from sagecove.coordination.model import ROOM_EPSILON, JobRun, Machine
from sagecove.coordination.preemption_policy import may_preempt
from sagecove.coordination.zone_rules import (
    tasks_allowed_by_zone,
    tasks_by_zone,
    tasks_per_zone_limit,
)
from sagecove.protocol.cloud import MachineType
from sagecove.protocol.users import Job

# By machine name: CPUs, GPUs and memory (GB).
RoomByMachine = dict[str, list[float]]


def type_allowed(spec: Job, machine_type: MachineType) -> bool:
    """Return whether a job allows a machine type and its tasks fit an empty machine of it."""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and spec.cpus <= machine_type.cpus + ROOM_EPSILON
        and spec.gpus <= machine_type.gpus + ROOM_EPSILON
        and spec.memory_gb <= machine_type.memory_gb + ROOM_EPSILON
    )


def machine_allowed(spec: Job, machine: Machine) -> bool:
    """Return whether a job allows a machine by type, zone and spot."""
    record = machine.record
    return (
        machine.machine_type is not None
        and type_allowed(spec, machine.machine_type)
        and (spec.zone is None or spec.zone == record.zone)
        and (spec.spot or not record.spot)
    )


def fills_most_of_machine(spec: Job, machine_type: MachineType) -> bool:
    """Return whether a task takes most of such a machine, so that one in use rarely has room."""
    return 2 * spec.cpus > machine_type.cpus or 2 * spec.gpus > machine_type.gpus > 0


def machine_suits(job: JobRun, machine: Machine) -> bool:
    """Return whether a job allows a machine and does not avoid its type."""
    machine_type = machine.machine_type
    return machine_allowed(job.spec, machine) and not (
        job.avoided_types and machine_type is not None and machine_type.name in job.avoided_types
    )


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """Return the price of a machine for one hour."""
    return machine_type.spot_price if spot and machine_type.spot_price else machine_type.price


def price_class(machine_type: MachineType, spot: bool, base: float) -> int:
    """Return the class of a machine's price per CPU: 0 up to `base`, the lowest on-demand price,
    then one class for each factor of 3.5 (about the ratio of on-demand to spot prices)."""
    ratio = (
        hourly_price(machine_type, spot) / max(machine_type.cpus, 0.1) / base if base > 0 else 1.0
    )
    return 0 if ratio <= 1 else 1 + int(log(ratio, 3.5))


def tasks_fitting(spec: Job, room: tuple[float, float, float]) -> int:
    """Count the tasks that fit an amount of free room."""
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
    """Resource needs that found no room in this pass. A job that needs at least as much under the
    same constraints is not searched room for again; under a backlog that is nearly every job."""

    def __init__(self) -> None:
        self._needs: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}

    @staticmethod
    def _key(job: JobRun) -> tuple[object, ...]:
        spec = job.spec
        types = tuple(spec.types) if spec.types else None
        return (types, spec.zone, spec.spot, job.array, job.avoided_types)

    def covers(self, job: JobRun, rank: object = None) -> bool:
        """Return whether a job (with these preemption rights, if any) is known to find no room."""
        spec = job.spec
        for cpus, gpus, memory in self._needs.get((*self._key(job), rank), ()):
            if spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory:
                return True
        return False

    def add(self, job: JobRun, rank: object = None) -> None:
        """Remember that one task of a job found no room."""
        spec = job.spec
        if spec.one_zone or spec.spread:
            return
        needs = self._needs.setdefault((*self._key(job), rank), [])
        needs.append((spec.cpus, spec.gpus, spec.memory_gb))


def unpromised_room(machine: Machine, promised: RoomByMachine | None) -> tuple[float, float, float]:
    """Return a machine's free room less what is promised to others."""
    cpus, gpus, memory = machine.free_room()
    if promised and (held := promised.get(machine.name)):
        return cpus - held[0], gpus - held[1], memory - held[2]
    return cpus, gpus, memory


def count_fitting_tasks(
    job: JobRun,
    machines: Iterable[Machine],
    promised: RoomByMachine,
    requested: RoomByMachine,
    most: int,
) -> int:
    """Count tasks of a job, up to `most`, that fit machines beside what is promised and what was
    counted for others before in `requested`, and add them to that."""
    spec = job.spec
    rooms: list[tuple[Machine, int]] = []
    fitting_by_zone: dict[str, int] = {}
    counted = 0
    for machine in machines:
        if counted >= most and not spec.one_zone and not spec.spread:
            break
        if not machine_suits(job, machine):
            continue
        room = unpromised_room(machine, promised)
        if taken := requested.get(machine.name):
            room = room[0] - taken[0], room[1] - taken[1], room[2] - taken[2]
        if fitting := min(tasks_fitting(spec, room), most):
            zone = machine.record.zone
            rooms.append((machine, fitting))
            fitting_by_zone[zone] = fitting_by_zone.get(zone, 0) + fitting
            counted += fitting
    left_by_zone = dict(tasks_allowed_by_zone(job, fitting_by_zone))
    found = 0
    for machine, fitting in rooms:
        zone = machine.record.zone
        count = min(fitting, most - found, left_by_zone.get(zone, 0))
        if count > 0:
            add_promised(requested, machine.name, spec, count)
            left_by_zone[zone] -= count
            found += count
    return found


def add_promised(promised: RoomByMachine, name: str, spec: Job, count: int = 1) -> None:
    """Add the needs of planned tasks to a machine's promised room (negative: remove them)."""
    held = promised.setdefault(name, [0.0, 0.0, 0.0])
    held[0] += spec.cpus * count
    held[1] += spec.gpus * count
    held[2] += spec.memory_gb * count


def promise_reserved(promised: RoomByMachine, job: JobRun, sign: int = 1) -> None:
    """Promise room freed by preemption to the job it was freed for (with `sign` -1: make it
    available to that job)."""
    for name, count in job.reserved.items():
        add_promised(promised, name, job.spec, sign * count)


def machine_rank(job: JobRun, machine: Machine) -> tuple[int, int, int]:
    """Rank a machine for a job, lowest first: by unused GPUs (for arrays by price class), by how
    soon it has the image, then by spot or on-demand as the job asks. Arrays fill expensive machines
    last, whatever images they have, so that those run empty and are returned when load falls."""
    spec = job.spec
    machine_type = machine.machine_type
    assert machine_type is not None
    misfit = (
        machine.price_class if job.array else 1 if machine_type.gpus > 0 and spec.gpus == 0 else 0
    )
    if machine.name in job.failed_on:
        # A try on another machine tells a faulty machine from a faulty job.
        misfit += 99
    wrong_kind = 0 if machine.record.spot == spec.spot else 1
    return misfit, _image_delay_rank(spec, machine), wrong_kind


def _image_delay_rank(spec: Job, machine: Machine) -> int:
    """Rank a machine by how soon it has an image: present; being fetched; to be fetched; to be
    fetched while another fetch shares the rate."""
    if spec.image in machine.images:
        return 0
    if spec.image in machine.fetching:
        return 1
    return 3 if machine.fetching else 2


def withheld_for(job: JobRun, name: str, withheld: dict[str, JobRun]) -> JobRun | None:
    """Return the gang that a machine is withheld for from a job: none from gangs and services, nor
    from an array that may preempt the gang and would take the room back."""
    gang = withheld.get(name) if job.array else None
    return None if gang is None or may_preempt(job, gang) else gang


def _room_beside_large_task(
    machine: Machine, large: Job, room: tuple[float, float, float]
) -> tuple[float, float, float]:
    """Return room that arrays may use on a machine withheld for a large task."""
    machine_type = machine.machine_type
    assert machine_type is not None
    cpus, gpus, memory = (
        machine_type.cpus - large.cpus,
        machine_type.gpus - large.gpus,
        machine_type.memory_gb - large.memory_gb,
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
    """Return pairs of task index and machine for as many tasks as fit (for a gang: all or none).

    Adds the planned tasks to `promised`.
    """
    spec = job.spec
    usable: list[tuple[Machine, int]] = []
    for machine in machines:
        room = unpromised_room(machine, promised)
        if withheld and (gang := withheld_for(job, machine.name, withheld)) is not None:
            room = _room_beside_large_task(machine, gang.spec, room)
        count = tasks_fitting(spec, room)
        if count > 0 and machine.accepts_tasks and machine_suits(job, machine):
            usable.append((machine, count))
    if not usable:
        return []
    # Arrays without zone rules need no count, and counting hundreds of tasks takes time.
    counts = {} if job.array and not spec.spread and not spec.one_zone else tasks_by_zone(job)
    if spec.one_zone:
        if counts:
            zones = [next(iter(counts))]
        else:
            per_zone: dict[str, int] = {}
            for machine, count in usable:
                zone = machine.record.zone
                per_zone[zone] = per_zone.get(zone, 0) + count
            most = max(per_zone.values())
            zones = [z for z, c in per_zone.items() if c >= min(most, len(indexes))]
            # Prefer a zone in which few images have to be fetched.
            tasks_beside_image = dict.fromkeys(zones, 0)
            for machine, count in usable:
                if machine.record.zone in tasks_beside_image and spec.image in machine.images:
                    tasks_beside_image[machine.record.zone] += count
            most = min(max(tasks_beside_image.values()), len(indexes))
            zones = [random.choice(sorted(z for z in zones if tasks_beside_image[z] >= most))]
        usable = [(m, c) for m, c in usable if m.record.zone in zones]
    if job.gang and sum(c for _, c in usable) < len(indexes):
        return []
    zone_cap = tasks_per_zone_limit(spec)
    capacity = {machine.name: count for machine, count in usable}
    ranked = sorted(((machine_rank(job, m), m) for m, _ in usable), key=lambda pair: pair[0])
    if job.array and not spec.spread:
        return _plan_array(spec, indexes, ranked, capacity, random, promised, packing)
    tasks_by_machine: dict[str, int] = {}
    if job.service:
        for placement in job.placed.values():
            tasks_by_machine[placement.machine.name] = (
                tasks_by_machine.get(placement.machine.name, 0) + 1
            )
    planned: list[tuple[int, Machine]] = []
    for index in indexes:
        best: list[Machine] = []
        best_rank: tuple[int, ...] | None = None
        for base_rank, machine in ranked:
            name = machine.name
            if capacity[name] <= 0 or counts.get(machine.record.zone, 0) >= zone_cap:
                continue
            # Replicas of a service on one machine fail together, so spread them where there is
            # room, but not at the cost of fetching an image.
            full_rank: tuple[int, ...] = base_rank
            if job.service:
                full_rank = (*base_rank[:2], tasks_by_machine.get(name, 0), base_rank[2])
            elif job.gang and base_rank[1]:
                # All tasks wait for the slowest fetch, so use few machines, each for as many
                # tasks as it has room for.
                fetches = 1 if name in tasks_by_machine else base_rank[1]
                full_rank = (
                    base_rank[0],
                    fetches,
                    base_rank[2],
                    -min(capacity[name], len(indexes) - len(planned)),
                )
            elif job.gang:
                full_rank = (*base_rank, 0)
            if best_rank is None or full_rank < best_rank:
                best, best_rank = [machine], full_rank
            elif full_rank == best_rank:
                best.append(machine)
        if not best:
            break
        if packing and len(best) > 1:
            fullest = min(unpromised_room(m, promised)[0] for m in best)
            best = [m for m in best if unpromised_room(m, promised)[0] <= fullest + ROOM_EPSILON]
        machine = best[0] if len(best) == 1 else random.choice(best)
        capacity[machine.name] -= 1
        tasks_by_machine[machine.name] = tasks_by_machine.get(machine.name, 0) + 1
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
    capacity: dict[str, int],
    random: Random,
    promised: RoomByMachine,
    packing: bool,
) -> list[tuple[int, Machine]]:
    """Plan independent tasks, one rank of machines after the other: at random, or when packing the
    fullest first. Takes one step for each task, however many machines there are."""
    planned: list[tuple[int, Machine]] = []
    waiting = iter(indexes)
    for _, group in groupby(ranked, key=lambda pair: pair[0]):
        machines = [machine for _, machine in group]
        filling = packing or machines[0].price_class > 0
        if filling:
            random.shuffle(machines)
            machines.sort(key=lambda m: -unpromised_room(m, promised)[0])
        while machines:
            position = len(machines) - 1 if filling else random.randrange(len(machines))
            index = next(waiting, None)
            if index is None:
                return planned
            machine = machines[position]
            planned.append((index, machine))
            add_promised(promised, machine.name, spec)
            capacity[machine.name] -= 1
            if not capacity[machine.name]:
                machines[position] = machines[-1]
                machines.pop()
    return planned
