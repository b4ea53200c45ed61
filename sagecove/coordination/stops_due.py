"""Decides which of the tasks that a worker reports have to be stopped.

The answer to a report renews the worker's lease, and the controller may end right after it. So each
such answer carries every stop that is known to be due for what the report shows, even if the report
was sent under an earlier holder's token. Its list of tasks may then lack some, but those that it
shows are there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sagecove.coordination.model import JobRun, Machine
from sagecove.protocol import workers as worker_protocol


def parse_task_name(task: str) -> tuple[str, int]:
    """Split a task's name into job id and task number; the number is -1 if there is none."""
    job, _, number = task.rpartition("/")
    return (job, int(number)) if number.isdecimal() and len(number) < 7 else (task, -1)


def find_claimed_job(jobs: Mapping[str, JobRun], shard: str, task: str) -> JobRun | None:
    """Return the live job of a task that an earlier holder of the shard may have placed."""
    job_id, index = parse_task_name(task)
    job = jobs.get(job_id)
    if job is None or index < 0 or index in job.placed:
        return None
    return job if job.claims.get(shard, 0) >> index & 1 else None


def find_due_stops(
    jobs: Mapping[str, JobRun],
    machine: Machine,
    reported_tasks: Iterable[worker_protocol.TaskReport],
) -> list[worker_protocol.WorkerCommand]:
    """Return the stops that are due for reported tasks; a task that is saving may go on doing so.

    `jobs` are all live jobs by id.
    """
    stops = []
    for reported in reported_tasks:
        if reported.state == worker_protocol.EXITED:
            continue
        grace_s = _due_grace_s(jobs, machine, reported)
        if grace_s is None or (grace_s > 0 and reported.state == worker_protocol.SAVING):
            continue
        stops.append(worker_protocol.halt(reported.task, reported.attempt, grace_s))
    return stops


def _due_grace_s(
    jobs: Mapping[str, JobRun], machine: Machine, reported: worker_protocol.TaskReport
) -> float | None:
    """Return the grace period with which a task has to stop, or None if it may go on."""
    placement = machine.tasks.get(reported.task)
    if placement is not None:
        return placement.stop_grace_s if placement.attempt == reported.attempt else 0.0
    job = find_claimed_job(jobs, machine.record.shard, reported.task)
    return 0.0 if job is None or job.cancelled_elsewhere else None
