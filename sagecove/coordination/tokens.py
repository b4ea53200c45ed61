"""The tokens of messages to workers, which are revisions of the state service.

A worker obeys the highest token it has seen. Terms and the revisions of records only grow, so a
token stands for one holder, and a worker that shows it refuses whatever earlier holders sent.
"""

from __future__ import annotations

from sagecove.coordination.model import Machine


def holder_token(term: int, machine: Machine) -> int:
    """Return the token of the messages that the holder of a term sends to a machine of its shard.

    `term` is the revision at which the shard got its holder; the machine's record may be newer.
    """
    return max(term, machine.stamp)
