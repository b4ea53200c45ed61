"""Stand-ins for the cases of this review: state service, cloud, workers, users and the platform.

They follow PROTOCOL and DEPLOY, use the standard library only, listen on 127.0.0.1 and run in one
asyncio loop. The controllers are started as separate processes with the `run` line of
deploy/service.toml. A case sets the `hold_*` hooks to delay single messages on their way.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
NODES = ["drover-0", "drover-1", "drover-2"]
WORKER_TIMEOUT_S = 4.0


def _team(name, cpus, cpus_max):
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


# Sizes and times of two deployments (BRIEF, kit/sites); one machine type and some teams of each.
SITES = {
    "karakoram-maps": {
        "zones": ["lahore-rack", "islamabad-rack", "gilgit-rack"],
        "workers": {
            "report_s": 1.5,
            "lease_s": 12.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 5.0,
            "cancel_s": 37.0,
        },
        "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 6.0, "list_lag_s": 5.0},
        "resources": {"core_share": 0.288, "ram_mb": 146.0, "fd_limit": 1000},
        "teams": [_team("print-desk", 40.0, 128.0), _team("guide-support", 24.0, 32.0)],
        "flavor": {
            "sku": "chikor-box",
            "vcpus": 4.0,
            "cards": 0,
            "memoryGb": 8.0,
            "cacheGb": 40.0,
            "pullGbPerS": 0.4,
            "price": 0.21,
            "spotPrice": 0.07,
            "bootS": 30.0,
        },
    },
    "prairie-codeshare": {
        "zones": ["regina-hall"],
        "workers": {
            "report_s": 3.0,
            "lease_s": 24.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 5.0,
            "cancel_s": 44.0,
        },
        "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 1.5, "list_lag_s": 10.0},
        "resources": {"core_share": 0.54, "ram_mb": 186.0, "fd_limit": 1200},
        "teams": [_team(f"platform-ops-{n:02}", 86.0, 2500.0) for n in range(16)],
        "flavor": {
            "sku": "wheat-small",
            "vcpus": 4.0,
            "cards": 0,
            "memoryGb": 16.0,
            "cacheGb": 35.0,
            "pullGbPerS": 0.6,
            "price": 0.17,
            "spotPrice": 0.05,
            "bootS": 30.0,
        },
    },
}


class CouldNotRun(Exception):
    """The case could not be played; `run.sh` then exits with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self.started_at:8.3f}  {text}", file=self.file, flush=True)


def free_port():
    """Return a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def submission(number, **fields):
    """Return a job's submission, with some fields replaced."""
    return {
        "nameId": f"run-{number:06d}",
        "herd": "print-export",
        "outfit": "print-desk",
        "shape": "sweep",
        "rank": "normal",
        "hands": 1,
        "vcpus": 2.0,
        "cards": 0.0,
        "memoryGb": 1.0,
        "bundle": "img-01",
        "sizeGb": 0.4,
        "breeds": None,
        "range": None,
        "samePlace": False,
        "scatter": False,
        "borrowed": False,
        "reckonS": 60.0,
        "waypointS": 0.0,
        "stashS": 0.0,
        "dueS": None,
        **fields,
    }


# -- HTTP ------------------------------------------------------------------------------------------


async def _read_message(reader):
    """Read one HTTP message; return its first line and its body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return lines[0], await reader.readexactly(length)


async def serve(handler, port=0):
    """Listen; `handler(method, path, body)` returns (status, answer), or None for no answer."""

    async def connected(reader, writer):
        try:
            while True:
                line, body = await _read_message(reader)
                method, path, _ = line.split(" ")
                result = await handler(method, path, json.loads(body) if body else None)
                if result is None:
                    continue
                raw = json.dumps(result[1]).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (result[0], len(raw))
                    + raw
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, HOST, port, backlog=256)
    return server, server.sockets[0].getsockname()[1]


async def request(address, method, path, body=None, timeout_s=5.0):
    """Send a request on a connection of its own; return (status, answer) or (None, why)."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            raw = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n".encode()
                + raw
            )
            line, answer = await _read_message(reader)
            return int(line.split(" ")[1]), json.loads(answer) if answer else None
    except TimeoutError:
        return None, "no response"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"connection failure: {error}"
    finally:
        if writer is not None:
            writer.close()


