"""Reads and checks the platform's settings file, and derives other settings from it.

Unknown fields are ignored. A missing or invalid field raises `SettingsError` with one line that
names the field.
"""

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
CpuShare = Annotated[float, msgspec.Meta(gt=0, le=64)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100, pattern=r"^[^\s/]+\Z")]
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]


class SettingsError(Exception):
    """The settings are unreadable, incomplete or inconsistent."""


class Peer(msgspec.Struct, rename={"zone": "area", "addr": "endpoint"}):
    """Another controller."""

    node: Name
    zone: Name
    addr: Address


class ServiceAddresses(msgspec.Struct):
    """The addresses of the cloud and the state service."""

    cloud: Address
    state: Address


# A worker accepts no answer later than this (PROTOCOL).
WORKER_ANSWER_TIMEOUT_S = 4.0
# Kept free of `cancel_s` where a worker's and a controller's lease are fitted into it.
CANCEL_MARGIN_S = 4.0
# A shorter lease would expire between two requests to the state service that get no answer.
MIN_LEASE_S = 2.0

# Represents "no limit": more than any fleet has, and still a number that records can hold.
UNLIMITED_AMOUNT = 1e9


class Team(msgspec.Struct):
    """A team's guarantee and limit.

    A limit of 0 in the settings means that there is no limit. It was once treated as a limit of
    zero, and every job of a guest team was refused as impossible.
    """

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=150, pattern=r"^[^\s/]+\Z")]
    cpus: NonNegative
    cpus_max: NonNegative
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0

    def __post_init__(self) -> None:
        self.cpus_max = self.cpus_max or UNLIMITED_AMOUNT
        self.gpus_max = self.gpus_max or UNLIMITED_AMOUNT


class Objective(msgspec.Struct, rename={"klass": "class"}):
    """A service-level objective, as the users state it."""

    kind: str
    klass: str = ""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimes(msgspec.Struct):
    """Intervals and timeouts of workers and their tasks."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class StateServiceLimits(msgspec.Struct):
    """Limits of the state service."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]


class CloudLimits(msgspec.Struct):
    """Limits of the cloud."""

    rps: Positive
    list_lag_s: NonNegative


class Resources(msgspec.Struct, rename={"cpu_share": "core_share", "memory_mb": "ram_mb"}):
    """Resources that this process may use."""

    cpu_share: CpuShare
    memory_mb: Positive
    fd_limit: Annotated[int, msgspec.Meta(ge=32)]


class ClusterSettings(msgspec.Struct):
    """Settings of the whole cluster."""

    size: Annotated[int, msgspec.Meta(ge=1)]
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]
    teams: list[Team]
    workers: WorkerTimes
    state: StateServiceLimits
    cloud: CloudLimits
    resources: Resources
    objectives: list[Objective] = []
    time_bound_ms: NonNegative = 5.0


class Settings(
    msgspec.Struct,
    rename={
        "zone": "area",
        "listen": "serve_on",
        "peers": "members",
        "services": "external",
        "params": "cluster",
    },
):
    """The content of the platform's settings file."""

    node: Name
    zone: Name
    listen: Address
    peer_listen: Address
    peers: list[Peer]
    services: ServiceAddresses
    params: ClusterSettings

    @property
    def nodes(self) -> list[str]:
        """Names of all controllers, this one first."""
        return [self.node, *(peer.node for peer in self.peers)]

    @property
    def clock_drift_ratio(self) -> float:
        """The ratio by which two clocks may drift apart: twice the bound of one (PROTOCOL)."""
        return 0.001

    @property
    def poll_interval_s(self) -> float:
        """Seconds between two scheduling passes.

        The pollInterval of DESIGN is 1.5 s with a lease of 20 s; shorter report intervals scale it
        down.
        """
        return min(1.5, self.params.workers.report_s / 2)

    @property
    def lease_s(self) -> float:
        """Seconds of a controller's lease in the state service, and of a promise to a peer.

        A holder that is cut off must be replaced before the leases of its workers expire, and
        a cancellation that it cannot see must still take effect: the lease, the worker lease, the
        time a worker takes to save, and a margin must add up to less than `cancel_s`. Promises
        cover outages that last longer.

        The sum, from the moment when a user gets the answer to a cancellation: a holder that does
        not know of it acts for at most one more lease (its own, or a promise given before); its
        last answer, which may carry a launch, renews a worker's lease, counted from when the
        report was sent. Each of these is measured by clocks that differ by `clock_drift_ratio`.
        """
        workers = self.params.workers
        available_s = workers.cancel_s - CANCEL_MARGIN_S
        longest_s = available_s / (1 + self.clock_drift_ratio) - workers.lease_s
        if available_s - workers.lease_s >= MIN_LEASE_S:
            # The margin covers the drift.
            longest_s = max(longest_s, MIN_LEASE_S)
        return min(0.65 * workers.lease_s, 0.72 * (workers.cancel_s - workers.lease_s), longest_s)


def read_file(path: str) -> bytes:
    """Return the content of a file; raise `SettingsError` if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None


def load_settings(path: str) -> Settings:
    """Read and check a settings file; raise `SettingsError` if it is invalid."""
    content = read_file(path)
    try:
        settings = msgspec.json.decode(content, type=Settings)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}") from None
    names = settings.nodes
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: `$.members` names a controller twice")
    workers = settings.params.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(f"{path}: `$.cluster.workers.cancel_s` must exceed `lease_s`")
    if settings.lease_s < MIN_LEASE_S:
        raise SettingsError(
            f"{path}: `$.cluster.workers`: a controller's lease of {MIN_LEASE_S:g} s does not"
            " fit into `cancel_s` minus `lease_s`:"
            f" {max(0.0, settings.lease_s):.1f} s are left for it"
        )
    if workers.report_s >= workers.lease_s:
        raise SettingsError(f"{path}: `$.cluster.workers.report_s` must be below `lease_s`")
    for team in settings.params.teams:
        if team.cpus > team.cpus_max or team.gpus > team.gpus_max:
            raise SettingsError(
                f"{path}: `$.cluster.teams`: {team.name} is guaranteed more than its limit"
            )
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
