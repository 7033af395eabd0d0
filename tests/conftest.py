"""Hypothesis profiles: `dev` for people, `ci` gives the same verdict always."""

import hypothesis

hypothesis.settings.register_profile("dev", deadline=None)
hypothesis.settings.register_profile(
    "ci", deadline=None, derandomize=True, database=None
)
hypothesis.settings.load_profile("dev")
