"""Which machines have an image, are fetching it, or would have to: here and with the others.

What a machine has cached is told by no report; it is inferred from the tasks seen running there.
Nothing but the choice of a machine, and for a moment that of a controller, depends on it.
"""

from __future__ import annotations

from collections.abc import Iterable

from sagecove.coordination.interfaces import OwnerContext
from sagecove.coordination.ledger import Ledger
from sagecove.coordination.model import ROOM_EPSILON, JobRun, Machine
from sagecove.coordination.placement import (
    RoomByMachine,
    machine_suits,
    tasks_fitting,
    type_allowed,
    unpromised_room,
)
from sagecove.protocol.peers import Warm
from sagecove.protocol.users import Job

# What a peer has told is of no use after so many seconds: hints come once a second.
FRESH_S = 2.5
# Polls for which a job is left to controllers that have its image.
LEFT_POLLS = 2.0


def used(machine: Machine, spec: Job) -> None:
    """A task with this image has it now: the machine keeps what was used last, as far as its cache
    goes, and what its tasks use."""
    machine.images.pop(spec.image, None)
    machine.images[spec.image] = spec.image_gb
    most = machine.machine_type.cache_gb if machine.machine_type is not None else 0.0
    held = sum(machine.images.values())
    if held <= most:
        return
    busy = {p.job.spec.image for p in machine.tasks.values() if p.takes_room and p.job is not None}
    for image in [i for i in machine.images if i not in busy and i != spec.image]:
        if held <= most:
            break
        held -= machine.images.pop(image)


class Images:
    """Room beside images: on machines of shards held here, and as others tell."""

    def __init__(self, desk: OwnerContext, ledger: Ledger) -> None:
        self.desk = desk
        self.ledger = ledger
        self.poll_s = desk.settings.poll_s
        # By peer: what it told last, and when.
        self.told: dict[str, tuple[list[Warm], float]] = {}

    def fetch_s(self, spec: Job) -> float:
        """How long a machine takes to fetch a job's image, by itself (seconds)."""
        rates = [
            t.fetch_gb_per_s
            for t in self.desk.machine_types.values()
            if t.fetch_gb_per_s > 0 and type_allowed(spec, t)
        ]
        return spec.image_gb / max(rates) if rates else 0.0

    def free_room_by_image(self) -> list[Warm]:
        """Free room of shards held here by image, zone and kind, to be told to peers. Images that
        are fetched within a poll are left out."""
        found: dict[tuple[str, str, bool], list[float]] = {}
        for shard in self.desk.held_shards:
            for machine in self.ledger.machines_with_room(shard):
                kind, record = machine.machine_type, machine.record
                if kind is None:
                    continue
                cpus, gpus, _ = machine.free_room()
                least = self.poll_s * kind.fetch_gb_per_s
                for image, size in machine.images.items():
                    if size >= least:
                        room = found.setdefault((image, record.zone, record.spot), [0.0, 0.0])
                        room[0] += cpus
                        room[1] += gpus
        return [Warm(*key, round(cpus, 3), gpus) for key, (cpus, gpus) in found.items()]

    def update_peer(self, now: float, node: str, warm: list[Warm]) -> None:
        """All that a peer has free beside images."""
        self.told[node] = warm, now

    def elsewhere(self, job: JobRun, count: int) -> bool:
        """A peer has room for so many tasks of a job beside its image, in one zone if need be."""
        spec = job.spec
        for warm, at in self.told.values():
            if self.desk.now - at > FRESH_S:
                continue
            zones: dict[str, list[float]] = {}
            for one in warm:
                if (
                    one.image != spec.image
                    or (one.spot and not spec.spot)
                    or spec.zone not in (None, one.zone)
                ):
                    continue
                room = zones.setdefault(one.zone if spec.one_zone else "", [0.0, 0.0])
                room[0] += one.cpus
                room[1] += one.gpus
            for cpus, gpus in zones.values():
                if (
                    cpus + ROOM_EPSILON >= count * spec.cpus
                    and gpus + ROOM_EPSILON >= count * spec.gpus
                ):
                    return True
        return False

    def room(self, job: JobRun, machines: Iterable[Machine], promised: RoomByMachine) -> int:
        """How many tasks of a job fit beside its image on machines, in one zone if need be."""
        zones: dict[str, int] = {}
        for machine in machines:
            if (
                job.spec.image in machine.images
                and machine.accepts_tasks
                and machine_suits(job, machine)
            ):
                zone = machine.record.zone if job.spec.one_zone else ""
                count = tasks_fitting(job.spec, unpromised_room(machine, promised))
                zones[zone] = zones.get(zone, 0) + count
        return max(zones.values(), default=0)

    def count_left_to_peers(
        self, job: JobRun, machines: Iterable[Machine], promised: RoomByMachine, count: int
    ) -> int:
        """How many of `count` tasks of a new job this controller should leave to others for a
        moment: those it would have to fetch the image for, if another has room beside it. A fetch
        takes many times what the job loses if nobody takes it: a gang's images of 9 GB and more
        take over 20 s, and it was claimed by whomever its user happened to ask. Not of arrays:
        they are claimed bit by bit wherever something comes free, and room told of is gone by the
        time it is heard; ten teams that claimed their guarantees at once waited for each other."""
        if (
            job.array
            or self.desk.now - job.first_seen_at >= LEFT_POLLS * self.poll_s
            or len(self.desk.settings.nodes) < 2
            or self.fetch_s(job.spec) < self.poll_s
        ):
            return 0
        lacking = count - self.room(job, machines, promised)
        if lacking <= 0 or not self.elsewhere(job, count if job.claimed_whole else 1):
            return 0
        return count if job.claimed_whole else lacking
