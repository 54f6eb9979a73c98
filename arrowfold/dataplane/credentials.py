"""Authentication of client requests: finds the tenant that owns a request's key. Only key digests are kept.

A request is checked on arrival and again before each attempt, because its key may have been removed
meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from arrowfold.configuration.routes import Route
from arrowfold.configuration.tenants import Tenant, TenantTable, key_digest
from arrowfold.dataplane.headers import AUTHORIZATION, RawHeaders
from arrowfold.dataplane.own_answers import KEYS_RETRY_S, EdgeAnswer, not_executed
from arrowfold.node.result_codes import ResultCode

TENANTS_CONTRACT = "tenants"  # in the settings: requests may carry keys, whatever configuration is in force
_SCHEME = b"bearer"  # compared in lower case: schemes are case-insensitive (RFC 9110, section 11.1)
_AUTHORIZATION_LENGTH = len(AUTHORIZATION)
_KEY_MISSING = EdgeAnswer(401, ResultCode.KEY_MISSING)
_KEY_UNKNOWN = EdgeAnswer(401, ResultCode.KEY_UNKNOWN)
_KEY_MALFORMED = EdgeAnswer(401, ResultCode.KEY_MALFORMED)
_KEY_REPEATED = EdgeAnswer(400, ResultCode.KEY_MALFORMED)
_KEY_NOT_VERIFIABLE = not_executed(ResultCode.KEY_NOT_VERIFIABLE, KEYS_RETRY_S)


class CredentialKind(Enum):
    """What the Authorization header of a request contains."""

    NOTHING = "nothing"
    KEY = "key"
    MALFORMED = "malformed"  # another scheme, no key, or more than one word after the scheme
    REPEATED = "repeated"  # more than one Authorization header


@dataclass(frozen=True, slots=True)
class Credentials:
    """The credentials of a request. `digest` is that of its key by `key_digest`, or empty without a key."""

    kind: CredentialKind
    digest: str = field(default="", repr=False)


# Ok if the request may proceed, with the owner of its key; None if it has no key or none is needed.
Admission = Result[Tenant | None, EdgeAnswer]
NO_CREDENTIALS = Credentials(CredentialKind.NOTHING)
_WITHOUT_TENANT: Admission = Ok(None)


def read_credentials(headers: RawHeaders) -> Credentials:
    """Returns the credentials in a request's headers; never fails."""
    values = [
        value
        for name, value in headers
        if len(name) == _AUTHORIZATION_LENGTH and name.lower() == AUTHORIZATION
    ]
    if not values:
        return NO_CREDENTIALS
    if len(values) > 1:
        return Credentials(CredentialKind.REPEATED)
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != _SCHEME:
        return Credentials(CredentialKind.MALFORMED)
    return Credentials(CredentialKind.KEY, key_digest(words[1]))


def admit(
    credentials: Credentials, tenants: TenantTable, route: Route, keys_are_fresh: Callable[[], bool]
) -> Admission:
    """Returns whether a request may proceed under these tenants, or else the edge's own answer to it.

    `keys_are_fresh` returns whether the tenants are recent enough to accept a key; it is called only for
    requests that carry one.
    """
    if not tenants.required:
        return _without_tenants(credentials, keys_are_fresh)
    if credentials.kind is CredentialKind.NOTHING:
        return _WITHOUT_TENANT if route.public_access else Err(_KEY_MISSING)
    if credentials.kind is CredentialKind.REPEATED:
        return Err(_KEY_REPEATED)
    if credentials.kind is CredentialKind.MALFORMED:
        return Err(_KEY_MALFORMED)
    if not keys_are_fresh():
        return Err(_KEY_NOT_VERIFIABLE)
    tenant = tenants.find(credentials.digest)
    return Err(_KEY_UNKNOWN) if tenant is None else Ok(tenant)


def _without_tenants(credentials: Credentials, keys_are_fresh: Callable[[], bool]) -> Admission:
    """Admits a request under a configuration without tenants.

    A request with a key needs a fresh configuration: tenants may have been added since, and its key removed.
    """
    if credentials.kind is CredentialKind.KEY and not keys_are_fresh():
        return Err(_KEY_NOT_VERIFIABLE)
    return _WITHOUT_TENANT
