"""Tracks which machines have a container image cached, here and at peers, so that few are fetched.

No report tells what a machine has cached; it is inferred from the tasks seen running there. Only
the choice of a machine depends on it, and briefly which controller claims a job.
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
from sagecove.protocol.peers import ImageRoom
from sagecove.protocol.users import Job

# Age at which a peer's free room is out of date: hints come once a second.
PEER_ROOM_FRESH_S = 2.5
# Polls for which a new job is left to controllers that have its image.
LEFT_TO_PEERS_POLL_COUNT = 2.0


def record_image_use(machine: Machine, spec: Job) -> None:
    """Record that a machine has an image cached, as a task uses it there.

    The machine keeps the images that were used last, up to the size of its cache, and those that
    its tasks use.
    """
    machine.images.pop(spec.image, None)
    machine.images[spec.image] = spec.image_gb
    cache_gb = machine.machine_type.cache_gb if machine.machine_type is not None else 0.0
    cached_gb = sum(machine.images.values())
    if cached_gb <= cache_gb:
        return
    in_use = {
        p.job.spec.image for p in machine.tasks.values() if p.takes_room and p.job is not None
    }
    for image in [i for i in machine.images if i not in in_use and i != spec.image]:
        if cached_gb <= cache_gb:
            break
        cached_gb -= machine.images.pop(image)


class Images:
    """Tracks free room on machines with an image cached, on own shards and at peers."""

    def __init__(self, context: OwnerContext, ledger: Ledger) -> None:
        self.context = context
        self.ledger = ledger
        self.poll_s = context.settings.poll_interval_s
        # By peer: its free room by image as last received, and when that was.
        self.peer_rooms: dict[str, tuple[list[ImageRoom], float]] = {}

    def fetch_s(self, spec: Job) -> float:
        """Return how long a machine takes to fetch a job's image if it fetches nothing else."""
        rates = [
            t.fetch_gb_per_s
            for t in self.context.machine_types.values()
            if t.fetch_gb_per_s > 0 and type_allowed(spec, t)
        ]
        return spec.image_gb / max(rates) if rates else 0.0

    def free_room_by_image(self) -> list[ImageRoom]:
        """Free room on shards held here by image, zone and spot or on-demand, for peers.

        Images that are fetched within a poll are left out.
        """
        found: dict[tuple[str, str, bool], list[float]] = {}
        for shard in self.context.held_shards:
            for machine in self.ledger.machines_with_room(shard):
                machine_type, record = machine.machine_type, machine.record
                if machine_type is None:
                    continue
                cpus, gpus, _ = machine.free_room()
                min_image_gb = self.poll_s * machine_type.fetch_gb_per_s
                for image, image_gb in machine.images.items():
                    if image_gb >= min_image_gb:
                        room = found.setdefault((image, record.zone, record.spot), [0.0, 0.0])
                        room[0] += cpus
                        room[1] += gpus
        return [ImageRoom(*key, round(cpus, 3), gpus) for key, (cpus, gpus) in found.items()]

    def update_peer(self, now: float, node: str, warm: list[ImageRoom]) -> None:
        """Replace what is known of a peer's free room by image."""
        self.peer_rooms[node] = warm, now

    def peer_has_room(self, job: JobRun, count: int) -> bool:
        """Return whether a peer has room for `count` tasks of a job on machines with its image.

        If the job is restricted to one zone, so is the room.
        """
        spec = job.spec
        for rooms, received_at in self.peer_rooms.values():
            if self.context.now - received_at > PEER_ROOM_FRESH_S:
                continue
            zones: dict[str, list[float]] = {}
            for warm in rooms:
                if (
                    warm.image != spec.image
                    or (warm.spot and not spec.spot)
                    or spec.zone not in (None, warm.zone)
                ):
                    continue
                room = zones.setdefault(warm.zone if spec.one_zone else "", [0.0, 0.0])
                room[0] += warm.cpus
                room[1] += warm.gpus
            for cpus, gpus in zones.values():
                if (
                    cpus + ROOM_EPSILON >= count * spec.cpus
                    and gpus + ROOM_EPSILON >= count * spec.gpus
                ):
                    return True
        return False

    def tasks_fitting_beside_image(
        self, job: JobRun, machines: Iterable[Machine], promised: RoomByMachine
    ) -> int:
        """Count the tasks of a job that fit on those of the machines that have its image.

        If the job is restricted to one zone, the zone with the most counts.
        """
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
        """Count the tasks, of `count` of a new job, that are left to other controllers for a while.

        These are the tasks whose image would have to be fetched here while a peer has room on
        machines that have it. A fetch takes many times what the job loses if no peer claims it: a
        gang's image of 9 GB and more takes over 20 s, and without this rule the gang was claimed by
        whichever controller its user happened to ask. Arrays are never left: they are claimed task
        by task wherever room comes free, and the room in a hint is gone by the time it arrives; ten
        teams that claimed their guarantees at once waited for each other.
        """
        if (
            job.array
            or self.context.now - job.first_seen_at >= LEFT_TO_PEERS_POLL_COUNT * self.poll_s
            or len(self.context.settings.nodes) < 2
            or self.fetch_s(job.spec) < self.poll_s
        ):
            return 0
        missing = count - self.tasks_fitting_beside_image(job, machines, promised)
        if missing <= 0 or not self.peer_has_room(job, count if job.claimed_whole else 1):
            return 0
        return count if job.claimed_whole else missing
