"""The ``capacity`` command: works the capacity table out again from the slope file."""

from pathlib import Path

import click
import msgspec

from martenrun.capacity.fit import fit_slopes
from martenrun.capacity.model import load_target
from martenrun.capacity.table import as_markdown, read_slopes, replace_table, work_out

_DIRECTORY = click.Path(exists=True, file_okay=False, path_type=Path)
_FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.option("--slopes", type=_FILE, default=Path("docs/measurements/slopes.json"))
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of Markdown.")
@click.option("--fit", type=_DIRECTORY, help="Fit the slopes from these results first.")
@click.option("--page", type=_FILE, help="Replace the table of this page.")
def capacity(slopes: Path, as_json: bool, fit: Path | None, page: Path | None) -> None:
    """Work out the cost of each role at the target size."""
    if fit is not None:
        fitted = msgspec.json.format(msgspec.json.encode(fit_slopes(fit)))
        slopes.write_bytes(fitted + b"\n")
    target = load_target()
    table = work_out(read_slopes(slopes), target)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(table)).decode())
        return
    text = as_markdown(table, target.allowance)
    if page is None:
        click.echo(text)
    else:
        page.write_text(replace_table(page.read_text(encoding="utf-8"), text), encoding="utf-8")