# -- state service ---------------------------------------------------------------------------------


class StateService:
    """Keys, transactions, leases and watches, with the limits of the settings."""

    def __init__(self, record, limits):
        self.record = record
        self.limits = limits
        self.ledger = 0
        self.keys = {}
        self.log = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.buckets = {
            name: [limits[name], time.monotonic()] for name in ("rps", "write_rps")
        }
        # Returns for a transaction, after it was carried out, how long its answer takes (s).
        self.hold_answer = lambda node, body: 0.0

    def _spend(self, name, amount):
        """Take from a limit that allows bursts of one second's worth; return whether it held."""
        rate, bucket, now = self.limits[name], self.buckets[name], time.monotonic()
        bucket[0] = min(rate, bucket[0] + (now - bucket[1]) * rate)
        bucket[1] = now
        if bucket[0] < amount:
            return False
        bucket[0] -= amount
        return True

    def _change(self, key, value, lease=None):
        if value is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = (value, self.ledger, lease)
        self.log.append((self.ledger, key, value))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        """End leases that were not renewed, never early."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    del self.leases[lease]
                    keys = [k for k, item in self.keys.items() if item[2] == lease]
                    if keys:
                        self.ledger += 1
                        for key in keys:
                            self._change(key, None)
                        self._wake()

    def commit(self, body):
        """Carry out a transaction; return status and answer."""
        if len(body["then"]) > self.limits["txn_ops"] or any(
            "put" in c and len(json.dumps(c["v"])) > self.limits["value_kb"] * 1024
            for c in body["then"]
        ):
            return 400, {"error": "too large"}
        if any(c.get("tenure") is not None and c["tenure"] not in self.leases for c in body["then"]):
            return 400, {"error": "no such lease"}
        failed = [
            c["path"]
            for c in body["if"]
            if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if body["then"]:
            self.ledger += 1
            for change in body["then"]:
                if "put" in change:
                    self._change(change["put"], change["v"], change.get("tenure"))
                elif change["drop"] in self.keys:
                    self._change(change["drop"], None)
            self._wake()
        return 200, {"ledger": self.ledger}

    def _events(self, prefix, since):
        latest = {}
        for revision, key, value in self.log:
            if revision > since and key.startswith(prefix):
                latest[key] = (revision, value)
        return [
            {"drop": k, "stamp": r} if v is None else {"put": k, "v": v, "stamp": r}
            for k, (r, v) in latest.items()
        ]

    async def handle(self, node, method, path, body):
        """Answer a controller's request."""
        await asyncio.sleep(0.002)
        if not self._spend("rps", 1):
            return 429, {}
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/commit":
            if not self._spend("write_rps", len(body["then"])):
                return 429, {}
            result = self.commit(body)
            held_s = self.hold_answer(node, body) if result[0] == 200 else 0.0
            if held_s:
                names = [c.get("put") or c.get("drop") for c in body["then"]]
                self.record(f"STATE   carried out {names} of {node}; its answer takes {held_s} s")
                await asyncio.sleep(held_s)
                self.record(f"STATE   answers {node}: {result}")
            return result
        if path == "/grants":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + body["lifeMs"] / 1000, body["lifeMs"] / 1000)
            return 200, {"tenure": lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.leases[lease] = (0.0, 0.0)
            else:
                length = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + length, length)
            return 200, {"tenure": lease}
        if path == "/watch":
            prefix, since = args["prefix"], int(args["from"])
            until = time.monotonic() + min(60.0, int(args.get("blockMs", 0)) / 1000)
            while not (events := self._events(prefix, since)) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except TimeoutError:
                    break
            return 200, {"ledger": self.ledger, "events": events}
        if path == "/store":
            found = sorted(
                k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("from", "")
            )
            page = found[: min(1000, int(args.get("most", 1000)))]
            return 200, {
                "pairs": [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in page],
                "truncated": len(found) > len(page),
                "ledger": self.ledger,
            }
        key = path.removeprefix("/store/")
        if key not in self.keys:
            return 404, {"ledger": self.ledger}
        value, stamp, lease = self.keys[key]
        return 200, {"path": key, "v": value, "stamp": stamp, "tenure": lease}


