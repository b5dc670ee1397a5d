"""Each error type is in an `errors` module, and has its own remedy and a row on the page for operators."""

from __future__ import annotations

import gc
import importlib
import pkgutil
import re
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import onyxpost
from onyxpost import errors
from onyxpost.errors import OperatorError

if TYPE_CHECKING:
    from collections.abc import Iterator

ON_CALL_PAGE = Path("docs/on-call.md").read_text()


def error_types(base: type[OperatorError] = OperatorError) -> list[type[OperatorError]]:
    """Returns all subclasses of `base` that the program defines."""
    subclasses = [kind for kind in base.__subclasses__() if kind.__module__.startswith("onyxpost.")]
    return list(dict.fromkeys(subclasses + [kind for child in subclasses for kind in error_types(child)]))


def documentation_faults(kind: type[OperatorError], page: str) -> list[str]:
    """Returns what an error type lacks: its own remedy, or exactly one row with that remedy on the page."""
    rows = [line for line in page.splitlines() if line.startswith(f"| `{kind.__name__}` |")]
    faults = [] if vars(kind).get("remedy") else ["no remedy of its own"]
    is_listed = len(rows) == 1 and f"| {kind.remedy} |" in rows[0]
    return faults if is_listed else [*faults, "not on the page"]


@pytest.fixture
def forget_error_types() -> Iterator[None]:
    """Collects the error type that a test defined, so that `error_types` does not find it in other tests."""
    yield
    gc.collect()


def test_each_error_is_in_an_errors_module_has_a_remedy_and_is_listed_on_the_page() -> None:
    for module in pkgutil.walk_packages(onyxpost.__path__, "onyxpost."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    all_types = error_types()
    assert [kind for kind in all_types if kind.__module__.rpartition(".")[2] != "errors"] == []
    leaves = [kind for kind in all_types if not kind.__subclasses__()]
    faults = {kind.__name__: documentation_faults(kind, ON_CALL_PAGE) for kind in leaves}
    assert {name: found for name, found in faults.items() if found} == {}
    assert len({kind.remedy for kind in leaves}) == len(leaves)
    types_with_root: list[type[OperatorError]] = [OperatorError, *all_types]
    base_names = "|".join(kind.__name__ for kind in types_with_root if kind not in leaves)
    for path in Path("onyxpost").rglob("*.py"):  # base classes have no remedy and must not be raised
        assert re.search(rf"\b({base_names})\(.*[\"']", path.read_text()) is None, path


@pytest.mark.usefixtures("forget_error_types")
def test_an_error_without_a_remedy_or_a_row_on_the_page_is_found() -> None:
    class UndocumentedError(errors.FileOpenError):
        pass

    assert documentation_faults(UndocumentedError, ON_CALL_PAGE) == [
        "no remedy of its own",
        "not on the page",
    ]
    row = next(line for line in ON_CALL_PAGE.splitlines() if "| `FileOpenError` |" in line)
    for page in (ON_CALL_PAGE.replace(row, ""), ON_CALL_PAGE.replace(errors.FileOpenError.remedy, "pray")):
        assert documentation_faults(errors.FileOpenError, page) == ["not on the page"]
