"""Orders to the engine stand-in: versions, adapters, role and fencing."""

import msgspec

from ibisknot import errors

FAILING_VERSION = "broken"
"""Version of every model that fails to load."""


class Order(msgspec.Struct):
    """An order to an engine.

    Attributes:
        kind: `load`, `unload`, `load_adapter`, `unload_adapter` or `role`.
        fencing: Fencing number of the sender; a later sender has a higher one.
        model: Name of the model.
        version: The version to load.
        adapter: The adapter to load or unload.
        role: The new role.
    """

    kind: str
    fencing: int
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class State(msgspec.Struct):
    """What an engine has loaded, and the newest sender of orders.

    Attributes:
        versions: The loaded version by model.
        adapters: The loaded adapters by model.
        failed: The last version that failed to load, by model.
        role: `mixed` until another role is ordered.
        fencing: The highest fencing number received.
    """

    versions: dict[str, str]
    adapters: dict[str, list[str]] = {}
    failed: dict[str, str] = {}
    role: str = "mixed"
    fencing: int = 0

    def serves(self, name: str) -> bool:
        """Returns whether a model, or `MODEL:ADAPTER`, is loaded.

        >>> state = State({"m": "1"}, adapters={"m": ["a"]})
        >>> [state.serves(name) for name in ("m", "m:a", "m:b", "x")]
        [True, True, False, False]
        """
        model, _, adapter = name.partition(":")
        if model not in self.versions:
            return False
        return not adapter or adapter in self.adapters.get(model, [])

    def served_names(self) -> list[str]:
        """Returns the names of the loaded models and adapters."""
        names = list(self.versions)
        for model, adapters in self.adapters.items():
            names.extend(f"{model}:{adapter}" for adapter in adapters)
        return names


def check_fencing(state: State, order: Order, *, is_checked: bool) -> None:
    """Records an order's fencing number and refuses a lower one.

    Args:
        state: State of the engine.
        order: The order.
        is_checked: Whether the engine refuses lower numbers.

    Raises:
        FencedError: An order with a higher number was received before.
    """
    if is_checked and order.fencing < state.fencing:
        message = f"fencing number {order.fencing} is below {state.fencing}"
        raise errors.FencedError(message)
    state.fencing = max(state.fencing, order.fencing)


def apply_order(state: State, order: Order) -> None:
    """Applies an order to the state.

    Raises:
        UnavailableError: The version fails to load; the one before stays.
        NotFoundError: An adapter's model is not loaded.
        BadRequestError: The kind of order is unknown.
    """
    if order.kind == "load":
        _load(state, order)
    elif order.kind == "unload":
        state.versions.pop(order.model, None)
        state.adapters.pop(order.model, None)
    elif order.kind == "load_adapter":
        _load_adapter(state, order)
    elif order.kind == "unload_adapter":
        loaded = state.adapters.get(order.model, [])
        state.adapters[order.model] = [a for a in loaded if a != order.adapter]
    elif order.kind == "role":
        state.role = order.role
    else:
        raise errors.BadRequestError(f"unknown order {order.kind!r}")


def _load(state: State, order: Order) -> None:
    if order.version == FAILING_VERSION:
        state.failed[order.model] = order.version
        message = f"version {order.version} of {order.model} does not load"
        raise errors.UnavailableError(message)
    state.failed.pop(order.model, None)
    if state.versions.get(order.model) != order.version:
        # Adapters fit only the version that they were made for.
        state.adapters.pop(order.model, None)
    state.versions[order.model] = order.version


def _load_adapter(state: State, order: Order) -> None:
    if order.model not in state.versions:
        raise errors.NotFoundError(f"no model {order.model} is loaded")
    loaded = state.adapters.setdefault(order.model, [])
    if order.adapter not in loaded:
        loaded.append(order.adapter)
