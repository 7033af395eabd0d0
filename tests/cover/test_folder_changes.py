import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from auburnrock import errors
from auburnrock.engine import configuration
from auburnrock.engine import folder_changes

NAMES = strategies.sampled_from(["10-a.json", "20-b.json"])
TEXTS = strategies.sampled_from(
    [None, *(f'{{"services": {{"s": {{"slots": {n}}}}}}}' for n in (1, 2, 3))]
)
OPERATORS = strategies.sampled_from(["ana", "bor"])


class Folder:
    """An operator's files, their base and the contents that were shown."""

    def __init__(self):
        self.files = {}
        self.base = folder_changes.Base()
        self.seen = {}


class OperatorsMachine(stateful.RuleBasedStateMachine):
    """Operators who edit, apply and fetch, each without the others' word.

    The oracle is what each operator last saw accepted of each file: an
    operator may replace an accepted content only having seen it.
    """

    def __init__(self):
        super().__init__()
        self.accepted = None
        self.folders = {"ana": Folder(), "bor": Folder()}
        self.writes = 0

    def files(self):
        return dict(self.accepted.files) if self.accepted else {}

    @stateful.rule(who=OPERATORS, name=NAMES, text=TEXTS)
    def edit(self, who, name, text):
        files = self.folders[who].files
        files.pop(name, None)
        if text is not None:
            files[name] = text

    @stateful.rule(who=OPERATORS)
    def apply(self, who):
        folder = self.folders[who]
        before = self.files()
        plan = folder_changes.plan_apply(folder.files, folder.base, before)
        if not plan.changes:
            return
        self.writes += 1
        change = configuration.ChangeSet(plan.changes, str(self.writes))
        proposed = configuration.propose(self.accepted, change)
        if isinstance(proposed, result.Err):
            assert proposed.err_value.kind is errors.ErrorKind.CONFLICT
            self.check_loser(folder, plan, before)
            return
        self.accepted = proposed.ok_value
        folder.base = folder_changes.base_after_apply(
            folder.base, plan.changes, self.accepted.revision
        )
        self.check_winner(folder, plan, before)

    def check_loser(self, folder, plan, before):
        """A conflict is told only where another content was replaced."""
        replaced = [
            change.name
            for change in plan.changes
            if before.get(change.name) != folder.seen.get(change.name)
            and before.get(change.name) != change.text
        ]
        assert replaced

    def check_winner(self, folder, plan, before):
        changed = {change.name for change in plan.changes}
        for name in {*before, *self.files(), *folder.files}:
            was = before.get(name)
            now = self.files().get(name)
            if name not in changed:
                assert now == was, "a file nobody changed was changed"
                continue
            assert now == folder.files.get(name)
            assert was in (folder.seen.get(name), now), "overwritten unseen"
            folder.seen[name] = now

    @stateful.rule(
        who=OPERATORS, keep=strategies.sampled_from(folder_changes.Keep)
    )
    def fetch(self, who, keep):
        folder = self.folders[who]
        local = dict(folder.files)
        accepted = self.files()
        revision = self.accepted.revision if self.accepted else 0
        planned = folder_changes.plan_fetch(
            local, folder.base, accepted, revision, keep
        )
        if isinstance(planned, result.Err):
            assert keep is folder_changes.Keep.NEITHER
            return
        plan = planned.ok_value
        for name, text in plan.writes.items():
            folder.files.pop(name, None)
            if text is not None:
                folder.files[name] = text
            is_edited = local.get(name) != folder.seen.get(name)
            assert not is_edited or keep is folder_changes.Keep.ACCEPTED
        for name in {*local, *accepted}:
            shown = folder.files.get(name)
            assert shown == accepted.get(name) or name in plan.kept
        folder.base = plan.base
        folder.seen = dict(accepted)


OperatorsMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=20
)
test_nothing_accepted_is_replaced_unseen = OperatorsMachine.TestCase


def test_the_revision_of_a_base_never_decreases():
    base = folder_changes.Base(7)
    planned = folder_changes.plan_fetch(
        {}, base, {}, 0, folder_changes.Keep.NEITHER
    )
    assert planned.ok_value.base.revision == 7
    assert folder_changes.base_after_apply(base, [], 3).revision == 7
