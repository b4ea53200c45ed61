"""Plays slow, half-sent and malformed requests beside users and workers, on real processes.

Usage: python -m bench.slow_requests [SECONDS]

Three controllers on loopback; 150 connections to each send requests slowly or in part; a report
nested 3,000 deep goes to each every 20 ms, and each kind of malformed request in turn. Users submit
60 jobs meanwhile. Prints the counts; the status is 1 if a job is not accepted and done, a request
is not answered, a controller ends, or a log holds a traceback.
"""

import dataclasses
import json
import sys
import threading
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from sagecove.config import split_address
from sagecove.lab.deployment import job_submission
from sagecove.lab.loopback import Loopback
from sagecove.lab.slow_clients import DEEP_REPORT, MalformedRequest, SlowClients, send_malformed
from sagecove.lab.submission_bodies import sound_body

JOB_COUNT = 60
CONNECTION_COUNT = 150
READY_COUNT = 30
START_S, END_S = 5.0, 15.0
DEEP_REPORT_INTERVAL_S = 0.02
MALFORMED_INTERVAL_S = 0.2
RESPONSE_TIMEOUT_S = 4.0


@dataclasses.dataclass
class Outcome:
    """What was answered, by status; 0 if there was no answer."""

    submissions: Counter[int] = dataclasses.field(default_factory=Counter)
    ready: Counter[int] = dataclasses.field(default_factory=Counter)
    deep_reports: Counter[int] = dataclasses.field(default_factory=Counter)
    malformed: Counter[str] = dataclasses.field(default_factory=Counter)


class SlowRequests:
    """A local cluster with its users and the clients that disturb it."""

    def __init__(self, reactor: Any, seconds: float) -> None:
        self.reactor = reactor
        self.seconds = seconds
        self.random = Random(66)
        self.lab = Loopback(reactor)
        self.outcome = Outcome()
        self.job_count = 0
        self.status = 1
        self.stopping = threading.Event()
        self.addresses = [split_address(node.user_address) for node in self.lab.processes]
        self.slow_clients = SlowClients(self.addresses, CONNECTION_COUNT)

    def disturb(self) -> None:
        """Start the clients that send slowly, and the malformed requests."""
        self.slow_clients.start()
        threading.Thread(target=self._send_malformed, daemon=True).start()
        self.send_deep_reports()

    def _send_malformed(self) -> None:
        kinds = list(MalformedRequest)
        number = 0
        while not self.stopping.wait(MALFORMED_INTERVAL_S):
            number += 1
            kind, address = kinds[number % len(kinds)], self.addresses[number % 3]
            try:
                status = send_malformed(address, kind, RESPONSE_TIMEOUT_S)
                self.outcome.malformed[f"{kind.name} {status}"] += 1
            except OSError:
                self.outcome.malformed[f"{kind.name} unanswered"] += 1

    def _count(self, counter: Counter[int]) -> Any:
        def count(status: int | None, body: bytes) -> None:
            counter[status or 0] += 1

        return count

    def send_deep_reports(self) -> None:
        """Send a deep report to each controller, and the next ones later."""
        if self.stopping.is_set():
            return
        for node in self.lab.processes:
            count = self._count(self.outcome.deep_reports)
            timeout_s = RESPONSE_TIMEOUT_S
            self.lab.send_request(
                node.user_address, "POST", "/hello", DEEP_REPORT, timeout_s, count
            )
        self.reactor.callLater(DEEP_REPORT_INTERVAL_S, self.send_deep_reports)

    def submit_job(self) -> None:
        """Submit a job in a random spelling, and the next one later."""
        self.job_count += 1
        submission = job_submission(self.job_count, hands=2, vcpus=1.0, reckonS=2.0)
        self.lab.specs[submission["nameId"]] = submission
        self._send_submission(sound_body(self.random, submission))
        if self.job_count < JOB_COUNT:
            self.reactor.callLater(self.seconds / JOB_COUNT, self.submit_job)

    def _send_submission(self, body: bytes, try_count: int = 0) -> None:
        def answered(status: int | None, answer: bytes) -> None:
            if status in (200, 201) or try_count >= 10 or status in (400, 422):
                self.outcome.submissions[status or 0] += 1
            else:
                self.reactor.callLater(1.0, self._send_submission, body, try_count + 1)

        address = self.random.choice(self.lab.processes).user_address
        self.lab.send_request(address, "POST", "/api/jobs", body, 5.0, answered)

    def ask_ready(self) -> None:
        """Ask a controller whether it is ready, and the next one later."""
        if self.stopping.is_set():
            return
        address = self.random.choice(self.lab.processes).user_address
        self.lab.send_request(address, "GET", "/ready", None, 1.0, self._count(self.outcome.ready))
        self.reactor.callLater(self.seconds / READY_COUNT, self.ask_ready)

    def stop_disturbing(self) -> None:
        """Stop all clients; running jobs may still end."""
        self.stopping.set()
        self.slow_clients.stop()

    def play(self) -> int:
        """Play and return the exit status."""
        self.lab.start(machines=6)
        for action in (self.disturb, self.submit_job, self.ask_ready):
            self.reactor.callLater(START_S, action)
        self.reactor.callLater(START_S + self.seconds, self.stop_disturbing)
        self.reactor.callLater(START_S + self.seconds + END_S, self._end)
        self.reactor.run()
        return self.status

    def _end(self) -> None:
        outcome = self.outcome
        done = sum(
            state["hands"] == self._completed(name) for name, state in self.lab.specs.items()
        )
        starts = [node.start_count for node in self.lab.processes]
        traceback_count = sum(
            Path(node.log_path).read_text().count("Traceback") for node in self.lab.processes
        )
        unanswered = [key for key in outcome.malformed if key.endswith("unanswered")]
        print(json.dumps({key: dict(value) for key, value in vars(outcome).items()}))
        print(
            f"{done} of {JOB_COUNT} jobs done, {traceback_count} tracebacks, starts {starts},"
            f" slow requests {dict(self.slow_clients.opened_counts)},"
            f" rules broken {self.lab.violations}"
        )
        accepted = outcome.submissions[200] + outcome.submissions[201]
        good = (
            accepted == done == JOB_COUNT
            and set(outcome.ready) == {200}
            and set(outcome.deep_reports) == {400}
            and not (unanswered or traceback_count or self.lab.violations)
            and starts == [1, 1, 1]
        )
        self.status = 0 if good else 1
        self.reactor.stop()

    def _completed(self, job_id: str) -> int:
        return sum(task.startswith(f"{job_id}/") for task in self.lab.completed_tasks)


def main(seconds: float) -> int:
    """Run the play and return the exit status."""
    from twisted.internet import reactor

    return SlowRequests(reactor, seconds).play()


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0))
