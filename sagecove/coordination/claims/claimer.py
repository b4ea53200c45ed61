"""Claims jobs, or ranges of their tasks, for the shards that this controller holds."""

from __future__ import annotations

from zlib import crc32

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.claims.gang_reservations import GangReservations
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.claims.preemptor import Preemptor
from sagecove.coordination.estimates import NOT_STARTED_RANK, Estimates
from sagecove.coordination.images import Images
from sagecove.coordination.interfaces import OwnerContext, ShardQueries, SyncRequests
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import JobRun, Machine, Shard, to_millionths
from sagecove.coordination.placement import (
    RoomByMachine,
    count_fitting_tasks,
    plan_placements,
)
from sagecove.coordination.precedence import fixed_precedence
from sagecove.protocol import state as wire
from sagecove.storage import taskset
from sagecove.storage.records import HOLDER_PREFIX, JOB_PREFIX, max_claimable_tasks
from sagecove.storage.store import Outcome, Result

CLAIM_BATCH_COUNT = 4  # open claims at one time (the paper's batchSize: claims of one poll)
RETRY_TURN_COUNT = 12  # controllers that lost the race for a record retry in turn: turns per poll
ALL_TASKS_POLL_COUNT = 2.0  # polls for which arrays with one claimant wait for room for all tasks
REQUEST_TASK_COUNT = 200  # tasks of an array in one request for more of its team's limit


