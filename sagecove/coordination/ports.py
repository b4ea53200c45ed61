"""What parts of the owner may ask of one another: a leaf, so that no import runs back up."""

from collections.abc import Callable

# Who hears an answer: status (None: no response; 0: never sent) and body.
Done = Callable[[int | None, bytes], None]

# Seconds between two ticks of the owner.
TICK_S = 0.25
