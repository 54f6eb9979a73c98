"""Validates requests and commands against the OpenAPI and AsyncAPI documents named in the configuration.

openapi-core and jsonschema do the validation. An invalid document is refused at the start, with the location
of its fault. The libraries are loaded only if a document is named.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from arrowfold.protocol.faktory_wire import CommandError
from arrowfold.protocol.http import BadRequest, Request

MAX_DOCUMENT_CHARS = 1024 * 1024

# JSON Schema of the parts of an AsyncAPI 3.0 document that the checks below rely on.
_ASYNCAPI: dict[str, Any] = {
    "type": "object",
    "required": ["asyncapi", "info", "channels", "operations"],
    "properties": {
        "asyncapi": {"type": "string", "pattern": r"^3\.0\.\d+$"},
        "info": {"type": "object", "required": ["title", "version"],
                 "properties": {"title": {"type": "string"}, "version": {"type": "string"}}},
        "channels": {"type": "object", "additionalProperties": {
            "type": "object", "required": ["address", "messages"],
            "properties": {"address": {"type": ["string", "null"]},
                           "messages": {"type": "object", "minProperties": 1,
                                        "additionalProperties": {"type": "object"}}}}},
        "operations": {"type": "object", "minProperties": 1, "additionalProperties": {
            "type": "object", "required": ["action", "channel"],
            "properties": {"action": {"enum": ["send", "receive"]},
                           "channel": {"type": "object", "required": ["$ref"],
                                       "properties": {"$ref": {"type": "string"}}},
                           "messages": {"type": "array",
                                        "items": {"type": "object", "required": ["$ref"]}}}}},
        "components": {"type": "object"},
    },
}


class DescriptionError(Exception):
    """An invalid document; the text names the file and the location of the fault."""


def _read(path: Path) -> dict[str, Any]:
    """Parse a YAML or JSON file that holds an object; else DescriptionError."""
    import yaml

    try:
        text = path.read_text(encoding="utf-8")
        if len(text) > MAX_DOCUMENT_CHARS:
            raise DescriptionError(f"{path}: over {MAX_DOCUMENT_CHARS} characters")
        document = yaml.safe_load(text)
    except OSError as error:
        raise DescriptionError(f"{path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        where = f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""
        problem = getattr(error, "problem", None) or type(error).__name__
        raise DescriptionError(f"{path}: {where}{problem}") from error
    except (ValueError, RecursionError) as error:
        raise DescriptionError(f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise DescriptionError(f"{path}: not an object")
    return document


def _location(parts: Any) -> str:
    """Returns a location in a document as a dotted path."""
    return ".".join(str(part) for part in parts) or "the document"


def _deepest_cause(error: Any) -> Any:
    """Returns the most specific cause of an error: of its alternatives, the deepest in the document."""
    while error.context:
        error = max(error.context, key=lambda below: len(below.absolute_path))
    return error


# --- OpenAPI --------------------------------------------------------------------------------------------


class _OpenapiRequest:
    """A request with the interface that openapi-core expects."""

    def __init__(self, request: Request) -> None:
        from openapi_core.datatypes import RequestParameters
        from werkzeug.datastructures import Headers, ImmutableMultiDict

        parts = urlsplit(request.target)
        self.host_url, self.path = "http://front", parts.path
        self.method = request.method.lower()
        self.body = request.body
        self.content_type = request.headers.get("content-type", "application/octet-stream").lower()
        query = parse_qsl(parts.query, keep_blank_values=True)
        self.parameters = RequestParameters(
            path={}, query=ImmutableMultiDict(query), header=Headers(list(request.headers.items())),
            cookie=ImmutableMultiDict())


def load_openapi(path: Path) -> Callable[[Request], None]:
    """Returns a check of requests against the document's operations, which raises BadRequest.

    DescriptionError if the document is invalid.
    """
    from openapi_core import OpenAPI
    from openapi_core.exceptions import OpenAPIError
    from openapi_core.templating.paths.exceptions import OperationNotFound, PathNotFound
    from openapi_spec_validator import OpenAPIV31SpecValidator

    document = _read(path)
    if not str(document.get("openapi", "")).startswith("3.1."):
        raise DescriptionError(f"{path}: openapi: the version is not 3.1")
    try:
        for error in OpenAPIV31SpecValidator(document).iter_errors():
            deepest = _deepest_cause(error)
            raise DescriptionError(f"{path}: {_location(deepest.absolute_path)}: {deepest.message}")
        described = OpenAPI.from_dict(document)
    except DescriptionError:
        raise
    except Exception as error:  # a broken reference may lead to any exception in the library
        raise DescriptionError(f"{path}: {error}") from error

    def check(request: Request) -> None:
        try:
            described.validate_request(_OpenapiRequest(request))
        except PathNotFound:
            raise BadRequest(404, f"{urlsplit(request.target).path!r} is not described") from None
        except OperationNotFound:
            raise BadRequest(405, f"method {request.method} is not described there") from None
        except OpenAPIError as error:
            raise BadRequest(400, _error_text(error)) from None

    return check


def _error_text(error: Exception) -> str:
    """Returns the texts of openapi-core's error and of the schema errors that caused it."""
    texts = [str(error)]
    cause = error.__cause__
    while cause is not None:
        texts += [f"{_location(e.absolute_path)}: {e.message}" for e in getattr(cause, "schema_errors", ())]
        cause = cause.__cause__
    return "; ".join(texts)[:500]


