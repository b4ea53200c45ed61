"""Connects the owner to the network: passes events to it and carries out its effects.

Everything runs on the reactor of twisted.
"""

import gc
import logging
import time
from collections import deque
from random import Random
from typing import Any

import msgspec

from sagecove.config import Settings, split_address
from sagecove.coordination.effects import (
    CallResult,
    Effect,
    IncomingRequest,
    OutgoingCall,
    Reply,
)
from sagecove.coordination.interfaces import TICK_S
from sagecove.coordination.owner import Owner
from sagecove.features import ChosenFeatures, feature_factory
from sagecove.transport.client import Client
from sagecove.transport.server import Exchange, Server

log = logging.getLogger("sagecove.service")

# Events that arrive within this time are handled as one batch.
BATCH_DELAY_S = 0.004


class Service:
    """A controller process."""

    def __init__(self, settings: Settings, reactor: Any, features: ChosenFeatures) -> None:
        self.settings = settings
        self.reactor = reactor
        self.owner = Owner(
            settings, Random(), time.monotonic(), time.time(), feature_factory(features)
        )
        self.queue: deque[IncomingRequest | CallResult] = deque()
        self.timer: Any = None
        self.run_scheduled = False
        self.encode = msgspec.json.Encoder().encode
        self.clients: dict[str, Client] = {}
        self.service_addresses = {
            "state": settings.services.state,
            "cloud": settings.services.cloud,
        }
        self.debug_enabled = log.isEnabledFor(logging.DEBUG)

    def start(self) -> None:
        """Listen on both addresses and run the owner for the first time."""
        max_connections = self.settings.params.resources.fd_limit
        for address, handler, share in (
            (self.settings.listen, self._user_request, 0.7),
            (self.settings.peer_listen, self._peer_request, 0.1),
        ):
            host, port = split_address(address)
            report_s = self.settings.params.workers.report_s
            factory = Server(handler, self.reactor, int(max_connections * share), report_s)
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

    def _user_request(self, method: str, path: str, body: bytes, exchange: Exchange) -> None:
        self._enqueue(IncomingRequest(method, path, body, exchange))

    def _peer_request(self, method: str, path: str, body: bytes, exchange: Exchange) -> None:
        self._enqueue(IncomingRequest(method, path, body, exchange, True))

    def _enqueue(self, event: IncomingRequest | CallResult) -> None:
        self.queue.append(event)
        if not self.run_scheduled:
            self.run_scheduled = True
            self.reactor.callLater(BATCH_DELAY_S, self._run)

    def _run(self) -> None:
        self.run_scheduled = False
        batch = list(self.queue)
        self.queue.clear()
        wait_s = TICK_S
        try:
            for effect in self.owner.handle(batch, time.monotonic(), time.time()):
                self._carry_out(effect)
            wait_s = self.owner.seconds_until_due()
        finally:
            if self.timer is not None and self.timer.active():
                self.timer.reset(wait_s)
            else:
                self.timer = self.reactor.callLater(wait_s, self._run)

    def _carry_out(self, effect: Effect) -> None:
        """Carry out an effect; an exception does not stop the effects beside it."""
        run = self.owner.containment.run
        if isinstance(effect, Reply):
            run("reply", self._reply, effect)
        elif not run("call", self._call, effect):
            self._enqueue(CallResult(effect.token, 0, b""))

    def _reply(self, reply: Reply) -> None:
        if self.debug_enabled:
            log.debug("answer path=%s status=%d", reply.exchange.path, reply.status)
        reply.exchange.reply(reply.status, self.encode(reply.body), reply.retry_after)

    def _client(self, target: str) -> Client:
        address = self.service_addresses.get(target, target)
        client = self.clients.get(address)
        if client is None:
            if len(self.clients) > self.settings.params.resources.fd_limit // 4:
                self._close_unused_clients()
            host, port = split_address(address)
            max_connections = 24 if target == "state" else 4
            client = Client(self.reactor, host, port, max_connections, 2.0)
            self.clients[address] = client
        return client

    def _close_unused_clients(self) -> None:
        """Close clients not used for a minute, as machines join and leave the cluster."""
        now = self.reactor.seconds()
        for address, client in list(self.clients.items()):
            if now - client.last_used_at > 60 and not client.busy and not client.queue:
                client.close_idle()
                del self.clients[address]

    def _call(self, call: OutgoingCall) -> None:
        try:
            client = self._client(call.target)
        except ValueError:
            self._enqueue(CallResult(call.token, 0, b""))
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
            lambda status, data: self._enqueue(CallResult(token, status, data)),
        )


def serve(settings: Settings, features: ChosenFeatures) -> None:
    """Run a controller process until it is killed."""
    from twisted.internet import reactor

    Service(settings, reactor, features).start()
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
