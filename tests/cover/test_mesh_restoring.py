"""Rules about a restored store, each from a schedule that the search found."""

from auburnrock.engine.mesh import coordination
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import restoring
from tests.common import mesh


def term(era, number):
    return coordination.revision_of(era, number)


def test_a_witness_renews_no_term_of_an_earlier_era():
    """The restored store had lost the record, and no later one was read; the
    node's keys went to others while its lease was live (seed 28)."""
    witness = lease_module.Witness(mesh.TERM_MS, 0.0)
    witness.on_record(1_000.0, mesh.member("a"), term(0, 7))
    witness.on_records_read(term(0, 8))
    assert witness.on_renew(1_000.0, "a", term(0, 7))
    witness.on_era(1)
    assert not witness.on_renew(1_300.0, "a", term(0, 7))
    # It is there all the same.
    assert witness.silent_ms(1_300.0, "a") == 0.0
    assert witness.on_renew(1_600.0, "a", term(1, 9))


def test_the_wait_before_a_table_is_settled_begins_anew_with_each_era():
    """A node that had known of an unsettled table for long settled it at once
    in the next era, and a move that was lost was rolled back (seed 47)."""

    def may_settle(now_ms, era_ms):
        return restoring.may_settle(now_ms, 0.0, era_ms, mesh.TERM_MS, 0.0)

    assert may_settle(10_000.0, 1_000.0)
    assert not may_settle(10_000.0, 9_900.0)
    assert may_settle(10_000.0 + mesh.TERM_MS, 9_800.0)