# -- cloud and workers -----------------------------------------------------------------------------


class Cloud:
    """A cloud with the machines of the start and no further capacity."""

    def __init__(self, lab):
        self.lab = lab

    async def handle(self, method, path, body):
        """Answer a controller's request."""
        await asyncio.sleep(0.04)
        if path == "/flavors":
            return 200, {"breeds": [self.lab.flavor]}
        if path == "/machines":
            return 503, {"error": "no capacity"}
        if path == "/machines/delete":
            for name in body["mounts"]:
                if (worker := self.lab.workers.pop(name, None)) is not None:
                    worker.gone()
            return 200, {}
        now = time.monotonic()
        return 200, {
            "mounts": [
                {
                    "nameId": w.name,
                    "addr": w.address,
                    "breed": self.lab.flavor["sku"],
                    "range": w.zone,
                    "borrowed": False,
                    "standing": "running",
                    "heldS": now - w.began_at,
                }
                for w in sorted(self.lab.workers.values(), key=lambda w: w.name)
                if now - w.began_at > self.lab.site["cloud"]["list_lag_s"]
            ],
            "truncated": False,
        }


class Worker:
    """The worker of one machine."""

    def __init__(self, lab, name, zone, node):
        self.lab, self.name, self.zone, self.node = lab, name, zone, node
        self.ride, self.tally, self.brand = 1, 0, 0
        self.tasks = {}
        self.report_s = lab.site["workers"]["report_s"]
        self.lease_s = lab.site["workers"]["lease_s"]
        # A faulty machine fails every task that it starts.
        self.faulty = False
        self.silent = False
        self.images = set()
        self.fetching = {}
        self.began_at = self.lease_from = time.monotonic()
        self.last_sent_at = -1e9
        self.wake = asyncio.Event()
        self.brand_told_at = -1e9
        self.address = ""
        self.jobs = []

    async def start(self):
        """Listen for commands, and begin to report."""
        self.server, port = await serve(self.handle)
        self.address = f"{HOST}:{port}"
        self.jobs = [asyncio.create_task(self._report()), asyncio.create_task(self._watch_lease())]

    def gone(self):
        """End the machine with all that is on it."""
        for task in list(self.tasks):
            self._leave(task, "machine gone")
        self.tasks = {}
        self.silent = True
        for job in self.jobs:
            job.cancel()
        self.server.close()

    # -- reports

    def report(self):
        """Return the next report."""
        self.tally += 1
        return {
            "mount": self.name,
            "addr": self.address,
            "breed": self.lab.flavor["sku"],
            "range": self.zone,
            "borrowed": False,
            "ride": self.ride,
            "tally": self.tally,
            "brand": self.brand,
            "warningS": None,
            "hands": [
                {"hand": name, "try": t["try"], "standing": t["standing"]}
                | ({"cause": t["cause"]} if t["standing"] == "exited" else {})
                for name, t in self.tasks.items()
            ],
        }

    async def _report(self):
        while True:
            body, ride = self.report(), self.ride
            sent_at = self.last_sent_at = time.monotonic()
            self.wake.clear()
            tasks = [(h["hand"], h["try"], h["standing"]) for h in body["hands"]]
            self.lab.record(f"REPORT  {self.name} -> {self.node} tally={body['tally']} {tasks}")
            node = self.node
            status, answer = await request(
                self.lab.addresses[node], "POST", "/hello", body, WORKER_TIMEOUT_S
            )
            held_s = self.lab.hold_report_answer(self, body, answer) if status == 200 else 0.0
            if held_s:
                self.lab.record(
                    f"NETWORK holds the answer to report {body['tally']} of {self.name}"
                    f" for {held_s} s: {answer['orders']}"
                )
                await asyncio.sleep(held_s)
                if time.monotonic() - sent_at > WORKER_TIMEOUT_S:
                    status = None
            pause_s = self._apply_answer(status, answer, sent_at, ride)
            if pause_s is None:
                due_s = self.report_s * random.uniform(0.75, 1.25)
                try:
                    await asyncio.wait_for(
                        self.wake.wait(), max(0.0, sent_at + due_s - time.monotonic())
                    )
                except TimeoutError:
                    pass
                pause_s = max(0.0, sent_at + 0.5 - time.monotonic())
            await asyncio.sleep(pause_s)

    def _apply_answer(self, status, answer, sent_at, ride):
        """Obey an answer to a report; return the pause before the next report, None: as usual."""
        if status == 200:
            if ride == self.ride and answer.get("brand", -1) >= self.brand:
                self._see_brand(answer["brand"])
                self.lease_from = sent_at
                if answer["orders"]:
                    self.lab.record(f"ORDERS  {self.name} by answer: {answer['orders']}")
                self._obey(answer["orders"])
            return None
        target = answer.get("foreman") if status == 421 else None
        if target in self.lab.addresses and target != self.node:
            self.node = target
            return random.uniform(0.0, 0.5)
        self.node = NODES[(NODES.index(self.node) + 1) % len(NODES)]
        return 1.0

    def _see_brand(self, brand):
        if brand > self.brand:
            self.brand = brand
            if time.monotonic() - self.brand_told_at > self.lease_s / 2:
                self.brand_told_at = time.monotonic()
                self.wake.set()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() - self.lease_from > self.lease_s:
                self.lab.record(f"WORKER  {self.name}: lease over")
                for task in list(self.tasks):
                    self._leave(task, "lease over")
                self.tasks = {}
                self.ride += 1
                self.lease_from = time.monotonic()
                self.wake.set()

    async def handle(self, method, path, body):
        """Answer a controller's direct request; a machine that is gone is silent."""
        if self.silent:
            return None
        if path == "/show":
            return 200, self.report()
        held_s = self.lab.hold_command(self, body)
        if held_s:
            self.lab.record(f"NETWORK holds a command to {self.name} for {held_s} s: {body}")
            await asyncio.sleep(held_s)
        if "brand" not in body or "ride" not in body:
            return 400, {}
        if body["brand"] < self.brand or body["ride"] != self.ride:
            return 409, self.report()
        self._see_brand(body["brand"])
        self.lab.record(f"ORDERS  {self.name} direct: {body['orders']}")
        self._obey(body["orders"])
        return 200, self.report()

    # -- tasks

    def _obey(self, orders):
        for order in orders:
            name, attempt, task = order["hand"], order["try"], self.tasks.get(order["hand"])
            if order["verb"] == "launch":
                if task is None or task["try"] != attempt:
                    self._launch(name, attempt)
            elif task is not None and task["try"] == attempt:
                if order["verb"] == "halt" and task["standing"] != "exited":
                    self._exit(name, attempt, "stopped")
                elif order["verb"] == "reap" and task["standing"] == "exited":
                    del self.tasks[name]
                    self.wake.set()

    def _launch(self, name, attempt):
        spec = self.lab.specs.get(name.rpartition("/")[0])
        old = self.tasks.get(name)
        if old is not None and old["standing"] != "exited":
            return  # `busy`: an attempt of this task is here; the old one stays in the reports.
        task = self.tasks[name] = {"try": attempt, "standing": "pulling", "cause": "", "spec": spec}
        self.wake.set()
        if spec is None:
            self._exit(name, attempt, "unknown")
            return
        used = [
            sum(
                t["spec"][field]
                for other, t in self.tasks.items()
                if other != name and t["standing"] != "exited"
            )
            for field in ("vcpus", "memoryGb")
        ]
        flavor = self.lab.flavor
        if used[0] + spec["vcpus"] > flavor["vcpus"] or used[1] + spec["memoryGb"] > flavor["memoryGb"]:
            self._exit(name, attempt, "full")
            return
        if spec["bundle"] in self.images:
            self._begin(name, task)
        else:
            asyncio.get_running_loop().create_task(self._fetch(name, task))

    async def _fetch(self, name, task):
        await asyncio.sleep(task["spec"]["sizeGb"] / self.lab.flavor["pullGbPerS"])
        self.images.add(task["spec"]["bundle"])
        if self.tasks.get(name) is task and task["standing"] == "pulling":
            self._begin(name, task)

    def _begin(self, name, task):
        """The task has its image: from now on it is on the machine."""
        task["standing"] = "running"
        self.wake.set()
        self.lab.task_began(self, name, task)
        if self.faulty:
            asyncio.get_running_loop().call_later(0.1, self._exit, name, task["try"], "error")
        elif task["spec"]["shape"] != "service":
            asyncio.get_running_loop().call_later(
                task["spec"]["reckonS"], self._exit, name, task["try"], "done"
            )

    def _exit(self, name, attempt, cause):
        task = self.tasks.get(name)
        if task is not None and task["try"] == attempt and task["standing"] != "exited":
            self._leave(name, cause)
            task["standing"], task["cause"] = "exited", cause
            self.wake.set()

    def complete(self, name):
        """Let a running task complete now: tasks take as long as they take."""
        self._exit(name, self.tasks[name]["try"], "done")

    def free_cpus(self):
        """Return the CPUs that no task takes, fetching tasks included."""
        return self.lab.flavor["vcpus"] - sum(
            t["spec"]["vcpus"] for t in self.tasks.values() if t["standing"] != "exited"
        )

    def _leave(self, name, cause):
        if self.tasks[name]["standing"] == "running":
            self.lab.task_left(self, name, self.tasks[name], cause)


