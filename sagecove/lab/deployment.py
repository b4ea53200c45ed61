"""An example deployment for tests and `sagecove dev`: machine types, settings and submissions.

The values are invented; the formats are those of PROTOCOL and DEPLOY.
"""

from typing import Any

import msgspec

from sagecove.config import Settings

REPORT_S = 2.0
LEASE_S = 12.0
CANCEL_S = 37.0
GANG_WAIT_S = 30.0

MACHINE_TYPES: list[dict[str, Any]] = [
    {
        "sku": "small",
        "vcpus": 4.0,
        "cards": 0,
        "memoryGb": 16.0,
        "cacheGb": 40.0,
        "pullGbPerS": 1.0,
        "price": 0.2,
        "spotPrice": 0.07,
        "bootS": 10.0,
        "ranges": ["a", "b"],
    },
    {
        "sku": "gpu",
        "vcpus": 16.0,
        "cards": 4,
        "memoryGb": 64.0,
        "cacheGb": 80.0,
        "pullGbPerS": 1.0,
        "price": 8.0,
        "spotPrice": 3.0,
        "bootS": 20.0,
        "ranges": ["a", "b"],
    },
]


TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 16.0, "cpus_max": 64.0, "gpus": 4, "gpus_max": 16},
    {"name": "blue", "cpus": 8.0, "cpus_max": 8.0, "gpus": 0, "gpus_max": 0},
    {"name": "guests", "cpus": 0.0, "cpus_max": 0.0},
]


def raw_controller_settings(
    node: int, nodes: int = 3, teams: list[dict[str, Any]] | None = None, **state: Any
) -> dict[str, Any]:
    """Return the content of controller `node`'s settings file, as the platform would write it."""
    return {
        "node": f"n{node}",
        "area": "a",
        "serve_on": f"10.0.0.{node}:80",
        "peer_listen": f"10.0.0.{node}:81",
        "members": [
            {"node": f"n{i}", "area": "a", "endpoint": f"10.0.0.{i}:81"}
            for i in range(nodes)
            if i != node
        ],
        "external": {"cloud": "10.1.0.1:1", "state": "10.1.0.2:1"},
        "cluster": {
            "size": nodes,
            "zones": ["a", "b"],
            "teams": TEAMS if teams is None else teams,
            "workers": {
                "report_s": REPORT_S,
                "lease_s": LEASE_S,
                "gang_wait_s": GANG_WAIT_S,
                "gang_peer_s": 5.0,
                "cancel_s": CANCEL_S,
            },
            "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 16, "txn_ops": 12, **state},
            "cloud": {"rps": 5.0, "list_lag_s": 4.0},
            "resources": {"core_share": 0.3, "ram_mb": 146.0, "fd_limit": 1000},
        },
    }


def controller_settings(
    node: int, nodes: int = 3, teams: list[dict[str, Any]] | None = None, **state: Any
) -> Settings:
    """Return the settings of controller number `node`."""
    return msgspec.convert(raw_controller_settings(node, nodes, teams, **state), Settings)


def job_submission(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission in wire names, with some of its fields replaced."""
    return {
        "nameId": f"run-{number:06d}",
        "herd": "c",
        "outfit": "red",
        "shape": "sweep",
        "rank": "normal",
        "hands": 1,
        "vcpus": 2.0,
        "cards": 0,
        "memoryGb": 4.0,
        "bundle": "img",
        "sizeGb": 1.0,
        "breeds": None,
        "range": None,
        "samePlace": False,
        "scatter": False,
        "borrowed": False,
        "reckonS": 5.0,
        "waypointS": 0.0,
        "stashS": 0.0,
        "dueS": None,
        **fields,
    }
