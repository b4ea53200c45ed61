"""Routes incoming requests to the parts of the owner that answer them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sagecove.coordination.effects import IncomingRequest, Reply
from sagecove.protocol.users import Refusal

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


class RequestRouter:
    """Routes requests by path and method."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def handle(self, request: IncomingRequest) -> None:
        """Answer a request, or hand it to the part that does."""
        path = request.path.partition("?")[0]
        if request.from_peer:
            self.owner.peers.handle_request(request)
        elif path == "/hello":
            if request.method != "POST":
                self.owner.answers.refuse(request.exchange, 405, "POST only")
            else:
                self.owner.workers.handle_report(request.body, request.exchange)
        elif path == "/ready":
            self._handle_ready(request)
        elif path == "/api/jobs":
            if request.method != "POST":
                self.owner.answers.refuse(request.exchange, 405, "POST only")
            else:
                self.owner.users.submit(request.body, request.exchange)
        elif path.startswith("/api/jobs/"):
            job_id, _, action = path[len("/api/jobs/") :].partition("/")
            if action not in ("", "cancel"):
                self._handle_other_path(request)
            elif request.method != ("POST" if action else "GET"):
                self.owner.answers.refuse(request.exchange, 405, "wrong method")
            elif action:
                self.owner.users.cancel(job_id, request.exchange)
            else:
                self.owner.users.status(job_id, request.exchange)
        elif path == "/cluster" or path.startswith("/explain/"):
            self._handle_view(path, request)
        else:
            self._handle_other_path(request)

    def _handle_other_path(self, request: IncomingRequest) -> None:
        """Offer a path unknown to the core to the features, else answer 404."""
        if not self._feature_handles(request):
            self.owner.answers.refuse(request.exchange, 404, "no such path")

    def _feature_handles(self, request: IncomingRequest) -> bool:
        return any(feature.handle_request(request) for feature in self.owner.features)

    def _handle_view(self, path: str, request: IncomingRequest) -> None:
        """Answer the read-only views /cluster and /explain (not part of PROTOCOL) from memory."""
        # Rarely needed, so imported on demand.
        from sagecove.coordination import explain

        answers = self.owner.answers
        if request.method != "GET":
            answers.refuse(request.exchange, 405, "GET only")
        elif not self.owner.mirror.loaded:
            answers.refuse_for_now(request.exchange, "not ready")
        elif path == "/cluster":
            answers.report_view(request.exchange, explain.cluster_view(self.owner))
        elif (job := self.owner.jobs.get(path[len("/explain/") :])) is not None:
            answers.report_view(request.exchange, explain.explain_job(self.owner, job))
        elif not self._feature_handles(request):
            reason = "no job under way has this id; ask for its status"
            answers.refuse(request.exchange, 404, reason)

    def _handle_ready(self, request: IncomingRequest) -> None:
        if request.method not in ("GET", "HEAD"):
            self.owner.answers.refuse(request.exchange, 405, "GET only")
        elif self.is_ready():
            self.owner.effects.append(Reply(request.exchange, 200, {"ready": True}))
        else:
            self.owner.effects.append(Reply(request.exchange, 503, Refusal("not ready")))

    def is_ready(self) -> bool:
        """Return whether this controller can take requests, or is no worse off than its peers."""
        if not self.owner.mirror.loaded or not self.owner.machine_types:
            return False
        if self.owner.now - self.owner.sync.synced_at < 3.0:
            return True
        recent_hints = [
            hint for at, hint in self.owner.peers.hints.values() if self.owner.now - at < 3.0
        ]
        if not recent_hints and self.owner.settings.peers:
            # The process was paused, or it is cut off, perhaps together with its workers. Peers may
            # still reach the state service, while users connected to this node would get only 503.
            return False
        # In an outage of the state service all controllers are refused; leaving the load balancer
        # would only delay the recovery. If this node alone is refused, the others should answer.
        return not any(hint.connected for hint in recent_hints)
