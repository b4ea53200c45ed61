"""`sagecove dev`: a whole service on this machine, and a demonstration that plays itself."""

import importlib.resources
import json
import os
import sys
import time
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any

from sagecove.lab.loopback import Loopback

# A demonstration that has not come to its end after so many seconds never will.
DEMO_MOST_S = 180.0


def examples() -> Path:
    """The folder with the example jobs: beside the package in a checkout."""
    return Path(str(importlib.resources.files("sagecove"))).parent / "examples"


class Told:
    """Readable progress: a line an event, with the seconds since the start."""

    def __init__(self) -> None:
        self.begun = time.monotonic()

    def __call__(self, text: str) -> None:
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)


class Demo:
    """Submits the examples, disturbs the service, and watches every job to its end."""

    def __init__(self, lab: Loopback, tell: Callable[[str], None]) -> None:
        self.lab = lab
        self.tell = tell
        self.states: dict[str, str] = {}
        self.good = False
        self.why = "it did not come to its end"

    def user(self, method: str, path: str, body: Any = None) -> Any:
        """A user's request through the door, again while the service says "not now"."""
        from twisted.internet.defer import Deferred

        out: Any = Deferred()
        raw = None if body is None else json.dumps(body).encode()

        def ask() -> None:
            self.lab.request(self.lab.door, method, path, raw, 20.0, answered)

        def answered(status: int | None, content: bytes) -> None:
            if status in (None, 0, 429, 503, 504):
                self.lab.reactor.callLater(0.5, ask)
            else:
                out.callback((status, json.loads(content)))

        ask()
        return out

    def pause(self, seconds: float) -> Any:
        """Wait."""
        from twisted.internet.task import deferLater

        return deferLater(self.lab.reactor, seconds, lambda: None)

    def poll(self, jobs: list[str]) -> Generator[Any, Any, None]:
        """Ask for the jobs' states; tell what has changed."""
        for job in jobs:
            status, answer = yield self.user("GET", f"/api/jobs/{job}")
            text = answer.get("standing", f"status {status}")
            if self.states.get(job) != text:
                self.states[job] = text
                self.tell(f"{job}: {text} ({answer.get('done', 0)} tasks done)")

    def play(self) -> Generator[Any, Any, None]:
        """The demonstration."""
        jobs = []
        for name in ("array", "gang", "service"):
            job = json.loads((examples() / f"{name}.json").read_text())
            status, answer = yield self.user("POST", "/api/jobs", job)
            if status not in (200, 201):
                raise RuntimeError(f"{name} was refused: {answer}")
            self.tell(f"submitted {job['nameId']} ({job['shape']}, {job['hands']} tasks)")
            jobs.append(job["nameId"])
        sweep = None
        if self.lab.features:
            sweep = yield from self.sweep()
        while not any(state == "running" for state in self.states.values()):
            yield from self.poll(jobs)
            yield self.pause(0.5)
        victim = self.lab.nodes[-1]
        self.tell(f"killing controller {victim.name}")
        victim.kill()
        cancelled = False
        while True:
            yield from self.poll(jobs)
            if sweep is not None:
                yield from self.look(sweep)
            service = jobs[2]
            if self.states[service] == "running" and victim.starts > 1 and not cancelled:
                _, answer = yield self.user("POST", f"/api/jobs/{service}/cancel")
                cancelled = True
                self.tell(f"cancelled {service}: {answer['standing']}")
            over = [s in ("done", "aborted") for s in self.states.values()]
            if all(over) and not any(map(self.lab.running_task_count, jobs)):
                break
            yield self.pause(1.0)
        wrong = {j: s for j, s in self.states.items() if s != self.expected(j, jobs)}
        if wrong:
            self.why = f"these did not end as they should: {wrong}"
        elif self.lab.breaches:
            self.why = f"{len(self.lab.breaches)} rules broken"
        else:
            self.good = True

    def expected(self, job: str, jobs: list[str]) -> str:
        """How a job should end: the service is cancelled, all else completes."""
        return "aborted" if job == jobs[2] else "done"

    def sweep(self) -> Generator[Any, Any, str | None]:
        """Submit the example sweep."""
        path = examples() / "sweep.json"
        if not path.exists():
            return None
        sweep = json.loads(path.read_text())
        status, answer = yield self.user("POST", "/api/sweeps", sweep)
        if status not in (200, 201):
            raise RuntimeError(f"the sweep was refused: {answer}")
        self.tell(f"submitted sweep {sweep['id']}: {answer['points']} points")
        return str(sweep["id"])

    def look(self, sweep: str) -> Generator[Any, Any, None]:
        """Ask how far the sweep is."""
        _, answer = yield self.user("GET", f"/api/sweeps/{sweep}")
        if self.states.get(sweep) != answer["state"]:
            self.states[sweep] = answer["state"]
            self.tell(
                f"sweep {sweep}: {answer['state']} ({answer['done']} of {answer['points']} points"
                f" done, {answer['failed']} failed)"
            )


def run(
    controllers: int, machines: int, time_scale: float, port: int, features: str, demo: bool
) -> int:
    """Bring the service up, until Ctrl-C or the end of the demonstration; the exit status."""
    from twisted.internet import reactor
    from twisted.internet.defer import inlineCallbacks
    from twisted.internet.error import CannotListenError

    tell = Told()
    lab = Loopback(reactor, controllers, time_scale, 1, features, tell)
    try:
        lab.start(machines, port)
    except CannotListenError:
        print(
            f"sagecove: port {port} is taken; name another one with --port (0: any)",
            file=sys.stderr,
        )
        lab.stop()
        return 1
    tell(f"users:       http://{lab.door}  (export SAGECOVE_CONTROLLERS={lab.door})")
    for node in lab.nodes:
        tell(f"controller {node.name}: {node.users}, log {node.log}")
    if demo:
        show = Demo(lab, tell)

        def ended(_: Any) -> None:
            reactor.stop()  # type: ignore[attr-defined]

        def failed(failure: Any) -> None:
            show.why = failure.getErrorMessage()
            show.good = False

        playing = inlineCallbacks(show.play)()
        playing.addTimeout(DEMO_MOST_S, reactor)
        playing.addErrback(failed)
        playing.addCallback(ended)
    else:
        tell("Ctrl-C ends all of it")
    reactor.run()  # type: ignore[attr-defined]
    if demo:
        tell("all jobs ended as they should" if show.good else f"FAILED: {show.why}")
        if not show.good:
            for node in lab.nodes:
                if os.path.exists(node.log):
                    with open(node.log, encoding="utf-8", errors="replace") as file:
                        print(f"--- end of {node.log}\n" + "".join(file.readlines()[-15:]))
    return 1 if lab.breaches or (demo and not show.good) else 0
