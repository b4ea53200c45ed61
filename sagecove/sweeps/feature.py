"""Sweeps as a feature: their settings, and how they are made."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from sagecove.config import SettingsError
from sagecove.sweeps.manager import TXN_LEAST, SweepManager

if TYPE_CHECKING:
    from sagecove.coordination.owner import Owner


class Options(msgspec.Struct, forbid_unknown_fields=True):
    """`points_most`: the largest sweep. `window`: so many unclaimed points are jobs at a time."""

    points_most: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 100_000
    window: Annotated[int, msgspec.Meta(ge=32, le=5000)] = 384


def make(owner: Owner, options: Options) -> SweepManager:
    """The feature for an owner; `SettingsError` if the state service's limits are too low."""
    ops = owner.settings.params.state.txn_ops
    if ops < TXN_LEAST:
        raise SettingsError(
            f"sweeps need transactions of {TXN_LEAST} changes: `$.cluster.state.txn_ops` is {ops}"
        )
    return SweepManager(owner, options.points_most, options.window)
