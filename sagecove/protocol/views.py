"""Answers of the diagnostic endpoints: why a job waits, and the state of the cluster.

Operators and users may request them in addition to what PROTOCOL defines.
"""

import msgspec


class Explanation(msgspec.Struct):
    """Why a job waits, as far as the answering controller knows."""

    job: str
    team: str
    kind: str
    priority: str
    tasks: int
    done: int
    running: int
    # Whether the job fits its team's guarantee together with the team's earlier jobs.
    within_guarantee: bool
    fails_everywhere: bool
    # Number of tasks that each shard has claimed.
    claims: dict[str, int]
    # One sentence each, in the users' terms.
    reasons: list[str]
    told_by: str


class ShardView(msgspec.Struct):
    """A shard with its holder, its term and its number of machines."""

    name: str
    holder: str | None
    term: int
    machines: int
    # Seconds since the holder took the shard; only the holder knows.
    held_s: float | None = None


class TeamView(msgspec.Struct):
    """CPUs and GPUs of a team's claimed tasks, its guarantee and its limit (None: no limit)."""

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
    # Owed: the part of the guarantee that the team's jobs within it still wait for. Lent: the part
    # that is unused, so that other teams may borrow it.
    owed_cpus: float = 0.0
    lent_cpus: float = 0.0
    owed_gpus: float = 0.0
    lent_gpus: float = 0.0


class MachineView(msgspec.Struct):
    """A machine in trouble."""

    name: str
    type: str
    zone: str
    shard: str
    # `late`, `faulty` or `leaving: REASON`.
    state: str


class ClusterView(msgspec.Struct):
    """The state of the cluster, as the answering controller sees it."""

    told_by: str
    connected: bool
    up: list[str]
    provisioner: str | None
    machines: int
    shards: list[ShardView]
    teams: list[TeamView]
    troubled: list[MachineView]
    # Jobs that fail on every machine.
    failing: list[str]
