"""State charts with guards, compiled to a table for the request path.

A file names the initial state and, for each state and event, ordered rows:

    {"initial": "new",
     "states": {"new": {"Start": [
         {"if": ["expired"], "do": "refuse", "to": "ended"},
         {"do": "send", "to": "sent"}]}}}

The first row whose guards are all true is applied. An event without such a row
changes nothing. Guards and steps are methods of the machine's class. They are
resolved by name once for each class, so that a lookup costs one dictionary
access.
"""

import importlib.resources
from typing import Any

import msgspec


class Row(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"guards": "if", "step": "do"},
):
    """One guarded transition.

    Attributes:
      to: the next state.
      guards: names of the methods that must all return True.
      step: name of the method that returns the actions; empty for none.
    """

    to: str
    guards: list[str] = []
    step: str = ""


class GuardedChart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A state chart whose transitions have guards.

    Attributes:
      initial: the initial state.
      states: the rows of each state by event.
    """

    initial: str
    states: dict[str, dict[str, list[Row]]]


class CompiledRow(msgspec.Struct, frozen=True):
    """A row with its methods resolved for one class.

    Attributes:
      guards: functions that take the machine and the time.
      step: function that takes the machine, the time and the event; None for
        none.
      to: the next state.
    """

    guards: tuple[Any, ...]
    step: Any
    to: str


Table = dict[tuple[str, str], tuple[CompiledRow, ...]]


def load(file_name: str) -> GuardedChart:
    """Reads a chart of this package.

    Raises:
      ValueError: the chart uses a state that it does not define.
    """
    data = importlib.resources.files(__package__).joinpath(file_name)
    chart = msgspec.json.decode(data.read_bytes(), type=GuardedChart)
    used = {chart.initial}
    for events in chart.states.values():
        for rows in events.values():
            used.update(row.to for row in rows)
    unknown = used - set(chart.states)
    if unknown:
        raise ValueError(
            f"{file_name}: states {sorted(unknown)} are used but not defined"
        )
    return chart


def compile_for(machine_class: type, chart: GuardedChart) -> Table:
    """Resolves a chart's guards and steps for a machine's class.

    Raises:
      AttributeError: the class lacks a guard or step that the chart names.
    """
    table = {}
    for state, events in chart.states.items():
        for event, rows in events.items():
            table[state, event] = tuple(
                _compile_row(machine_class, row) for row in rows
            )
    return table


def _compile_row(machine_class: type, row: Row) -> CompiledRow:
    guards = tuple(getattr(machine_class, name) for name in row.guards)
    step = getattr(machine_class, row.step) if row.step else None
    return CompiledRow(guards, step, row.to)
