"""`sagecove dev`: runs a local cluster, and optionally a scripted demonstration on it."""

import importlib.resources
import json
import os
import sys
import time
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any

from sagecove.lab.loopback import Loopback

# A demonstration that takes longer has failed.
DEMO_TIMEOUT_S = 180.0


def examples_folder() -> Path:
    """Return the folder of the example jobs, which is beside the package in a checkout."""
    return Path(str(importlib.resources.files("sagecove"))).parent / "examples"


class ProgressPrinter:
    """Prints progress messages with the seconds since the start."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        print(f"{time.monotonic() - self.started_at:6.1f} s  {text}", flush=True)


class Demo:
    """Submits the example jobs, kills a controller, and checks how every job ends."""

    def __init__(self, lab: Loopback, report_progress: Callable[[str], None]) -> None:
        self.lab = lab
        self.report_progress = report_progress
        self.states: dict[str, str] = {}
        self.succeeded = False
        self.failure_reason = "it did not end in time"

    def user_request(self, method: str, path: str, body: Any = None) -> Any:
        """Send a user's request, repeating it while the service is unavailable or throttles."""
        from twisted.internet.defer import Deferred

        result: Any = Deferred()
        raw = None if body is None else json.dumps(body).encode()

        def send() -> None:
            self.lab.send_request(self.lab.user_address, method, path, raw, 20.0, answered)

        def answered(status: int | None, content: bytes) -> None:
            if status in (None, 0, 429, 503, 504):
                self.lab.reactor.callLater(0.5, send)
            else:
                result.callback((status, json.loads(content)))

        send()
        return result

    def pause(self, seconds: float) -> Any:
        """Return a deferred that fires after a delay."""
        from twisted.internet.task import deferLater

        return deferLater(self.lab.reactor, seconds, lambda: None)

    def poll_jobs(self, jobs: list[str]) -> Generator[Any, Any, None]:
        """Request the jobs' states and print changes."""
        for job in jobs:
            status, answer = yield self.user_request("GET", f"/api/jobs/{job}")
            text = answer.get("standing", f"status {status}")
            if self.states.get(job) != text:
                self.states[job] = text
                self.report_progress(f"{job}: {text} ({answer.get('done', 0)} tasks done)")

    def run_scenario(self) -> Generator[Any, Any, None]:
        """Run the demonstration and record whether it succeeded."""
        jobs = []
        for name in ("array", "gang", "service"):
            job = json.loads((examples_folder() / f"{name}.json").read_text())
            status, answer = yield self.user_request("POST", "/api/jobs", job)
            if status not in (200, 201):
                raise RuntimeError(f"{name} was refused: {answer}")
            self.report_progress(
                f"submitted {job['nameId']} ({job['shape']}, {job['hands']} tasks)"
            )
            jobs.append(job["nameId"])
        sweep = None
        if self.lab.features:
            sweep = yield from self.submit_sweep()
        while not any(state == "running" for state in self.states.values()):
            yield from self.poll_jobs(jobs)
            yield self.pause(0.5)
        victim = self.lab.processes[-1]
        self.report_progress(f"killing controller {victim.name}")
        victim.kill()
        cancelled = False
        while True:
            yield from self.poll_jobs(jobs)
            if sweep is not None:
                yield from self.poll_sweep(sweep)
            service = jobs[2]
            if self.states[service] == "running" and victim.start_count > 1 and not cancelled:
                _, answer = yield self.user_request("POST", f"/api/jobs/{service}/cancel")
                cancelled = True
                self.report_progress(f"cancelled {service}: {answer['standing']}")
            ended = [s in ("done", "aborted") for s in self.states.values()]
            if all(ended) and not any(map(self.lab.running_task_count, jobs)):
                break
            yield self.pause(1.0)
        unexpected = {j: s for j, s in self.states.items() if s != self.expected_state(j, jobs)}
        if unexpected:
            self.failure_reason = f"these did not end as they should: {unexpected}"
        elif self.lab.violations:
            self.failure_reason = f"{len(self.lab.violations)} rules broken"
        else:
            self.succeeded = True

    def expected_state(self, job: str, jobs: list[str]) -> str:
        """Return the state in which a job should end: only the service is cancelled."""
        return "aborted" if job == jobs[2] else "done"

    def submit_sweep(self) -> Generator[Any, Any, str | None]:
        """Submit the example sweep, if there is one, and return its id."""
        path = examples_folder() / "sweep.json"
        if not path.exists():
            return None
        sweep = json.loads(path.read_text())
        status, answer = yield self.user_request("POST", "/api/sweeps", sweep)
        if status not in (200, 201):
            raise RuntimeError(f"the sweep was refused: {answer}")
        self.report_progress(f"submitted sweep {sweep['id']}: {answer['points']} points")
        return str(sweep["id"])

    def poll_sweep(self, sweep: str) -> Generator[Any, Any, None]:
        """Request the sweep's state and print a change."""
        _, answer = yield self.user_request("GET", f"/api/sweeps/{sweep}")
        if self.states.get(sweep) != answer["state"]:
            self.states[sweep] = answer["state"]
            self.report_progress(
                f"sweep {sweep}: {answer['state']} ({answer['done']} of {answer['points']} points"
                f" done, {answer['failed']} failed)"
            )


def run(
    controllers: int,
    machines: int,
    time_scale: float,
    port: int,
    features: str,
    demo: bool,
    copy_share: float = 0.0,
) -> int:
    """Run the cluster until Ctrl-C or the end of the demonstration; return the exit status.

    Of the direct commands to workers, `copy_share` arrive once more (see `Loopback`).
    """
    from twisted.internet import reactor
    from twisted.internet.defer import inlineCallbacks
    from twisted.internet.error import CannotListenError

    report_progress = ProgressPrinter()
    lab = Loopback(reactor, controllers, time_scale, 1, features, report_progress)
    lab.copy_commands(copy_share)
    try:
        lab.start(machines, port)
    except CannotListenError:
        print(
            f"sagecove: port {port} is in use; choose another one with --port (0: any)",
            file=sys.stderr,
        )
        lab.stop()
        return 1
    report_progress(
        f"users:       http://{lab.user_address}  (export SAGECOVE_CONTROLLERS={lab.user_address})"
    )
    for node in lab.processes:
        report_progress(f"controller {node.name}: {node.user_address}, log {node.log_path}")
    if demo:
        demonstration = Demo(lab, report_progress)

        def stop_reactor(_: Any) -> None:
            reactor.stop()  # type: ignore[attr-defined]

        def record_failure(failure: Any) -> None:
            demonstration.failure_reason = failure.getErrorMessage()
            demonstration.succeeded = False

        scenario = inlineCallbacks(demonstration.run_scenario)()
        scenario.addTimeout(DEMO_TIMEOUT_S, reactor)
        scenario.addErrback(record_failure)
        scenario.addCallback(stop_reactor)
    else:
        report_progress("press Ctrl-C to stop")
    reactor.run()  # type: ignore[attr-defined]
    if demo:
        report_progress(
            "all jobs ended as they should"
            if demonstration.succeeded
            else f"FAILED: {demonstration.failure_reason}"
        )
        if not demonstration.succeeded:
            for node in lab.processes:
                if os.path.exists(node.log_path):
                    with open(node.log_path, encoding="utf-8", errors="replace") as file:
                        print(f"--- end of {node.log_path}\n" + "".join(file.readlines()[-15:]))
    return 1 if lab.violations or (demo and not demonstration.succeeded) else 0
