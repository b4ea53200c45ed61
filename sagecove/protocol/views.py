"""What operators and users may ask beside PROTOCOL: why a job waits, and who has what."""

import msgspec


class Explanation(msgspec.Struct):
    """Why a job waits, as far as the controller that was asked knows."""

    job: str
    team: str
    kind: str
    priority: str
    tasks: int
    done: int
    running: int
    # Fits its team's guarantee together with the team's earlier jobs.
    within_guarantee: bool
    fails_everywhere: bool
    # Shard to number of its tasks that it holds.
    claims: dict[str, int]
    # In the users' terms, one a line.
    reasons: list[str]
    told_by: str


class ShardView(msgspec.Struct):
    """A shard: who holds it under which term, and its machines."""

    name: str
    holder: str | None
    term: int
    machines: int
    # Seconds it has been held; only its holder knows.
    held_s: float | None = None


class TeamView(msgspec.Struct):
    """A team: CPUs and GPUs of its claimed tasks against guarantee and limit (None: none)."""

    name: str
    cpus: float
    gpus: float
    guaranteed_cpus: float
    guaranteed_gpus: float
    most_cpus: float | None
    most_gpus: float | None
    borrowed_cpus: float
    borrowed_gpus: float
    waiting_tasks: int
    # Of its guarantee: what its jobs within it still wait for, and what lies unused, so that others
    # may borrow it.
    owed_cpus: float = 0.0
    lent_cpus: float = 0.0
    owed_gpus: float = 0.0
    lent_gpus: float = 0.0


class MachineView(msgspec.Struct):
    """A machine that is not as it should be."""

    name: str
    type: str
    zone: str
    shard: str
    # `late`, `faulty` or `leaving: why`.
    state: str


class ClusterView(msgspec.Struct):
    """The whole, as the controller that was asked sees it."""

    told_by: str
    connected: bool
    up: list[str]
    provisioner: str | None
    machines: int
    shards: list[ShardView]
    teams: list[TeamView]
    troubled: list[MachineView]
    # Jobs that fail wherever they run.
    failing: list[str]
