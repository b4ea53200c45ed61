"""What controllers tell one another: hints only, no rule depends on them."""

import msgspec


class ShareRequest(msgspec.Struct, frozen=True, array_like=True):
    """A shard needs its share of a team's limit to be `target` (CPUs and GPUs in millionths), for
    the job that `rank` tells: shards are served in this order, the same for all who compare."""

    team: str
    shard: str
    rank: tuple[int, int, int, float, str]
    target: tuple[int, int]


class CompletedClaims(msgspec.Struct, frozen=True, array_like=True):
    """Claims of a team in a shard that its record still has, though their tasks have completed
    (CPUs and GPUs in millionths)."""

    team: str
    shard: str
    amount: tuple[int, int]


class RoomRequest(msgspec.Struct, frozen=True, array_like=True):
    """A gang fits in no single shard: the one it is served in lacks room for so many of its tasks
    (in one zone, or in any)."""

    job: str
    shard: str
    zone: str
    tasks: int


class ImageRoom(msgspec.Struct, frozen=True, array_like=True):
    """Free room (CPUs, GPUs) on machines of a zone and kind that have an image."""

    image: str
    zone: str
    spot: bool
    cpus: float
    gpus: float


class ShareRequestList(msgspec.Struct):
    """All that a controller wants of teams' limits, told when it changes."""

    node: str
    wants: list[ShareRequest]


class Hint(msgspec.Struct, omit_defaults=True):
    """A controller's view, sent about once a second."""

    node: str
    # The state service answers this controller.
    connected: bool = True
    # The revision up to which it has read all changes.
    applied: int = 0
    # Running tasks of jobs claimed here, for display.
    running: dict[str, int] = {}
    # Jobs claimed here that lack room: job id to (shard, tasks).
    hungry: dict[str, tuple[str, int]] = {}
    # Machines that have reported here.
    heard: set[str] = set()
    # Of `running` and `heard` this is one of so many parts, which follow one another: a hint must
    # stay within a body.
    parts: int = 1
    # Machines of others' shards that reported here lately: alive, but cut off from their holder.
    strangers: list[str] = []
    # From the provisioner: machines the arrays could do without.
    drain: list[str] = []
    # Jobs whose cancellation this controller has just made durable.
    cancelled: list[str] = []
    # Jobs claimed here that fail wherever they run.
    failing: list[str] = []
    # What shards held here want of teams' limits.
    wants: list[ShareRequest] = []
    # Of teams near their limits.
    ended: list[CompletedClaims] = []
    # Gangs that idle machines of others would serve.
    calls: list[RoomRequest] = []
    # Free room beside images.
    warm: list[ImageRoom] = []


class Promise(msgspec.Struct, omit_defaults=True):
    """The answer to a hint from a controller that is itself refused by the state service: it will
    act for no shard taken by lapse until `for_s` from now. It has told users of no cancellation
    later than the revision `cancels`, and of none later than `floor` that is not named in
    `cancelled` or was read by the asker (`Hint.applied`). The one message between controllers that
    a rule rests on; without a promise (`for_s` 0) what it names stands all the same.

    A build that knows only `cancels` counts the promise if it has read as far; a promise of such a
    build has no `floor`."""

    for_s: float = 0.0
    cancels: int = 0
    floor: int | None = None
    cancelled: list[str] = []


decode_promise = msgspec.json.Decoder(Promise).decode
decode_share_requests = msgspec.json.Decoder(ShareRequestList).decode
decode_hint = msgspec.json.Decoder(Hint).decode
