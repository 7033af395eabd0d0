"""auburnrock.targets."""
