"""Validated reading of configuration; an error about an unknown field suggests the nearest name."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Mapping
from typing import Any, TypeVar

from mashumaro.config import BaseConfig
from mashumaro.exceptions import (
    ExtraKeysError,
    InvalidFieldValue,
    MissingField,
    SuitableVariantNotFoundError,
)
from mashumaro.mixins.dict import DataClassDictMixin

from zincvale.model.errors import InvalidInputError
from zincvale.model.field_types import check_field_types


@dataclasses.dataclass
class Checked(DataClassDictMixin):
    """Base of every dataclass that is read from external data."""

    class Config(BaseConfig):
        """Reject undeclared fields; field names are used as they are declared."""

        forbid_extra_keys = True
        # Codecs are generated at their first use, since a daemon uses few of its types.
        lazy_compilation = True


CheckedType = TypeVar("CheckedType", bound=Checked)


def read_checked(kind: type[CheckedType], data: object, where: str) -> CheckedType:
    """Return `data` as an instance of `kind`.

    Parameters
    ----------
    kind : the dataclass to create.
    data : a decoded JSON or YAML value.
    where : name of the data in errors, for example `Route quotes: spec`.

    Raises
    ------
    InvalidInputError
        If the data is invalid; names the field and the remedy.
    """
    if not isinstance(data, Mapping):
        raise InvalidInputError(
            f"{where} is {type(data).__name__}, not a mapping", "write it as fields"
        )
    known = [field.name for field in dataclasses.fields(kind)]
    _refuse_unknown(known, data, where)
    check_field_types(kind, data, where)
    try:
        return kind.from_dict(dict(data))
    except MissingField as error:
        raise InvalidInputError(
            f"{where}: field {error.field_name!r} is missing", "add the field"
        ) from error
    except (InvalidFieldValue, SuitableVariantNotFoundError) as error:
        raise InvalidInputError(_describe_bad_value(error, where), "correct the value") from error
    except ExtraKeysError as error:
        raise InvalidInputError(f"{where}: {error}", "remove the unknown fields") from error
    except (TypeError, ValueError, KeyError) as error:
        raise InvalidInputError(f"{where}: {error}", "correct the value") from error


def _refuse_unknown(known: list[str], data: Mapping[str, Any], where: str) -> None:
    for name in data:
        if name in known:
            continue
        nearest = difflib.get_close_matches(str(name), known, n=1)
        if nearest:
            remedy = f"did you mean {nearest[0]!r}?"
        else:
            remedy = f"known fields are {', '.join(known)}"
        raise InvalidInputError(f"{where}: unknown field {name!r}", remedy)


def _describe_bad_value(error: Exception, where: str) -> str:
    if isinstance(error, InvalidFieldValue):
        expected = getattr(error.field_type, "__name__", str(error.field_type))
        return (
            f"{where}: field {error.field_name!r} has value {error.field_value!r}, not {expected}"
        )
    return f"{where}: {error}"
