"""Routes the HTTP requests about sweeps, their points and templates."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

from sagecove.coordination.covered_request import CoveredRequest
from sagecove.coordination.effects import IncomingRequest
from sagecove.coordination.refusals import RequestKind
from sagecove.sweeps import records as sweep_records
from sagecove.sweeps.admission import RequestRefused
from sagecove.sweeps.interfaces import LiveSweeps
from sagecove.sweeps.lookup import SweepLookup
from sagecove.sweeps.point_routes import PointRoutes
from sagecove.sweeps.refusals import Refusals
from sagecove.sweeps.sweep_answers import SweepAnswers
from sagecove.sweeps.sweep_submissions import SweepSubmissions
from sagecove.sweeps.template_routes import TemplateRoutes

Handler = Callable[[IncomingRequest], None]
# Handlers by method.
Handlers = dict[str, Handler]


class Routes:
    """Creates the parts that answer requests, and routes requests to them."""

    def __init__(self, feature: LiveSweeps) -> None:
        self.owner = feature.owner
        self.refusals = Refusals(self.owner.answers)
        # In bytes: half the size limit of a value; the other half is left to data stored with it.
        max_value_bytes = self.owner.settings.params.state.value_kb * 512
        lookup = SweepLookup(feature, self.refusals)
        self.templates = TemplateRoutes(self.owner, self.refusals, max_value_bytes)
        self.sweeps = SweepAnswers(feature, lookup)
        self.submissions = SweepSubmissions(
            feature, self.sweeps, self.templates, lookup, self.refusals, max_value_bytes
        )
        self.points = PointRoutes(feature, lookup, self.refusals)

    def answer_point_request(self, kind: RequestKind, job_id: str, request: CoveredRequest) -> None:
        """Answer a request for a job id that is a point's and is no job on this controller."""
        self.points.answer_request(kind, job_id, request)

    def handle_request(self, incoming: IncomingRequest) -> bool:
        """Answer a request if its path belongs to sweeps; return whether it does."""
        path, _, query = incoming.path.partition("?")
        parts = path.strip("/").split("/")
        query_args = {key: values[-1] for key, values in parse_qs(query).items()}
        try:
            handler = self._handler(incoming.method, parts, query_args)
            if handler is None:
                return False
            if not self.owner.mirror.loaded or not self.owner.machine_types:
                self.owner.answers.refuse_for_now(incoming.exchange, "not ready")
                return True
            handler(incoming)
        except RequestRefused as refused:
            self.refusals.refuse(incoming.exchange, refused)
        return True

    def _handler(self, method: str, parts: list[str], query_args: dict[str, str]) -> Handler | None:
        # Fixed paths are matched before those that hold a sweep's or job's id or a template's name.
        handlers = self._fixed_handlers().get(tuple(parts))
        name = parts[2] if len(parts) > 2 else parts[-1]
        if handlers is None:
            handlers = self._named_handlers(name, query_args).get((*parts[:2], "*", *parts[3:]))
        if handlers is None and parts[0] == "explain" and len(parts) == 2:
            handlers = (
                {"GET": lambda incoming: self.points.explain_point(incoming, name)}
                if sweep_records.parse_point_id(name)
                else None
            )
        if handlers is None:
            return None
        if method not in handlers:
            raise RequestRefused(405, f"{' or '.join(handlers)} only")
        return handlers[method]

    def _fixed_handlers(self) -> dict[tuple[str, ...], Handlers]:
        return {
            ("api", "templates"): {
                "GET": self.templates.list_templates,
                "POST": self.templates.put_template,
            },
            ("api", "sweeps"): {
                "GET": self.sweeps.list_sweeps,
                "POST": self.submissions.submit,
            },
            ("api", "sweeps", "preview"): {"POST": self.submissions.preview},
        }

    def _named_handlers(
        self, name: str, query_args: dict[str, str]
    ) -> dict[tuple[str, ...], Handlers]:
        return {
            ("api", "templates", "*"): {
                "GET": lambda incoming: self.templates.show_template(incoming, name, query_args)
            },
            ("api", "templates", "*", "jobs"): {
                "POST": lambda incoming: self.templates.submit_from_template(incoming, name)
            },
            ("api", "sweeps", "*"): {"GET": lambda incoming: self.sweeps.status(incoming, name)},
            ("api", "sweeps", "*", "cancel"): {
                "POST": lambda incoming: self.sweeps.cancel(incoming, name)
            },
            ("api", "sweeps", "*", "retry"): {
                "POST": lambda incoming: self.submissions.retry(incoming, name)
            },
            ("api", "sweeps", "*", "points"): {
                "GET": lambda incoming: self.points.list_points(incoming, name, query_args)
            },
            ("api", "jobs", "*", "description"): {
                "GET": lambda incoming: self.points.describe_job(incoming, name)
            },
        }
