"""What a target's host says of its speed at this moment.

Targets share their hosts with other programs. Some say in their responses how
long work takes on their host now. The figure changes several times a second,
so it tells little about a request that is sent half a second later, and fades
out by then. Averages of what requests took are used beyond it.
"""

FADE_MS = 450.0
"""Age, in milliseconds, at which a figure counts for nothing. It fades evenly
until then, as the chance that it still holds does."""

USUAL_PERCENT = 100
"""Figure of a host on which work takes the usual time."""

PERCENT_MIN = 20
PERCENT_MAX = 2_000
"""Range of figures that are believed. Others come from a faulty target."""


class HostSpeed:
    """The latest figure of a target's host.

    Attributes:
      percent: time that work takes, in percent of the usual time.
      heard_ms: when it was received.
    """

    __slots__ = ("heard_ms", "percent")

    def __init__(self):
        self.percent = USUAL_PERCENT
        self.heard_ms = 0.0

    def on_figure(self, now_ms: float, percent: int | None) -> None:
        """Applies the figure of a response; None if it has none."""
        if percent is not None and PERCENT_MIN <= percent <= PERCENT_MAX:
            self.percent = percent
            self.heard_ms = now_ms

    def present_percent(self, now_ms: float) -> int:
        """Returns the figure that is to be expected now."""
        factor = time_factor(self.percent, now_ms - self.heard_ms)
        return round(100.0 * factor)


def time_factor(percent: int, age_ms: float) -> float:
    """Returns by how much longer than usual work takes, as far as known.

    Args:
      percent: time that work took, in percent of the usual time.
      age_ms: age of the figure, in milliseconds.
    """
    weight = max(0.0, 1.0 - max(0.0, age_ms) / FADE_MS)
    return 1.0 + weight * (percent / 100.0 - 1.0)
