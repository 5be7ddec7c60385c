"""A configuration as a flat list: each value, written with its unit, and its source."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from sprucenotch import settings
from sprucenotch.config import toml

# The parts of a configuration that a SIGHUP applies; other changes need a restart.
RELOADABLE = ("settings", "discovery", "log")


class Row(NamedTuple):
    path: str
    value: Any  # times and sizes with their units
    source: str  # "file", "default", or the name of the environment variable


def rows(raw: dict[str, Any], environ: Mapping[str, str]) -> Iterator[Row]:
    """Yield all values of a file in the platform's form, with variables and defaults for missing ones.

    A missing top-level key takes the value of its PROXY_<KEY> variable, whatever the key. A sidecar itself
    takes only the keys listed in `sprucenotch.node.config.apply_environment` from variables.
    """
    return _rows(raw, settings.File, "", environ)


def _rows(raw: Any, type_: type[Struct], path: str, environ: Mapping[str, str]) -> Iterator[Row]:
    for field in msgspec.structs.fields(type_):
        name = toml.key(field)
        child_path = f"{path}.{name}" if path else name
        variable = f"PROXY_{name.upper()}"
        if field.encode_name in raw:
            value, source = raw[field.encode_name], "file"
        elif not path and variable in environ:
            value, source = environ[variable], variable
        else:
            value, source = field.default, "default"
        inner, entry = settings.struct_type(field.type), settings.entry_struct_type(field.type)
        if inner is not None and value is not None:
            yield from _rows(value if isinstance(value, dict) else {}, inner, child_path, environ)
        elif entry is not None and value:
            for number, part in enumerate(value):
                yield from _rows(part, entry, f"{child_path}[{number}]", environ)
        elif name == "known" and isinstance(value, dict):
            yield Row(
                child_path, f"{len(value.get('hosts', ()))} engines, version {value.get('seq')}", source
            )
        else:
            yield Row(child_path, toml.format_value(value, field.type), source)


class Change(NamedTuple):
    path: str
    old: Any  # None if the path does not exist
    new: Any
    at_sighup: bool  # whether a SIGHUP applies it; if not, a restart is needed


def changes(old: dict[str, Any], new: dict[str, Any], environ: Mapping[str, str]) -> list[Change]:
    """Return the values that differ between two configurations, in the order of the file."""
    before, after = ({row.path: row.value for row in rows(raw, environ)} for raw in (old, new))
    return [
        Change(path, before.get(path), after.get(path), path.partition(".")[0] in RELOADABLE)
        for path in dict.fromkeys((*before, *after))
        if before.get(path) != after.get(path)
    ]
