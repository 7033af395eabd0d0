"""State charts read from JSON files beside the code that interprets them.

A file names the initial state and, for each state, its events:

    {"initial": "idle",
     "states": {"idle": {"start": {"to": "busy", "do": "send"}}}}

`to` is the next state. `do` is optional: the name of the step that the code
executes in this transition. An event that a state does not list is a bug in
the code.
"""

import importlib.resources

import msgspec


class Transition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One transition of a chart.

    Attributes:
      to: the next state.
      do: name of the step that the code executes; empty for none.
    """

    to: str
    do: str = ""


class Chart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A state chart.

    Attributes:
      initial: the initial state.
      states: the transitions of each state by event.
    """

    initial: str
    states: dict[str, dict[str, Transition]]

    def next(self, state: str, event: str) -> Transition:
        """The transition for an event; raises KeyError if there is none."""
        transition = self.states[state].get(event)
        if transition is None:
            known = ", ".join(sorted(self.states[state])) or "none"
            raise KeyError(
                f"state {state!r} has no event {event!r}; its events: {known}"
            )
        return transition

    def accepts(self, state: str, event: str) -> bool:
        """Whether a state has a transition for an event."""
        return event in self.states[state]

    def is_final(self, state: str) -> bool:
        """Whether a state has no transitions."""
        return not self.states[state]


def load(file_name: str) -> Chart:
    """Reads a chart of this package.

    Raises:
      ValueError: the chart uses a state that it does not define.
    """
    data = importlib.resources.files(__package__).joinpath(file_name)
    chart = msgspec.json.decode(data.read_bytes(), type=Chart)
    targets = {
        transition.to
        for transitions in chart.states.values()
        for transition in transitions.values()
    }
    unknown = (targets | {chart.initial}) - set(chart.states)
    if unknown:
        raise ValueError(
            f"{file_name}: states {sorted(unknown)} are used but not defined"
        )
    return chart
