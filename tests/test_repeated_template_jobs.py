"""A repeated submission of a job from a template is told the state of the job."""

from typing import Any

from tests.test_sweeps import point_job, sweep_world

JOB = "run-000001"


def template(*names: str) -> dict[str, Any]:
    """Return a template whose parameters have no default."""
    parameters = [{"name": name, "kind": "number"} for name in names]
    return {"name": "reindex", "parameters": parameters, "job": point_job(vcpus="${cpus}")}


def test_repeated_job_is_known_though_a_newer_version_would_refuse_it() -> None:
    # Guards against 422 for an accepted job: the newest version wants another parameter.
    world = sweep_world()
    world.add_spec({"nameId": JOB, **point_job(vcpus=1.0)})
    body = {"nameId": JOB, "values": {"cpus": 1.0}}
    path = "/api/templates/reindex/jobs"
    assert world.user_request("n0", "POST", "/api/templates", template("cpus"))[0] == 201
    assert world.user_request("n0", "POST", path, body)[0] == 201
    newer = template("cpus", "memory")
    newer["job"]["memoryGb"] = "${memory}"
    assert world.user_request("n0", "POST", "/api/templates", newer)[0] == 201
    for node in sorted(world.owners):
        status, answer = world.user_request(node, "POST", path, body)
        assert (status, answer["nameId"]) == (200, JOB)
        other = {**body, "nameId": "run-000002"}
        assert world.user_request(node, "POST", path, other)[0] == 422
