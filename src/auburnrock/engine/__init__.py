"""auburnrock.engine."""
