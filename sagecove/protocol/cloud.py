"""Messages between controllers and the cloud."""

from typing import Annotated

import msgspec

Amount = Annotated[float, msgspec.Meta(ge=0)]


class MachineType(
    msgspec.Struct,
    rename={
        "name": "sku",
        "cpus": "vcpus",
        "gpus": "cards",
        "memory_gb": "memoryGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "pullGbPerS",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "ranges",
    },
    frozen=True,
):
    """A machine type on offer."""

    name: str
    cpus: Amount
    memory_gb: Amount
    price: Amount
    zones: list[str]
    gpus: Amount = 0.0
    cache_gb: Amount = 0.0
    fetch_gb_per_s: Amount = 1.0
    spot_price: Amount | None = None
    boot_s: Amount = 30.0


class Types(msgspec.Struct, rename={"types": "breeds"}):
    """All types on offer."""

    types: list[MachineType]


class RentRequest(
    msgspec.Struct,
    rename={
        "request": "hire",
        "type": "breed",
        "zone": "range",
        "spot": "borrowed",
        "count": "howMany",
    },
):
    """A rental request."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Names(msgspec.Struct, rename={"machines": "mounts"}):
    """Machine names: a rental's answer, or a deletion's request."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "name": "nameId",
        "type": "breed",
        "zone": "range",
        "spot": "borrowed",
        "state": "standing",
        "age_s": "heldS",
    },
):
    """A machine in the cloud's list."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    addr: str = ""
    age_s: float = 0.0


class Listing(msgspec.Struct, rename={"machines": "mounts", "more": "truncated"}):
    """A page of the cloud's list."""

    machines: list[ListedMachine]
    more: bool = False


RENT_MAX_COUNT = 50
DELETE_MAX_COUNT = 100
LIST_PAGE_COUNT = 500
