"""auburnrock.control."""
