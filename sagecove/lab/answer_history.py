"""Checks what users are told of a job or a sweep against what users knew when they asked."""

import itertools

FINAL_STATES = ("done", "aborted")


class RuleViolation(AssertionError):
    """A rule of PROTOCOL was broken; the text is the rule's name and what broke it."""


class AnswerHistory:
    """For each job, or each sweep, from when on users have known that it is accepted or over.

    `counter` orders requests and answers. A request that was sent before users knew a state may
    still be answered with the earlier one.
    """

    def __init__(self, counter: "itertools.count[int]") -> None:
        self.counter = counter
        self.known_states: dict[str, list[tuple[int, str]]] = {}

    def known_before(self, name: str, asked_at: int | None) -> str | None:
        """Return the state that users knew at the moment `asked_at`, by default now."""
        known = None
        for moment, state in self.known_states.get(name, []):
            if asked_at is None or moment < asked_at:
                known = state
        return known

    def final_state(self, name: str) -> str | None:
        """Return the final state that any user was told, or None."""
        states = [state for _, state in self.known_states.get(name, [])]
        return next((state for state in states if state in FINAL_STATES), None)

    def check_refusal(self, name: str, status: int, submitted: bool, asked_at: int | None) -> None:
        """Check that what users know to be accepted is not refused as unknown or invalid."""
        known = self.known_before(name, asked_at)
        if known is None:
            return
        if status == 404:
            raise RuleViolation(f"forgotten {name} was {known}")
        if submitted and status in (400, 422):
            raise RuleViolation(f"forgotten {name} was {known}, then refused")

    def check_state(self, name: str, state: str, asked_at: int | None) -> None:
        """Check that what users know to be over is not called anything else."""
        known = self.known_before(name, asked_at)
        if known in FINAL_STATES and state != known:
            raise RuleViolation(f"went_back {name} from {known} to {state}")

    def check_final_state(self, name: str, state: str) -> None:
        """Check that a final state is the only one that any user was ever told."""
        final_state = self.final_state(name)
        if state in FINAL_STATES and final_state not in (None, state):
            raise RuleViolation(f"went_back {name} from {final_state} to {state}")

    def record(self, name: str, state: str) -> None:
        """Record that a user was told a state."""
        first_final = state in FINAL_STATES and self.final_state(name) is None
        if name not in self.known_states or first_final:
            self.known_states.setdefault(name, []).append((next(self.counter), state))
