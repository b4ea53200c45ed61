"""Plays copies of direct commands between real processes on loopback.

Usage: python -m bench.copied_commands [SECONDS]

Three controllers, six machines, one of which fails its tasks at any time, and arrays whose tasks
therefore move. Each direct command that a worker has executed reaches it once more within seconds.
Prints what was played; the status is 1 if a rule was broken or an attempt was started again.
"""

import json
import sys
from typing import Any

from sagecove.lab.deployment import job_submission
from sagecove.lab.loopback import Loopback

JOB_COUNT = 14
JOB_INTERVAL_S = 3.0
FAULTY_MACHINE_INTERVAL_S = 2.5
START_S = 4.0


class CopiedCommands:
    """Users that submit arrays, and a faulty machine that changes."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.lab = Loopback(reactor)
        self.lab.copy_commands(1.0)
        self.job_count = 0

    def submit_job(self) -> None:
        """Submit an array, and the next one later."""
        self.job_count += 1
        # Every third job is urgent: tasks are stopped for it, by direct commands.
        rank = "low" if self.job_count % 3 else "urgent"
        job = job_submission(self.job_count, hands=6, vcpus=2.0, reckonS=6.0, rank=rank)
        body = json.dumps(job).encode()
        self.lab.send_request(
            self.lab.user_address, "POST", "/api/jobs", body, 5.0, lambda status, answer: None
        )
        if self.job_count < JOB_COUNT:
            self.reactor.callLater(JOB_INTERVAL_S, self.submit_job)

    def change_faulty_machine(self) -> None:
        """Let another machine fail its tasks."""
        workers = list(self.lab.workers.values())
        for worker in workers:
            worker.fails_tasks = False
        if workers:
            self.lab.random.choice(workers).fails_tasks = True
        self.reactor.callLater(FAULTY_MACHINE_INTERVAL_S, self.change_faulty_machine)

    def play(self, seconds: float) -> int:
        """Play for some seconds and return the exit status."""
        self.lab.start(machines=6)
        self.reactor.callLater(START_S, self.submit_job)
        self.reactor.callLater(START_S, self.change_faulty_machine)
        self.reactor.callLater(seconds, self.reactor.stop)
        self.reactor.run()
        copies = self.lab.message_copies.command_copy_statuses
        print(
            f"{len(self.lab.task_starts)} starts, {sum(copies.values())} copies"
            f" ({copies[409]} refused), {len(self.lab.repeated_attempts)} attempts started again,"
            f" {len(self.lab.violations)} rules broken"
        )
        return 1 if self.lab.violations or self.lab.repeated_attempts else 0


def main(seconds: float) -> int:
    """Run the play and return the exit status."""
    from twisted.internet import reactor

    return CopiedCommands(reactor).play(seconds)


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 55.0))
