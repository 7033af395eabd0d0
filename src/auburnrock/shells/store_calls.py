"""Executes the engine's calls to the store."""

from auburnrock.engine import actions
from auburnrock.store import base as platform_base


async def call(
    platform: platform_base.Platform, action: actions.Swap | actions.Read
) -> actions.StoreResult:
    """Executes one call; failures are returned as outcomes, not raised."""
    try:
        if isinstance(action, actions.Read):
            return await _read(platform, action)
        return await _swap(platform, action)
    except platform_base.StoreUnavailableError:
        outcome = actions.StoreOutcome.UNAVAILABLE
    except Exception:
        # The call may have taken effect whatever the error was, and the part
        # that requested it waits for a result.
        outcome = actions.StoreOutcome.UNKNOWN
    return actions.StoreResult(action.token, outcome)


async def _read(
    platform: platform_base.Platform, action: actions.Read
) -> actions.StoreResult:
    value = await platform.get(action.key)
    return actions.StoreResult(action.token, actions.StoreOutcome.DONE, value)


async def _swap(
    platform: platform_base.Platform, action: actions.Swap
) -> actions.StoreResult:
    swap = await platform.compare_and_swap(
        action.key, action.data, action.expected_revision
    )
    outcome = (
        actions.StoreOutcome.DONE
        if swap.swapped
        else actions.StoreOutcome.CONFLICT
    )
    return actions.StoreResult(action.token, outcome, swap.current)
