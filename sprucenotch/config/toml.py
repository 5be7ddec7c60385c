"""The TOML form of a configuration file, for those who run a sidecar by hand.

Its keys are the platform's in lower case with underscores, times and sizes carry their units (`aim = "400ms"`
for `"AimNs": 400000000`), and a key that is not known is an error. It is turned into the platform's form, so
both mean the same by construction. Option not taken: types of its own, which would drift from the first.
"""

from __future__ import annotations

import difflib
import tomllib
from typing import Any, NamedTuple, get_args

import msgspec
from msgspec import Struct

from sprucenotch import settings
from sprucenotch.config import units
from sprucenotch.settings import Problem, SettingsError


class Measure(NamedTuple):
    """How a figure with a unit is written."""

    units: dict[str, int]
    scale: int  # of the platform's unit, in the smallest
    allowed: str


MEASURES = {
    "ns": Measure(units.NANOSECONDS, 1, "a time such as 400ms"),
    "MB": Measure(units.BYTES, units.BYTES["MB"], "a size such as 64MB"),
    "B": Measure(units.BYTES, 1, "a size such as 64kB"),
}
TYPES = {"boolean": bool, "string": str, "integer": int, "array": list, "object": dict}


def decode(raw: bytes) -> dict[str, Any]:
    """A file as the platform would have told it. Raises SettingsError with every problem in it."""
    found: list[Problem] = []
    told = translate(parse(raw), settings.File, "", found)
    if found:
        raise SettingsError(found)
    return told


def parse(raw: bytes) -> dict[str, Any]:
    """The file as TOML has it. Raises SettingsError."""
    try:
        return tomllib.loads(raw.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise SettingsError([Problem("the file", f"is not TOML: {problem}")]) from None


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
    measure = MEASURES.get(unit(kind))
    if measure is None or not isinstance(value, int | float) or isinstance(value, bool):
        return value
    return units.spell(value * measure.scale, measure.units)


def translate(raw: Any, kind: type[Struct], path: str, found: list[Problem]) -> dict[str, Any]:
    """A table with its figures as plain numbers, under the names that `kind` is encoded by. What cannot be
    taken is added to `found`."""
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
    inner, entry = settings.part_type(kind), settings.entry_type(kind)
    if isinstance(value, dict) and inner is not None:
        return translate(value, inner, path, found)
    if isinstance(value, list) and value and entry is not None and all(isinstance(v, dict) for v in value):
        return [translate(v, entry, f"{path}[{n}]", found) for n, v in enumerate(value)]
    read = value
    if (measure := MEASURES.get(unit(kind))) is not None:
        figure = units.parse(value, measure.units)
        read = figure // measure.scale if figure is not None else None
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
    measure = MEASURES.get(unit(kind))
    return settings.allowed(kind) if measure is None else measure.allowed
