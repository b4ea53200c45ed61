"""The stand-ins on 127.0.0.1, and real controller processes between them.

`Loopback` is the site of the models in real time: every listener is on the loopback interface,
every port is one that was free. Users come by one door, which stands for the load balancer and for
the store that descriptions are uploaded to; the rules are checked on what passes through it.
"""

import json
import logging
import os
import socket
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import msgspec

from sagecove.lab import deployment
from sagecove.lab.fakes import AnswerCallback, FakeCloud, FakeStateService, FakeWorker
from sagecove.lab.rule_checker import RuleChecker, RuleViolation
from sagecove.transport.client import Client
from sagecove.transport.server import Exchange, Server

log = logging.getLogger("sagecove.lab")

HOST = "127.0.0.1"
# The platform has a controller that ended back after about this time.
CONTROLLER_RESTART_S = 3.0


def free_port() -> int:
    """A port that nobody listens on at the moment."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class ControllerProcess:
    """A controller process and where it listens. `ended` hears of each end."""

    def __init__(self, lab: "Loopback", number: int) -> None:
        self.lab = lab
        self.name = f"n{number}"
        self.users = f"{HOST}:{free_port()}"
        self.peers = f"{HOST}:{free_port()}"
        self.state = ""
        self.process: Any = None
        self.starts = 0
        self.log = os.path.join(lab.folder, f"{self.name}.log")

    def start(self) -> None:
        """Start the process; its log goes to a file."""
        lab = self.lab
        argv = [sys.executable, "-m", "sagecove", "serve", "--config", self.config]
        if lab.features:
            argv += ["--features", lab.features]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p or "." for p in sys.path)}
        env.setdefault("LOG_LEVEL", "info")
        with open(self.log, "ab") as file:
            self.process = lab.reactor.spawnProcess(
                lab.watcher(self), argv[0], argv, env, childFDs={0: 0, 1: 1, 2: file.fileno()}
            )
        self.starts += 1

    @property
    def config(self) -> str:
        """Path of its settings file."""
        return os.path.join(self.lab.folder, f"{self.name}.json")

    def kill(self) -> None:
        """End it with no signal that it could answer."""
        if self.process is not None:
            try:
                self.process.signalProcess("KILL")
            except Exception as error:  # twisted's ProcessExitedAlready: it was faster
                log.debug("already ended node=%s error=%s", self.name, error)

    def ended(self, status: Any) -> None:
        """Its process has ended: the platform starts it again."""
        self.process = None
        if not self.lab.stopping:
            how = f"signal {status.signal}" if status.signal else f"status {status.exitCode}"
            self.lab.tell(
                f"controller {self.name} ended ({how}), back in {CONTROLLER_RESTART_S:.0f} s"
            )
            self.lab.reactor.callLater(CONTROLLER_RESTART_S, self._again)

    def _again(self) -> None:
        if not self.lab.stopping and self.process is None:
            self.start()


class Loopback(RuleChecker):
    """State service, cloud, workers, users' door and controllers, in real time."""

    def __init__(
        self,
        reactor: Any,
        controllers: int = 3,
        time_scale: float = 1.0,
        seed: int = 1,
        features: str = "",
        tell: Callable[[str], None] = print,
    ) -> None:
        super().__init__()
        self.reactor = reactor
        self.random = Random(seed)
        self.time_scale = time_scale
        self.features = os.path.abspath(features) if features else ""
        self.tell = tell
        self.stopping = False
        self.breaches: list[str] = []
        self.temporary = tempfile.TemporaryDirectory(prefix="sagecove-dev-")
        self.folder = self.temporary.name
        self.clients: dict[str, Client] = {}
        self.listeners: dict[str, Any] = {}
        self.state = FakeStateService(self)
        self.state.page_size = 500
        self.cloud = FakeCloud(self)
        self.cloud.boot_s /= time_scale
        self.cloud.address_of = self._machine_address
        self.nodes = [ControllerProcess(self, n) for n in range(controllers)]
        self.door = ""

    # -- what the models need -------------------------------------------------------------------

    @property
    def now(self) -> float:  # type: ignore[override]
        """Seconds of the reactor's clock."""
        return float(self.reactor.seconds())

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay; a breach of a rule is noted and stops nothing."""
        self.reactor.callLater(delay, self._guarded, action)

    def _guarded(self, action: Callable[[], None]) -> None:
        try:
            action()
        except RuleViolation as breach:
            self.breach(str(breach))

    def breach(self, text: str) -> None:
        """A rule was broken."""
        self.breaches.append(text)
        self.tell(f"RULE BROKEN: {text}")

    def task_started(self, worker: FakeWorker, task: str) -> None:
        """A task starts; a breach is noted, and the task starts all the same."""
        self._guarded(lambda: RuleChecker.task_started(self, worker, task))

    def controller_names(self) -> list[str]:
        """Names of the controllers."""
        return [node.name for node in self.nodes]

    def request_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """A worker's request to a controller."""
        address = next(n.users for n in self.nodes if n.name == node)
        self.request(address, method, path, json.dumps(body).encode(), 4.0, answer)

    def machine_booted(self, name: str) -> None:
        """A rented machine has come up."""
        if name in self.cloud.machines:
            self.cloud.machines[name]["standing"] = "running"
            worker = self.workers[name] = FakeWorker(self, name, self.cloud.machines[name])
            worker.task_run_s = None
            worker.speed_factor = self.time_scale

    def fetch_description(self, job_id: str, done: Callable[[dict[str, Any] | None], None]) -> None:
        """What the user uploaded; a sweep's point is described by any controller."""
        if job_id in self.specs:
            done(self.specs[job_id])
            return
        waiting = [node.users for node in self.nodes]
        self.random.shuffle(waiting)

        def ask() -> None:
            if not waiting:
                done(None)
                return
            path = f"/api/jobs/{job_id}/description"
            self.request(waiting.pop(), "GET", path, None, 2.0, answered)

        def answered(status: int | None, body: bytes) -> None:
            if status == 200:
                self.specs[job_id] = json.loads(body)
                done(self.specs[job_id])
            else:
                ask()

        ask()

    # -- sockets --------------------------------------------------------------------------------

    def listen(self, handler: Callable[[str, str, bytes, Exchange], None], port: int = 0) -> Any:
        """Listen on a port of the loopback interface."""
        return self.reactor.listenTCP(
            port, Server(handler, self.reactor, 4000), backlog=512, interface=HOST
        )

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout: float,
        done: AnswerCallback,
    ) -> None:
        """Send a request."""
        client = self.clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = self.clients[address] = Client(self.reactor, host, int(port), 200, 2.0)
        client.request(method.encode(), path, body, timeout, done)

    def _serve(
        self, handle: Callable[[str, str, Any, AnswerCallback], None]
    ) -> Callable[[str, str, bytes, Exchange], None]:
        """A listener's handler around a model's."""

        def handler(method: str, path: str, raw: bytes, exchange: Exchange) -> None:
            try:
                body = json.loads(raw) if raw else None
            except ValueError:
                exchange.reply(400, b'{"error":"not JSON"}')
                return
            answered: list[int] = []

            def answer(status: int | None, content: bytes) -> None:
                # No answer: the asker is left to its own patience.
                if status is not None and not answered:
                    answered.append(status)
                    exchange.reply(status, content)

            self._guarded(lambda: handle(method, path, body, answer))

        return handler

    def _machine_address(self, name: str) -> str:
        def handle(method: str, path: str, body: Any, answer: AnswerCallback) -> None:
            worker = self.workers.get(name)
            if worker is None or worker.isolated or worker.direct_commands_blocked:
                return
            if path == "/commands":
                answer(*worker.handle_commands(body))
            else:
                answer(200, json.dumps(worker.report_body()).encode())

        port = self.listeners[name] = self.listen(self._serve(handle))
        return f"{HOST}:{port.getHost().port}"

    # -- users ----------------------------------------------------------------------------------

    def _user(self, method: str, path: str, raw: bytes, exchange: Exchange) -> None:
        """The users' door: takes a request to a controller that answers, and reads along."""
        upload: dict[str, Any] = {}
        if (method, path) == ("POST", "/api/jobs"):
            try:
                upload = json.loads(raw)
                self.specs.setdefault(upload["nameId"], upload)
            except (ValueError, TypeError, KeyError):
                upload = {}
        left = [node.users for node in self.nodes]
        self.random.shuffle(left)

        def ask() -> None:
            self.request(left.pop(), method, path, raw or None, 5.0, answered)

        def answered(status: int | None, body: bytes) -> None:
            if status in (None, 0, 503) and left:
                ask()
                return
            self._guarded(lambda: self._read_along(path, upload, status, body))
            exchange.reply(status or 504, body or b'{"error":"no controller answers"}')

        ask()

    def _read_along(
        self, path: str, upload: dict[str, Any], status: int | None, body: bytes
    ) -> None:
        parts = path.split("/")
        if parts[:3] != ["", "api", "jobs"] or len(parts) > 4 and parts[4] != "cancel":
            return
        job_id = upload.get("nameId", "") if upload else parts[3] if len(parts) > 3 else ""
        if job_id in self.specs:
            content = json.loads(body) if body else None
            self.record_answer(job_id, status or 0, content, submitted=bool(upload))

    # -- start and end --------------------------------------------------------------------------

    def start(self, machines: int = 4, port: int = 0) -> None:
        """Listen, write the settings files, start machines and controllers."""
        cloud = self.listen(self._serve(self.cloud.handle_request))
        cloud_at = f"{HOST}:{cloud.getHost().port}"
        for node in self.nodes:
            state = self.listen(self._serve(partial(self.state.handle_request, node.name)))
            node.state = f"{HOST}:{state.getHost().port}"
        for number, node in enumerate(self.nodes):
            raw = deployment.raw_controller_settings(number, len(self.nodes))
            raw["serve_on"], raw["peer_listen"] = node.users, node.peers
            raw["external"] = {"cloud": cloud_at, "state": node.state}
            others = {n.name: n.peers for n in self.nodes}
            for member in raw["members"]:
                member["endpoint"] = others[member["node"]]
            with open(node.config, "wb") as file:
                file.write(msgspec.json.format(msgspec.json.encode(raw), indent=2))
            node.start()
        for number in range(machines):
            self.cloud.start_machine("small", "ab"[number % 2], False, 0.5)
        door = self.listen(self._user, port)
        self.door = f"{HOST}:{door.getHost().port}"
        self.reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self._tick()

    def _tick(self) -> None:
        """The state service ends leases, and the rules are looked at, many times a second."""
        if self.stopping:
            return
        self.state.tick()
        self._guarded(self.check_rules)
        for name in [n for n in self.listeners if n not in self.cloud.machines]:
            self.listeners.pop(name).stopListening()
        self.reactor.callLater(0.02, self._tick)

    def watcher(self, node: ControllerProcess) -> Any:
        """What hears of a controller process's end."""
        from twisted.internet.protocol import ProcessProtocol

        class Watcher(ProcessProtocol):  # type: ignore[misc]
            def processEnded(self, reason: Any) -> None:
                node.ended(reason.value)

        return Watcher()

    def stop(self) -> None:
        """End everything that was started here."""
        if self.stopping:
            return
        self.stopping = True
        for node in self.nodes:
            node.kill()
        if not self.breaches:
            self.temporary.cleanup()
