"""Wires the owner to the sockets: commands in, effects out, on twisted's reactor."""

import gc
import logging
import time
from collections import deque
from random import Random
from typing import Any

import msgspec

from sagecove.config import Settings, split_address
from sagecove.coordination.effects import CallResult, IncomingRequest, OutgoingCall, Reply
from sagecove.coordination.owner import Owner
from sagecove.features import ChosenFeatures, feature_factory
from sagecove.transport.client import Client
from sagecove.transport.server import Exchange, Server

log = logging.getLogger("sagecove.service")

# Commands that come within this time are handled as one batch.
GATHER_S = 0.004


class Service:
    """A controller process."""

    def __init__(self, settings: Settings, reactor: Any, chosen: ChosenFeatures) -> None:
        self.settings = settings
        self.reactor = reactor
        self.owner = Owner(
            settings, Random(), time.monotonic(), time.time(), feature_factory(chosen)
        )
        self.queue: deque[IncomingRequest | CallResult] = deque()
        self.timer: Any = None
        self.scheduled = False
        self.encode = msgspec.json.Encoder().encode
        self.clients: dict[str, Client] = {}
        self.services = {
            "state": settings.services.state,
            "cloud": settings.services.cloud,
        }
        self.debug = log.isEnabledFor(logging.DEBUG)

    def start(self) -> None:
        """Listen, and begin."""
        most = self.settings.params.resources.fd_limit
        for address, handler, share in (
            (self.settings.listen, self._asked, 0.7),
            (self.settings.peer_listen, self._peer_asked, 0.1),
        ):
            host, port = split_address(address)
            pace = self.settings.params.workers.report_s
            factory = Server(handler, self.reactor, int(most * share), pace)
            self.reactor.listenTCP(port, factory, backlog=256, interface=host)
        log.info(
            "started node=%s listen=%s lease=%.2f",
            self.settings.node,
            self.settings.listen,
            self.settings.lease_s,
        )
        gc.collect()
        gc.freeze()
        self._run()

    def _asked(self, method: str, path: str, body: bytes, exchange: Exchange) -> None:
        self._put(IncomingRequest(method, path, body, exchange))

    def _peer_asked(self, method: str, path: str, body: bytes, exchange: Exchange) -> None:
        self._put(IncomingRequest(method, path, body, exchange, True))

    def _put(self, command: IncomingRequest | CallResult) -> None:
        self.queue.append(command)
        if not self.scheduled:
            self.scheduled = True
            self.reactor.callLater(GATHER_S, self._run)

    def _run(self) -> None:
        self.scheduled = False
        batch = list(self.queue)
        self.queue.clear()
        for effect in self.owner.handle(batch, time.monotonic(), time.time()):
            if isinstance(effect, Reply):
                self._reply(effect)
            else:
                self._call(effect)
        wait = self.owner.seconds_until_due()
        if self.timer is not None and self.timer.active():
            self.timer.reset(wait)
        else:
            self.timer = self.reactor.callLater(wait, self._run)

    def _reply(self, reply: Reply) -> None:
        if self.debug:
            log.debug("answer path=%s status=%d", reply.exchange.path, reply.status)
        reply.exchange.reply(reply.status, self.encode(reply.body), reply.retry_after)

    def _client(self, target: str) -> Client:
        address = self.services.get(target, target)
        client = self.clients.get(address)
        if client is None:
            if len(self.clients) > self.settings.params.resources.fd_limit // 4:
                self._drop_clients()
            host, port = split_address(address)
            most = 24 if target == "state" else 4
            client = Client(self.reactor, host, port, most, 2.0)
            self.clients[address] = client
        return client

    def _drop_clients(self) -> None:
        """Machines come and go: forget connections not used for a minute."""
        now = self.reactor.seconds()
        for address, client in list(self.clients.items()):
            if now - client.last_used_at > 60 and not client.busy and not client.queue:
                client.close_idle()
                del self.clients[address]

    def _call(self, call: OutgoingCall) -> None:
        try:
            client = self._client(call.target)
        except ValueError:
            self._put(CallResult(call.token, 0, b""))
            return
        body = None if call.body is None else self.encode(call.body)
        if body is None and call.method == "POST":
            body = b""
        token = call.token
        client.request(
            call.method.encode(),
            call.path,
            body,
            call.timeout_s,
            lambda status, data: self._put(CallResult(token, status, data)),
        )


def serve(settings: Settings, chosen: ChosenFeatures) -> None:
    """Run a controller until it is killed."""
    from twisted.internet import reactor

    Service(settings, reactor, chosen).start()
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
