import gc

from auburnrock.programs import auburnrockd
from auburnrock.shells import memory


def test_what_is_loaded_before_the_daemon_serves_is_collected_no_more(
    monkeypatch,
):
    """Else each full collection stops it for some 35 ms."""
    frozen = []
    monkeypatch.setattr(
        auburnrockd.uvloop,
        "run",
        lambda serving: (serving.close(), frozen.append(gc.get_freeze_count())),
    )
    auburnrockd.start(None)
    gc.unfreeze()
    assert frozen[0] > 10_000


def test_new_garbage_is_still_collected():
    memory.freeze_loaded_objects()
    ring = []
    ring.append(ring)
    del ring
    assert gc.collect() >= 1
    gc.unfreeze()
