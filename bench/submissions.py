"""Sends many random submissions and looks for sound ones that are refused or doubled.

Usage: python -m bench.submissions COUNT [SEED]

Sends COUNT sound submissions in random spellings with unknown fields, each again in another
spelling to another controller, and as many unsound ones, to three controllers in the simulated
world. Prints the wrong answers and a line with the counts; ends with 1 if there are any.
"""

import dataclasses
import json
import sys
from functools import partial
from random import Random
from typing import Any

from sagecove.lab.deployment import job_submission
from sagecove.lab.submission_bodies import sound_body, unsound_body
from sagecove.lab.world import World, world_with_machines

# Jobs submitted together; they are cancelled before the next ones, so that no backlog grows.
ROUND_COUNT = 50
ROUND_S = 1.0


@dataclasses.dataclass
class Answers:
    """Numbers of answers by what was sent."""

    accepted_count: int = 0
    repeated_count: int = 0
    refused_count: int = 0
    wrong: list[str] = dataclasses.field(default_factory=list)

    def note(self, what: str, wanted: int, body: bytes, status: int | None, raw: bytes) -> None:
        """Count an answer; keep it if its status is not the wanted one."""
        if status != wanted:
            self.wrong.append(f"{what}: {status}, {wanted} wanted: {raw[:80]!r} {body[:200]!r}")
        elif wanted == 201:
            self.accepted_count += 1
        elif wanted == 200:
            self.repeated_count += 1
        else:
            self.refused_count += 1


def random_submission(random: Random, number: int) -> dict[str, Any]:
    """Return a sound submission with random known fields."""
    return job_submission(
        number,
        herd=random.choice(("c", "größe", "h" * random.randrange(1, 500))),
        bundle=random.choice(("img", "日本語", "b" * random.randrange(1, 500))),
        shape=random.choice(("sweep", "ensemble", "service")),
        rank=random.choice(("production", "urgent", "normal", "low")),
        hands=random.randrange(1, 9),
        vcpus=random.choice((0.1, 0.5, 1.0)),
        memoryGb=random.choice((0.1, 2.0)),
        breeds=random.choice((None, ["small"], ["small", "gpu", "unknown"])),
        range=random.choice((None, "a", "b")),
        borrowed=random.random() < 0.5,
        reckonS=random.choice((0.0, 5.0, 1e-3, 2e9, 1e300)),
        dueS=random.choice((None, 60.0, 1e12)),
    )


def send(world: World, node: str, body: bytes, answers: Answers, what: str, wanted: int) -> None:
    """Send a submission without waiting for its answer."""
    world.request_controller(
        node, "POST", "/api/jobs", body, partial(answers.note, what, wanted, body)
    )


def play_round(world: World, random: Random, first: int, answers: Answers) -> None:
    """Submit jobs, submit them again elsewhere, and cancel them."""
    submissions = [random_submission(random, first + offset) for offset in range(ROUND_COUNT)]
    for submission in submissions:
        name = submission["nameId"]
        world.add_spec(submission)
        body = sound_body(random, submission)
        send(world, random.choice(sorted(world.owners)), body, answers, f"sound {name}", 201)
        unsound = unsound_body(random, job_submission(first))
        send(world, random.choice(sorted(world.owners)), unsound, answers, "unsound", 400)
    world.run(ROUND_S)
    for submission in submissions:
        name = submission["nameId"]
        body = sound_body(random, submission)
        send(world, random.choice(sorted(world.owners)), body, answers, f"repeated {name}", 200)
    world.run(ROUND_S)
    for submission in submissions:
        world.start_user_request("n0", "POST", f"/api/jobs/{submission['nameId']}/cancel")
    world.run(ROUND_S)


def main(count: int, seed: int) -> int:
    """Play rounds until `count` jobs were submitted; return the process's exit status."""
    random, answers = Random(seed), Answers()
    world = world_with_machines(8)
    for first in range(1, count, ROUND_COUNT):
        play_round(world, random, first, answers)
    jobs = [key for key in world.state.keys if key.startswith(("s/job/", "o/"))]
    for line in answers.wrong[:50]:
        print(line)
    counts = {**dataclasses.asdict(answers), "wrong": len(answers.wrong), "jobs": len(jobs)}
    print(json.dumps({"seed": seed, "sent_count": count, **counts}))
    return 1 if answers.wrong or len(jobs) != answers.accepted_count else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1))
