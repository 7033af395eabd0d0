"""auburnrock.shells."""
