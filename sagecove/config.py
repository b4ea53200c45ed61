"""The platform's settings file, checked; and the figures derived from it as ratios.

Unknown fields are ignored. What is missing or makes no sense is reported as one line naming the
field (`SettingsError`).
"""

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=64)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100, pattern=r"^[^\s/]+\Z")]
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]


class SettingsError(Exception):
    """The settings are missing a field or make no sense."""


class Peer(msgspec.Struct, rename={"zone": "area", "addr": "endpoint"}):
    """Another controller."""

    node: Name
    zone: Name
    addr: Address


class ServiceAddresses(msgspec.Struct):
    """Where the cloud and the state service answer."""

    cloud: Address
    state: Address


# A worker takes no answer after this time (seconds, from PROTOCOL).
WORKER_ANSWER_TIMEOUT_S = 4.0
# A shorter lease would end between two requests to the state service that get no answer.
LEAST_S = 2.0

# Stands for "no limit": more than any fleet has, and still a number that records can carry.
UNLIMITED_AMOUNT = 1e9


class Team(msgspec.Struct):
    """A team's guarantee and limit. In the settings a limit of 0 means that there is none: taken
    for a limit of nothing, it once had every job of a guest team refused as impossible."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=150, pattern=r"^[^\s/]+\Z")]
    cpus: Amount
    cpus_max: Amount
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    def __post_init__(self) -> None:
        self.cpus_max = self.cpus_max or UNLIMITED_AMOUNT
        self.gpus_max = self.gpus_max or UNLIMITED_AMOUNT


class Objective(msgspec.Struct, rename={"klass": "class"}):
    """An aim, as the users state it."""

    kind: str
    klass: str = ""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimes(msgspec.Struct):
    """The workers' pace."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class StateServiceLimits(msgspec.Struct):
    """The state service's limits."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]


class CloudLimits(msgspec.Struct):
    """The cloud's limits."""

    rps: Positive
    list_lag_s: Amount


class Resources(msgspec.Struct, rename={"cpu_share": "core_share", "memory_mb": "ram_mb"}):
    """What this process may use."""

    cpu_share: Share
    memory_mb: Positive
    fd_limit: Annotated[int, msgspec.Meta(ge=32)]


class ClusterSettings(msgspec.Struct):
    """The cluster as a whole."""

    size: Annotated[int, msgspec.Meta(ge=1)]
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]
    teams: list[Team]
    workers: WorkerTimes
    state: StateServiceLimits
    cloud: CloudLimits
    resources: Resources
    objectives: list[Objective] = []
    time_bound_ms: Amount = 5.0


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
    """The file the platform hands over."""

    node: Name
    zone: Name
    listen: Address
    peer_listen: Address
    peers: list[Peer]
    services: ServiceAddresses
    params: ClusterSettings

    @property
    def nodes(self) -> list[str]:
        """All controllers, this one first."""
        return [self.node, *(peer.node for peer in self.peers)]

    @property
    def clock_drift_ratio(self) -> float:
        """Two steady clocks may differ by this share (twice the bound of one, from PROTOCOL)."""
        return 0.001

    @property
    def poll_interval_s(self) -> float:
        """The pace of claims: DESIGN's pollInterval is 1.5 s with a lease of 20 s, kept as a ratio
        to the report pace (seconds)."""
        return min(1.5, self.params.workers.report_s / 2)

    @property
    def lease_s(self) -> float:
        """Length of a controller's lease in the state service, and of a peer's promise.

        A holder that is cut off must be replaced before its workers' leases run out, and a
        cancellation it cannot see must still be honoured: lease + worker lease + a worker's save
        and a margin stay below `cancel_s`. Outages that last longer are outlived by promises.

        As a sum, from the moment a user is told: a holder that does not know acts at most one
        length longer (by its lease, or by a promise given before); a launch of then gets no answer
        for `ANSWER_S`; and its worker was answered until then, and has its lease from there on.
        Each by clocks that differ by `drift`.
        """
        workers = self.params.workers
        left = workers.cancel_s - WORKER_ANSWER_TIMEOUT_S
        fits = left / (1 + self.clock_drift_ratio) - workers.lease_s
        return min(0.65 * workers.lease_s, 0.72 * (workers.cancel_s - workers.lease_s), fits)


def read_file(path: str) -> bytes:
    """A file's content; `SettingsError` if it can't be had."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None


def load_settings(path: str) -> Settings:
    """Read and check a settings file."""
    raw = read_file(path)
    try:
        settings = msgspec.json.decode(raw, type=Settings)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}") from None
    names = settings.nodes
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: `$.members` names a controller twice")
    workers = settings.params.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(f"{path}: `$.cluster.workers.cancel_s` must exceed `lease_s`")
    if settings.lease_s < LEAST_S:
        raise SettingsError(
            f"{path}: `$.cluster.workers`: no controller's lease of {LEAST_S:g} s fits into "
            f"`cancel_s` less `lease_s`: {max(0.0, settings.lease_s):.1f} s are left for it"
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
    """Host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
