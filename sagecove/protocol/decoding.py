"""Decodes JSON from outside: from users, workers, peers, the state service and the cloud.

A decoder made here returns a message or raises `MalformedMessage`, whatever the bytes are. Fields
that a message type does not know decide nothing: values nested too deep for msgspec and unpaired
surrogate escapes, which JSON's grammar allows, are replaced before a second attempt.
"""

import re
from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

# Values nested deeper are decoded apart. No message type has known fields at that depth, and
# msgspec decodes some nine times as many levels.
MAX_NESTED_LEVELS = 100
ERROR_MAX_LENGTH = 300

# UnicodeDecodeError and msgspec's errors of invalid values are kinds of ValueError.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
_STRING_OR_BRACKETS = re.compile(rb'"(?:[^"\\]+|\\.)*+"?|[\[{]+|[\]}]+', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"
# A surrogate pair; an unpaired surrogate (the group); any other escape.
_ESCAPE = re.compile(
    rb"\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    rb"|(\\u[dD][89a-fA-F][0-9a-fA-F]{2})|\\.",
    re.DOTALL,
)
# Stands for an unpaired surrogate.
REPLACEMENT_ESCAPE = b"\\ufffd"
_check_syntax = msgspec.json.Decoder(msgspec.Raw).decode


class MalformedMessage(ValueError):
    """A message from outside is not JSON, or not as its type requires."""

    def __init__(self, reason: object) -> None:
        super().__init__(str(reason)[:ERROR_MAX_LENGTH])


def decoder(message_type: type[T]) -> Callable[[bytes | msgspec.Raw], T]:
    """Return a function that decodes a message, or raises `MalformedMessage`."""
    decode = msgspec.json.Decoder(message_type).decode

    def decode_or_refuse(body: bytes | msgspec.Raw) -> T:
        try:
            return decode(body)
        except _DECODE_ERRORS as error:
            return _decode_repaired(decode, bytes(body), error)

    return decode_or_refuse


def decode_message(body: bytes, message_type: type[T]) -> T:
    """Decode a message; raises `MalformedMessage`."""
    try:
        message: T = msgspec.json.decode(body, type=message_type)
    except _DECODE_ERRORS as error:
        decode: Callable[[bytes], T] = partial(msgspec.json.decode, type=message_type)
        message = _decode_repaired(decode, body, error)
    return message


def convert_message(value: Any, message_type: type[T]) -> T:
    """Convert decoded JSON to a message type; raises `MalformedMessage`."""
    try:
        message: T = msgspec.convert(value, message_type)
        return message
    except _DECODE_ERRORS as error:
        raise MalformedMessage(error) from None


def _decode_repaired(decode: Callable[[bytes], T], body: bytes, error: Exception) -> T:
    """Decode a body once more without what msgspec refuses although JSON allows it."""
    if isinstance(error, msgspec.ValidationError):
        raise MalformedMessage(error) from None
    repaired = replace_unpaired_surrogates(body)
    if isinstance(error, RecursionError):
        repaired = replace_deep_values(repaired)
    elif repaired == body:
        raise MalformedMessage(error) from None
    try:
        return decode(repaired)
    except RecursionError as second_error:
        if isinstance(error, RecursionError):
            raise MalformedMessage(second_error) from None
        return _decode_repaired(decode, repaired, second_error)
    except _DECODE_ERRORS as second_error:
        raise MalformedMessage(second_error) from None


def replace_unpaired_surrogates(body: bytes, replacement: bytes = REPLACEMENT_ESCAPE) -> bytes:
    """Return JSON text with a replacement for each unpaired surrogate escape."""
    if b"\\u" not in body:
        return body
    return _ESCAPE.sub(lambda found: replacement if found[1] else found[0], body)


def replace_deep_values(body: bytes) -> bytes:
    """Return JSON text with null in place of values below `MAX_NESTED_LEVELS` levels.

    Raises `MalformedMessage` if such a value is not JSON. The text that is left is not checked.
    The time taken is linear in the length of the body.
    """
    # The text of each open value that is cut out, outermost first; the first is the body's own.
    open_texts: list[list[bytes]] = [[]]
    level = 0
    copied = 0
    for token in _STRING_OR_BRACKETS.finditer(body):
        start, count = token.start(), token.end() - token.start()
        if body[start] in _OPENING:
            # Every bracket that opens a multiple of the limit begins a value to be cut out.
            for offset in range(-(level + 1) % MAX_NESTED_LEVELS, count, MAX_NESTED_LEVELS):
                open_texts[-1].append(body[copied : start + offset])
                copied = start + offset
                open_texts.append([])
            level += count
        elif body[start] in _CLOSING:
            if count > level:
                raise MalformedMessage("JSON is malformed: a bracket is closed that is not open")
            for offset in range(level % MAX_NESTED_LEVELS, count, MAX_NESTED_LEVELS):
                open_texts[-1].append(body[copied : start + offset + 1])
                copied = start + offset + 1
                _refuse_invalid_syntax(b"".join(open_texts.pop()))
                open_texts[-1].append(b"null")
            level -= count
    if level:
        raise MalformedMessage("JSON is malformed: a bracket is not closed")
    open_texts[-1].append(body[copied:])
    return b"".join(open_texts[-1])


def _refuse_invalid_syntax(text: bytes) -> None:
    try:
        _check_syntax(text)
    except _DECODE_ERRORS as error:
        raise MalformedMessage(error) from None
