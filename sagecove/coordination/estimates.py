"""Learns run times by class and boot times by machine type, and ranks arrays by them."""

from __future__ import annotations

from collections import deque

from sagecove.coordination.interfaces import EstimatesContext
from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.placement import fills_most_of_machine, type_allowed
from sagecove.protocol.cloud import MachineType

# Operators require that even the largest jobs of a class start within this time. If an array has
# not started by half of it, or half of its class's target time, its first task goes before the
# smaller arrays that are in time.
START_TARGET_S = 240.0
# Second element of `JobRun.array_rank` of such an array.
NOT_STARTED_RANK = 1


class Estimates:
    """Estimates learned from finished tasks, booted machines and arriving jobs."""

    def __init__(self, context: EstimatesContext) -> None:
        self.context = context
        # By machine type: when jobs arrived whose task takes most of such a machine.
        self.large_job_arrivals: dict[str, deque[float]] = {}
        # When services arrived.
        self.service_arrivals: deque[float] = deque(maxlen=8)
        # By class: targets as (relative to the deadline, factor or seconds).
        self.class_targets: dict[str, list[tuple[bool, float]]] = {}
        # By class: actual run time over the estimate of the job's owner.
        self.run_time_ratios: dict[str, float] = {}
        # By machine type: latest times from rental to first report.
        self.boot_times_s: dict[str, deque[float]] = {}

    def note_arrival_time(self, job: JobRun) -> None:
        """Note the arrival of a service, or of a job whose task takes most of a machine."""
        if job.array:
            return
        if job.service:
            self.service_arrivals.append(self.context.now)
        fitting = [t for t in self.context.machine_types.values() if type_allowed(job.spec, t)]
        if not fitting:
            return
        machine_type = min(fitting, key=lambda t: t.price)
        if fills_most_of_machine(job.spec, machine_type):
            self.large_job_arrivals.setdefault(machine_type.name, deque(maxlen=8)).append(
                self.context.now
            )

    def service_expected(self, max_gap_s: float) -> bool:
        """Return whether services arrive often enough to expect one: the last came within a few
        of the gaps between them, and within `max_gap_s`."""
        if not self.service_arrivals:
            return False
        gap_s = (self.context.now - self.service_arrivals[0]) / len(self.service_arrivals)
        return self.context.now - self.service_arrivals[-1] < min(2.5 * gap_s, max_gap_s)

    def note_run_time(self, placement: Placement) -> None:
        """Learn from a completed task how far owners' estimates of its class are off."""
        job = placement.job
        if job is None or job.spec.estimate_s <= 0 or not placement.running_at:
            return
        ratio = max(0.1, min(10.0, (self.context.now - placement.running_at) / job.spec.estimate_s))
        previous = self.run_time_ratios.get(job.spec.klass, 1.0)
        self.run_time_ratios[job.spec.klass] = previous + 0.05 * (ratio - previous)

    def note_boot_time(self, machine: Machine) -> None:
        """Learn the boot time of a machine from its first report."""
        took_s = self.context.wall() - machine.record.at
        shard = self.context.held_shards.get(machine.record.shard)
        if shard is None or self.context.now - took_s < shard.held_since:
            # Rented before this controller held the shard: it may have reported to another.
            return
        self.boot_times_s.setdefault(machine.record.type, deque(maxlen=16)).append(took_s)

    def boot_timeout_s(self, machine_type: MachineType) -> float:
        """Return the time after which a booting machine counts as failed: twice the slowest boot
        seen lately; before enough were seen, several times the nominal time, as in PROTOCOL."""
        timeout_s = 5 * machine_type.boot_s + 30.0
        boot_times = self.boot_times_s.get(machine_type.name, ())
        if len(boot_times) >= 8:
            timeout_s = min(timeout_s, max(2.5 * machine_type.boot_s, 2 * max(boot_times)))
        return timeout_s

    def expected_run_s(self, job: JobRun) -> float:
        """Return the expected run time of a task, including the fetch of its image."""
        machine_type = next(iter(self.context.machine_types.values()), None)
        fetch_s = (
            job.spec.image_gb / machine_type.fetch_gb_per_s
            if machine_type and machine_type.fetch_gb_per_s
            else 0.0
        )
        return job.spec.estimate_s * self.run_time_ratios.get(job.spec.klass, 1.0) + 0.5 * fetch_s

    def target_ages_s(self, job: JobRun) -> list[float]:
        """Return the ages by which a job is expected to be finished, by its class's objectives."""
        targets = self.class_targets.get(job.spec.klass)
        if targets is None:
            targets = []
            for objective in self.context.settings.params.objectives:
                if objective.klass == job.spec.klass:
                    if objective.kind == "deadline":
                        targets.append((True, objective.times or 1.0))
                    elif objective.kind in ("finished", "wait") and objective.within_s:
                        targets.append((False, objective.within_s))
            self.class_targets[job.spec.klass] = targets
        deadline = job.spec.deadline_s
        if deadline is not None and not any(relative for relative, _ in targets):
            targets = [*targets, (True, 1.0)]
        return sorted(
            value * (deadline or 300.0) if relative else value for relative, value in targets
        ) or [300.0]

    def update_rank(self, job: JobRun) -> None:
        """Rank an array among arrays of equal precedence. When there is more work than machines,
        serving by age makes all of them late, so arrays that can still be in time go first, the
        least work first, then the others. Beyond guarantees, teams that borrow less for the size of
        their guarantee go first. An array at twice its last target goes before all of these;
        otherwise a large job waited without end behind a stream of smaller ones."""
        age_s = self.context.wall() - job.submitted_at
        run_s = self.expected_run_s(job)
        targets_s = self.target_ages_s(job)
        if age_s > 2 * targets_s[-1]:
            job.array_rank = (-1, 0, job.submitted_at)
            return
        if age_s > min(START_TARGET_S, targets_s[-1]) / 2 and self._nothing_started(job):
            # `Claimer` claims one task of it.
            job.array_rank = (-1, NOT_STARTED_RANK, job.submitted_at)
            return
        feasible = any(age_s + run_s <= due for due in targets_s)
        work_cpu_s = job.unfinished.bit_count() * run_s * max(job.spec.cpus, 0.1)
        level = (
            0 if job.within_guarantee else self.context.claim_totals.borrowing_level(job.spec.team)
        )
        job.array_rank = (0, level, work_cpu_s) if feasible else (1, level, job.submitted_at)

    def _nothing_started(self, job: JobRun) -> bool:
        """Return whether no task of an array has started, as far as this controller knows."""
        return (
            not (job.finished or job.finished_unrecorded or job.placed)
            and job.claims.keys() <= self.context.held_shards.keys()
        )

    def update_avoided_types(self, job: JobRun) -> None:
        """Set the machine types that a service avoids: those with GPUs if others suit it, since it
        would keep them for good from jobs that need them, or an expensive machine from being
        returned. If it lacks room for a moment, it avoids only types that gangs ask for; if it
        lacks room for long, none."""
        if not job.unclaimed and not any(
            job.placeable(shard) for shard in self.context.held_shards
        ):
            job.lacks_room_since = None
        elif job.lacks_room_since is None:
            job.lacks_room_since = self.context.now
        job.avoided_types = frozenset()
        spec = job.spec
        waited_s = (
            self.context.now - job.lacks_room_since if job.lacks_room_since is not None else 0.0
        )
        if spec.gpus > 0 or waited_s > 10.0:
            return
        fitting = [t for t in self.context.machine_types.values() if type_allowed(spec, t)]
        gpus = {t.name for t in fitting if t.gpus > 0}
        if len(gpus) < len(fitting):
            if waited_s > self.context.settings.poll_interval_s / 2:
                gpus &= self.large_job_arrivals.keys()
            job.avoided_types = frozenset(gpus)

    def finish_within_s(self, job: JobRun) -> float:
        """Return how long a job may take from its submission, by its deadline or objectives."""
        if job.spec.deadline_s is not None:
            return job.spec.deadline_s
        found = [
            objective.within_s
            for objective in self.context.settings.params.objectives
            if objective.klass == job.spec.klass
            and objective.kind == "finished"
            and objective.within_s
        ]
        return min(found) if found else 300.0
