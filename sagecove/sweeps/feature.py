"""Defines the settings of the sweeps feature and creates the feature for a controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from sagecove.config import SettingsError
from sagecove.sweeps.manager import MIN_TXN_OP_COUNT, SweepManager

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


class Options(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the feature.

    `points_most` is the number of points of the largest sweep allowed, `window` the number of
    unclaimed points that are jobs at a time.
    """

    points_most: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 100_000
    window: Annotated[int, msgspec.Meta(ge=32, le=5000)] = 384


def make(owner: Owner, options: Options) -> SweepManager:
    """Creates the feature for an owner; raises `SettingsError` if the state service allows too few
    changes in a transaction."""
    ops = owner.settings.params.state.txn_ops
    if ops < MIN_TXN_OP_COUNT:
        raise SettingsError(
            f"sweeps need transactions of {MIN_TXN_OP_COUNT} changes: "
            f"`$.cluster.state.txn_ops` is {ops}"
        )
    return SweepManager(owner, options.points_most, options.window)
