"""What controllers tell one another: hints only, no rule depends on them."""

import msgspec


class Hint(msgspec.Struct, omit_defaults=True):
    """A controller's view, sent about once a second."""

    node: str
    # The state service answers this controller.
    connected: bool = True
    # Running tasks of jobs claimed here, for display.
    running: dict[str, int] = {}
    # Jobs claimed here that lack room: job id to (shard, tasks).
    hungry: dict[str, tuple[str, int]] = {}
    # Machines that have reported here.
    heard: list[str] = []
    # Jobs whose cancellation this controller has just made durable.
    cancelled: list[str] = []


read_hint = msgspec.json.Decoder(Hint).decode
