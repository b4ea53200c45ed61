"""Counts the room that a machine will have for a gang once others have left it.

Arrays and gangs end; services stay until they are cancelled, so what they take is not waited for
unless it may be preempted.
"""

from __future__ import annotations

from sagecove.coordination.model import JobRun, Machine
from sagecove.coordination.placement import machine_allowed, tasks_fitting
from sagecove.coordination.preemption_policy import may_preempt, task_resources


def tasks_fitting_after_others(job: JobRun, machine: Machine) -> int:
    """Return how many tasks of a job a machine will hold once all that ends, or that the job may
    preempt, is gone; 0 if the job may not use the machine."""
    kind = machine.machine_type
    if kind is None or not machine_allowed(job.spec, machine):
        return 0
    cpus, gpus, memory_gb = kind.cpus, kind.gpus, kind.memory_gb
    for placement in machine.tasks.values():
        other = placement.job
        if other is None or not other.service or not placement.takes_room:
            continue
        if placement.stop_grace_s is not None or may_preempt(job, other):
            continue
        used_cpus, used_gpus, used_memory_gb = task_resources(other)
        cpus -= used_cpus
        gpus -= used_gpus
        memory_gb -= used_memory_gb
    return tasks_fitting(job.spec, (cpus, gpus, memory_gb))
