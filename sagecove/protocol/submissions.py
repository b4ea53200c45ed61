"""Decodes submissions of jobs, and shortens them to what the controllers keep.

Whether a submission is sound depends on the meaning of its known fields alone. Order, white space,
escapes, the spelling of numbers and unknown fields change nothing; docs/submissions.md lists what
is refused. A job that is kept satisfies the bounds of `Job`, which earlier builds can read.
"""

import hashlib
from collections.abc import Container
from typing import Annotated

import msgspec

from sagecove.protocol.decoding import MalformedMessage, decoder, replace_unpaired_surrogates
from sagecove.protocol.users import MAX_AMOUNT, MAX_NAME_LENGTH, MAX_TASK_COUNT, Job

# Of the hexadecimal digest that stands for a name that is too long to be kept.
DIGEST_LENGTH = 32

Amount = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
AMOUNT_FIELDS = (
    "cpus",
    "gpus",
    "memory_gb",
    "image_gb",
    "estimate_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)


class Submission(Job, frozen=True):
    """A job as its user writes it: names, amounts and lists are not bounded, counts may be decimal.

    Amounts may be of any size that a 64-bit float can hold.
    """

    klass: Name
    team: Name
    # Decimal here because 16.0 is the same number as 16; `Job` has a whole number.
    tasks: Annotated[float, msgspec.Meta(ge=1, le=MAX_TASK_COUNT)]  # type: ignore[assignment]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Name
    image_gb: Amount
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    types: list[Name] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None


_decode = decoder(Submission)


def decode_submission(body: bytes) -> Job:
    """Decode a submission; raises `MalformedMessage` if it is not JSON or a field is invalid.

    The names of the returned job may be of any length; see `job_to_keep`.
    """
    if not body.isascii():
        _require_utf8(body)
    submission = _decode(body)
    if not float(submission.tasks).is_integer():
        raise MalformedMessage("Expected a whole number - at `$.hands`")
    other_body = replace_unpaired_surrogates(body, b"?")
    if other_body != body and _decode(other_body) != submission:
        raise MalformedMessage("a known field holds an unpaired surrogate")
    fields = msgspec.structs.asdict(submission)
    fields["tasks"] = int(submission.tasks)
    for name in AMOUNT_FIELDS:
        if fields[name] is not None:
            # More than this fits no machine, or lasts longer than any deployment.
            fields[name] = min(fields[name], MAX_AMOUNT)
    if submission.types is not None:
        fields["types"] = list(dict.fromkeys(submission.types))
    return Job(**fields)


def job_to_keep(job: Job, offered_types: Container[str], limit_bytes: float) -> Job | None:
    """Return the job as it is kept, in `limit_bytes` bytes of JSON; None if that is not possible.

    The names of the class and the image only tell classes and images apart, so a digest stands for
    one that is too long. A long list of machine types is reduced to those that the cloud offers.
    Team and zone must be ones that the settings and the cloud name, which bounds their length.
    """
    job = _with_digests(job, MAX_NAME_LENGTH)
    types_too_long = any(len(name) > MAX_NAME_LENGTH for name in job.types or ())
    if types_too_long or encoded_bytes(job) > limit_bytes:
        job = _with_digests(job, DIGEST_LENGTH)
        if job.types is not None:
            offered = [name for name in job.types if name in offered_types]
            job = msgspec.structs.replace(job, types=offered)
    return job if encoded_bytes(job) <= limit_bytes else None


def encoded_bytes(job: Job) -> int:
    """Return the length of the job's JSON text in bytes."""
    return len(msgspec.json.encode(job))


def _with_digests(job: Job, max_length: int) -> Job:
    """Return the job with a digest in place of its class and image if their names are longer."""
    names = {
        field: hashlib.sha256(name.encode()).hexdigest()[:DIGEST_LENGTH]
        for field, name in (("klass", job.klass), ("image", job.image))
        if len(name) > max_length
    }
    return msgspec.structs.replace(job, **names) if names else job


def _require_utf8(body: bytes) -> None:
    try:
        body.decode()
    except UnicodeDecodeError as error:
        raise MalformedMessage(error) from None
