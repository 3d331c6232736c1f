"""Resource files: YAML with one or many documents, or JSON.

A resource is an object `{kind, name, spec}`. A document holds one resource, a list of resources, or
an object with a list `resources`, which is the form of the control API's responses.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from pathlib import Path
from typing import Any

import attrs
import orjson
import yaml

from zincvale.model.errors import InvalidInputError

MAX_FILE_BYTES = 64 * 1024 * 1024
MAX_DEPTH = 32
"""Limit on the nesting of a resource; YAML aliases that contain themselves exceed it."""
MAX_VALUES_PER_RESOURCE = 100_000
"""Limit on the values in a resource with its aliases expanded; it stops alias bombs."""
RESOURCE_FILE_SUFFIXES = (".yaml", ".yml", ".json")
"""Files of a folder that are read; others are skipped."""


@attrs.frozen
class FileResource:
    """One resource and its location: the file, document and position it was read from."""

    document: dict[str, Any]
    location: str


def read_resources(paths: Iterable[str]) -> list[FileResource]:
    """Return the resources in files and folders, in order; raises `InvalidInputError`."""
    resources: list[FileResource] = []
    for path in paths:
        for file in _files_of(path):
            resources += _read_file(file)
    if not resources:
        raise InvalidInputError("there is no resource in the files", "write kind, name and spec")
    return resources


def _files_of(path: str) -> list[Path]:
    folder = Path(path)
    if not folder.is_dir():
        return [folder]
    files = sorted(file for file in folder.iterdir() if file.suffix in RESOURCE_FILE_SUFFIXES)
    if not files:
        raise InvalidInputError(
            f"folder {path} holds no resource file",
            f"name files that end in {', '.join(RESOURCE_FILE_SUFFIXES)}",
        )
    return files


def _read_file(file: Path) -> list[FileResource]:
    try:
        content = file.read_bytes()
    except OSError as error:
        raise InvalidInputError(
            f"file {file} cannot be read: {error.strerror}", "name a readable file"
        ) from error
    if len(content) > MAX_FILE_BYTES:
        raise InvalidInputError(
            f"file {file} has {len(content)} bytes, more than {MAX_FILE_BYTES}", "split it"
        )
    documents = _read_json(file, content) if file.suffix == ".json" else _read_yaml(file, content)
    resources: list[FileResource] = []
    for number, document in enumerate(documents, start=1):
        resources += _resources_of(document, f"{file}, document {number}")
    return resources


def _read_json(file: Path, content: bytes) -> list[Any]:
    try:
        return [orjson.loads(content)]
    except orjson.JSONDecodeError as error:
        raise InvalidInputError(f"file {file} is not JSON: {error}", "correct it") from error


def _read_yaml(file: Path, content: bytes) -> list[Any]:
    try:
        documents = list(yaml.load_all(content, Loader=_ResourceLoader))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        shown = " ".join(str(error).split())
        raise InvalidInputError(f"file {file} is not YAML: {shown}", "correct it") from error
    except (RecursionError, ValueError) as error:
        raise InvalidInputError(f"file {file} cannot be read: {error}", "correct it") from error
    return [document for document in documents if document is not None]


def _resources_of(document: Any, location: str) -> list[FileResource]:
    if isinstance(document, dict) and "resources" in document and "kind" not in document:
        document = document["resources"]
    items = document if isinstance(document, list) else [document]
    resources = []
    for position, item in enumerate(items, start=1):
        resource_location = location if len(items) == 1 else f"{location}, resource {position}"
        if not isinstance(item, dict):
            raise InvalidInputError(
                f"{resource_location} is not a resource", "write kind, name and spec"
            )
        _JsonValueChecker(resource_location).check(item)
        resources.append(FileResource(item, resource_location))
    return resources


@attrs.define
class _JsonValueChecker:
    """Refuses values without a JSON form, and resources that aliases make too large or too deep."""

    location: str
    values_left: int = MAX_VALUES_PER_RESOURCE

    def check(self, value: Any, depth: int = 0) -> None:
        """Raise `InvalidInputError` for the first value that cannot be sent."""
        self.values_left -= 1
        if depth > MAX_DEPTH or self.values_left < 0:
            raise InvalidInputError(
                f"{self.location} is deeper than {MAX_DEPTH} or larger than "
                f"{MAX_VALUES_PER_RESOURCE} values",
                "remove aliases that contain themselves or each other",
            )
        if isinstance(value, dict):
            for name, item in value.items():
                self._check_name(name)
                self.check(item, depth + 1)
        elif isinstance(value, list):
            for item in value:
                self.check(item, depth + 1)
        else:
            self._check_scalar(value)

    def _check_name(self, name: object) -> None:
        if not isinstance(name, str):
            raise InvalidInputError(
                f"{self.location}: field name {name!r} is not text", "put it in quotes"
            )

    def _check_scalar(self, value: object) -> None:
        if isinstance(value, float) and not math.isfinite(value):
            raise InvalidInputError(
                f"{self.location}: {value} is not a finite number", "write a number"
            )
        if not isinstance(value, str | int | float | None):
            raise InvalidInputError(
                f"{self.location}: {value!r} has no JSON form", "write it as text, in quotes"
            )


class _ResourceLoader(yaml.SafeLoader):
    """Loads YAML with dates as text, and refuses a field that is given twice in a mapping."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Hashable, Any]:
        seen: set[str] = set()
        for key_node, _ in node.value:
            name = str(key_node.value)
            if name in seen and name != "<<":
                raise yaml.constructor.ConstructorError(
                    None, None, f"field {name!r} is given twice", key_node.start_mark
                )
            seen.add(name)
        return super().construct_mapping(node, deep=deep)


_ResourceLoader.yaml_implicit_resolvers = {
    first: [(tag, pattern) for tag, pattern in resolvers if not tag.endswith(":timestamp")]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}
