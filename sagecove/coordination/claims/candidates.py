"""Finds machines where preemption makes room for a job, and the tasks to preempt there."""

from __future__ import annotations

from typing import NamedTuple

from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.placement import (
    RoomByMachine,
    machine_suits,
    tasks_fitting,
    unpromised_room,
)
from sagecove.coordination.preemption_policy import PreemptionPolicy, may_preempt, task_resources
from sagecove.coordination.zone_rules import tasks_by_zone, tasks_per_zone_limit


class Candidate(NamedTuple):
    """A machine where preemption makes room."""

    # The machine still has to fetch the job's image.
    needs_fetch: bool
    # CPU seconds of work lost by the preempted tasks.
    loss: float
    machine: Machine
    victims: list[Placement]
    # Number of tasks of the job that will fit.
    tasks: int


def find_candidates(
    now: float,
    job: JobRun,
    count: int,
    machines: list[Machine],
    promised: RoomByMachine,
    policy: PreemptionPolicy,
    max_loss_cpu_s: float | None = None,
) -> list[Candidate]:
    """Return machines where room for up to `count` tasks of a job can be made, best first. With
    `max_loss_cpu_s`: only machines that have its image, with at most that loss for each task."""
    out = _search(now, job, (1, count), machines, promised, policy, max_loss_cpu_s)
    if job.gang and sum(c.tasks for c in out) < count:
        # One task on each machine is not enough: put as many on each as it can take.
        out = _search(now, job, (count, count), machines, promised, policy, max_loss_cpu_s)
    return out


def _search(
    now: float,
    job: JobRun,
    wanted: tuple[int, int],
    machines: list[Machine],
    promised: RoomByMachine,
    policy: PreemptionPolicy,
    max_loss_cpu_s: float | None,
) -> list[Candidate]:
    """Search with `wanted` = (tasks to make room for on each machine, tasks in all)."""
    per_machine, count = wanted
    spec = job.spec
    patience = policy.patience(job)
    out: list[Candidate] = []
    zone_counts = tasks_by_zone(job)
    for machine in machines:
        if not machine.accepts_tasks or not machine_suits(job, machine):
            continue
        needs_fetch = not job.array and spec.image not in machine.images
        if needs_fetch and max_loss_cpu_s is not None:
            continue
        if spec.one_zone and zone_counts and machine.record.zone not in zone_counts:
            continue
        if zone_counts.get(machine.record.zone, 0) >= tasks_per_zone_limit(spec):
            continue
        room = unpromised_room(machine, promised)
        victims: list[Placement] = []
        for placement in machine.tasks.values():
            if not placement.takes_room or placement.job is None:
                continue
            if placement.stop_grace_s is not None:
                room = _add_task_room(room, placement)
            elif max_loss_cpu_s is not None and not placement.job.array:
                # Stopping one task of a gang stops all of it, and saving takes time.
                continue
            elif may_preempt(job, placement.job) and policy.worth(
                patience, placement.job, placement
            ):
                victims.append(placement)
        victims.sort(
            key=lambda placement: (
                placement.job.priority if placement.job else 0,
                -placement.started_at,
            )
        )
        chosen: list[Placement] = []
        while tasks_fitting(spec, room) < per_machine and victims:
            chosen.append(victims.pop(0))
            room = _add_task_room(room, chosen[-1])
        fitting = tasks_fitting(spec, room)
        if fitting < 1:
            continue
        for placement in reversed(chosen[:]):
            # Spare victims whose room is not needed, as they hold a resource that is not scarce.
            without = _add_task_room(room, placement, -1)
            if tasks_fitting(spec, without) >= min(fitting, count):
                room = without
                chosen.remove(placement)
        # A gang's tasks share the room that comes free, so fewer machines fetch its image.
        tasks = min(fitting, count) if job.gang else 1
        loss = sum(
            (now - placement.started_at) * placement.job.spec.cpus
            for placement in chosen
            if placement.job is not None
        )
        if max_loss_cpu_s is None or loss <= max_loss_cpu_s * tasks:
            out.append(Candidate(needs_fetch, loss, machine, chosen, tasks))
    out.sort(key=lambda c: (c.needs_fetch, c.loss, c.machine.name))
    if spec.one_zone and not zone_counts:
        out = _best_zone(out, count, job.gang)
    return out


def _best_zone(found: list[Candidate], count: int, gang: bool) -> list[Candidate]:
    """Return the candidates of the zone where room for all tasks costs least. If no zone has room
    for all, pick the one with room for most (for a gang: none). With candidates of several zones,
    room was freed again and again for a gang in zones where its tasks could not start together."""
    zones: dict[str, list[Candidate]] = {}
    for candidate in found:
        zones.setdefault(candidate.machine.record.zone, []).append(candidate)
    best: list[Candidate] = []
    best_cost: tuple[float, ...] | None = None
    for zone in sorted(zones):
        left, fetch_count, loss = count, 0, 0.0
        for candidate in zones[zone]:
            if left <= 0:
                break
            left -= candidate.tasks
            fetch_count += candidate.needs_fetch
            loss += candidate.loss
        zone_cost = max(0, left), fetch_count, loss
        if (not gang or left <= 0) and (best_cost is None or zone_cost < best_cost):
            best, best_cost = zones[zone], zone_cost
    return best


def _add_task_room(
    room: tuple[float, float, float], placement: Placement, sign: int = 1
) -> tuple[float, float, float]:
    """Return room plus the resources of a task (with `sign` -1: minus)."""
    assert placement.job is not None
    more = task_resources(placement.job)
    return room[0] + sign * more[0], room[1] + sign * more[1], room[2] + sign * more[2]
