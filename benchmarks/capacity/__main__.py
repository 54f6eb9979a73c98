"""`python -m benchmarks.capacity`: run the scale tests that have no result yet, make the page's tables."""

from __future__ import annotations

import contextlib

import click

from benchmarks.capacity import page
from benchmarks.capacity.points import POINTS as SERVICE_POINTS
from benchmarks.capacity.results import (
    InvalidResult,
    Point,
    PointTooLarge,
    measure_point,
    read_result,
    result_path,
    write_result,
)
from benchmarks.capacity.system import page as system_page
from benchmarks.capacity.system.points import POINTS as SYSTEM_POINTS

POINTS: list[Point] = [*SYSTEM_POINTS, *SERVICE_POINTS]


def points_to_run(names: tuple[str, ...], again: bool) -> list[Point]:
    """Returns the points to run: those named by test or point, or all, without a usable result.

    With `again` those that have a result are included.
    """
    points = []
    for point in POINTS:
        if names and point.test not in names and point.name not in names:
            continue
        try:
            read_result(result_path(point.name))
        except FileNotFoundError:
            points.append(point)
        except InvalidResult as fault:
            click.echo(f"run again: {fault}", err=True)
            points.append(point)
        else:
            if again:
                points.append(point)
    return points


@click.group()
def main() -> None:
    """Scale tests behind docs/CAPACITY.md."""


@main.command()
@click.argument("names", nargs=-1)
@click.option("--again", is_flag=True, help="Also those that have a result.")
def run(names: tuple[str, ...], again: bool) -> None:
    """Run the tests NAMES (all, if none is named), point by point; each result is kept as it comes."""
    points = points_to_run(names, again)
    for point in points:
        try:
            point.check()
        except PointTooLarge as error:
            raise click.ClickException(str(error)) from error
    with click.progressbar(points, item_show_func=lambda point: point.name if point else "") as bar:
        for point in bar:
            try:
                write_result(measure_point(point))
            except TimeoutError as error:
                click.echo(f"not measured: {point.name}: {error}", err=True)


@main.command(name="list")
def show() -> None:
    """The points, and which of them have a result."""
    for point in POINTS:
        state = "-"
        with contextlib.suppress(FileNotFoundError, InvalidResult):
            state = "".join(
                f"{k}={v[0]:g} " for k, v in list(read_result(result_path(point.name)).figures.items())[:4])
        click.echo(f"{point.name:42} {state}")


@main.command()
@click.option("--fit/--no-fit", default=True, help="Fit the slopes anew, which needs scipy.")
def tables(fit: bool) -> None:
    """Make the tables of docs/CAPACITY.md and docs/CAPACITY-service.md from the results."""
    if fit:
        page.fit()
        system_page.fit()
    page.PAGE.write_text(page.fill_tables(page.PAGE.read_text()))
    system_page.PAGE.write_text(system_page.fill_tables(system_page.PAGE.read_text()))


if __name__ == "__main__":
    main()
