"""Requests come in: who answers which path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.protocol.users import Refusal

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


class RequestRouter:
    """Routes."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def handle(self, ask: IncomingRequest) -> None:
        path = ask.path.partition("?")[0]
        if ask.from_peer:
            self.owner.peers.handle_request(ask)
        elif path == "/hello":
            if ask.method != "POST":
                self.owner.effects.append(Reply(ask.exchange, 405, Refusal("POST only")))
            else:
                self.owner.workers.handle_report(ask.body, ask.exchange)
        elif path == "/ready":
            self._ready(ask)
        elif path == "/api/jobs":
            if ask.method != "POST":
                self.owner.effects.append(Reply(ask.exchange, 405, Refusal("POST only")))
            else:
                self.owner.users.submit(ask.body, ask.exchange)
        elif path.startswith("/api/jobs/"):
            job_id, _, rest = path[len("/api/jobs/") :].partition("/")
            if rest not in ("", "cancel"):
                self._others(ask)
            elif ask.method != ("POST" if rest else "GET"):
                self.owner.effects.append(Reply(ask.exchange, 405, Refusal("wrong method")))
            elif rest:
                self.owner.users.cancel(job_id, ask.exchange)
            else:
                self.owner.users.status(job_id, ask.exchange)
        elif path == "/cluster" or path.startswith("/explain/"):
            self._view(path, ask)
        else:
            self._others(ask)

    def _others(self, ask: IncomingRequest) -> None:
        """A path that is none of the core's."""
        if not self._feature(ask):
            self.owner.effects.append(Reply(ask.exchange, 404, Refusal("no such path")))

    def _feature(self, ask: IncomingRequest) -> bool:
        return any(feature.handle_request(ask) for feature in self.owner.features)

    def _view(self, path: str, ask: IncomingRequest) -> None:
        """Read-only questions beside PROTOCOL, answered from memory."""
        # Hardly ever asked, so not loaded before.
        from sagecove.coordination import explain

        if ask.method != "GET":
            self.owner.effects.append(Reply(ask.exchange, 405, Refusal("GET only")))
        elif not self.owner.mirror.loaded:
            self.owner.effects.append(Reply(ask.exchange, 503, Refusal("not ready"), 1.0))
        elif path == "/cluster":
            self.owner.effects.append(Reply(ask.exchange, 200, explain.cluster_view(self.owner)))
        elif (job := self.owner.jobs.get(path[len("/explain/") :])) is not None:
            self.owner.effects.append(
                Reply(ask.exchange, 200, explain.explain_job(self.owner, job))
            )
        elif not self._feature(ask):
            self.owner.effects.append(
                Reply(
                    ask.exchange, 404, Refusal("no job under way has this id; ask for its status")
                )
            )

    def _ready(self, ask: IncomingRequest) -> None:
        if ask.method not in ("GET", "HEAD"):
            self.owner.effects.append(Reply(ask.exchange, 405, Refusal("GET only")))
        elif self.ready():
            self.owner.effects.append(Reply(ask.exchange, 200, {"ready": True}))
        else:
            self.owner.effects.append(Reply(ask.exchange, 503, Refusal("not ready")))

    def ready(self) -> bool:
        """Can take requests: or is no worse off than the other controllers."""
        if not self.owner.mirror.loaded or not self.owner.machine_types:
            return False
        if self.owner.now - self.owner.sync.synced_at < 3.0:
            return True
        heard = [hint for at, hint in self.owner.peers.hints.values() if self.owner.now - at < 3.0]
        if not heard and self.owner.settings.peers:
            # It stood still, or is alone, perhaps with its workers: others may be served, and users
            # whose connections it kept were told 503 for as long as that lasted.
            return False
        # In an outage of the state service everybody is refused: being taken out of balance would
        # only delay the return. Refused alone, this node lets the others answer.
        return not any(hint.connected for hint in heard)

    def retry_hint(self) -> float:
        """When a refused user should come back."""
        return 1.0 if self.owner.sync.connected() else 2.0
