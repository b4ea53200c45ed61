"""Request budgets: token buckets for the limits of the state service and the cloud."""


class TokenBucket:
    """A bucket refilled at `rate` a second, holding at most `burst`; it may go into debt, by no
    more than that, so that a flood of what must not wait does not stop all else for long."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at = now

    def seconds_until_available(self, now: float, amount: float = 1.0) -> float:
        """Seconds until `amount` may be spent; 0 if at once."""
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now
        need = min(amount, self.burst)
        return 0.0 if self._level >= need else (need - self._level) / self.rate

    def spend(self, now: float, amount: float = 1.0) -> None:
        """Take `amount`, owed if it is not there: some requests must not wait."""
        self.seconds_until_available(now, 0.0)
        self._level = max(self._level - amount, -self.burst)
