"""Token buckets that keep requests within the limits of the state service and the cloud."""


class TokenBucket:
    """A token bucket that refills at `rate` per second and holds at most `burst` tokens.

    Spending may take the level below zero, because some requests must not wait. The debt is
    limited to `burst`, so that a flood of such requests does not block all others for long.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated_at = now

    def seconds_until_available(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until `amount` is available; 0 if it is available now."""
        self._level = min(self.burst, self._level + (now - self._updated_at) * self.rate)
        self._updated_at = now
        needed = min(amount, self.burst)
        return 0.0 if self._level >= needed else (needed - self._level) / self.rate

    def spend(self, now: float, amount: float = 1.0) -> None:
        """Take `amount` from the bucket, going into debt if it holds less."""
        self.seconds_until_available(now, 0.0)
        self._level = max(self._level - amount, -self.burst)
