"""The operator's document as pydantic models; field names are those of the JSON.

Time fields end with their unit (`Ms`, `_ms`, `S`). Unknown members are kept, so that a configuration reads
back as the JSON value that was sent. Pydantic writes the class names into error texts, for example
"... or instance of RouteDocument".
"""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, PrivateAttr

from arrowfold.configuration.json_text import JsonObject, write_canonical

Name = Annotated[str, Field(min_length=1)]
# Text that is sent in an HTTP header: no control characters, no whitespace at either end.
HeaderText = Annotated[str, Field(pattern=r"^[^\s\x00-\x1f\x7f]([^\x00-\x1f\x7f]*[^\s\x00-\x1f\x7f])?$")]
Count = Annotated[int, Field(ge=0)]
PositiveNumber = Annotated[float, Field(gt=0)]
Number = Annotated[float, Field(ge=0)]


class _Document(BaseModel):
    """Base class: unknown members are allowed, types are not coerced."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)


class SplitDocument(_Document):
    """A service's share of a route's traffic; weights are relative to their sum."""

    targetService: Name
    weight: Number


class NamedDocument(_Document):
    """An item of a list that patches address by its name."""

    name: Name


class RouteDocument(NamedDocument):
    """Target, time limits and attempt limits of requests for a host and a path prefix."""

    hostname: Name
    pathPrefix: Annotated[str, Field(pattern=r"^/(.*/)?$")]
    routeKind: str = "non_idempotent"
    timeoutMs: PositiveNumber
    targetLatencyMs: Number | None = None
    priority: int = 5
    targetService: Name | None = None
    trafficSplit: list[SplitDocument] | None = None
    maxAttempts: Annotated[int, Field(ge=1)] = 1
    sessionAffinity: bool = False
    resumable: bool = False
    gap_aim_ms: Number | None = None
    publicAccess: bool = False


class ModelDocument(_Document):
    """A model that workers of a service may load."""

    name: Name
    weightsMb: Number
    loadTimeS: Number = 0.0
    adapters: Count = 0
    adapterSizeMb: Number = 0.0


class EngineDocument(_Document):
    """The inference engine of a service's workers."""

    capacitySlots: Count
    kvCacheTokens: Number
    kvTokenBytes: Number = 0.0
    linkMbps: Number = 0.0
    stride: Number = 1
    models: list[ModelDocument] = []
    weightsMb: Number = 0.0
    adapterCapacity: Count = 0
    loadRateS: Number = 0.0


class ScalingDocument(_Document):
    """Minimum and maximum number of workers of a service in each zone.

    `bootTimeS` is the time in seconds from the start of a worker until it serves.
    """

    minCount: Count = 0
    maxCount: Count
    bootTimeS: Number = 0.0


class ServiceDocument(NamedDocument):
    """A service that routes refer to by name."""

    healthPath: str = "/"
    maxConnections: Count | None = None
    protocol: str = "h1"
    tls: bool = False
    engine: EngineDocument | None = None
    scaling: ScalingDocument | None = None


class LimitsDocument(_Document):
    """Size and time limits for clients; None selects the edge node's own limit."""

    maxHeaderBytes: Count | None = None
    maxBodyBytes: Count | None = None
    headerTimeoutMs: Number | None = None
    idleTimeoutMs: Number | None = None


class TenantDocument(NamedDocument):
    """A customer of the service. Its keys are left out of `repr`, which may be written to a log."""

    name: HeaderText
    apiKeys: Annotated[list[Name], Field(repr=False)]
    priority: int | None = None


class ConfigurationDocument(_Document):
    """A whole configuration. Requests need an API key if `tenants` is a list, even an empty one.

    `value` is the JSON value that it was read from, as the operator sent it.
    """

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = LimitsDocument()
    tenants: list[TenantDocument] | None = None
    _value: JsonObject = PrivateAttr(default_factory=dict)

    @classmethod
    def from_value(cls, value: JsonObject) -> ConfigurationDocument:
        """Validates a JSON value and keeps it as `value`; raises pydantic's ValidationError."""
        document = cls.model_validate(value)
        document._value = value
        return document

    @classmethod
    def from_committed(cls, value: JsonObject) -> ConfigurationDocument:
        """Wraps a committed value without validation, since it was valid by the rules of its time.

        Only `version` and `value` are set: the next change needs no others.
        """
        document = cls.model_construct(version=value["version"])
        document._value = value
        return document

    @property
    def value(self) -> JsonObject:
        """The JSON value. Treat it as immutable, since documents share parts of it."""
        return self._value

    def to_json(self) -> bytes:
        """Returns the canonical JSON text, as `GET /configuration` answers it."""
        return write_canonical(self._value)

    def __eq__(self, other: Any) -> bool:
        return isinstance(other, ConfigurationDocument) and self.to_json() == other.to_json()

    def __hash__(self) -> int:
        return hash(self.to_json())
