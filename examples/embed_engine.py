"""Embedding the engine: leases by witnesses, in virtual time.

Two nodes and three witnesses exchange messages without a network. One node
falls silent; its witnesses end its lease, and its shards may be taken. No
socket, clock or store is involved: the engine takes events and a time, and
returns actions.

Usage: python -m examples.embed_engine
"""

from auburnrock import messages
from auburnrock.engine import timing as timing_lib
from auburnrock.engine import witness as witness_lib

NODE = 100
WITNESSES = [1, 2, 3]
STEP_MS = 100
FALLS_SILENT_MS = 2_000


def main() -> None:
    """Plays the schedule and prints what happens."""
    timing = timing_lib.Timing()
    witnesses = {
        number: witness_lib.Witness(f"witness-{number}", number, timing, 0)
        for number in WITNESSES
    }
    now_ms = 0
    while now_ms < FALLS_SILENT_MS:
        for number, witness in witnesses.items():
            renewal = messages.Renew(NODE, number, now_ms // STEP_MS, 0)
            assert witness.on_renew(now_ms, renewal).renewed
        now_ms += STEP_MS
    print(f"{now_ms} ms: the node falls silent")
    now_ms += timing.silence_limit_ms
    longest_ms = 0
    for number in WITNESSES[:2]:
        answer = witnesses[number].on_seal(
            now_ms, messages.Seal(NODE, number, 1)
        )
        longest_ms = max(longest_ms, answer.remaining_ms)
        print(
            f"{now_ms} ms: witness {number} sealed, {answer.remaining_ms} ms"
            " of its last renewal left"
        )
    now_ms += timing.seal_wait_ms(longest_ms)
    print(f"{now_ms} ms: its shards may be taken")
    late = messages.Renew(NODE, 1, 99, 0)
    renewed = witnesses[1].on_renew(now_ms, late).renewed
    print(f"{now_ms} ms: the node returns; renewed: {renewed}")


if __name__ == "__main__":
    main()
