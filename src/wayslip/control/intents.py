"""Parses operators' TOML files into changes of the configuration."""

import dataclasses
import tomllib
from typing import Annotated
from typing import Any

import pydantic

from wayslip import errors
from wayslip.decisions import configuration


def _make_adapter(kind: type) -> pydantic.TypeAdapter:
    fields = {f.name for f in dataclasses.fields(kind)}

    def check_keys(row: Any) -> Any:
        unknown = set(row) - fields if isinstance(row, dict) else set()
        if unknown:
            raise ValueError(f"unknown key {sorted(unknown)[0]!r}")
        return row

    checked: Any = Annotated[kind, pydantic.BeforeValidator(check_keys)]  # type: ignore[valid-type]
    return pydantic.TypeAdapter(checked)


_TABLES: dict[str, pydantic.TypeAdapter] = {
    "pools": _make_adapter(configuration.Pool),
    "models": _make_adapter(configuration.Model),
    "versions": _make_adapter(configuration.Version),
    "adapters": _make_adapter(configuration.Adapter),
    "services": _make_adapter(configuration.Service),
}
_DELETABLE = {
    configuration.Kind.POOL,
    configuration.Kind.MODEL,
    configuration.Kind.VERSION,
    configuration.Kind.ADAPTER,
    configuration.Kind.SERVICE,
}
_HINT = "see examples/models.toml"


def parse_intent(text: str) -> configuration.Change:
    """Returns the change that an intent file describes.

    Raises:
        BadRequestError: A table or key is unknown, or a value is wrong.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        raise errors.BadRequestError(
            f"the file is not valid TOML: {e}", "correct the syntax there"
        ) from e
    put: list[configuration.Value] = []
    for table, rows in values.items():
        if table == "delete":
            continue
        if table not in _TABLES or not isinstance(rows, list):
            known = ", ".join((*_TABLES, "delete"))
            raise errors.BadRequestError(
                f"there is no table [[{table}]]", f"use one of: {known}"
            )
        put += [_parse_row(table, index, r) for index, r in enumerate(rows)]
    delete = tuple(_parse_delete(r) for r in values.get("delete", []))
    if not put and not delete:
        raise errors.BadRequestError(
            "the file contains nothing to change", _HINT
        )
    return configuration.Change(tuple(put), delete)


def _parse_row(table: str, index: int, row: Any) -> configuration.Value:
    adapter = _TABLES[table]
    hidden = {"kind", "fallback"}
    try:
        if isinstance(row, dict) and hidden & row.keys():
            raise errors.BadRequestError(
                f"{table}[{index}] sets {hidden & row.keys()}",
                "remove it; the control sets it",
            )
        return adapter.validate_python(row)
    except pydantic.ValidationError as e:
        first = e.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise errors.BadRequestError(
            f"{table}[{index}].{where}: {first['msg']}", _HINT
        ) from e


def _parse_delete(row: Any) -> tuple[configuration.Kind, str]:
    try:
        kind, name = configuration.Kind(row["kind"]), str(row["name"])
    except (KeyError, TypeError, ValueError) as e:
        raise errors.BadRequestError(
            "a [[delete]] needs a valid kind and a name", _HINT
        ) from e
    if kind not in _DELETABLE:
        raise errors.BadRequestError(
            f"a {kind} cannot be deleted", "placements follow from the models"
        )
    return kind, name