# -- the whole -------------------------------------------------------------------------------------


class Lab:
    """All stand-ins, and the controllers."""

    def __init__(self, folder, site):
        self.site = SITES[site]
        self.flavor = {**self.site["flavor"], "ranges": self.site["zones"]}
        self.record = Record(folder / "record.txt")
        self.specs, self.workers, self.addresses = {}, {}, {}
        self.processes = {}
        self.temporary = Path(tempfile.mkdtemp(prefix="sagecove-review-"))
        self.state = StateService(self.record, self.site["state"])
        self.cloud = Cloud(self)
        self.hold_report_answer = lambda worker, report, answer: 0.0
        self.hold_command = lambda worker, body: 0.0
        # By task: the machines that it is on. And what the rule `ran_twice` forbids.
        self.on = {}
        self.ran_twice = []
        self.began = asyncio.Condition()
        self.numbers = itertools.count(1)
        # How often tasks have ended with an error; and those that have completed.
        self.failures = {}
        self.done = set()

    def task_began(self, worker, name, task):
        """Note a start, and check `ran_twice`: it starts on one machine while it is on another."""
        others = [machine for machine in self.on.get(name, ()) if machine != worker.name]
        self.record(f"START   {name} try={task['try']} on {worker.name}; on others: {others}")
        if others:
            self.record(f"BROKEN  ran_twice: {name} starts on {worker.name} while on {others}")
            self.ran_twice.append((name, worker.name, others))
        self.on.setdefault(name, set()).add(worker.name)

    def task_left(self, worker, name, task, cause):
        """Note that a task has left its machine."""
        self.record(f"END     {name} try={task['try']} on {worker.name}: {cause}")
        self.on[name].discard(worker.name)
        if cause == "error":
            self.failures[name] = self.failures.get(name, 0) + 1
        elif cause == "done":
            self.done.add(name)

    async def start(self, machines):
        """Start stand-ins, controllers, and the machines: (name, zone, node first reported to)."""
        asyncio.get_running_loop().create_task(self.state.expire_leases())
        _, cloud_port = await serve(self.cloud.handle)
        ports = {node: (free_port(), free_port()) for node in NODES}
        run_line = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"].split()
        for number, node in enumerate(NODES):

            async def state_handler(method, path, body, node=node):
                return await self.state.handle(node, method, path, body)

            _, state_port = await serve(state_handler)
            settings = {
                "node": node,
                "area": self.area(number),
                "serve_on": f"{HOST}:{ports[node][0]}",
                "peer_listen": f"{HOST}:{ports[node][1]}",
                "members": [
                    {"node": n, "area": self.area(i), "endpoint": f"{HOST}:{ports[n][1]}"}
                    for i, n in enumerate(NODES)
                    if n != node
                ],
                "external": {
                    "cloud": f"{HOST}:{cloud_port}",
                    "state": f"{HOST}:{state_port}",
                },
                "cluster": {
                    "size": 3,
                    "objectives": [],
                    "time_bound_ms": 5.0,
                    **{k: v for k, v in self.site.items() if k != "flavor"},
                },
            }
            path = self.temporary / f"{node}.json"
            path.write_text(json.dumps(settings))
            self.addresses[node] = settings["serve_on"]
            log = open(self.temporary / f"{node}.log", "wb")
            self.processes[node] = subprocess.Popen(
                [*run_line, str(path)],
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        for node in NODES:
            await self.until(lambda node=node: self.ready(node), 30, f"{node} is not ready")
        # The first report decides which controller takes a machine in.
        for name, zone, node in machines:
            self.workers[name] = worker = Worker(self, name, zone, node)
            await worker.start()
        await self.until(
            lambda: all(w.brand > 0 for w in self.workers.values()), 20, "machines are not taken in"
        )
        self.record(f"LAB     three controllers are ready, machines report: {machines}")

    def area(self, number):
        """Return the zone of a controller."""
        return self.site["zones"][number % len(self.site["zones"])]

    async def ready(self, node):
        """Return whether a controller answers its health check."""
        return (await request(self.addresses[node], "GET", "/ready", timeout_s=1.0))[0] == 200

    async def until(self, condition, timeout_s, why):
        """Wait for a condition; raise `CouldNotRun` if it does not hold in time."""
        until = time.monotonic() + timeout_s
        while True:
            held = condition()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return
            if time.monotonic() > until:
                raise CouldNotRun(why)
            await asyncio.sleep(0.01)

    async def ask(self, node, method, path, body=None, timeout_s=5.0):
        """Send a user's request to a controller, and record it with its answer."""
        number = next(self.numbers)
        what = f"{method} {path}" + (f" {body['nameId']}" if body else "")
        self.record(f"ASK {number:<3} {node}: {what}")
        status, answer = await request(self.addresses[node], method, path, body, timeout_s)
        self.record(f"ANS {number:<3} {node}: {what} -> {status} {answer}")
        return status, answer

    async def submit(self, node, spec):
        """Upload a job's description and submit it; raise `CouldNotRun` if it is not accepted."""
        self.specs[spec["nameId"]] = spec
        status, answer = await self.ask(node, "POST", "/api/jobs", spec)
        if status not in (200, 201):
            raise CouldNotRun(f"{spec['nameId']} was not accepted: {status} {answer}")

    def is_on(self, task, machine):
        """Return whether a task is on a machine."""
        return machine in self.on.get(task, ())

    def stop(self):
        """End all processes that were started, and keep their logs only on request."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(folder, site, machines, play):
    """Play a case; return 1 if `play` reports a broken rule, 0 if none, 2 if it could not run."""

    async def main():
        lab = Lab(folder, site)
        try:
            async with asyncio.timeout(116):
                await lab.start(machines)
                broken = await play(lab)
            lab.record(f"RESULT  {'broken: ' + broken if broken else 'the rule held'}")
            print(f"broken: {broken}" if broken else "the rule held")
            return 1 if broken else 0
        except (CouldNotRun, TimeoutError) as error:
            error = error if str(error) else "it took too long"
            lab.record(f"RESULT  could not run: {error}")
            print(f"could not run: {error}")
            return 2
        finally:
            lab.stop()

    return asyncio.run(main())
