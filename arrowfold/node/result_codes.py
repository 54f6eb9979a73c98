"""Numbered result codes of the answers that the system itself gives; docs/result-codes.md explains each.

1xx: the operator's API; 2xx: workers' registration; 3xx: requests of clients; 4xx: control state;
5xx: orders to workers; 6xx: settings and command line.
"""

from __future__ import annotations

from enum import IntEnum


class ResultCode(IntEnum):
    """The reason for an answer. A number is never reused for another meaning."""

    CONFIGURATION_UNREADABLE = 101
    CONFIGURATION_INVALID = 102
    CONFIGURATION_VERSION_CONFLICT = 103
    CONFIGURATION_VERSION_NOT_ABOVE = 104
    CONFIGURATION_PRECONDITION_MISSING = 105
    CONFIGURATION_TOO_LARGE = 106
    CONFIGURATION_ABSENT = 107
    NOT_PRIMARY = 110
    REPLICATION_TIMEOUT = 111
    REGISTRATION_INVALID = 201
    REGISTRATION_NOT_DURABLE = 202
    ROUTE_UNKNOWN = 301
    NO_CONFIGURATION_YET = 302
    NO_WORKER = 303
    OVERLOADED = 304
    MODEL_LOADING = 305
    DEADLINE_PASSED = 306
    REQUEST_MALFORMED = 307
    BODY_TOO_LARGE = 308
    WORKER_FAILED = 309
    SHUTTING_DOWN = 310
    HEADERS_TOO_LARGE = 311
    KEY_MISSING = 312
    KEY_UNKNOWN = 313
    KEY_MALFORMED = 314
    KEY_NOT_VERIFIABLE = 315
    EPOCH_STALE = 401
    NO_QUORUM = 402
    DISK_FAILED = 403
    STATE_DAMAGED = 404
    ORDER_REFUSED = 501
    ORDER_UNANSWERED = 502
    SETTINGS_INVALID = 601
    USAGE = 602
    POLICY_INVALID = 603
