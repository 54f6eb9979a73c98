"""Tenants and the digests of their API keys, as edge nodes hold them.

Control nodes keep the operator's whole document, since operators read it back. What they send to edge nodes
has `keyDigests` in place of each tenant's `apiKeys`. Does not import pydantic.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from arrowfold.configuration.json_text import JsonObject, write_canonical

TENANTS = "tenants"
API_KEYS = "apiKeys"
KEY_DIGESTS = "keyDigests"
_PATCH_MEMBERS = ("upsert", "replaceWith")  # members of a patch that hold parts of a configuration


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer of the service. `priority` overrides that of the route; 0 is the highest priority."""

    name: str
    priority: int | None = None


class TenantTable:
    """The tenants of one configuration, by the digests of their API keys. Immutable."""

    __slots__ = ("_by_digest", "required")

    def __init__(self, required: bool, by_digest: dict[str, Tenant]) -> None:
        """`required`: whether requests need an API key, except on routes with public access."""
        self.required = required
        self._by_digest = by_digest

    @classmethod
    def from_value(cls, value: JsonObject) -> TenantTable:
        """Builds the table from the JSON value of a valid configuration with API keys or their digests."""
        items = value.get(TENANTS)
        if items is None:
            return cls(False, {})
        by_digest = {}
        for item in items:
            tenant = Tenant(item["name"], item.get("priority"))
            for digest in _key_digests(item):
                by_digest[digest] = tenant
        return cls(True, by_digest)

    def find(self, digest: str) -> Tenant | None:
        """Returns the tenant whose key has this digest, or None."""
        return self._by_digest.get(digest)


def key_digest(key: bytes) -> str:
    """Returns the SHA-256 digest of a key (64 hexadecimal digits).

    It is not salted, since keys are long and random.
    """
    return hashlib.sha256(key).hexdigest()


def without_keys(value: JsonObject) -> JsonObject:
    """Replaces the keys of a valid configuration by their digests; `value` is not modified."""
    redacted = dict(value)
    if isinstance(value.get(TENANTS), list):
        redacted[TENANTS] = [_redact_tenant(item) for item in value[TENANTS]]
    return redacted


def change_without_keys(change: JsonObject) -> JsonObject:
    """Replaces the keys in a delta between valid configurations by digests; `change` is not modified."""
    redacted = without_keys(change)
    for member in _PATCH_MEMBERS:
        if isinstance(change.get(member), dict):
            redacted[member] = without_keys(change[member])
    return redacted


def text_without_keys(text: bytes) -> bytes:
    """Returns the canonical JSON text of a configuration with digests in place of keys."""
    return _redact_text(text, without_keys)


def change_text_without_keys(text: bytes) -> bytes:
    """Returns the canonical JSON text of a delta between configurations with digests in place of keys."""
    return _redact_text(text, change_without_keys)


def _redact_text(text: bytes, redact: Callable[[JsonObject], JsonObject]) -> bytes:
    return write_canonical(redact(json.loads(text))) if API_KEYS.encode() in text else text


def _key_digests(item: dict[str, Any]) -> Iterator[str]:
    """Yields the digests of a tenant's keys.

    `keyDigests` beside `apiKeys` is an unknown member that an operator wrote, and is ignored.
    """
    if API_KEYS not in item:
        yield from item.get(KEY_DIGESTS, ())
        return
    for key in item[API_KEYS]:
        yield key_digest(key.encode())


def _redact_tenant(item: Any) -> Any:
    if not isinstance(item, dict) or API_KEYS not in item:
        return item
    redacted = {name: member for name, member in item.items() if name != API_KEYS}
    redacted[KEY_DIGESTS] = sorted(set(_key_digests(item)))
    return redacted
