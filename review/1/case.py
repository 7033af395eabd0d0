"""A node that was sealed registers anew and names witnesses that know nothing.

Those give its keys away at once, while its upstream still holds them by the
former term and works on them.
"""

import asyncio
import base64
import signal
import time

from harness import configuration
from harness import fleet as fleet_module
from harness import script
from harness import upstream
import msgspec

THAW_SLACK_S = 0.3
WORK_S = 0.7
"""Execution time of a request: that of a slow upstream of kh-mesh's
`hint-lookup`, 220 ms x 4 (`srv_slow`), less a reserve."""

SETTLE_S = 9.0
FIRST_LOSS_S = 0.7
"""Time between the loss of the first machine and the freeze."""

CYCLE_S = 1.47
"""Time between two replies: `heartbeat`, and 0.6 s until the node replies."""

CYCLE_JITTER_S = 0.05
FREEZE_MAX_S = 4.0
"""Longest freeze: `for_s` of `node_freeze` in the sites."""

SENDS_PER_S = 15.0
ROUNDS = 5
"""Nodes that are disturbed one after the other, until the rule is broken."""

LAST_ROUND_S = 90.0
"""Time after the start of the script after which no round begins."""

ROUND_END_S = 9.0
"""Time after a disruption in which the deployment settles."""

STATE_FIELD = 5
WITNESSES_FIELD = 6
"""Fields of a node's record in the store, which only time the signals."""


class Watched(upstream.Upstream):
    """An upstream whose holds and work are compared with those of others.

    Attributes:
      ALL: all upstreams.
      counted: rows held by grants that count for the rule.
      thawed_s: when the node beside it was last thawed.
    """

    ALL: list["Watched"] = []

    def __init__(self, *values):
        super().__init__(*values)
        self.counted: list[tuple[int, int, int, float]] = []
        self.thawed_s = 0.0
        self.work_s = WORK_S
        Watched.ALL.append(self)

    def _apply(self, reply: dict, sent_s: float) -> None:
        before = {row[:3] for row in self.held}
        super()._apply(reply, sent_s)
        now_s = time.monotonic()
        if now_s - self.thawed_s > THAW_SLACK_S:
            self.counted = list(self.held)
        for row in self.held:
            if row[:3] not in before:
                self._compare(row, now_s)

    def _compare(self, row: tuple[int, int, int, float], now_s: float) -> None:
        for other in Watched.ALL:
            if other is self:
                continue
            for attempt, (key, since_s) in other.working.items():
                left_s = max(
                    (
                        held[3] - now_s
                        for held in other.counted
                        if held[0] <= key <= held[1]
                    ),
                    default=0.0,
                )
                if row[0] <= key <= row[1] and left_s > 0.0:
                    self.record.write(
                        "given_while_at_work",
                        to=self.name,
                        key=key,
                        fence=row[2],
                        at_work=other.name,
                        attempt=attempt,
                        since_ms=round(1_000 * (now_s - since_s)),
                        hold_left_ms=round(1_000 * left_s),
                    )


def record_of(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> tuple[int, list[str]]:
    """Returns the state and the witnesses in a node's record."""
    item = fleet.store.items.get(f"auburnrock/m/{machine.ip}")
    if item is None:
        return -1, []
    fields = msgspec.msgpack.decode(base64.b64decode(item[0]))
    return fields[STATE_FIELD], list(fields[WITNESSES_FIELD])


async def wait_for(condition, limit_s: float) -> None:
    """Waits for a condition, at most for a time."""
    end_s = time.monotonic() + limit_s
    while not condition() and time.monotonic() < end_s:
        await asyncio.sleep(0.002)


async def send_steadily(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> None:
    """Sends requests for keys that the machine's own upstream holds."""
    running: set[asyncio.Task] = set()
    while True:
        rows = machine.upstream.counted
        if rows:
            row = fleet.rng.choice(rows)
            task = asyncio.create_task(
                fleet.send(
                    machine,
                    configuration.HOST,
                    "/hint/1",
                    key=fleet.rng.randint(row[0], row[1]),
                    deadline_ms=2_500,
                )
            )
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.sleep(1.0 / SENDS_PER_S)


async def disturb(
    fleet: fleet_module.Fleet, victim: fleet_module.Machine
) -> None:
    """Freezes a node twice, and kills those that renew its lease."""
    by_ip = {machine.ip: machine for machine in fleet.machines}
    witnesses = [by_ip[ip] for ip in record_of(fleet, victim)[1]]
    if len(witnesses) != 5:
        raise fleet_module.CannotRunError("the node has not five witnesses")

    def until_s() -> float:
        return max((row[3] for row in victim.upstream.held), default=0.0)

    # The reply to a heartbeat comes at a steady pace while no grant changes.
    steady_s = 0.0
    while abs(steady_s - CYCLE_S) > CYCLE_JITTER_S:
        began_s = time.monotonic()
        known = until_s()
        await wait_for(lambda known=known: until_s() > known, 4.0)
        steady_s = time.monotonic() - began_s
    await asyncio.sleep(CYCLE_S - FIRST_LOSS_S)
    witnesses[-1].kill_node()
    known = until_s()
    await wait_for(lambda: until_s() > known, 4.0)
    victim.signal(signal.SIGSTOP)
    await wait_for(lambda: record_of(fleet, victim)[0] == 1, FREEZE_MAX_S)
    for machine in witnesses[:-1]:
        machine.kill_node()
    victim.upstream.thawed_s = time.monotonic()
    victim.signal(signal.SIGCONT)
    former = {machine.ip for machine in witnesses}

    def has_new_witnesses() -> bool:
        state, names = record_of(fleet, victim)
        return state == 0 and former.isdisjoint(names)

    await wait_for(has_new_witnesses, 3.0)
    victim.signal(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    victim.upstream.thawed_s = time.monotonic()
    victim.signal(signal.SIGCONT)
    for machine in witnesses:
        machine.start_node()


async def play(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    Watched.ALL.clear()
    await fleet.start(
        ["hints"] * 6 + ["unlocks"] * 6,
        configuration.configuration(
            [
                configuration.route(
                    "r-hint",
                    "/hint/",
                    "hints",
                    idempotent=True,
                    timeout_ms=2_500,
                    target_ms=600,
                )
            ],
            {"hints": True, "unlocks": False},
        ),
        Watched,
    )
    await asyncio.sleep(SETTLE_S)
    for victim in fleet.machines[:ROUNDS]:
        if time.monotonic() - fleet.record.began_s > LAST_ROUND_S:
            break
        client = asyncio.create_task(send_steadily(fleet, victim))
        await asyncio.sleep(1.0)
        if script.trouble():
            await disturb(fleet, victim)
        await asyncio.sleep(ROUND_END_S)
        client.cancel()
        found = fleet.record.of("given_while_at_work")
        if found:
            at_s, first = found[0]
            return (
                f"OWNER: {len(found)} keys were given while another upstream"
                f" was at work on them, first at {at_s:.3f} s: {first}"
            )
    return ""


if __name__ == "__main__":
    script.run(__file__, play)
