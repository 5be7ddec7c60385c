"""The TOML form of a configuration file, for running a sidecar by hand.

Its keys are the platform's in lower case with underscores, times and sizes have units (`aim = "400ms"` for
`"AimNs": 400000000`), and an unknown key is an error. It is converted into the platform's form, so that both
forms have the same meaning. Separate types for TOML were rejected: the two could diverge.
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


class UnitFormat(NamedTuple):
    """How a number with a unit is written."""

    units: dict[str, int]
    scale: int  # of the platform's unit, in the smallest unit
    allowed: str


UNIT_FORMATS = {
    "ns": UnitFormat(units.NANOSECONDS, 1, "a time such as 400ms"),
    "MB": UnitFormat(units.BYTES, units.BYTES["MB"], "a size such as 64MB"),
    "B": UnitFormat(units.BYTES, 1, "a size such as 64kB"),
}
SCHEMA_TYPES = {"boolean": bool, "string": str, "integer": int, "array": list, "object": dict}


def decode(raw: bytes) -> dict[str, Any]:
    """Convert a file to the platform's form. Raises SettingsError with all problems."""
    problems: list[Problem] = []
    config = translate(parse(raw), settings.File, "", problems)
    if problems:
        raise SettingsError(problems)
    return config


def parse(raw: bytes) -> dict[str, Any]:
    """Parse a file as TOML. Raises SettingsError."""
    try:
        return tomllib.loads(raw.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise SettingsError([Problem("the file", f"is not TOML: {problem}")]) from None


def key(field: Any) -> str:
    """Return the TOML key of a field: its name without the unit, which the value carries."""
    name = str(field.name)
    return name.removesuffix("_ns").removesuffix("_mb") if unit(field.type) else name


def unit(type_: Any) -> str:
    """Return the unit of numbers of this type in the platform's form; empty if there is none."""
    for meta in getattr(type_, "__metadata__", ()):
        if meta.extra and "unit" in meta.extra:
            return str(meta.extra["unit"])
    return next(filter(None, map(unit, get_args(type_))), "") if hasattr(type_, "__metadata__") else ""


def format_value(value: Any, type_: Any) -> Any:
    """Format a value of the platform's form for TOML, with its unit."""
    unit_format = UNIT_FORMATS.get(unit(type_))
    if unit_format is None or not isinstance(value, int | float) or isinstance(value, bool):
        return value
    return units.format_value(value * unit_format.scale, unit_format.units)


def translate(raw: Any, type_: type[Struct], path: str, problems: list[Problem]) -> dict[str, Any]:
    """Convert a TOML table to the platform's keys and plain numbers. Adds invalid values to `problems`."""
    fields = {key(field): field for field in msgspec.structs.fields(type_)}
    config = {}
    for name, value in raw.items():
        child_path = f"{path}.{name}" if path else name
        if name not in fields:
            close_names = difflib.get_close_matches(name, fields, 1)
            problems.append(
                Problem(child_path, f"is not known; {close_names[0]} is" if close_names else "is not known")
            )
            continue
        config[fields[name].encode_name] = _value(value, fields[name].type, child_path, problems)
    for name, field in fields.items():
        if field.required and name not in raw:
            message = f"is missing, where {_describe_allowed(field.type)} is needed"
            problems.append(Problem(f"{path}.{name}" if path else name, message))
    return config


def _value(value: Any, type_: Any, path: str, problems: list[Problem]) -> Any:
    inner, entry = settings.struct_type(type_), settings.entry_struct_type(type_)
    if isinstance(value, dict) and inner is not None:
        return translate(value, inner, path, problems)
    if isinstance(value, list) and value and entry is not None and all(isinstance(v, dict) for v in value):
        return [translate(v, entry, f"{path}[{n}]", problems) for n, v in enumerate(value)]
    read = value
    if (unit_format := UNIT_FORMATS.get(unit(type_))) is not None:
        number = units.parse(value, unit_format.units)
        read = number // unit_format.scale if number is not None else None
    if read is None or not _fits(read, type_) or settings.find_problem(read, type_, path) is not None:
        problems.append(Problem(path, f"is {value!r}, where {_describe_allowed(type_)} is allowed"))
    return read


def _fits(value: Any, type_: Any) -> bool:
    """Whether a value has the documented type, for fields whose type in the platform's form is Any."""
    for meta in getattr(type_, "__metadata__", ()):
        expected = SCHEMA_TYPES.get((meta.extra_json_schema or {}).get("type", ""))
        if expected is not None and type(value) is not expected:
            return False
    return True


def _describe_allowed(type_: Any) -> str:
    unit_format = UNIT_FORMATS.get(unit(type_))
    return settings.describe_allowed(type_) if unit_format is None else unit_format.allowed
