"""Commands that the task script calls."""
