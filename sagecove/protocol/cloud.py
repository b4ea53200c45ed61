"""Messages between controllers and the cloud."""

from typing import Annotated

import msgspec

NonNegative = Annotated[float, msgspec.Meta(ge=0)]


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
    """A machine type that the cloud offers."""

    name: str
    cpus: NonNegative
    memory_gb: NonNegative
    price: NonNegative
    zones: list[str]
    gpus: NonNegative = 0.0
    cache_gb: NonNegative = 0.0
    fetch_gb_per_s: NonNegative = 1.0
    spot_price: NonNegative | None = None
    boot_s: NonNegative = 30.0


class Types(msgspec.Struct, rename={"types": "breeds"}):
    """All machine types that the cloud offers."""

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
    """A request to rent machines."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Names(msgspec.Struct, rename={"machines": "mounts"}):
    """Names of machines: the answer to a rental, or a request to delete them."""

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
    """A machine as the cloud lists it."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    addr: str = ""
    age_s: float = 0.0


class Listing(msgspec.Struct, rename={"machines": "mounts", "more": "truncated"}):
    """A page of the cloud's list of machines."""

    machines: list[ListedMachine]
    more: bool = False


RENT_MAX_COUNT = 50
DELETE_MAX_COUNT = 100
LIST_PAGE_COUNT = 500
