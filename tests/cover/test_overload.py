"""The model of bench/overload.py stays within its goodput targets.

Guards against changes of limits or retries that lower the goodput under
overload or amplify a brown-out. The model without them must fail, so that the
comparison remains meaningful.
"""

from bench import overload

SECONDS = 4
SEED = 1


def measured(path, load, loss=0.0):
    return overload.measure(path, load, loss, SECONDS, SEED)


def test_goodput_at_four_times_capacity_is_90_percent_of_the_best():
    goodputs = [
        measured(overload.Limited, load).goodput_per_s
        for load in overload.LOADS
    ]
    assert goodputs[-1] >= 0.9 * max(goodputs)
    assert measured(overload.Retries, 4.0).goodput_per_s < 0.5 * goodputs[-1]


def test_a_brown_out_is_not_amplified_and_runs_no_work_twice():
    load, loss = overload.BROWN_OUT_LOAD, overload.BROWN_OUT_LOSS
    limited = measured(overload.Limited, load, loss)
    assert limited.amplification < 1.2
    assert limited.repeated_non_idempotent == 0
    retries = measured(overload.Retries, load, loss)
    assert retries.amplification > 1.2
    assert retries.repeated_non_idempotent > 0
