"""Writes submissions in random spellings, and submissions that are not sound.

PROTOCOL lets users write a submission's fields in any order, with any white space, escapes and
number format, beside unknown fields, in up to 64 KiB. The random source decides which.
"""

import json
from collections.abc import Callable
from random import Random
from typing import Any

BODY_LIMIT_BYTES = 64 * 1024
# Bytes of the unknown fields of most bodies, and nesting of their values: most are small.
UNKNOWN_BYTES = (0, 40, 400, 9_000, 20_000, 60_000)
NESTED_LEVELS = (1, 5, 90, 250, 1_100, 3_000)
NULLABLE_FIELDS = ("breeds", "range", "dueS")
UNKNOWN_TEXTS = ("lorem ipsum ", "größe ", "日本語 ✓ ", "\U0001f600", "\x7f", '"\\/', "\t\n")
UNKNOWN_SCALARS = (
    *("18446744073709551615", "18446744073709551616", "-7", "1.25", "1e400", "-0.0", "9" * 400),
    *("null", "true", "false", '""', "[]", "{}", "[[],{},true]", '"\\ud800"', '"a\\udc00b"'),
)


def sound_body(random: Random, submission: dict[str, Any]) -> bytes:
    """Return a submission in a random spelling, with unknown fields, in at most 64 KiB."""
    fields = [
        (name, spell_value(random, name, value))
        for name, value in submission.items()
        if value is not None or name not in NULLABLE_FIELDS or random.random() < 0.5
    ]
    fields += unknown_fields(random)
    random.shuffle(fields)
    members = [f"{_space(random)}{_string(random, name)}:{value}" for name, value in fields]
    text = "{" + ",".join(members) + "}" + _space(random)
    body = text.encode()
    if len(body) <= BODY_LIMIT_BYTES:
        return body
    return json.dumps(submission, ensure_ascii=False).encode()


def spell_value(random: Random, name: str, value: Any) -> str:
    """Return the JSON text of a known field in a random spelling."""
    if isinstance(value, str):
        return _string(random, value)
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        repeated = value * random.choice((1, 1, 2, 50))
        return "[" + ",".join(_string(random, item) for item in repeated) + "]"
    if isinstance(value, int | float) and not isinstance(value, bool):
        return _number(random, float(value))
    return json.dumps(value)


def unknown_fields(random: Random) -> list[tuple[str, str]]:
    """Return names and JSON texts of fields that no message of PROTOCOL has."""
    fields = [
        (f"x_{number}é", random.choice(UNKNOWN_SCALARS)) for number in range(random.randrange(4))
    ]
    length = random.choice(UNKNOWN_BYTES)
    if length:
        text = random.choice(UNKNOWN_TEXTS)
        repeated = text * (length // len(text.encode()))
        fields.append(("x_text", json.dumps(repeated, ensure_ascii=False)))
    levels = random.choice(NESTED_LEVELS)
    if random.random() < 0.5:
        fields.append(("x_deep", "[" * levels + "0" + "]" * levels))
    else:
        fields.append(("x_deep", '{"hands":' * levels + "null" + "}" * levels))
    return fields


def unsound_body(random: Random, submission: dict[str, Any]) -> bytes:
    """Return a submission that is not JSON, or in which a field is missing or invalid."""
    damage = random.choice(
        (_without_field, _with_null, _with_invalid_value, _cut_short, _with_invalid_bytes)
    )
    return damage(random, submission)


def _without_field(random: Random, submission: dict[str, Any]) -> bytes:
    name = random.choice([name for name in submission if name not in NULLABLE_FIELDS])
    return sound_body(random, {key: submission[key] for key in submission if key != name})


def _with_null(random: Random, submission: dict[str, Any]) -> bytes:
    name = random.choice([name for name in submission if name not in NULLABLE_FIELDS])
    return json.dumps({**submission, name: None}).encode()


def _with_invalid_value(random: Random, submission: dict[str, Any]) -> bytes:
    invalid_values: dict[str, tuple[Any, ...]] = {
        "nameId": ("job-1", "run-", "run-é", "run-1\n", "run-" + "a" * 101, 7, ["run-1"]),
        "shape": ("array", "sweep\n", "", 1),
        "rank": ("high", "normal\n", "", 3),
        "hands": (0, -1, 2.5, 100_001, 2**64, "2", True, [1]),
        "herd": ("", 5, {}),
        "outfit": ("", 5, {}),
        "bundle": ("", 5, []),
        "breeds": ("small", [1], {}, [""]),
        "range": ("", 5, ["a"]),
        "samePlace": (0, "false", []),
        "scatter": (1, "true", []),
        "borrowed": (1.0, "", {}),
    }
    name = random.choice(sorted(submission))
    value = random.choice(invalid_values.get(name, (-1, -0.5, "2.0", True, [], {})))
    return json.dumps({**submission, name: value}).encode()


def _cut_short(random: Random, submission: dict[str, Any]) -> bytes:
    body = sound_body(random, submission).rstrip()
    return body[: random.randrange(len(body))]


def _with_invalid_bytes(random: Random, submission: dict[str, Any]) -> bytes:
    body = json.dumps(submission).encode()
    add: tuple[Callable[[], bytes], ...] = (
        lambda: body[:-1] + b',"x_text":"\xff\xfe"}',
        lambda: body[:-1] + b',"x_text":"\xc3"}',
        lambda: body[:-1] + b',"x_deep":' + b"[" * 3000 + b"]" * 2999 + b"}",
        lambda: body[:-1] + b',"x_deep":' + b"[" * 3000 + b"}" * 3000 + b"}",
        lambda: body[:-1] + b',"x_deep":' + b"[" * 3000 + b"01" + b"]" * 3000 + b"}",
        lambda: body[:-1] + b',"x":NaN}',
        lambda: body[:-1] + b',"x":"\\u12g4"}',
        lambda: body[:-1] + b',"x":"a\nb"}',
        lambda: body[:-1] + b',"x":1,}',
        lambda: body + b"}",
        lambda: body + body,
        lambda: b"[" + body + b"]",
        lambda: b"\xef\xbb\xbf" + body,
        lambda: body.decode().encode("utf-16"),
        lambda: body.replace(b'"img"', b'"\\ud800"'),
        lambda: b"",
        lambda: b"null",
    )
    return random.choice(add)()


def _space(random: Random) -> str:
    return random.choice(("", "", " ", "\n  ", "\t\r\n", " " * random.choice((3, 9_000))))


def _string(random: Random, text: str) -> str:
    """Return a JSON string in which some characters are escaped."""
    if random.random() < 0.7:
        return json.dumps(text, ensure_ascii=random.random() < 0.5)
    escaped = (f"\\u{ord(c):04{random.choice('xX')}}" if ord(c) < 0x10000 else c for c in text)
    return '"' + "".join(escaped) + '"'


def _number(random: Random, value: float) -> str:
    """Return a number in a random notation of the same value."""
    spellings = [json.dumps(value), f"{value:.17e}", f"{value:.17E}", f"{value!r}000"]
    if value.is_integer() and abs(value) < 1e15:
        spellings += [
            str(int(value)),
            f"{int(value)}.000",
            f"{int(value) * 10}e-1",
            f"{int(value)}E+0",
        ]
    return random.choice([text for text in spellings if float(text) == value])
