"""auburnrock.programs."""
