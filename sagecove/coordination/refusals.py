"""What users request for a job, as data that can wait for a read of the state service."""

import dataclasses
import enum
import logging

log = logging.getLogger("sagecove.users")


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedSubmission:
    """A submission that is refused unless its job was accepted earlier, under other conditions.

    `body_bytes` is the length of the request's body, `kept_bytes` that of the job as it would be
    kept; 0 if the body could not be decoded.
    """

    job_id: str
    status: int
    reason: str
    body_bytes: int
    kept_bytes: int

    def log(self) -> None:
        """Log that a user is told the refusal."""
        log.info(
            "refused job=%s status=%d bytes=%d kept_bytes=%d why=%s",
            *(self.job_id or "-", self.status, self.body_bytes, self.kept_bytes, self.reason),
        )


class Operation(enum.Enum):
    """What a user requests for a job."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"


# An operation, or a submission that is refused if the job turns out to be unknown.
RequestKind = Operation | RefusedSubmission
