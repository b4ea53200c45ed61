"""A local cluster: fake systems on 127.0.0.1 and real controller processes.

`Loopback` is the environment of the fakes in real time. Every listener uses a free port of the
loopback interface. All users' requests pass through one address, which replaces the load balancer
and the store that job descriptions are uploaded to; the rules are checked on what passes through.
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
from sagecove.lab.answer_history import RuleViolation
from sagecove.lab.fakes import AnswerCallback, FakeCloud, FakeStateService, FakeWorker
from sagecove.lab.message_copies import CopiedRequest, MessageCopies, RequestKind
from sagecove.lab.rule_checker import RuleChecker
from sagecove.transport.client import Client
from sagecove.transport.server import Exchange, Server

log = logging.getLogger("sagecove.lab")

HOST = "127.0.0.1"
# The platform restarts an ended controller after about this time.
CONTROLLER_RESTART_S = 3.0
# Shortest and longest time after which a copy of a direct command arrives.
COMMAND_COPY_DELAY_S = (0.2, 8.0)


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class ControllerProcess:
    """A controller process, its addresses and files; it is restarted whenever it ends."""

    def __init__(self, lab: "Loopback", number: int) -> None:
        self.lab = lab
        self.name = f"n{number}"
        self.user_address = f"{HOST}:{free_port()}"
        self.peer_address = f"{HOST}:{free_port()}"
        self.state_address = ""
        self.process: Any = None
        self.start_count = 0
        self.log_path = os.path.join(lab.folder, f"{self.name}.log")

    def start(self) -> None:
        """Start the process with its log written to a file."""
        lab = self.lab
        argv = [sys.executable, "-m", "sagecove", "serve", "--config", self.settings_path]
        if lab.features:
            argv += ["--features", lab.features]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p or "." for p in sys.path)}
        env.setdefault("LOG_LEVEL", "info")
        with open(self.log_path, "ab") as file:
            self.process = lab.reactor.spawnProcess(
                lab.process_protocol(self),
                argv[0],
                argv,
                env,
                childFDs={0: 0, 1: 1, 2: file.fileno()},
            )
        self.start_count += 1

    @property
    def settings_path(self) -> str:
        """The path of the controller's settings file."""
        return os.path.join(self.lab.folder, f"{self.name}.json")

    def kill(self) -> None:
        """Kill the process with a signal that it cannot handle."""
        if self.process is not None:
            try:
                self.process.signalProcess("KILL")
            except Exception as error:  # twisted's ProcessExitedAlready
                log.debug("already ended node=%s error=%s", self.name, error)

    def process_ended(self, status: Any) -> None:
        """Schedule the restart of the ended process, as the platform would."""
        self.process = None
        if not self.lab.stopping:
            end_text = f"signal {status.signal}" if status.signal else f"status {status.exitCode}"
            self.lab.report_progress(
                f"controller {self.name} ended ({end_text}), back in {CONTROLLER_RESTART_S:.0f} s"
            )
            self.lab.reactor.callLater(CONTROLLER_RESTART_S, self._restart)

    def _restart(self) -> None:
        if not self.lab.stopping and self.process is None:
            self.start()


