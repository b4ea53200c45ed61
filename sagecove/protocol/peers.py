"""Messages between controllers.

They are hints on which no safety rule depends, with the exception of `Promise`.
"""

import msgspec

from sagecove.protocol.decoding import decoder


class ShareRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to raise a shard's share of a team's limit to `target`.

    `target` holds CPUs and GPUs in millionths. `rank` is the precedence of the job that needs the
    share: requests are served in this order, which is the same for every controller.
    """

    team: str
    shard: str
    rank: tuple[int, int, int, float, str]
    target: tuple[int, int]


class CompletedClaims(msgspec.Struct, frozen=True, array_like=True):
    """Claims of a team in a shard whose tasks have completed, though the record still has them.

    `amount` holds CPUs and GPUs in millionths.
    """

    team: str
    shard: str
    amount: tuple[int, int]


class RoomRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for idle machines of other shards, for a gang that fits in no single shard.

    `shard` lacks room for `tasks` of its tasks, in `zone` or, if that is empty, in any zone.
    """

    job: str
    shard: str
    zone: str
    tasks: int


class ImageRoom(msgspec.Struct, frozen=True, array_like=True):
    """Free room (CPUs, GPUs) on machines of a zone, spot or not, that have an image."""

    image: str
    zone: str
    spot: bool
    cpus: float
    gpus: float


class ShareRequestList(msgspec.Struct):
    """All share requests of a controller, sent when they change."""

    node: str
    wants: list[ShareRequest]


class Hint(msgspec.Struct, omit_defaults=True):
    """A controller's view of the cluster, sent to its peers about once a second."""

    node: str
    # Whether the state service answers this controller.
    connected: bool = True
    # The revision up to which this controller has read all changes.
    applied: int = 0
    # Number of running tasks by job claimed by this controller, for display.
    running: dict[str, int] = {}
    # Jobs claimed by this controller that lack room: job id to (shard, tasks).
    hungry: dict[str, tuple[str, int]] = {}
    # Machines that have reported to this controller.
    heard: set[str] = set()
    # Number of consecutive hints over which `running` and `heard` are spread, as a hint must not
    # exceed the size limit of a body.
    parts: int = 1
    # Machines of other controllers' shards that reported here lately: they are alive but cut off
    # from the holder of their shard.
    strangers: list[str] = []
    # From the provisioner: machines that the array jobs could do without.
    drain: list[str] = []
    # Jobs whose cancellation this controller has just committed.
    cancelled: list[str] = []
    # Jobs claimed by this controller that fail on every machine.
    failing: list[str] = []
    # Requests of the shards held by this controller for shares of teams' limits.
    wants: list[ShareRequest] = []
    # Completed but still recorded claims, of teams near their limits.
    ended: list[CompletedClaims] = []
    # Gangs that could run on idle machines of other controllers.
    calls: list[RoomRequest] = []
    # Free room on machines that have an image.
    warm: list[ImageRoom] = []


class Promise(msgspec.Struct, omit_defaults=True):
    """The answer to a hint; the only message between controllers that a safety rule depends on.

    A controller gives a promise only while the state service refuses it, too: until `for_s` seconds
    from now it will not act for any shard that it took after a lease expired. It has confirmed to
    users no cancellation later than the revision `cancels`; and of those later than `floor` only
    such that are named in `cancelled` or that the receiver has read (`Hint.applied`). If `for_s` is
    0 there is no promise, but the other fields are valid all the same.

    A build that knows only `cancels` accepts the promise if it has read up to that revision; a
    promise of such a build has no `floor`.
    """

    for_s: float = 0.0
    cancels: int = 0
    floor: int | None = None
    cancelled: list[str] = []


decode_promise = decoder(Promise)
decode_share_requests = decoder(ShareRequestList)
decode_hint = decoder(Hint)
