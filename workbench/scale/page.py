"""The generated parts of docs/CAPACITY.md: `python -m workbench.scale.page docs/CAPACITY.md`."""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path

import click

from workbench.files import replace_files
from workbench.scale.capacity import capacity
from workbench.scale.slopes import read_slopes
from workbench.scale.table import sections
from workbench.scale.target import target_of

GENERATED_PART = re.compile(r"(<!-- generated: (\w+) -->\n).*?(<!-- end -->\n)", re.DOTALL)


class PageError(Exception):
    """A page whose markers do not match the model's parts; the message is a single line."""


def render_page(text: str, parts: Mapping[str, str]) -> str:
    """Return the page with every generated part replaced by its current content.

    Raises:
        PageError: The markers of the page do not match the parts.
    """
    found = [name for _, name, _ in GENERATED_PART.findall(text)]
    if sorted(found) != sorted(parts):
        raise PageError(f"markers: {', '.join(found) or 'none'}: must be {', '.join(parts)}, each once")
    return GENERATED_PART.sub(lambda match: match[1] + parts[match[2]] + match[3], text)


def current_parts() -> dict[str, str]:
    """Generate the parts for the default target from the shipped slopes."""
    slopes = read_slopes()
    return sections(capacity(target_of(), slopes), slopes)


@click.command()
@click.argument("page", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def main(page: Path) -> None:
    """Regenerate the generated parts of PAGE."""
    replace_files({page: render_page(page.read_text(), current_parts()).encode()})


if __name__ == "__main__":
    main()
