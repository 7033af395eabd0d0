import hypothesis
from hypothesis import strategies as st
import pytest

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import configuration
from auburnrock.engine import in_force
from auburnrock.engine import proposal
from auburnrock.engine import replica as replica_lib
from auburnrock.store import base as platform_base
from tests.common import assignment as common

CONFLICT = errors.ErrorKind.CONFLICT
REJECTED = errors.ErrorKind.CONFIGURATION_REJECTED
UNKNOWN = actions.StoreOutcome.UNKNOWN


def accept(current, change):
    return configuration.propose(current, change).unwrap()


def refuse(current, change):
    return configuration.propose(current, change).unwrap_err()


def first(**texts):
    return accept(None, common.change(**texts))


def test_files_are_merged_field_by_field_in_the_order_of_their_names():
    weights = {"weights": {"churn": 9.0}}
    merged = first(
        b=common.file_text(slots=7, **weights),
        a=common.file_text(slots=5, weights={"imbalance": 2.0}, timeout_ms=9),
    )
    settings = merged.services[common.SERVICE]
    assert (settings.slots, settings.timeout_ms) == (7, 9)
    assert (settings.weights.imbalance, settings.weights.churn) == (2.0, 9.0)


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("{", ["the whole file"]),
        ("[]", ["the whole file", "object"]),
        ('{"services": {}, "services": {}}', ["stands twice"]),
        ('{"service": {}}', ["service", "unknown field", "services"]),
        ('{"services": {"a": {"slots": "7"}}}', ["slots", "str", "int"]),
        ('{"services": {"a": {"slots": null}}}', ["slots", "null", "int"]),
        ('{"services": {"a": {"slot": 7}}}', ["slot", "unknown", "slots"]),
        ('{"services": {"a": {"slots": 0}}}', ["services.a.slots", "got 0"]),
        ('{"services": {"a": {"weights": {"churn": -1}}}}', ["weights.churn"]),
        ('{"services": {"a": {"hot_keys": ["k"]}}}', ["a.hot_keys", "none"]),
        ('{"services": {"A b": {}}}', ["services.A b", "small letters"]),
        (
            '{"services": {"a": {"non_idempotent": [{"method": "get"}]}}}',
            ["non_idempotent", "capitals"],
        ),
        ('{"services": {"a": {"hot_keys": ["\\ud800"]}}}', ["whole file"]),
        ("\ud800", ["whole file"]),
        ("[" * 100_000, ["whole file"]),
    ],
)
def test_an_invalid_file_among_valid_ones_rejects_the_whole_set(text, parts):
    current = first(a=common.file_text())
    change = common.change(b=common.file_text(service="other"), c=text)
    failure = refuse(current, change)
    assert failure.kind == REJECTED
    for part in ["file c.json", *parts]:
        assert part in failure.message


def test_a_rejection_names_the_file_that_set_the_field():
    failure = refuse(
        None,
        common.change(
            a=common.file_text(slots=0), b=common.file_text(timeout_ms=5)
        ),
    )
    assert "file a.json: field services.hintsvc.slots: got 0" in failure.message


def test_a_configuration_beyond_a_megabyte_is_rejected():
    keys = [f"key-{n:06}" for n in range(4_000)]
    texts = {
        f"f{n}": common.file_text(service=f"s{n}", hot_keys=keys)
        for n in range(20)
    }
    failure = refuse(None, common.change(**texts))
    assert (failure.kind, "bytes" in failure.message) == (REJECTED, True)


@pytest.mark.parametrize(
    "after",
    [
        {"shards": 5},
        {"divided_by_key": False, "hot_keys": []},
        {"hot_keys": ["b", "a"]},
        {"hot_keys": ["a"]},
    ],
)
def test_what_maps_keys_to_shards_stays_even_if_the_service_was_removed(after):
    current = first(a=common.file_text(hot_keys=["a", "b"]))
    text = common.file_text(**({"hot_keys": ["a", "b"]} | after))
    changed = common.change(base=current, a=text)
    assert refuse(current, changed).kind == REJECTED
    removed = accept(current, common.change(base=current, a=None))
    assert removed.services == {}
    again = common.change(base=removed, a=text)
    assert refuse(removed, again).kind == REJECTED


def test_hot_keys_may_be_added_at_the_end():
    current = first(a=common.file_text(hot_keys=["a"]))
    text = common.file_text(hot_keys=["a", "b"])
    assert accept(current, common.change(base=current, a=text)).revision == 2


def test_two_operators_who_change_different_files_both_win():
    read = first(a=common.file_text(), b=common.file_text(service="other"))
    one = accept(read, common.change(base=read, a=common.file_text(slots=9)))
    two = accept(one, common.change(base=read, b=None))
    assert two.revision == 3
    assert two.services[common.SERVICE].slots == 9
    assert "other" not in two.services


