"""Machines on which room for a job can be made, and by stopping whom."""

from __future__ import annotations

from typing import NamedTuple

from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.placement import (
    RoomByMachine,
    machine_suits,
    tasks_by_zone,
    tasks_fitting,
    unpromised_room,
)
from sagecove.coordination.preemption_policy import PreemptionPolicy, may_stop, need


class Candidate(NamedTuple):
    """A machine where room can be made."""

    # An image is to be fetched.
    fetch: bool
    # CPU seconds of work that is stopped.
    loss: float
    machine: Machine
    victims: list[Placement]
    # Tasks of the job that will fit.
    tasks: int


def find_candidates(
    now: float,
    job: JobRun,
    count: int,
    machines: list[Machine],
    promised: RoomByMachine,
    stopping: PreemptionPolicy,
    most_loss: float | None = None,
) -> list[Candidate]:
    """Where room for up to `count` tasks of a job can be made, best first. With `most_loss`: only
    beside its image, and losing no more than so many CPU seconds for a task."""
    out = _find(now, job, (1, count), machines, promised, stopping, most_loss)
    if job.gang and sum(c.tasks for c in out) < count:
        # Not a task a machine, then: as many as each can be made to take.
        out = _find(now, job, (count, count), machines, promised, stopping, most_loss)
    return out


def _find(
    now: float,
    job: JobRun,
    wanted: tuple[int, int],
    machines: list[Machine],
    promised: RoomByMachine,
    stopping: PreemptionPolicy,
    most_loss: float | None,
) -> list[Candidate]:
    """`wanted`: tasks to make room for on each machine, and in all."""
    each, count = wanted
    spec = job.spec
    patience = stopping.patience(job)
    out: list[Candidate] = []
    counts = tasks_by_zone(job)
    for machine in machines:
        if not machine.accepts_tasks or not machine_suits(job, machine):
            continue
        fetch = not job.array and spec.image not in machine.images
        if fetch and most_loss is not None:
            continue
        if spec.one_zone and counts and machine.record.zone not in counts:
            continue
        if spec.spread and counts.get(machine.record.zone, 0) >= (spec.tasks + 1) // 2:
            continue
        room = unpromised_room(machine, promised)
        victims: list[Placement] = []
        for p in machine.tasks.values():
            if not p.takes_room or p.job is None:
                continue
            if p.stop_grace_s is not None:
                room = _with(room, p)
            elif most_loss is not None and not p.job.array:
                # With one task a whole gang stops, and takes its time to save.
                continue
            elif may_stop(job, p.job) and stopping.worth(patience, p.job, p):
                victims.append(p)
        victims.sort(key=lambda p: (p.job.priority if p.job else 0, -p.started_at))
        chosen: list[Placement] = []
        while tasks_fitting(spec, room) < each and victims:
            chosen.append(victims.pop(0))
            room = _with(room, chosen[-1])
        fit = tasks_fitting(spec, room)
        if fit < 1:
            continue
        for p in reversed(chosen[:]):
            # Who is stopped in vain may stay: one that holds what is not short.
            without = _with(room, p, -1)
            if tasks_fitting(spec, without) >= min(fit, count):
                room = without
                chosen.remove(p)
        # A gang's tasks may as well share what came free: fewer machines fetch its image.
        tasks = min(fit, count) if job.gang else 1
        loss = sum((now - p.started_at) * p.job.spec.cpus for p in chosen if p.job is not None)
        if most_loss is None or loss <= most_loss * tasks:
            out.append(Candidate(fetch, loss, machine, chosen, tasks))
    out.sort(key=lambda c: (c.fetch, c.loss, c.machine.name))
    if spec.one_zone and not counts:
        out = _one_zone(out, count, job.gang)
    return out


def _one_zone(found: list[Candidate], count: int, whole: bool) -> list[Candidate]:
    """Those in the zone where room for all tasks costs least; if there is none, in the one where it
    can be made for most (of a gang: nowhere). With several zones, room was made for a gang's tasks
    in all of them, where they could not start together, and again and again."""
    zones: dict[str, list[Candidate]] = {}
    for one in found:
        zones.setdefault(one.machine.record.zone, []).append(one)
    best: list[Candidate] = []
    cost: tuple[float, ...] | None = None
    for zone in sorted(zones):
        left, fetches, loss = count, 0, 0.0
        for one in zones[zone]:
            if left <= 0:
                break
            left -= one.tasks
            fetches += one.fetch
            loss += one.loss
        mine = max(0, left), fetches, loss
        if (not whole or left <= 0) and (cost is None or mine < cost):
            best, cost = zones[zone], mine
    return best


def _with(
    room: tuple[float, float, float], p: Placement, sign: int = 1
) -> tuple[float, float, float]:
    """Room with what a task holds (or, with -1, without it)."""
    assert p.job is not None
    more = need(p.job)
    return room[0] + sign * more[0], room[1] + sign * more[1], room[2] + sign * more[2]
