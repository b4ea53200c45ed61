"""Measures the CPU time of all `Owner.handle` calls within a block."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from sagecove.coordination.owner import Owner


@contextmanager
def owner_cpu_time() -> Iterator[list[float]]:
    """Yield a list whose only element is the CPU time in seconds that owners have used so far."""
    cpu_time_s = [0.0]
    handle = Owner.handle

    def timed_handle(self: Owner, *args: Any) -> Any:
        started_at = time.process_time()
        try:
            return handle(self, *args)
        finally:
            cpu_time_s[0] += time.process_time() - started_at

    Owner.handle = timed_handle  # type: ignore[method-assign]
    try:
        yield cpu_time_s
    finally:
        Owner.handle = handle  # type: ignore[method-assign]
