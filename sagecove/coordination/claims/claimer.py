"""Competing for claims on jobs, or on ranges of their tasks."""

from __future__ import annotations

from collections import Counter
from zlib import crc32

from sagecove.coordination.backlog import Backlog
from sagecove.coordination.claims.pass_state import PassState
from sagecove.coordination.claims.preemptor import Preemptor
from sagecove.coordination.estimates import TO_BEGIN, Estimates
from sagecove.coordination.images import Images
from sagecove.coordination.interfaces import MirrorSync, OwnerContext, ShardQueries
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.limits.team_limits import TeamLimits
from sagecove.coordination.model import JobRun, Machine, Shard, fixed_precedence, to_millionths
from sagecove.coordination.placement import (
    RoomByMachine,
    add_promised,
    machine_suits,
    plan_placements,
    room_for,
    tasks_fitting,
    unpromised_room,
)
from sagecove.protocol import state as wire
from sagecove.storage import taskset
from sagecove.storage.records import HOLDER, JOB, tasks_most
from sagecove.storage.store import Outcome, Result

# The paper's batchSize bounds what one poll claims; here: claims under way at one time.
BATCH = 4
# Controllers that were beaten to a record come back one after the other, so many in a poll.
TURNS = 12
# Arrays of fewer tasks fit any value, however their tasks complete.
LARGE = 1000
# Tasks of an array for which a share of its team's limit is asked at one time.
ASK_MOST = 200


