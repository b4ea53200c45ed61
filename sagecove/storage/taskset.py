"""Sets of task numbers, represented as integers with one bit per task.

The text form lists runs such as "0-15,20". When those grow long it is "b" and a base-85 bitmap, so
that the record of the largest job stays below the value limit of the state service in whatever
order its tasks finish.
"""

import base64
import re
from collections.abc import Iterator

# Runs of numbers, or "b" and a base-85 bitmap.
_TEXT_FORM = re.compile(
    r"(?:\d{1,6}(?:-\d{1,6})?(?:,|\Z))*+\Z|b[0-9A-Za-z!#$%&()*+;<=>?@^_`{|}~-]*+\Z", re.ASCII
)


def full(count: int) -> int:
    """Return the set of all tasks of a job with `count` tasks."""
    return (1 << count) - 1


def members(bits: int) -> Iterator[int]:
    """Yield the task numbers of a set in ascending order."""
    base = 0
    while bits:
        if not bits & 0xFFFFFFFF:
            zeros = (bits & -bits).bit_length() - 1
            bits >>= zeros
            base += zeros
        word = bits & 0xFFFFFFFF
        while word:
            low = word & -word
            yield base + low.bit_length() - 1
            word ^= low
        bits >>= 32
        base += 32


def lowest(bits: int, count: int) -> int:
    """Return the set of the `count` smallest members."""
    if bits.bit_count() <= count:
        return bits
    result = 0
    for position, index in enumerate(members(bits)):
        if position >= count:
            break
        result |= 1 << index
    return result


def encode(bits: int) -> str:
    """Return the text form of a set."""
    runs: list[str] = []
    remaining, base = bits, 0
    bitmap_length = bits.bit_length() // 8 * 5 // 4 + 2
    text_length = 0
    while remaining:
        zeros = (remaining & -remaining).bit_length() - 1
        remaining >>= zeros
        base += zeros
        ones = (~remaining & (remaining + 1)).bit_length() - 1
        run = str(base) if ones == 1 else f"{base}-{base + ones - 1}"
        runs.append(run)
        text_length += len(run) + 1
        if text_length > bitmap_length + 64:
            raw = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
            return "b" + base64.b85encode(raw).decode()
        remaining >>= ones
        base += ones
    return ",".join(runs)


def decode(text: str) -> int:
    """Return the set that a text form describes."""
    if text.startswith("b"):
        return int.from_bytes(base64.b85decode(text[1:]), "little")
    bits = 0
    for run in text.split(","):
        if run:
            low, _, high = run.partition("-")
            bits |= full(int(high or low) - int(low) + 1) << int(low)
    return bits


def is_readable(text: str) -> bool:
    """Return whether a text has a form that `decode` knows."""
    return _TEXT_FORM.match(text) is not None


def max_text_bytes(tasks: int, member_count: int, *, sets: int = 1, runs: bool = False) -> int:
    """Return an upper bound of the text form's bytes for `member_count` of a job's `tasks`.

    The members may be spread over several `sets`. With `runs`, the bound is for a set from which
    `member_count` tasks are missing.
    """
    digits = len(str(tasks))
    bitmap = tasks // 8 * 5 // 4 + 2 + 64 + 2 * digits + 2
    listed = (member_count + 1) * (2 * digits + 2) if runs else member_count * (digits + 1)
    return min(sets * bitmap, listed)
