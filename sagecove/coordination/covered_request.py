"""The evidence that an answer to a user is not older than the request; see `request_coverage`."""

import dataclasses
import enum


class Basis(enum.Enum):
    """What an answer rests on."""

    READ = "read"
    OWN_TRANSACTION = "own transaction"


@dataclasses.dataclass(frozen=True, slots=True)
class CoveredRequest:
    """A user's request with the revision, not older than the request, that its answer rests on."""

    exchange: object
    basis: Basis
    revision: int