class Claimer:
    """Claims what fits, or could be made to."""

    def __init__(
        self,
        desk: OwnerContext,
        ground: PassState,
        making: Preemptor,
        ledger: Ledger,
        limits: TeamLimits,
        backlog: Backlog,
        learning: Estimates,
        shards: ShardQueries,
        sync: MirrorSync,
        images: Images,
    ) -> None:
        self.desk = desk
        self.images = images
        self.ledger = ledger
        self.limits = limits
        self.backlog = backlog
        self.learning = learning
        self.shards = shards
        self.sync = sync
        self.ground = ground
        self.making = making
        # DESIGN's fetchAhead, 4 s beside a poll of 1.5 s: short tasks are claimed before there is
        # room for them, or an array of thousands would need a write for each handful.
        self.ahead_s = ground.poll_s * 8 / 3
        self.open_claims = 0
        # Share of claims that came second lately.
        self.beaten = 0.0
        # Jobs of the pass that wait to be claimed, by standing.
        self.crowd: dict[tuple[bool, bool, int], int] = {}

    def ahead(self, job: JobRun) -> int:
        """How many tasks of an array will find room soon, as those that run here come to an end.
        Estimates may be far too low: what has run for longer than that does not count."""
        if not job.array or job.judged_faulty or not job.placed:
            return 0
        run = job.spec.estimate_s * self.learning.class_run.get(job.spec.klass, 1.0)
        share = min(1.0, self.ahead_s / max(run, self.ground.poll_s))
        if len(job.placed) * share < 1:
            return 0
        begun = self.desk.now - 2 * run - self.ahead_s
        # They stand in the order of their starts, and few have run for so long.
        old = 0
        for placement in job.placed.values():
            if placement.started_at >= begun:
                break
            old += 1
        ahead = int(share * (len(job.placed) - old))
        if ahead <= 0 or not job.within_guarantee:
            return ahead
        borrowed = self.limits.claim_totals.borrowed_by_others(job.spec.team)
        spec = job.spec
        # Tasks that could have what is borrowed: by the resource they are short of.
        needs = zip(borrowed, (spec.cpus, spec.gpus), strict=True)
        if most := max((int(amount / each) for amount, each in needs if each > 0), default=0):
            # Tasks that were started together end together. Claimed ahead by what ends on average,
            # the last of a guarantee waited here for a whole run while others held what was owed:
            # for as many as could have that, only what ends in time counts.
            ending = self.desk.now + self.ahead_s - run
            surely = sum(begun <= p.started_at <= ending for p in job.placed.values())
            ahead = max(surely, ahead - most)
        return ahead

    def count_fitting(
        self, job: JobRun, shard: str, machines: list[Machine], promised: RoomByMachine
    ) -> int:
        """How many unclaimed tasks fit this shard's free room; they are added to `promised`."""
        bits = job.unclaimed
        wanted = self.limits.claimable(shard, job.spec, bits.bit_count())
        wanted = self.making.limited(job, wanted)
        if job.claimed_whole and wanted < bits.bit_count():
            return 0
        if not wanted:
            return 0
        indexes = list(taskset.members(taskset.lowest(bits, min(wanted, 1000))))
        if self.ground.array_candidates is not None and job.array:
            machines = self.ground.array_candidates
        count = len(
            plan_placements(
                job, indexes, machines, self.desk.random, promised, False, self.ground.withheld
            )
        )
        if count < len(indexes) and not job.gang:
            self.ground.no_room.add(job)
        return count

    def compete(
        self,
        now: float,
        shard: Shard,
        machines: list[Machine],
        job: JobRun,
        promised: RoomByMachine,
    ) -> None:
        if job.claiming is not None and job.claiming[0] == shard.name:
            indexes = list(taskset.members(taskset.lowest(job.claiming[1], 1000)))
            plan_placements(job, indexes, machines, self.desk.random, promised)
            return
        if self.open_claims >= BATCH and job.durable_state is None:
            return
        if job.cancelled_elsewhere or job.committing or now < max(job.claim_after, job.hold_until):
            return
        bits = job.unclaimed
        if not bits or (job.claimed_whole and bits != job.all_tasks & ~job.finished):
            return
        if job.array and self._leave_to_others(job):
            return
        wanted = bits.bit_count()
        count = 0
        if leave := self.images.count_left_to_peers(job, machines, promised, wanted):
            if leave == wanted:
                return
            wanted -= leave
            bits = taskset.lowest(bits, wanted)
        if not self.ground.no_room.known(job):
            count = self.count_fitting(job, shard.name, machines, promised)
        if job.array and job.array_rank[:2] == (-1, TO_BEGIN):
            count = wanted = min(count, 1)
        planned = count
        # Of a small array the others should find something, too.
        ahead = min(self.ahead(job), wanted // len(self.desk.settings.nodes))
        ahead -= job.placeable(shard.name).bit_count()
        if ahead > 0 and not job.claimed_whole:
            count = self.making.limited(
                job, self.limits.claimable(shard.name, job.spec, min(wanted, count + ahead))
            )
        if (
            job.claimed_whole
            and count < wanted
            and not job.gang
            and now - job.first_seen_at > self.ground.poll_s
        ):
            # A service that must be decided in one place starts with what there is.
            count = wanted if count else 0
        if job.judged_faulty:
            # One task is enough to see; and nothing is stopped for it.
            count = min(count, wanted if job.claimed_whole else 1)
        elif (
            self.ground.making
            and count < wanted
            and now - job.first_seen_at > self.ground.poll_s / 3
        ):
            able = self.making.limited(job, self.limits.claimable(shard.name, job.spec, wanted))
            if able > count:
                able = min(able, count + self._part(now, job, shard.name))
                count += self.making.count_fitting_by_preemption(job, able - count, promised)
        if not count or (job.claimed_whole and count < wanted):
            # Asked for first: what is gathered for the gang itself looks taken. One whose machines
            # were there only after it had begun to gather never asked for its part of the limit.
            self._ask(now, shard.name, job, machines, promised)
            if job.gang:
                self._gather(job, shard, wanted, machines, promised)
            return
        if count < wanted:
            self._ask(now, shard.name, job, machines, promised, min(count, planned))
        if (count := self.limit_to_record_size(job, count)) > 0:
            self.claim(job, shard, taskset.lowest(bits, count))

    def limit_to_record_size(self, job: JobRun, count: int) -> int:
        """How many of `count` more tasks the job's record has room for, whatever completes first.
        At 8 KiB a value the record of a huge array outgrew it, and none of its results could be
        written any more."""
        if not job.array or job.durable_state is not None or job.spec.tasks < LARGE:
            return count
        held = job.all_tasks & ~job.finished & ~job.unclaimed
        settings = self.desk.settings
        most = tasks_most(
            job.record, job.finished, held, len(settings.nodes), settings.params.state.value_kb
        )
        return min(count, most - held.bit_count())

    def _part(self, now: float, job: JobRun, shard: str) -> int:
        """For how many more tasks of a job this shard is to make room: those that borrow give back
        in proportion, wherever they run, so each controller has a part that all others find too.
        What is lacking after two polls is made wherever it can be."""
        wanted = job.unfinished.bit_count()
        if (
            not job.within_guarantee
            or not job.array
            or now - job.first_seen_at > 2 * self.ground.poll_s
        ):
            return wanted
        lack = wanted * to_millionths(job.spec.cpus), wanted * to_millionths(job.spec.gpus)
        part = self.limits.claim_totals.reclaim_from_shard(shard, job.spec.team, lack)
        each = to_millionths(job.spec.cpus), to_millionths(job.spec.gpus)
        tasks = max((-(-part[n] // each[n]) for n in (0, 1) if each[n]), default=wanted)
        return max(0, tasks - job.claimed(shard).bit_count())

    def _ask(
        self,
        now: float,
        shard: str,
        job: JobRun,
        machines: list[Machine],
        promised: RoomByMachine,
        planned: int = 0,
    ) -> None:
        """Ask for more of the team's limit, if that is what keeps tasks from room there is here, or
        that could be made."""
        wanted = job.unclaimed.bit_count()
        able = self.limits.claimable(shard, job.spec, wanted)
        if able >= wanted or job.judged_faulty or not self.ground.making:
            return
        if not self.making.limited(job, 1):
            # It may not have what it would be given.
            return
        # No more than nobody uses: wanting what there is not takes the room from other teams.
        most = self.limits.claimable_anywhere(
            job.spec, wanted if job.claimed_whole else min(wanted, ASK_MOST)
        )
        if most <= able or (job.claimed_whole and most < wanted):
            return
        found = planned + room_for(job, machines, promised, self.ground.asked, most - planned)
        if found < most:
            found += self.making.count_fitting_by_preemption(job, most - found, promised)
        if found > able and (found >= wanted or not job.claimed_whole):
            self.limits.request_share(now, shard, job, found)

    def note_crowd(self, jobs: list[JobRun]) -> None:
        """Jobs of a pass: how many wait to be claimed, by their standing."""
        self.crowd.clear()
        for job in jobs:
            if job.unclaimed:
                key = fixed_precedence(job)
                self.crowd[key] = self.crowd.get(key, 0) + 1

    def _leave_to_others(self, job: JobRun) -> bool:
        """Of a long backlog all controllers would reach for the same few jobs, the first
        in the order, and with five of them four were always beaten: 8 jobs a second claimed by
        all together, with a thousand machines idle. Who is beaten looks further down, by chance,
        the more the more often; who is not keeps to the order. Not where there is nothing further
        down that comes as soon: one job that fills a guarantee was claimed bit by bit."""
        if self.crowd.get(fixed_precedence(job), 0) <= 1:
            return False
        nodes = len(self.desk.settings.nodes)
        return self.desk.random.random() < self.beaten * (1 - 1 / nodes)

    def _gather(
        self,
        job: JobRun,
        shard: Shard,
        count: int,
        machines: list[Machine],
        promised: RoomByMachine,
    ) -> None:
        """A gang does not fit yet. Smaller ones may go ahead of it for as long as its own machines
        take to boot; from then on what is free where it is served, in one zone if need be, waits
        for it, or it might never find its number: of gangs whose tasks share machines a large one
        was passed by for good."""
        if not self.making.long_waiting(self.desk.now, job) or not self.making.allowed(job):
            return
        spec = job.spec
        here = [
            m
            for m in self.desk.machines_by_shard.get(shard.name, {}).values()
            if m.machine_type is not None and not m.record.leaving and machine_suits(job, m)
        ]
        home = self.shards.home_shard(job)
        if spec.one_zone:
            # The zone with most of such machines, whatever is free at the moment: it stays so.
            zones = Counter(
                m.record.zone for m in self.desk.machines_by_shard.get(home, {}).values()
            )
            zone = max(sorted(zones), key=lambda z: zones[z], default="")
            here = [m for m in here if m.record.zone == zone]
        if home == shard.name:
            names = {m.name for m in here}
            for machine in machines:
                more = min(count, tasks_fitting(spec, unpromised_room(machine, promised)))
                if more > 0 and machine.name in names:
                    add_promised(promised, machine.name, spec, more)
                    count -= more
                if count <= 0:
                    break
            return
        # What its home cannot hold comes from the others, and only empty machines can: each lets
        # its part of them run empty, those with least on them, and hands them over then.
        part = -(
            -self.shards.tasks_beyond_capacity(job, home)
            // max(1, len(self.desk.settings.nodes) - 1)
        )
        here.sort(key=lambda m: (m.used[0], m.name))
        for machine in here:
            if part <= 0:
                break
            kind = machine.machine_type
            assert kind is not None
            part -= tasks_fitting(spec, (kind.cpus, kind.gpus, kind.memory_gb))
            room = unpromised_room(machine, promised)
            held = promised.setdefault(machine.name, [0.0, 0.0, 0.0])
            for n in range(3):
                held[n] += max(0.0, room[n])

    def claim(self, job: JobRun, shard: Shard, bits: int) -> None:
        """Claim tasks for a shard, within its share of the limit."""
        if job.durable_state is not None:
            job.committing = True
            job.claiming = (shard.name, bits)
            self.backlog.reclassify(job)
            self.ledger.update_claims(job)
            job.durable_state.write_claim(job, shard, bits)
            return
        change = self.claim_write(shard, job, bits)
        if change is None:
            job.claim_after = self.desk.now + self.ground.poll_s / 2
            return
        self.open_claims += 1
        job.committing = True
        job.claiming = (shard.name, bits)
        self.backlog.reclassify(job)
        self.ledger.update_claims(job)

        def done(result: Result) -> None:
            job.committing = False
            job.claiming = None
            self.ledger.update_claims(job)
            self.open_claims -= 1
            self.desk.pass_needed = True
            beaten = result.outcome is Outcome.CONFLICT and JOB + job.id in result.failed
            self.beaten += (float(beaten) - self.beaten) / (2 * BATCH)
            if result.outcome is Outcome.DONE:
                return
            self.desk.count("claim_conflicts")
            self.sync.request_sync()
            if beaten and job.array:
                job.claim_after = self.desk.now + self._turn(job) * self.ground.poll_s / TURNS
            else:
                job.claim_after = (
                    self.desk.now + self.desk.random.uniform(0.1, 1.0) * self.ground.poll_s
                )

        conditions = [(JOB + job.id, job.stamp), (HOLDER + shard.name, shard.term)]
        self.desk.commit(conditions, [change], done)

    def _turn(self, job: JobRun) -> float:
        """When to come back to a job's record: those who were beaten to it come one after the
        other, in an order drawn by the job, not all at once again."""
        nodes = sorted(self.desk.settings.nodes, key=lambda n: crc32(f"{job.id} {n}".encode()))
        turn = nodes.index(self.desk.settings.node)
        return turn + self.desk.random.uniform(0.5, 1.0)

    def claim_write(self, shard: Shard, job: JobRun, bits: int) -> wire.Put | None:
        """The write of a claim; None where the shard's share of its team's limit stands against
        it."""
        count = bits.bit_count()
        if self.limits.claimable(shard.name, job.spec, count) < count:
            return None
        claims = dict(job.claims)
        claims[shard.name] = claims.get(shard.name, 0) | bits
        return wire.Put(JOB + job.id, job.with_sets(job.finished, claims))

    def claim_alike(
        self, now: float, shard: Shard, jobs: list[JobRun], promised: RoomByMachine
    ) -> list[JobRun]:
        """Claim as many of the jobs that are alike as fit, and return the others."""
        first = jobs[0]
        wanted = self.limits.claimable(shard.name, first.spec, len(jobs))
        wanted = self.making.limited(first, wanted)
        if not wanted or self.ground.no_room.known(first) or self.ground.array_candidates is None:
            return jobs
        count = len(
            plan_placements(
                first,
                list(range(wanted)),
                self.ground.array_candidates,
                self.desk.random,
                promised,
                False,
                self.ground.withheld,
            )
        )
        for job in jobs[:count]:
            self.claim(job, shard, 1)
        return jobs[count:]
