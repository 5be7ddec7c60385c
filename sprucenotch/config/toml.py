"""The TOML form of a configuration file, for those who run a sidecar by hand.

Its keys are the platform's in lower case with underscores, times and sizes carry their units (`aim = "400ms"`
for `"AimNs": 400000000`), and a key that is not known is an error. It is turned into the platform's form, so
both mean the same by construction. Option not taken: types of its own, which would drift from the first.
"""

from __future__ import annotations

import difflib
import tomllib
from typing import Any, get_args

import msgspec
from msgspec import Struct

from sprucenotch import settings
from sprucenotch.config import units
from sprucenotch.settings import Problem, SettingsError

MB = 1_000_000
TYPES = {"boolean": bool, "string": str, "integer": int, "array": list, "object": dict}


def decode(raw: bytes) -> dict[str, Any]:
    """A file as the platform would have told it. Raises SettingsError with every problem in it."""
    try:
        top = tomllib.loads(raw.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise SettingsError([Problem("the file", f"is not TOML: {problem}")]) from None
    found: list[Problem] = []
    told = _translate(top, settings.File, "", found)
    if found:
        raise SettingsError(found)
    return told


def key(field: Any) -> str:
    """The name of a field in this form: its unit stands with the value."""
    name = str(field.name)
    return name.removesuffix("_ns").removesuffix("_mb") if unit(field.type) else name


def unit(kind: Any) -> str:
    """The unit that the platform's figure of this type has; empty where it has none."""
    for meta in getattr(kind, "__metadata__", ()):
        if meta.extra and "unit" in meta.extra:
            return str(meta.extra["unit"])
    return next(filter(None, map(unit, get_args(kind))), "") if hasattr(kind, "__metadata__") else ""


def spell(value: Any, kind: Any) -> Any:
    """A value of the platform's form as this one writes it."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return value
    match unit(kind):
        case "ns":
            return units.spell(value, units.NANOSECONDS)
        case "MB":
            return units.spell(value * MB, units.BYTES)
    return value


def _translate(raw: Any, kind: type[Struct], path: str, found: list[Problem]) -> dict[str, Any]:
    fields = {key(field): field for field in msgspec.structs.fields(kind)}
    told = {}
    for name, value in raw.items():
        below = f"{path}.{name}" if path else name
        if name not in fields:
            near = difflib.get_close_matches(name, fields, 1)
            found.append(Problem(below, f"is not known; {near[0]} is" if near else "is not known"))
            continue
        told[fields[name].encode_name] = _value(value, fields[name].type, below, found)
    for name, field in fields.items():
        if field.required and name not in raw:
            said = f"is missing, where {_allowed(field.type)} is needed"
            found.append(Problem(f"{path}.{name}" if path else name, said))
    return told


def _value(value: Any, kind: Any, path: str, found: list[Problem]) -> Any:
    inner, entry = settings.bare(kind), settings.entry_type(settings.bare(kind))
    if isinstance(value, dict) and isinstance(inner, type) and issubclass(inner, Struct):
        return _translate(value, inner, path, found)
    if isinstance(value, list) and value and entry is not None and all(isinstance(v, dict) for v in value):
        return [_translate(v, entry, f"{path}[{n}]", found) for n, v in enumerate(value)]
    read = value
    match unit(kind):
        case "ns":
            read = units.parse(value, units.NANOSECONDS)
        case "MB":
            size = units.parse(value, units.BYTES)
            read = size // MB if size is not None else None
    if read is None or not _fits(read, kind) or settings.fault(read, kind, path) is not None:
        found.append(Problem(path, f"is {value!r}, where {_allowed(kind)} is allowed"))
    return read


def _fits(value: Any, kind: Any) -> bool:
    """Whether a value has the type that is meant, where the platform's form takes any."""
    for meta in getattr(kind, "__metadata__", ()):
        meant = TYPES.get((meta.extra_json_schema or {}).get("type", ""))
        if meant is not None and type(value) is not meant:
            return False
    return True


def _allowed(kind: Any) -> str:
    match unit(kind):
        case "ns":
            return "a time such as 400ms"
        case "MB":
            return "a size such as 64MB"
    return settings.allowed(kind)
