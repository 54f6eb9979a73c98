"""Names, filters and parsers for the headers of forwarded messages, which are kept as received bytes."""

from __future__ import annotations

from collections.abc import Iterable

from arrowfold.selection.interface import PromptPart

RawHeaders = tuple[tuple[bytes, bytes], ...]

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
TARGET_INSTANCE = b"x-target-instance"
PRIORITY = b"priority"
LAST_EVENT_ID = b"last-event-id"
NOT_EXECUTED = b"x-not-executed"
SERVER_LOAD = b"x-server-load"
SERVER_SEAL = b"x-server-seal"
VERSIONS = b"versions"
MODEL = b"x-model"
TOKEN_USAGE = b"x-token-usage"
PROMPT_PREFIX = b"x-prompt-prefix"
AUTHORIZATION = b"authorization"
TENANT = b"x-tenant"
RETRY_AFTER = b"retry-after"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONTENT_TYPE = b"content-type"
CONNECTION = b"connection"
KEEP_ALIVE = b"keep-alive"

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        KEEP_ALIVE,
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
    }
)
# Headers that the edge replaces by its own, or removes.
REWRITTEN_IN_ANSWERS = frozenset({CONTENT_LENGTH})
REWRITTEN_IN_REQUESTS = frozenset({CONTENT_LENGTH, b"expect", DEADLINE_MS, TARGET_INSTANCE, PRIORITY, TENANT})


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Returns the value of the first header with this name (in lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1").strip()
    return None


def end_to_end(headers: RawHeaders, dropped: frozenset[bytes]) -> list[tuple[bytes, bytes]]:
    """Returns the headers to forward: without hop-by-hop ones, those listed in Connection, and `dropped`."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == CONNECTION
        for token in value.split(b",")
    }
    forwarded = []
    for key, value in headers:
        name = key.lower()
        if name not in HOP_BY_HOP and name not in dropped and name not in connection_options:
            forwarded.append((key, value))
    return forwarded


def parse_number(text: str | None) -> float | None:
    """Parses a finite, non-negative number; returns None for anything else."""
    try:
        number = float(text) if text is not None else -1.0
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def parse_model(text: str | None) -> tuple[str, str]:
    """Parses `X-Model: MODEL[/ADAPTER]` into model and adapter; a missing part is empty."""
    model, _, adapter = (text or "").partition("/")
    return model, adapter


def parse_token_usage(text: str | None) -> tuple[int, int]:
    """Parses `X-Token-Usage: IN,OUT` into the tokens of the prompt and the maximum tokens of the output."""
    prompt, _, output = (text or "").partition(",")
    return _parse_count(prompt), _parse_count(output)


def parse_prompt_parts(text: str | None) -> tuple[PromptPart, ...]:
    """Parses `X-Prompt-Prefix: ID:TOKENS,...` into the parts of the prompt, in order."""
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        identity, _, tokens = item.strip().rpartition(":")
        if identity:
            parts.append(PromptPart(identity, _parse_count(tokens)))
    return tuple(parts)


def parse_load(text: str | None) -> tuple[int, int, int] | None:
    """Parses `X-Server-Load: R,W,S` into running requests, waiting requests and slots, or None."""
    fields = (text or "").split(",")
    if len(fields) != 3 or not all(field.strip().isdigit() for field in fields):
        return None
    running, waiting, slots = (int(field) for field in fields)
    return running, waiting, slots


def parse_keep_alive_s(text: str | None) -> float | None:
    """Parses the seconds of `Keep-Alive: timeout=N`, or of a bare number; returns None without either."""
    for item in (text or "").split(","):
        name, _, value = item.strip().rpartition("=")
        if name.strip().lower() in ("", "timeout"):
            return parse_number(value)
    return None


def _parse_count(text: str) -> int:
    digits = text.strip()
    return int(digits) if digits.isdigit() else 0
