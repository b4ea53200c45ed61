"""What is learned of classes and machine types, and the order that follows from it."""

from __future__ import annotations

from collections import deque

from sagecove.coordination.interfaces import EstimatesContext
from sagecove.coordination.model import JobRun, Machine, Placement
from sagecove.coordination.placement import (
    fills_most_of_machine,
    type_allowed,
)
from sagecove.protocol.cloud import MachineType

# The operators' rule: the largest jobs of a class, too, begin within four minutes. Of arrays that
# have not by half of that, or of the time in which their class is expected to be through, the first
# task goes before the smaller arrays that are in time.
BEGIN_S = 240.0
TO_BEGIN = 1


class Estimates:
    """Learned figures."""

    def __init__(self, owner: EstimatesContext) -> None:
        self.owner = owner
        self.large_job_arrivals: dict[str, deque[float]] = {}
        # When services came.
        self.services: deque[float] = deque(maxlen=8)
        self.class_dues: dict[str, list[tuple[bool, float]]] = {}
        self.class_run: dict[str, float] = {}
        # Seconds that machines of a type took lately from their rental to their first report.
        self.boots: dict[str, deque[float]] = {}

    def note_arrival_time(self, job: JobRun) -> None:
        """Remember when jobs came whose task takes most of a machine."""
        if job.array:
            return
        if job.service:
            self.services.append(self.owner.now)
        fitting = [t for t in self.owner.machine_types.values() if type_allowed(job.spec, t)]
        if not fitting:
            return
        kind = min(fitting, key=lambda t: t.price)
        if fills_most_of_machine(job.spec, kind):
            self.large_job_arrivals.setdefault(kind.name, deque(maxlen=8)).append(self.owner.now)

    def service_expected(self, patience: float) -> bool:
        """Services come often enough for one to be on its way: the last is not longer ago than a
        few gaps between them, or than some patience (seconds)."""
        if not self.services:
            return False
        gap = (self.owner.now - self.services[0]) / len(self.services)
        return self.owner.now - self.services[-1] < min(2.5 * gap, patience)

    def note_run_time(self, placement: Placement) -> None:
        """A task completed: owners' estimates are wrong, so learn by how much, per class."""
        job = placement.job
        if job is None or job.spec.estimate_s <= 0 or not placement.running_at:
            return
        ratio = max(0.1, min(10.0, (self.owner.now - placement.running_at) / job.spec.estimate_s))
        old = self.class_run.get(job.spec.klass, 1.0)
        self.class_run[job.spec.klass] = old + 0.05 * (ratio - old)

    def note_boot_time(self, machine: Machine) -> None:
        """A machine has reported for the first time: learn how long that takes."""
        took = self.owner.wall() - machine.record.at
        shard = self.owner.held_shards.get(machine.record.shard)
        if shard is None or self.owner.now - took < shard.held_since:
            # Rented before this holder's time: it may have reported to another.
            return
        self.boots.setdefault(machine.record.type, deque(maxlen=16)).append(took)

    def boot_timeout_s(self, kind: MachineType) -> float:
        """A machine that takes longer than this never comes up: twice the slowest seen lately.
        Before enough have been seen, several times the nominal time, as PROTOCOL has it."""
        most = 5 * kind.boot_s + 30.0
        seen = self.boots.get(kind.name, ())
        if len(seen) >= 8:
            most = min(most, max(2.5 * kind.boot_s, 2 * max(seen)))
        return most

    def expected_run_s(self, job: JobRun) -> float:
        """Expected run time of a task, its image included."""
        kind = next(iter(self.owner.machine_types.values()), None)
        fetch = job.spec.image_gb / kind.fetch_gb_per_s if kind and kind.fetch_gb_per_s else 0.0
        return job.spec.estimate_s * self.class_run.get(job.spec.klass, 1.0) + 0.5 * fetch

    def target_ages_s(self, job: JobRun) -> list[float]:
        """The ages by which a job's class is expected to be through, from the settings."""
        known = self.class_dues.get(job.spec.klass)
        if known is None:
            known = []
            for aim in self.owner.settings.params.objectives:
                if aim.klass == job.spec.klass:
                    if aim.kind == "deadline":
                        known.append((True, aim.times or 1.0))
                    elif aim.kind in ("finished", "wait") and aim.within_s:
                        known.append((False, aim.within_s))
            self.class_dues[job.spec.klass] = known
        deadline = job.spec.deadline_s
        if deadline is not None and not any(relative for relative, _ in known):
            known = [*known, (True, 1.0)]
        return sorted(
            value * (deadline or 300.0) if relative else value for relative, value in known
        ) or [300.0]

    def update_rank(self, job: JobRun) -> None:
        """Order among arrays of equal standing. When there is more work than machines, serving in
        order of age makes everybody late; so what can still be in time goes first, the least work
        first, and what cannot goes after it. Beyond guarantees teams come first that borrow less
        for the size of theirs. Not for ever: what is twice overdue goes before both, or a large
        job waited without end behind a stream of smaller ones."""
        age = self.owner.wall() - job.submitted_at
        run = self.expected_run_s(job)
        dues = self.target_ages_s(job)
        if age > 2 * dues[-1]:
            job.array_rank = (-1, 0, job.submitted_at)
            return
        if age > min(BEGIN_S, dues[-1]) / 2 and self._not_begun(job):
            # With one task: see `Competing`.
            job.array_rank = (-1, TO_BEGIN, job.submitted_at)
            return
        feasible = any(age + run <= due for due in dues)
        work = job.unfinished.bit_count() * run * max(job.spec.cpus, 0.1)
        level = (
            0 if job.within_guarantee else self.owner.claim_totals.borrowing_level(job.spec.team)
        )
        job.array_rank = (0, level, work) if feasible else (1, level, job.submitted_at)

    def _not_begun(self, job: JobRun) -> bool:
        """Nothing of an array has started, as far as is known here."""
        return (
            not (job.finished or job.finished_unrecorded or job.placed)
            and job.claims.keys() <= self.owner.held_shards.keys()
        )

    def update_avoided_types(self, job: JobRun) -> None:
        """Where a service may go: not on machines with GPUs if others suit it, since it would keep
        them from the jobs that need them, for good, or keep a dear machine from its return. If it
        lacks room for a moment, those that no gang asks for will do; if it does for long, any."""
        if not job.unclaimed and not any(job.placeable(shard) for shard in self.owner.held_shards):
            job.lacks_room_since = None
        elif job.lacks_room_since is None:
            job.lacks_room_since = self.owner.now
        job.avoided_types = frozenset()
        spec = job.spec
        waited = self.owner.now - job.lacks_room_since if job.lacks_room_since is not None else 0.0
        if spec.gpus > 0 or waited > 10.0:
            return
        fitting = [t for t in self.owner.machine_types.values() if type_allowed(spec, t)]
        gpus = {t.name for t in fitting if t.gpus > 0}
        if len(gpus) < len(fitting):
            if waited > self.owner.settings.poll_s / 2:
                gpus &= self.large_job_arrivals.keys()
            job.avoided_types = frozenset(gpus)

    def finish_within_s(self, job: JobRun) -> float:
        """How long a job may take from its submission, by its deadline or its class's aims."""
        if job.spec.deadline_s is not None:
            return job.spec.deadline_s
        found = [
            o.within_s
            for o in self.owner.settings.params.objectives
            if o.klass == job.spec.klass and o.kind == "finished" and o.within_s
        ]
        return min(found) if found else 300.0
