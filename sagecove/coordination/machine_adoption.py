"""Adopts machines that report but have no record in the state service.

Such a machine was up before the response to its rental had arrived or was recorded, or the response
was lost. It joins the shard it was rented for, as far as that is known.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from sagecove.config import WORKER_ANSWER_TIMEOUT_S
from sagecove.coordination.interfaces import (
    Authority,
    BaseContext,
    MachineRecordWriter,
    RequestSender,
)
from sagecove.coordination.model import Shard
from sagecove.protocol import workers as worker_protocol
from sagecove.storage.records import MachineRecord
from sagecove.storage.store import Outcome, Result, decode_answer

# The report waits for an answer meanwhile.
SHOW_TIMEOUT_S = WORKER_ANSWER_TIMEOUT_S / 2


class Rentals(Protocol):
    """The machines that were rented and have not reported yet."""

    def shard_of_rental(self, type_name: str, zone: str, spot: bool) -> str | None:
        """Return the shard for which a machine of this kind was rented, if known."""


class AdoptionContext(BaseContext, RequestSender, MachineRecordWriter, Protocol):
    """Interface that the adoption of machines requires of the owner."""

    held_shards: dict[str, Shard]

    @property
    def leadership(self) -> Authority:
        """This controller's authority."""

    @property
    def provisioner(self) -> Rentals:
        """The rentals."""


class MachineAdoption:
    """Writes the records of unknown machines and answers their reports after that.

    `handle_report(body, exchange)` is called with the report once its machine has a record, and
    `refuse(exchange, reason)` answers it so that it renews no lease.
    """

    def __init__(
        self,
        context: AdoptionContext,
        handle_report: Callable[[bytes, object], None],
        refuse: Callable[[object, str], None],
    ) -> None:
        self.context = context
        self.handle_report = handle_report
        self.refuse = refuse
        # Names of the machines that are being adopted.
        self.open_names: set[str] = set()

    def adopt(self, report: worker_protocol.Report, body: bytes, exchange: object) -> bool:
        """Start to adopt the machine of a report; False if it can't be adopted now."""
        context = self.context
        name = report.machine
        node = context.settings.node
        shard = context.held_shards.get(node)
        if (
            name in self.open_names
            or shard is None
            or shard.yielding
            or not context.leadership.may_act(context.now)
        ):
            return False
        self.open_names.add(name)
        home_shard = (
            context.provisioner.shard_of_rental(report.type, report.zone, report.spot) or node
        )
        record = MachineRecord(
            report.type, report.zone, report.spot, home_shard, report.addr, context.wall()
        )

        def done(result: Result) -> None:
            self.open_names.discard(name)
            if name in context.machines:
                self.handle_report(body, exchange)
            else:
                self.refuse(exchange, "machine is not known yet")

        def on_show(status: int | None, answer: bytes) -> None:
            # A delayed copy of a report must not bring back a machine that is gone.
            current = decode_answer(answer, worker_protocol.Report) if status == 200 else None
            confirmed = current is not None and current.machine == name
            if (
                confirmed
                and context.held_shards.get(node) is shard
                and name not in context.machines
            ):
                context.put_machine(name, record, 0, shard, done)
            else:
                done(Result(Outcome.REFUSED))

        context.call(report.addr, "GET", "/show", None, SHOW_TIMEOUT_S, on_show)
        return True
