"""Checks what comes in against the OpenAPI and AsyncAPI documents that the configuration names.

openapi-core and jsonschema do the checking; a document that can't be used is refused at start, with the
place of its fault. The libraries are loaded only where a document is named.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from arrowfold.protocol.faktory_wire import CommandError
from arrowfold.protocol.http import BadRequest, Request

MOST_DOCUMENT = 1024 * 1024

# What the checks below rely on in an AsyncAPI 3.0 document.
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
    """A document that can't be used; the text says where its fault is."""


def _read(path: Path) -> dict[str, Any]:
    import yaml

    try:
        text = path.read_text(encoding="utf-8")
        if len(text) > MOST_DOCUMENT:
            raise DescriptionError(f"{path}: over {MOST_DOCUMENT} characters")
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


def _place(parts: Any) -> str:
    return ".".join(str(part) for part in parts) or "the document"


def _deepest(error: Any) -> Any:
    """Of an error that offers alternatives, the one that got furthest into the document."""
    while error.context:
        error = max(error.context, key=lambda below: len(below.absolute_path))
    return error


# --- OpenAPI --------------------------------------------------------------------------------------------


class _AsOpenapi:
    """A request in the form that openapi-core reads."""

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
    """A check of requests against the document's operations; DescriptionError names its fault."""
    from openapi_core import OpenAPI
    from openapi_core.exceptions import OpenAPIError
    from openapi_core.templating.paths.exceptions import OperationNotFound, PathNotFound
    from openapi_spec_validator import OpenAPIV31SpecValidator

    document = _read(path)
    if not str(document.get("openapi", "")).startswith("3.1."):
        raise DescriptionError(f"{path}: openapi: the version is not 3.1")
    try:
        for error in OpenAPIV31SpecValidator(document).iter_errors():
            deepest = _deepest(error)
            raise DescriptionError(f"{path}: {_place(deepest.absolute_path)}: {deepest.message}")
        described = OpenAPI.from_dict(document)
    except DescriptionError:
        raise
    except Exception as error:  # the library raises whatever a broken reference leads it to
        raise DescriptionError(f"{path}: {error}") from error

    def check(request: Request) -> None:
        try:
            described.validate_request(_AsOpenapi(request))
        except PathNotFound:
            raise BadRequest(404, f"{urlsplit(request.target).path!r} is not described") from None
        except OperationNotFound:
            raise BadRequest(405, f"method {request.method} is not described there") from None
        except OpenAPIError as error:
            raise BadRequest(400, _cause(error)) from None

    return check


def _cause(error: Exception) -> str:
    """What openapi-core says, and what its validator found below that."""
    texts = [str(error)]
    cause = error.__cause__
    while cause is not None:
        texts += [f"{_place(e.absolute_path)}: {e.message}" for e in getattr(cause, "schema_errors", ())]
        cause = cause.__cause__
    return "; ".join(texts)[:500]


# --- AsyncAPI -------------------------------------------------------------------------------------------


def _resolve(document: dict[str, Any], reference: str, where: str, path: Path) -> Any:
    """What a `#/...` reference of the document leads to."""
    value: Any = document
    if not reference.startswith("#/"):
        raise DescriptionError(f"{path}: {where}: {reference!r} does not lead into this document")
    for part in reference[2:].split("/"):
        part = part.replace("~1", "/").replace("~0", "~")
        if not isinstance(value, dict) or part not in value:
            raise DescriptionError(f"{path}: {where}: {reference!r} leads nowhere")
        value = value[part]
    return value


def _references(value: Any, where: tuple[str, ...] = ()) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        if isinstance(value.get("$ref"), str):
            yield value["$ref"], _place(where)
        for key, below in value.items():
            yield from _references(below, (*where, str(key)))
    elif isinstance(value, list):
        for place, below in enumerate(value):
            yield from _references(below, (*where, str(place)))


def load_asyncapi(path: Path) -> Callable[[str, object], None]:
    """A check of commands against the document's receive operations; DescriptionError names its fault."""
    from jsonschema import Draft202012Validator
    from jsonschema.exceptions import SchemaError
    from referencing import Registry, Resource
    from referencing.jsonschema import DRAFT202012

    document = _read(path)
    for error in Draft202012Validator(_ASYNCAPI).iter_errors(document):
        raise DescriptionError(f"{path}: {_place(error.absolute_path)}: {error.message}")
    for reference, where in _references(document):
        _resolve(document, reference, where, path)
    base = "urn:asyncapi"
    resource = Resource.from_contents(document, default_specification=DRAFT202012)
    registry: Any = Registry().with_resource(base, resource)
    checks: dict[str, list[Any]] = {}

    def follow(reference: str, where: str) -> tuple[str, Any]:
        """The place and value at the end of a chain of references."""
        value = _resolve(document, reference, where, path)
        seen = {reference}
        while isinstance(value, dict) and isinstance(value.get("$ref"), str):
            reference = value["$ref"]
            if reference in seen:
                raise DescriptionError(f"{path}: {where}: its references go round")
            seen.add(reference)
            value = _resolve(document, reference, where, path)
        return reference, value

    for name, operation in document["operations"].items():
        if operation["action"] != "receive":
            continue
        where = f"operations.{name}"
        channel_place, channel = follow(operation["channel"]["$ref"], where)
        named = [row["$ref"] for row in operation.get("messages", ())] or [
            f"{channel_place}/messages/{key}" for key in channel.get("messages", ())]
        for reference in named:
            place, message = follow(reference, where)
            if not isinstance(message, dict) or "payload" not in message:
                raise DescriptionError(f"{path}: {_place(place[2:].split('/'))}: it has no payload")
            try:
                Draft202012Validator.check_schema(message["payload"])
            except SchemaError as error:
                deep = _place([*place[2:].split("/"), "payload", *error.absolute_path])
                raise DescriptionError(f"{path}: {deep}: {error.message}") from error
            validator = Draft202012Validator({"$ref": f"{base}{place}/payload"}, registry=registry)
            checks.setdefault(str(channel.get("address")), []).append(validator)

    def check(word: str, payload: object) -> None:
        if word not in checks:
            raise CommandError(f"{word}: not described")
        faults = [_deepest(error) for validator in checks[word]
                  if (error := next(validator.iter_errors(payload), None))]
        if len(faults) == len(checks[word]):
            fault = faults[0]
            raise CommandError(f"{word}: {_place(fault.absolute_path)}: {fault.message}"[:500])

    return check
