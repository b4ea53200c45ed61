"""How long owners take: processor time of all `Owner.handle` calls within a block."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from sagecove.coordination.owner import Owner


@contextmanager
def owner_cpu_time() -> Iterator[list[float]]:
    """A list whose one figure grows by the seconds of processor time that owners take."""
    spent = [0.0]
    handle = Owner.handle

    def timed(self: Owner, *args: Any) -> Any:
        begun = time.process_time()
        try:
            return handle(self, *args)
        finally:
            spent[0] += time.process_time() - begun

    Owner.handle = timed  # type: ignore[method-assign]
    try:
        yield spent
    finally:
        Owner.handle = handle  # type: ignore[method-assign]