class Loopback(RuleChecker):
    """Runs the fakes, the users' address and the controller processes in real time."""

    def __init__(
        self,
        reactor: Any,
        controllers: int = 3,
        time_scale: float = 1.0,
        seed: int = 1,
        features: str = "",
        report_progress: Callable[[str], None] = print,
    ) -> None:
        super().__init__()
        self.reactor = reactor
        self.random = Random(seed)
        self.time_scale = time_scale
        self.features = os.path.abspath(features) if features else ""
        self.report_progress = report_progress
        self.stopping = False
        self.violations: list[str] = []
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="sagecove-dev-")
        self.folder = self.temporary_folder.name
        self.clients: dict[str, Client] = {}
        self.listeners: dict[str, Any] = {}
        self.state = FakeStateService(self)
        self.state.page_size = 500
        self.cloud = FakeCloud(self)
        self.cloud.boot_s /= time_scale
        self.cloud.address_of = self._machine_address
        self.processes = [ControllerProcess(self, n) for n in range(controllers)]
        self.user_address = ""
        self.message_copies = MessageCopies(self.call_later)

    def copy_commands(self, share: float) -> None:
        """From now on let this share of the executed direct commands arrive once more."""

        def delays_s(request: CopiedRequest) -> tuple[float, ...]:
            if self.random.random() >= share:
                return ()
            return (self.random.uniform(*COMMAND_COPY_DELAY_S),)

        self.message_copies.delays_s = delays_s

    # -- environment of the fakes ---------------------------------------------------------------

    @property
    def now(self) -> float:  # type: ignore[override]
        """The time of the reactor's clock in seconds."""
        return float(self.reactor.seconds())

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay; a broken rule is recorded and does not stop the cluster."""
        self.reactor.callLater(delay_s, self._run_checked, action)

    def _run_checked(self, action: Callable[[], None]) -> None:
        try:
            action()
        except RuleViolation as violation:
            self.record_violation(str(violation))

    def record_violation(self, text: str) -> None:
        """Record and print that a rule was broken."""
        self.violations.append(text)
        self.report_progress(f"RULE BROKEN: {text}")

    def task_started(self, worker: FakeWorker, task: str) -> None:
        """Check a task start; if it breaks a rule, that is recorded and the task starts anyway."""
        self._run_checked(lambda: RuleChecker.task_started(self, worker, task))

    def lease_renewed(self, worker: FakeWorker, reported_attempts: dict[str, int]) -> None:
        """Check what an answer left of the reported tasks, and report broken rules."""
        self._run_checked(lambda: RuleChecker.lease_renewed(self, worker, reported_attempts))

    def controller_names(self) -> list[str]:
        """Return the names of the controllers."""
        return [node.name for node in self.processes]

    def request_controller(
        self, node: str, method: str, path: str, body: Any, answer: AnswerCallback
    ) -> None:
        """Send a worker's request to a controller."""
        address = next(n.user_address for n in self.processes if n.name == node)
        self.send_request(address, method, path, json.dumps(body).encode(), 4.0, answer)

    def machine_booted(self, name: str) -> None:
        """Start the worker of a rented machine, unless the machine has been deleted."""
        if name in self.cloud.machines:
            self.cloud.machines[name]["standing"] = "running"
            worker = self.workers[name] = FakeWorker(self, name, self.cloud.machines[name])
            worker.task_run_s = None
            worker.speed_factor = self.time_scale

    def fetch_description(
        self, job_id: str, callback: Callable[[dict[str, Any] | None], None]
    ) -> None:
        """Call back with what a user uploaded; points of sweeps are fetched from any controller."""
        if job_id in self.specs:
            callback(self.specs[job_id])
            return
        untried = [node.user_address for node in self.processes]
        self.random.shuffle(untried)

        def ask_next() -> None:
            if not untried:
                callback(None)
                return
            path = f"/api/jobs/{job_id}/description"
            self.send_request(untried.pop(), "GET", path, None, 2.0, answered)

        def answered(status: int | None, body: bytes) -> None:
            if status == 200:
                self.specs[job_id] = json.loads(body)
                callback(self.specs[job_id])
            else:
                ask_next()

        ask_next()

    # -- sockets --------------------------------------------------------------------------------

    def listen(self, handler: Callable[[str, str, bytes, Exchange], None], port: int = 0) -> Any:
        """Listen on a port of the loopback interface."""
        return self.reactor.listenTCP(
            port, Server(handler, self.reactor, 4000), backlog=512, interface=HOST
        )

    def send_request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        callback: AnswerCallback,
    ) -> None:
        """Send an HTTP request and call back with status and body."""
        client = self.clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = self.clients[address] = Client(self.reactor, host, int(port), 200, 2.0)
        client.request(method.encode(), path, body, timeout_s, callback)

    def _http_handler(
        self, handle: Callable[[str, str, Any, AnswerCallback], None]
    ) -> Callable[[str, str, bytes, Exchange], None]:
        """Return an HTTP handler that passes JSON requests to a fake's handler."""

        def handler(method: str, path: str, raw: bytes, exchange: Exchange) -> None:
            try:
                body = json.loads(raw) if raw else None
            except ValueError:
                exchange.reply(400, b'{"error":"not JSON"}')
                return
            answered: list[int] = []

            def answer(status: int | None, content: bytes) -> None:
                # Without a status, nothing is sent and the client runs into its timeout.
                if status is not None and not answered:
                    answered.append(status)
                    exchange.reply(status, content)

            self._run_checked(lambda: handle(method, path, body, answer))

        return handler

    def _machine_address(self, name: str) -> str:
        def handle(method: str, path: str, body: Any, answer: AnswerCallback) -> None:
            worker = self.workers.get(name)
            if worker is None or worker.isolated or worker.direct_commands_blocked:
                return
            if path == "/commands":
                status, report = worker.handle_commands(body)
                answer(status, report)
                if status == 200:
                    self.message_copies.schedule(
                        CopiedRequest(RequestKind.COMMAND, "", name, body),
                        lambda: self._deliver_command_copy(worker, body),
                    )
            else:
                answer(200, json.dumps(worker.report_body()).encode())

        port = self.listeners[name] = self.listen(self._http_handler(handle))
        return f"{HOST}:{port.getHost().port}"

    def _deliver_command_copy(self, worker: FakeWorker, body: Any) -> None:
        if not worker.dead:
            status, _ = worker.handle_commands(body)
            self.message_copies.command_copy_statuses[status] += 1

    # -- users ----------------------------------------------------------------------------------

    def _forward_user_request(self, method: str, path: str, raw: bytes, exchange: Exchange) -> None:
        """Forward a user's request to a controller that answers, and check the answer."""
        upload: dict[str, Any] = {}
        if (method, path) == ("POST", "/api/jobs"):
            try:
                upload = json.loads(raw)
                self.specs.setdefault(upload["nameId"], upload)
            except (ValueError, TypeError, KeyError):
                upload = {}
        untried = [node.user_address for node in self.processes]
        self.random.shuffle(untried)

        def ask_next() -> None:
            self.send_request(untried.pop(), method, path, raw or None, 5.0, answered)

        def answered(status: int | None, body: bytes) -> None:
            if status in (None, 0, 503) and untried:
                ask_next()
                return
            self._run_checked(lambda: self._check_user_answer(path, upload, status, body))
            exchange.reply(status or 504, body or b'{"error":"no controller answers"}')

        ask_next()

    def _check_user_answer(
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
        """Open the listeners, write the settings files and start machines and controllers."""
        cloud_listener = self.listen(self._http_handler(self.cloud.handle_request))
        cloud_address = f"{HOST}:{cloud_listener.getHost().port}"
        for node in self.processes:
            state_listener = self.listen(
                self._http_handler(partial(self.state.handle_request, node.name))
            )
            node.state_address = f"{HOST}:{state_listener.getHost().port}"
        for number, node in enumerate(self.processes):
            raw = deployment.raw_controller_settings(number, len(self.processes))
            raw["serve_on"], raw["peer_listen"] = node.user_address, node.peer_address
            raw["external"] = {"cloud": cloud_address, "state": node.state_address}
            peer_addresses = {n.name: n.peer_address for n in self.processes}
            for member in raw["members"]:
                member["endpoint"] = peer_addresses[member["node"]]
            with open(node.settings_path, "wb") as file:
                file.write(msgspec.json.format(msgspec.json.encode(raw), indent=2))
            node.start()
        for number in range(machines):
            self.cloud.start_machine("small", "ab"[number % 2], False, 0.5)
        user_listener = self.listen(self._forward_user_request, port)
        self.user_address = f"{HOST}:{user_listener.getHost().port}"
        self.reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self._tick()

    def _tick(self) -> None:
        """Advance the state service and check the rules, every 20 ms."""
        if self.stopping:
            return
        self.state.tick()
        self._run_checked(self.check_rules)
        for name in [n for n in self.listeners if n not in self.cloud.machines]:
            self.listeners.pop(name).stopListening()
        self.reactor.callLater(0.02, self._tick)

    def process_protocol(self, node: ControllerProcess) -> Any:
        """Return the protocol that reports the end of a controller's process."""
        from twisted.internet.protocol import ProcessProtocol

        class EndWatcher(ProcessProtocol):  # type: ignore[misc]
            def processEnded(self, reason: Any) -> None:
                node.process_ended(reason.value)

        return EndWatcher()

    def stop(self) -> None:
        """Kill the controllers; delete their files unless a rule was broken."""
        if self.stopping:
            return
        self.stopping = True
        for node in self.processes:
            node.kill()
        if not self.violations:
            self.temporary_folder.cleanup()