# --- AsyncAPI -------------------------------------------------------------------------------------------


def _resolve(document: dict[str, Any], reference: str, where: str, path: Path) -> Any:
    """Returns the target of a `#/...` reference in the document; DescriptionError if there is none."""
    value: Any = document
    if not reference.startswith("#/"):
        raise DescriptionError(f"{path}: {where}: {reference!r} is not a reference into this document")
    for part in reference[2:].split("/"):
        part = part.replace("~1", "/").replace("~0", "~")
        if not isinstance(value, dict) or part not in value:
            raise DescriptionError(f"{path}: {where}: {reference!r} does not exist")
        value = value[part]
    return value


def _references(value: Any, where: tuple[str, ...] = ()) -> Iterator[tuple[str, str]]:
    """Yields each `$ref` of a document with its location."""
    if isinstance(value, dict):
        if isinstance(value.get("$ref"), str):
            yield value["$ref"], _location(where)
        for key, below in value.items():
            yield from _references(below, (*where, str(key)))
    elif isinstance(value, list):
        for place, below in enumerate(value):
            yield from _references(below, (*where, str(place)))


def load_asyncapi(path: Path) -> Callable[[str, object], None]:
    """Returns a check of commands against the document's receive operations, which raises CommandError.

    DescriptionError if the document is invalid.
    """
    from jsonschema import Draft202012Validator
    from jsonschema.exceptions import SchemaError
    from referencing import Registry, Resource
    from referencing.jsonschema import DRAFT202012

    document = _read(path)
    for error in Draft202012Validator(_ASYNCAPI).iter_errors(document):
        raise DescriptionError(f"{path}: {_location(error.absolute_path)}: {error.message}")
    for reference, where in _references(document):
        _resolve(document, reference, where, path)
    base = "urn:asyncapi"
    resource = Resource.from_contents(document, default_specification=DRAFT202012)
    registry: Any = Registry().with_resource(base, resource)
    checks: dict[str, list[Any]] = {}

    def follow(reference: str, where: str) -> tuple[str, Any]:
        """Returns the location and value at the end of a chain of references."""
        value = _resolve(document, reference, where, path)
        seen = {reference}
        while isinstance(value, dict) and isinstance(value.get("$ref"), str):
            reference = value["$ref"]
            if reference in seen:
                raise DescriptionError(f"{path}: {where}: circular references")
            seen.add(reference)
            value = _resolve(document, reference, where, path)
        return reference, value

    for name, operation in document["operations"].items():
        if operation["action"] != "receive":
            continue
        where = f"operations.{name}"
        channel_location, channel = follow(operation["channel"]["$ref"], where)
        named = [row["$ref"] for row in operation.get("messages", ())] or [
            f"{channel_location}/messages/{key}" for key in channel.get("messages", ())]
        for reference in named:
            place, message = follow(reference, where)
            if not isinstance(message, dict) or "payload" not in message:
                raise DescriptionError(f"{path}: {_location(place[2:].split('/'))}: no payload")
            try:
                Draft202012Validator.check_schema(message["payload"])
            except SchemaError as error:
                deep = _location([*place[2:].split("/"), "payload", *error.absolute_path])
                raise DescriptionError(f"{path}: {deep}: {error.message}") from error
            validator = Draft202012Validator({"$ref": f"{base}{place}/payload"}, registry=registry)
            checks.setdefault(str(channel.get("address")), []).append(validator)

    def check(word: str, payload: object) -> None:
        if word not in checks:
            raise CommandError(f"{word}: not described")
        faults = [_deepest_cause(error) for validator in checks[word]
                  if (error := next(validator.iter_errors(payload), None))]
        if len(faults) == len(checks[word]):
            fault = faults[0]
            raise CommandError(f"{word}: {_location(fault.absolute_path)}: {fault.message}"[:500])

    return check