@pytest.mark.parametrize(
    ("winner", "loser"),
    [
        (common.file_text(slots=9), common.file_text(slots=8)),
        (None, common.file_text(slots=8)),
        (common.file_text(slots=9), None),
    ],
)
def test_of_two_who_change_the_same_file_the_second_is_told(winner, loser):
    read = first(a=common.file_text())
    won = accept(read, common.change(base=read, a=winner))
    failure = refuse(won, common.change(base=read, a=loser))
    assert failure.kind == CONFLICT
    assert "a.json" in failure.message


class Race:
    """One proposal on a store that loses answers and delays writes."""

    def __init__(self, change, store=None, floor=0):
        self.store = store or common.MemoryStore()
        self.proposal = proposal.Proposal(change, 1, floor)
        self.late = []
        self.now_ms = 0

    def run(self, steps, then_well=4):
        """Answers calls as in `steps`, then `then_well` times correctly."""
        asked = self.proposal.begin()
        for step in [*steps, *["ok"] * then_well]:
            results = [self.carry_out(each, step) for each in asked]
            self.now_ms += 5_000
            asked = []
            for each in results:
                asked += self.proposal.on_store_result(each, self.now_ms)
            asked += self.proposal.tick(self.now_ms)
        return self.proposal.outcome

    def carry_out(self, call, step):
        if isinstance(call, actions.Read):
            return self.store.read(call)
        if step in ("ok", "taken, answer lost"):
            answer = self.store.swap(call)
            return (
                answer
                if step == "ok"
                else actions.StoreResult(call.token, UNKNOWN)
            )
        self.late.append(call)
        return actions.StoreResult(call.token, UNKNOWN)


STEPS = st.lists(st.sampled_from(["ok", "taken, answer lost", "late"]))


@hypothesis.given(STEPS, STEPS, st.booleans())
def test_what_is_accepted_stays_and_the_loser_is_told(one, two, same_file):
    store = common.MemoryStore()
    start = first(a=common.file_text(), b=common.file_text(service="other"))
    store.put(records.CONFIGURATION_KEY, records.encode_json(start))
    left = common.change("one", start, a=common.file_text(slots=8))
    right = common.change("two", start, a=common.file_text(slots=9))
    if not same_file:
        text = common.file_text(service="other", slots=9)
        right = common.change("two", start, b=text)
    races = [Race(left, store), Race(right, store)]
    outcomes = [races[0].run(["ok", *one])]
    outcomes.append(races[1].run(["ok", *two]))
    for call in races[0].late + races[1].late:
        store.swap(call)
    value = store.get(records.CONFIGURATION_KEY)
    final = records.decode_configuration(value.data)
    assert final.files["a.json"] == left.changes[0].text
    assert outcomes[0].is_ok()
    if same_file:
        assert outcomes[1].unwrap_err().kind == CONFLICT
        assert final.revision == 2
    else:
        assert outcomes[1].is_ok()
        assert final.files["b.json"] == right.changes[0].text
        assert final.revision == 3


def test_giving_up_says_whether_the_change_may_yet_take_effect():
    change = common.change(a=common.file_text())
    race = Race(change)
    race.run(["ok", "late"], then_well=0)
    assert race.proposal.give_up().kind == errors.ErrorKind.OUTCOME_UNKNOWN
    unreached = proposal.Proposal(change, 1, 0)
    unreached.begin()
    assert unreached.give_up().kind == errors.ErrorKind.STORE_UNAVAILABLE


def test_a_store_that_lost_the_configuration_gets_a_higher_revision():
    race = Race(common.change(a=common.file_text()), floor=41)
    assert race.run([]).unwrap().revision == 42


def offer(force, replica, configuration_or_bytes, revision):
    data = configuration_or_bytes
    if isinstance(data, records.Configuration):
        data = records.encode_json(data)
    value = platform_base.Value(records.CONFIGURATION_KEY, data, revision)
    return common.events(force.on_change(replica.apply_value(value), replica))


def test_a_lower_revision_is_never_applied_whoever_sends_it():
    force, replica = in_force.InForce(), replica_lib.Replica()
    offer(force, replica, common.services(revision=1), 1)
    # Fifty revisions are missed; then the newest arrives.
    offer(force, replica, common.services(revision=51), 60)
    stale = common.services(shards=9, revision=50)
    assert offer(force, replica, stale, 70) == ["configuration_refused"]
    assert force.offer(common.services(revision=51)) == []
    other = common.services(shards=9, revision=51)
    assert common.events(force.offer(other)) == ["configuration_refused"]
    for nonsense in (b"{", b"\xff", b'{"revision": "x", "services": {}}'):
        got = offer(force, replica, nonsense, replica.revision + 100)
        assert got in (["record_undecodable"], [])
    assert offer(force, replica, None, 900) == ["configuration_missing"]
    assert force.settings(common.SERVICE).shards == 4
    assert force.revision == 51
