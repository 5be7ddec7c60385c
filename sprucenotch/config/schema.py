"""The JSON Schema of a configuration file, for its JSON and TOML forms, generated from the types."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, get_args

import msgspec
from msgspec import Struct

from sprucenotch import settings
from sprucenotch.config import toml

DIALECT = "https://json-schema.org/draft/2020-12/schema"


def json_form() -> dict[str, Any]:
    """Return the schema of the platform's JSON, which allows further keys."""
    return {"$schema": DIALECT, "title": "sprucenotch: a configuration file", **_plain()}


def toml_form() -> dict[str, Any]:
    """Return the schema of the TOML form, which allows no further keys."""
    schema = _plain()
    for type_ in dict.fromkeys(_structs(settings.File)):
        definition = schema["$defs"][type_.__name__]
        fields = msgspec.structs.fields(type_)
        properties = {toml.key(f): _toml_property(definition["properties"][f.encode_name], f) for f in fields}
        required = [toml.key(f) for f in fields if f.required]
        definition |= {"properties": properties, "required": required, "additionalProperties": False}
    return {"$schema": DIALECT, "title": "sprucenotch: a configuration file in TOML", **schema}


def _plain() -> dict[str, Any]:
    schema: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(settings.File)))
    return schema


def _toml_property(definition: dict[str, Any], field: Any) -> dict[str, Any]:
    if (unit_format := toml.UNIT_FORMATS.get(toml.unit(field.type))) is None:
        return definition
    property_ = {"type": "string", "pattern": rf"^[0-9]+(\.[0-9]+)? ?({'|'.join(unit_format.units)})$"}
    if definition.get("default") is not None:
        property_["default"] = toml.format_value(definition["default"], field.type)
    return property_


def _structs(type_: Any) -> Iterator[type[Struct]]:
    """Yield all Struct types within a type: itself, its type arguments and the types of its fields.

    `type_` may also be a tuple or a union. A type may be yielded more than once.
    """
    if (struct := settings.struct_type(type_)) is not None:
        yield struct
        for field in msgspec.structs.fields(struct):
            yield from _structs(field.type)
    for argument in get_args(settings.strip_annotations(type_)):
        yield from _structs(argument)
