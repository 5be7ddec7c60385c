"""A configuration laid out flat: each figure, as it is written by hand, and where it came from."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from sprucenotch import settings
from sprucenotch.config import toml

# What a SIGHUP takes up; all else is that of the start.
AT_SIGHUP = ("settings", "discovery", "log")


class Row(NamedTuple):
    path: str
    value: Any  # times and sizes with their units
    source: str  # "file", "default", or the name of the variable that stands in


def rows(told: dict[str, Any], environ: Mapping[str, str]) -> Iterator[Row]:
    """All of a file in the platform's form, with what stands in for what it leaves out."""
    return _rows(told, settings.File, "", environ)


def _rows(told: Any, kind: type[Struct], path: str, environ: Mapping[str, str]) -> Iterator[Row]:
    for field in msgspec.structs.fields(kind):
        name = toml.key(field)
        below = f"{path}.{name}" if path else name
        variable = f"PROXY_{name.upper()}"
        if field.encode_name in told:
            value, source = told[field.encode_name], "file"
        elif not path and variable in environ:
            value, source = environ[variable], variable
        else:
            value, source = field.default, "default"
        inner, entry = settings.part_type(field.type), settings.entry_type(field.type)
        if inner is not None and value is not None:
            yield from _rows(value if isinstance(value, dict) else {}, inner, below, environ)
        elif entry is not None and value:
            for number, part in enumerate(value):
                yield from _rows(part, entry, f"{below}[{number}]", environ)
        elif name == "known" and isinstance(value, dict):
            yield Row(below, f"{len(value.get('hosts', ()))} engines, version {value.get('seq')}", source)
        else:
            yield Row(below, toml.spell(value, field.type), source)


class Change(NamedTuple):
    path: str
    old: Any  # None where it was not there
    new: Any
    at_sighup: bool  # else only a start takes it


def changes(old: dict[str, Any], new: dict[str, Any], environ: Mapping[str, str]) -> list[Change]:
    """What is different in the new one, in the order of the file."""
    before, after = ({row.path: row.value for row in rows(told, environ)} for told in (old, new))
    return [
        Change(path, before.get(path), after.get(path), path.partition(".")[0] in AT_SIGHUP)
        for path in dict.fromkeys((*before, *after))
        if before.get(path) != after.get(path)
    ]
