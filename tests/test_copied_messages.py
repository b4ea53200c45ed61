"""Seeded search: single requests that were delivered arrive once more, seconds to minutes later.

Copied are direct commands to workers, or else the messages between controllers, the writes to the
state service and the requests of users; besides, controllers end and are back within seconds, or
machines are back at once without their tasks, token and session. No rule may be broken, and
afterwards each job ends.

`python -m bench.copied_messages FIRST LAST` plays more seeds.
"""

import enum
from collections.abc import Callable

import pytest

from sagecove.lab.message_copies import CopiedRequest, RequestKind
from tests.test_held_messages import HeldMessages

COPY_SHARES = (0.05, 0.2, 0.5)
# Most copies come within the first of these times, one in ten between the first and the second.
USUAL_COPY_S = (0.2, 8.0)
LATE_COPY_S = (8.0, 60.0)
LATE_COPY_SHARE = 0.1
RESTART_S = (0.2, 0.5, 3.0)


class CopiedRequests(enum.Enum):
    """Which requests are copied in a history."""

    COMMANDS = frozenset({RequestKind.COMMAND})
    ALL_BUT_COMMANDS = frozenset(RequestKind) - {RequestKind.COMMAND}
    ALL = frozenset(RequestKind)


class OtherFault(enum.Enum):
    """What happens besides."""

    NONE = "nothing else"
    CONTROLLERS_END = "controllers end"
    MACHINES_RESTART = "machines restart"


class CopiedMessages(HeldMessages):
    """One history, drawn from one seed; no message is delayed."""

    def __init__(self, seed: int, copied: CopiedRequests, other_fault: OtherFault) -> None:
        super().__init__(seed)
        self.copied = copied
        self.other_fault = other_fault
        self.copy_share = self.random.choice(COPY_SHARES)
        self.world.message_delay_s = None
        self.world.message_copies.delays_s = self._copy_delays_s

    def _copy_delays_s(self, request: CopiedRequest) -> tuple[float, ...]:
        if request.kind not in self.copied.value or self.random.random() >= self.copy_share:
            return ()
        late = self.random.random() < LATE_COPY_SHARE
        return (self.random.uniform(*(LATE_COPY_S if late else USUAL_COPY_S)),)

    # -- steps ----------------------------------------------------------------------------------

    def end_controller(self) -> None:
        name = self.node()
        if name in self.world.owners:
            self.world.kill_node(name)
            restart_s = self.random.choice(RESTART_S)
            self.world.call_later(restart_s, lambda: self._start_controller(name))

    def restart_machine(self) -> None:
        if not self.world.workers:
            return
        worker = self.worker()
        for number in range(self.random.choice([1, 1, 3])):
            self.world.call_later(0.6 * number, worker.restart)

    def fail_on_one_machine(self) -> None:
        if not self.world.workers:
            return
        worker = self.worker()
        worker.fails_tasks = True
        self.world.call_later(3.0, lambda: setattr(worker, "fails_tasks", False))

    def choose_steps(self) -> list[Callable[[], None]]:
        steps = [self.submit] * 8 + [self.cancel] * 2 + [self.fail_on_one_machine]
        if self.other_fault is OtherFault.CONTROLLERS_END:
            steps.append(self.end_controller)
        elif self.other_fault is OtherFault.MACHINES_RESTART:
            steps.append(self.restart_machine)
        return steps


@pytest.mark.parametrize("other_fault", list(OtherFault))
@pytest.mark.parametrize("copied", [CopiedRequests.COMMANDS, CopiedRequests.ALL])
@pytest.mark.parametrize("seed", range(12))
def test_copied_requests_break_no_rule(
    seed: int, copied: CopiedRequests, other_fault: OtherFault
) -> None:
    # Guards against requests that were carried out and answered, and are carried out again.
    CopiedMessages(seed, copied, other_fault).play()


def test_all_kinds_of_requests_are_copied() -> None:
    # Guards against a search that copies nothing.
    history = CopiedMessages(0, CopiedRequests.ALL, OtherFault.NONE)
    history.copy_share = 1.0
    history.play()
    assert all(history.world.message_copies.copy_counts[kind] > 0 for kind in RequestKind)
