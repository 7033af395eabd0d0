"""Counts requests and their times, to be sent as metrics now and then.

A datagram to the collector for each request would cost more than counting.
"""

from hdrh import histogram

from auburnrock import errors
from auburnrock import messages
from auburnrock import records
from auburnrock.shells import clock
from auburnrock.shells import front

SHORTEST_MS = 1
LONGEST_MS = 600_000
SIGNIFICANT_DIGITS = 2


class RequestTally:
    """What callers were answered since the last sample.

    Attributes:
      answered: requests that a target answered.
      refused: requests that were refused, by error kind.
      times: milliseconds from a request's arrival to its answer.
    """

    def __init__(self):
        self.answered = 0
        self.refused: dict[errors.ErrorKind, int] = {}
        self.times = histogram.HdrHistogram(
            SHORTEST_MS, LONGEST_MS, SIGNIFICANT_DIGITS
        )

    def note(self, refused: errors.ErrorKind | None, spent_ms: int) -> None:
        """Counts one request."""
        if refused is None:
            self.answered += 1
        else:
            self.refused[refused] = self.refused.get(refused, 0) + 1
        # The histogram takes no zero.
        self.times.record_value(max(SHORTEST_MS, min(spent_ms, LONGEST_MS)))


class CountingRouter(front.Router):
    """Counts the requests that another router brings to where they run.

    Attributes:
      router: the other router.
      tally: the counts; whoever samples them puts a new one here.
    """

    def __init__(self, router: front.Router):
        self.router = router
        self.tally = RequestTally()

    def configuration(self) -> records.Configuration | None:
        """The configuration in force at this node."""
        return self.router.configuration()

    async def route(
        self, request: messages.Request
    ) -> messages.Response | messages.Refusal:
        """Returns the request's final answer, by its deadline."""
        began_ms = clock.now_ms()
        answer = await self.router.route(request)
        is_refusal = isinstance(answer, messages.Refusal)
        kind = answer.kind if is_refusal else None
        self.tally.note(kind, clock.now_ms() - began_ms)
        return answer

    def take(self) -> RequestTally:
        """The counts so far; counting begins anew."""
        taken = self.tally
        self.tally = RequestTally()
        return taken