class Claimer:
    """Claims tasks that fit free room, or room that preemption can free."""

    def __init__(
        self,
        context: OwnerContext,
        state: PassState,
        preemptor: Preemptor,
        ledger: Ledger,
        limits: TeamLimits,
        backlog: Backlog,
        estimates: Estimates,
        shards: ShardQueries,
        sync: SyncRequests,
        images: Images,
    ) -> None:
        self.context = context
        self.images = images
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self.estimates = estimates
        self.shards = shards
        self.sync = sync
        self.state = state
        self.preemptor = preemptor
        self.reservations = GangReservations(context, state, preemptor.waits, shards)
        # DESIGN's fetchAhead, 4 s beside a poll of 1.5 s: short tasks are claimed before there is
        # room for them; otherwise an array of thousands needs a write for every few tasks.
        self.claim_ahead_s = state.poll_s * 8 / 3
        self.open_claim_count = 0
        self.lost_share = 0.0  # moving average: share of claims lost to other controllers
        self.unclaimed_jobs: dict[tuple[bool, bool, int], int] = {}  # count by fixed precedence

    def claim_ahead_count(self, job: JobRun) -> int:
        """Count the tasks of an array that will soon find room as its running tasks end here.
        Estimates may be far too low, so tasks that run far longer than estimated don't count."""
        if not job.array or job.judged_faulty or not job.placed:
            return 0
        run_s = job.spec.estimate_s * self.estimates.run_time_ratios.get(job.spec.klass, 1.0)
        share = min(1.0, self.claim_ahead_s / max(run_s, self.state.poll_s))
        if len(job.placed) * share < 1:
            return 0
        oldest_start = self.context.now - 2 * run_s - self.claim_ahead_s
        overdue_count = 0  # placements are in start order, and few have run for so long
        for placement in job.placed.values():
            if placement.started_at >= oldest_start:
                break
            overdue_count += 1
        ahead = int(share * (len(job.placed) - overdue_count))
        if ahead <= 0 or not job.within_guarantee:
            return ahead
        borrowed = self.limits.claim_totals.borrowed_by_others(job.spec.team)
        spec = job.spec
        # Number of tasks that fit what other teams borrow, by the scarcer resource.
        needs = zip(borrowed, (spec.cpus, spec.gpus), strict=True)
        if most := max((int(amount / size) for amount, size in needs if size > 0), default=0):
            # Tasks started together end together. Claimed by the average end rate, the last of a
            # guarantee waited a whole run here while others held their room, so for as many tasks
            # as fit the borrowed room only those that end in time count.
            ending = self.context.now + self.claim_ahead_s - run_s
            ending_count = sum(oldest_start <= p.started_at <= ending for p in job.placed.values())
            ahead = max(ending_count, ahead - most)
        return ahead

    def count_fitting(
        self, job: JobRun, shard: str, machines: list[Machine], promised: RoomByMachine
    ) -> int:
        """Count unclaimed tasks that fit the shard's free room, and add them to `promised`."""
        bits = job.unclaimed
        wanted = self.limits.claimable(shard, job.spec, bits.bit_count())
        wanted = self.preemptor.cap(job, wanted)
        if job.claimed_whole and wanted < bits.bit_count():
            return 0
        if not wanted:
            return 0
        indexes = list(taskset.members(taskset.lowest(bits, min(wanted, 1000))))
        if self.state.array_candidates is not None and job.array:
            machines = self.state.array_candidates
        count = len(
            plan_placements(
                job, indexes, machines, self.context.random, promised, False, self.state.withheld
            )
        )
        if count < len(indexes) and not job.gang:
            self.state.no_room.add(job)
        return count

    def try_claim(
        self,
        now: float,
        shard: Shard,
        machines: list[Machine],
        job: JobRun,
        promised: RoomByMachine,
    ) -> None:
        """Claim as many unclaimed tasks of a job as the shard can run, or ask for more room."""
        if job.claiming is not None and job.claiming[0] == shard.name:
            indexes = list(taskset.members(taskset.lowest(job.claiming[1], 1000)))
            plan_placements(job, indexes, machines, self.context.random, promised)
            return
        if self.open_claim_count >= CLAIM_BATCH_COUNT and job.durable_state is None:
            return
        if job.cancelled_elsewhere or job.committing or now < max(job.claim_after, job.hold_until):
            return
        bits = job.unclaimed
        if not bits or (job.claimed_whole and bits != job.all_tasks & ~job.finished):
            return
        if not job.may_be_claimed_by(shard.name):
            return
        if job.array and self._skip_contended_job(job):
            return
        wanted = bits.bit_count()
        count = 0
        if left_to_peers := self.images.count_left_to_peers(job, machines, promised, wanted):
            if left_to_peers == wanted:
                return
            wanted -= left_to_peers
            bits = taskset.lowest(bits, wanted)
        if not self.state.no_room.covers(job):
            count = self.count_fitting(job, shard.name, machines, promised)
        if job.array and job.array_rank[:2] == (-1, NOT_STARTED_RANK):
            count = wanted = min(count, 1)
        planned_count = count
        # Leave part of a small array to the other controllers.
        waited_s = now - job.first_seen_at
        ahead = min(self.claim_ahead_count(job), wanted // len(self.context.settings.nodes))
        ahead -= job.placeable(shard.name).bit_count()
        if ahead > 0 and not job.claimed_whole:
            count = self.preemptor.cap(
                job, self.limits.claimable(shard.name, job.spec, min(wanted, count + ahead))
            )
        if job.claimed_whole and count < wanted and not job.gang and waited_s > self.state.poll_s:
            count = wanted if count else 0  # a whole service starts with the room there is
        if job.judged_faulty:  # one task is enough to probe it, and nothing is preempted for it
            count = min(count, wanted if job.claimed_whole else 1)
        elif self.state.preemption_due and count < wanted and waited_s > self.state.poll_s / 3:
            allowed = self.preemptor.cap(job, self.limits.claimable(shard.name, job.spec, wanted))
            if allowed > count:
                allowed = min(allowed, count + self._reclaim_part(now, job, shard.name))
                count += self.preemptor.count_fitting_by_preemption(job, allowed - count, promised)
        if not count or (count < wanted and (job.claimed_whole or self._waits_for_all(job))):
            # Before reserving: reserved room looks taken, and a gang whose machines came up only
            # after it had begun to reserve never requested its share of the limit.
            self._request_share(now, shard.name, job, machines, promised)
            if job.gang:
                self.reservations.reserve(job, shard.name, wanted, machines, promised)
            return
        if count < wanted:
            self._request_share(now, shard.name, job, machines, promised, min(count, planned_count))
        if (count := self.limit_to_record_size(job, count)) > 0:
            self.claim(job, shard, taskset.lowest(bits, count))

    def _waits_for_all(self, job: JobRun) -> bool:
        """Return whether an array is left for a moment to a shard with room for all its tasks, as
        only the shard that begins with it can go on."""
        waited_s = self.context.now - job.first_seen_at
        most_s = ALL_TASKS_POLL_COUNT * self.state.poll_s
        return job.one_claimant and not job.claims and waited_s < most_s

    def limit_to_record_size(self, job: JobRun, count: int) -> int:
        """Cap `count` at the tasks whose claims fit the job's record, whatever finishes first.
        Records of huge arrays outgrew a value of 8 KiB, and no result could be written any more."""
        if not job.array or job.durable_state is not None:
            return count
        held = job.all_tasks & ~job.finished & ~job.unclaimed
        settings = self.context.settings
        most = max_claimable_tasks(
            job.record, job.finished, held, len(settings.nodes), settings.params.state.value_kb
        )
        return min(count, most - held.bit_count())

    def _reclaim_part(self, now: float, job: JobRun, shard: str) -> int:
        """Count the tasks that this shard preempts for. Borrowers give back in proportion, so all
        controllers compute the same part for each shard; after two polls any shard may take all."""
        wanted = job.unfinished.bit_count()
        if (
            not job.within_guarantee
            or not job.array
            or now - job.first_seen_at > 2 * self.state.poll_s
        ):
            return wanted
        lack = wanted * to_millionths(job.spec.cpus), wanted * to_millionths(job.spec.gpus)
        part = self.limits.claim_totals.reclaim_from_shard(shard, job.spec.team, lack)
        per_task = to_millionths(job.spec.cpus), to_millionths(job.spec.gpus)
        tasks = max((-(-part[n] // per_task[n]) for n in (0, 1) if per_task[n]), default=wanted)
        return max(0, tasks - job.claimed(shard).bit_count())

    def _request_share(
        self,
        now: float,
        shard: str,
        job: JobRun,
        machines: list[Machine],
        promised: RoomByMachine,
        planned_count: int = 0,
    ) -> None:
        """Request more of the limit if only that keeps tasks from room, free or to be freed."""
        wanted = job.unclaimed.bit_count()
        allowed = self.limits.claimable(shard, job.spec, wanted)
        if allowed >= wanted or job.judged_faulty or not self.state.preemption_due:
            return
        if not self.preemptor.cap(job, 1):
            return  # what its team holds back would keep it from using the share
        # At most what nobody uses: requesting more would take room from other teams.
        most = self.limits.claimable_anywhere(
            job.spec, wanted if job.claimed_whole else min(wanted, REQUEST_TASK_COUNT)
        )
        if most <= allowed or (job.claimed_whole and most < wanted):
            return
        found = planned_count + count_fitting_tasks(
            job, machines, promised, self.state.requested_room, most - planned_count
        )
        if found < most:
            found += self.preemptor.count_fitting_by_preemption(job, most - found, promised)
        if (
            job.service
            and job.claimed_whole
            and found
            and not self.preemptor.waits.machines_may_be_booting(now, job)
        ):
            # No shard has had room for all of it: it starts with the room there is.
            found = wanted
        if found > allowed and (found >= wanted or not job.claimed_whole):
            self.limits.request_share(now, shard, job, found)

    def count_unclaimed_jobs(self, jobs: list[JobRun]) -> None:
        """Count the jobs of a pass that have unclaimed tasks, by fixed precedence."""
        self.unclaimed_jobs.clear()
        for job in jobs:
            if job.unclaimed:
                key = fixed_precedence(job)
                self.unclaimed_jobs[key] = self.unclaimed_jobs.get(key, 0) + 1

    def _skip_contended_job(self, job: JobRun) -> bool:
        """Skip a job at random, the more often the more claims were lost lately: five controllers
        that all tried the first jobs of a long backlog lost four claims of five, and claimed 8 jobs
        a second with 1000 machines idle. Never skip the only job of its precedence: one that fills
        a guarantee was claimed bit by bit."""
        if self.unclaimed_jobs.get(fixed_precedence(job), 0) <= 1:
            return False
        nodes = len(self.context.settings.nodes)
        return self.context.random.random() < self.lost_share * (1 - 1 / nodes)

    def claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Write a claim on tasks for a shard, within its share of the team's limit."""
        if job.durable_state is not None:
            job.committing = True
            job.claiming = (shard.name, bits)
            self.backlog.reclassify(job)
            self.ledger.update_claims(job)
            job.durable_state.write_claim(job, shard, bits)
            return
        change = self.claim_write(shard, job, bits)
        if change is None:
            job.claim_after = self.context.now + self.state.poll_s / 2
            return
        self.open_claim_count += 1
        job.committing = True
        job.claiming = (shard.name, bits)
        self.backlog.reclassify(job)
        self.ledger.update_claims(job)

        def done(result: Result) -> None:
            job.committing = False
            job.claiming = None
            self.ledger.update_claims(job)
            self.open_claim_count -= 1
            self.context.pass_needed = True
            lost_race = result.outcome is Outcome.CONFLICT and JOB_PREFIX + job.id in result.failed
            self.lost_share += (float(lost_race) - self.lost_share) / (2 * CLAIM_BATCH_COUNT)
            if result.outcome is Outcome.DONE:
                return
            self.context.count("claim_conflicts")
            self.sync.request_sync()
            if lost_race and job.array:
                job.claim_after = (
                    self.context.now + self._turn(job) * self.state.poll_s / RETRY_TURN_COUNT
                )
            else:
                job.claim_after = (
                    self.context.now + self.context.random.uniform(0.1, 1.0) * self.state.poll_s
                )

        conditions = [(JOB_PREFIX + job.id, job.stamp), (HOLDER_PREFIX + shard.name, shard.term)]
        self.context.commit(conditions, [change], done)

    def _turn(self, job: JobRun) -> float:
        """Return when to retry a record: losers retry in turn, ordered by job, not all at once."""
        nodes = sorted(self.context.settings.nodes, key=lambda n: crc32(f"{job.id} {n}".encode()))
        turn = nodes.index(self.context.settings.node)
        return turn + self.context.random.uniform(0.5, 1.0)

    def claim_write(self, shard: Shard, job: JobRun, bits: int) -> wire.Put | None:
        """Return the write of a claim; None if the shard's share of the limit is too small."""
        count = bits.bit_count()
        if self.limits.claimable(shard.name, job.spec, count) < count:
            return None
        claims = dict(job.claims)
        claims[shard.name] = claims.get(shard.name, 0) | bits
        return wire.Put(JOB_PREFIX + job.id, job.with_sets(job.finished, claims))

    def claim_similar(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: RoomByMachine
    ) -> list[JobRun]:
        """Claim as many of these similar one-task jobs as fit, and return the others."""
        first = jobs[0]
        wanted = self.limits.claimable(shard.name, first.spec, len(jobs))
        wanted = self.preemptor.cap(first, wanted)
        if not wanted or self.state.no_room.covers(first) or self.state.array_candidates is None:
            return jobs
        count = len(
            plan_placements(
                first,
                list(range(wanted)),
                self.state.array_candidates,
                self.context.random,
                promised,
                False,
                self.state.withheld,
            )
        )
        for job in jobs[:count]:
            self.claim(job, shard, 1)
        return jobs[count:]
