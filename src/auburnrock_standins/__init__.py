"""Small stand-ins for the platform, targets and callers, for tests and demos.

No part of `auburnrock` imports this package.
"""
