"""Orders of the engine stand-in: versions, adapters, role and fencing."""

import msgspec

from ibisknot import errors

FAILING_VERSION = "broken"


class Order(msgspec.Struct):
    """An order to an engine.

    Attributes:
        kind: `load`, `unload`, `load_adapter`, `unload_adapter` or `role`.
        fencing: The issuer's fencing number.
        model: The model that is meant.
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
    """What an engine has loaded, and the last order it took.

    Attributes:
        versions: The loaded version by model.
        adapters: The loaded adapters by model.
        failed: The last version that failed to load, by model.
        role: `mixed`, or what was ordered.
        fencing: The highest fencing number seen.
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
    """Refuses an order with an old number, if the engine checks it.

    Raises:
        FencedError: A higher number was seen.
    """
    if is_checked and order.fencing < state.fencing:
        message = f"fencing number {order.fencing} is below {state.fencing}"
        raise errors.FencedError(message)
    state.fencing = max(state.fencing, order.fencing)


def apply_order(state: State, order: Order) -> None:
    """Carries an order out.

    Raises:
        UnavailableError: The version cannot be loaded; the one before stays.
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
        # An adapter belongs to the version that it was made for.
        state.adapters.pop(order.model, None)
    state.versions[order.model] = order.version


def _load_adapter(state: State, order: Order) -> None:
    if order.model not in state.versions:
        raise errors.NotFoundError(f"no model {order.model} is loaded")
    loaded = state.adapters.setdefault(order.model, [])
    if order.adapter not in loaded:
        loaded.append(order.adapter)
