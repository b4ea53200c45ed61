"""A cache of records that never change once they are written."""

from collections import OrderedDict
from typing import Any


class BoundedCache:
    """A bounded cache of immutable records; evicts the oldest entry first."""

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self._items: OrderedDict[str, Any] = OrderedDict()

    def get(self, key: str) -> Any:
        """Return the cached value, or None."""
        return self._items.get(key)

    def put(self, key: str, value: Any) -> None:
        """Cache a value, and evict the oldest entry if the cache is full."""
        self._items[key] = value
        if len(self._items) > self.max_count:
            self._items.popitem(last=False)
