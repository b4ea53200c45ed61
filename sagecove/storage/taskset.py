"""Sets of task numbers, kept as integers with one bit a task.

Text form: runs such as "0-15,20", or, when those grow long, "b" and a base-85 bitmap, so that a
record of the largest job stays below the state service's value limit however its tasks finish.
"""

import base64
from collections.abc import Iterator


def full(count: int) -> int:
    """The set of all tasks of a job with `count` tasks."""
    return (1 << count) - 1


def members(bits: int) -> Iterator[int]:
    """Task numbers in ascending order."""
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
    """The `count` smallest members, as a set."""
    if bits.bit_count() <= count:
        return bits
    out = 0
    for n, index in enumerate(members(bits)):
        if n >= count:
            break
        out |= 1 << index
    return out


def encode(bits: int) -> str:
    """Text form of a set."""
    runs: list[str] = []
    rest, base = bits, 0
    bitmap_len = bits.bit_length() // 8 * 5 // 4 + 2
    size = 0
    while rest:
        zeros = (rest & -rest).bit_length() - 1
        rest >>= zeros
        base += zeros
        ones = (~rest & (rest + 1)).bit_length() - 1
        run = str(base) if ones == 1 else f"{base}-{base + ones - 1}"
        runs.append(run)
        size += len(run) + 1
        if size > bitmap_len + 64:
            raw = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
            return "b" + base64.b85encode(raw).decode()
        rest >>= ones
        base += ones
    return ",".join(runs)


def decode(text: str) -> int:
    """The set a text form stands for."""
    if text.startswith("b"):
        return int.from_bytes(base64.b85decode(text[1:]), "little")
    bits = 0
    for run in text.split(","):
        if run:
            low, _, high = run.partition("-")
            bits |= full(int(high or low) - int(low) + 1) << int(low)
    return bits


def max_text_bytes(tasks: int, members: int, *, sets: int = 1, runs: bool = False) -> int:
    """Bytes that so many members of a job's tasks take at most as text, in one set or several; with
    `runs`, a set in which so many are missing."""
    digits = len(str(tasks))
    bitmap = tasks // 8 * 5 // 4 + 2 + 64 + 2 * digits + 2
    each = (members + 1) * (2 * digits + 2) if runs else members * (digits + 1)
    return min(sets * bitmap, each)
