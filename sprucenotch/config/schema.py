"""The JSON Schema of a configuration file, in either form, generated from the types."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, get_args

import msgspec
from msgspec import Struct

from sprucenotch import settings
from sprucenotch.config import toml

DIALECT = "https://json-schema.org/draft/2020-12/schema"


def platform() -> dict[str, Any]:
    """Of the platform's JSON, which may hold keys beyond these."""
    return {"$schema": DIALECT, "title": "sprucenotch: a configuration file", **_plain()}


def by_hand() -> dict[str, Any]:
    """Of the TOML form, which may not."""
    schema = _plain()
    for kind in dict.fromkeys(_structs(settings.File)):
        told = schema["$defs"][kind.__name__]
        fields = msgspec.structs.fields(kind)
        properties = {toml.key(f): _spelled(told["properties"][f.encode_name], f) for f in fields}
        needed = [toml.key(f) for f in fields if f.required]
        told |= {"properties": properties, "required": needed, "additionalProperties": False}
    return {"$schema": DIALECT, "title": "sprucenotch: a configuration file in TOML", **schema}


def _plain() -> dict[str, Any]:
    schema: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(settings.File)))
    return schema


def _spelled(told: dict[str, Any], field: Any) -> dict[str, Any]:
    if (measure := toml.MEASURES.get(toml.unit(field.type))) is None:
        return told
    spelled = {"type": "string", "pattern": rf"^[0-9]+(\.[0-9]+)? ?({'|'.join(measure.units)})$"}
    if told.get("default") is not None:
        spelled["default"] = toml.spell(told["default"], field.type)
    return spelled


def _structs(kind: Any) -> Iterator[type[Struct]]:
    """A type and the types of its parts."""
    if (inner := settings.part_type(kind)) is not None:
        yield inner
        for field in msgspec.structs.fields(inner):
            yield from _structs(field.type)
    for part in get_args(settings.bare(kind)):
        yield from _structs(part)
