"""Load declarations from a folder of TOML files or from one document.

The ``*.toml`` files are at the top of the folder or one folder below. Each
file holds tables ``[models.NAME]``, ``[profiles.NAME]`` and so on. A
folder below the top may have any name, but if it has the name of a section
its files may hold only that section. For example, ``customers/acme.toml``::

    [customers.acme]
    key_hashes = ["b2$..."]
    profiles = ["quote-helper"]
    versions = ["nest-small"]

A document holds the same tables as one JSON object.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import tomllib
from typing import Any
from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import key_place
from sycamorestand_model.findings import Place
from sycamorestand_model.limits import MAX_DECLARATIONS
from sycamorestand_model.limits import MAX_FILE_BYTES
from sycamorestand_model.limits import MAX_FILES
from sycamorestand_model.limits import MAX_FOLDER_DEPTH
from sycamorestand_model.limits import MAX_TOTAL_BYTES
from sycamorestand_model.schemas import SECTIONS

SUFFIX: Final = ".toml"
# Files with these suffixes are skipped without a finding.
COMPANION_SUFFIXES: Final = (".md", ".txt")


class LoadResult(NamedTuple):
    """The declarations that were loaded, and the findings of the readers.

    ``files`` maps ``section.name`` to the file of each declaration, also of
    those that have errors and are therefore not in ``declarations``.
    """

    declarations: Declarations
    findings: tuple[Finding, ...] = ()
    files: dict[str, str] = {}


class _RawDeclaration(NamedTuple):
    section: str
    name: str
    table: object
    place: Place


def load_folder(folder: Path) -> LoadResult:
    """Load all declarations from the TOML files of a folder."""
    findings = Findings()
    raw: list[_RawDeclaration] = []
    for path in _find_files(folder, findings):
        relative = path.relative_to(folder).as_posix()
        document = _parse(path, Place(relative), findings)
        raw.extend(_raw_declarations(document, relative, findings))
    return _assemble(raw, findings)


def load_document(document: object) -> LoadResult:
    """Load declarations from one JSON-able object."""
    findings = Findings()
    return _assemble(_raw_declarations(document, "", findings), findings)


def _find_files(folder: Path, findings: Findings) -> list[Path]:
    if not folder.is_dir():
        findings.error(
            Place(str(folder)), "is no folder", "name the declarations folder"
        )
        return []
    files = []
    for path in _walk(folder, folder, findings):
        relative = path.relative_to(folder)
        if path.suffix in COMPANION_SUFFIXES:
            continue
        place = Place(relative.as_posix())
        if path.suffix != SUFFIX:
            findings.warning(place, "is not read", f"end it in {SUFFIX}")
        elif len(relative.parts) > MAX_FOLDER_DEPTH:
            findings.error(place, "lies too deep", "move it one folder up")
        elif not path.is_file():
            findings.error(place, "is no file", "mend the link or remove it")
        else:
            files.append(path)
    return _check_limits(files, folder, findings)


def _walk(root: Path, folder: Path, findings: Findings) -> Iterator[Path]:
    """Yield the files under a folder, including those one level too deep.

    These are yielded so that the caller reports them; files in still deeper
    folders are not. A folder that cannot be read is an error: if it were
    skipped, the next apply would remove all declarations in it.
    """
    place = Place(folder.relative_to(root).as_posix())
    try:
        paths = sorted(folder.iterdir())
    except OSError as error:
        findings.error(place, f"cannot be read: {error.strerror}")
        return
    for path in paths:
        depth = len(path.relative_to(root).parts)
        if path.name.startswith("."):
            continue
        if not path.is_dir():
            yield path
        elif depth <= MAX_FOLDER_DEPTH:
            yield from _walk(root, path, findings)


def _check_limits(
    files: list[Path], folder: Path, findings: Findings
) -> list[Path]:
    if not files:
        findings.error(
            Place(str(folder)), "holds no .toml file", "add declarations"
        )
    if len(files) > MAX_FILES:
        findings.error(
            Place(str(folder)),
            f"holds {len(files)} files",
            f"use at most {MAX_FILES}",
        )
        return []
    if sum(path.stat().st_size for path in files) > MAX_TOTAL_BYTES:
        findings.error(
            Place(str(folder)),
            "is too large",
            f"use at most {MAX_TOTAL_BYTES:,} bytes together",
        )
        return []
    return files


def _parse(path: Path, place: Place, findings: Findings) -> object:
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        findings.error(place, f"cannot be read: {error.strerror}")
        return {}
    if len(content) > MAX_FILE_BYTES:
        findings.error(
            place, "is too large", f"use at most {MAX_FILE_BYTES:,} bytes"
        )
        return {}
    try:
        return tomllib.loads(content.decode())
    except UnicodeDecodeError:
        findings.error(place, "is not UTF-8 text", "save it as UTF-8")
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        findings.error(place, f"is not TOML: {error}", "mend the syntax")
    return {}


def _raw_declarations(
    document: object, file: str, findings: Findings
) -> list[_RawDeclaration]:
    if not isinstance(document, dict):
        findings.error(Place(file), "is no table", "give one JSON object")
        return []
    raw: list[_RawDeclaration] = []
    for section, tables in document.items():
        place = Place(file, str(section))
        if section not in SECTIONS:
            findings.error(
                place, "unknown section", f"use {', '.join(SECTIONS)}"
            )
        elif not isinstance(tables, dict):
            findings.error(place, "is no table", f"use [{section}.NAME]")
        else:
            _check_folder_name(section, place, findings)
            raw.extend(
                _RawDeclaration(section, name, table, key_place(place, name))
                for name, table in tables.items()
            )
    return raw


def _check_folder_name(section: str, place: Place, findings: Findings) -> None:
    folder = place.file.rpartition("/")[0]
    if folder in SECTIONS and folder != section:
        findings.error(
            place,
            f"{section} stand in the folder {folder}/",
            f"move them to {section}/",
        )


def _assemble(raw: list[_RawDeclaration], findings: Findings) -> LoadResult:
    sections: dict[str, Any] = {key: {} for key in SECTIONS}
    files: dict[str, str] = {}
    for declaration in raw:
        section, name, table, place = declaration
        identity = f"{section}.{name}"
        if identity in files:
            findings.error(
                place,
                f"is declared in {files[identity]} too",
                "keep one of them",
            )
            continue
        files[identity] = place.file
        value = SECTIONS[section](name, table, place, findings)
        if value is not None:
            sections[section][name] = value
    _check_declaration_counts(files, findings)
    return LoadResult(Declarations(**sections), findings.all(), files)


def _check_declaration_counts(
    files: dict[str, str], findings: Findings
) -> None:
    for section, limit in MAX_DECLARATIONS.items():
        count = sum(key.startswith(f"{section}.") for key in files)
        if count > limit:
            findings.error(
                Place("", section),
                f"{count} declarations are too many",
                f"use at most {limit}",
            )


__all__ = ["load_document", "load_folder", "LoadResult"]
