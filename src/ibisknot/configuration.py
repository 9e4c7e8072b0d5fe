"""The configuration that operators confirm: its types and lookups."""

from typing import Annotated

import msgspec

ENGINE = "engine"
SERVICE = "service"
ACTIVE = "active"
DRAINING = "leaving"
"""Stored value of an endpoint that is draining."""

Name = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._:-]*$")]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """One API key of an organisation, of which only the hash is stored.

    Attributes:
        digest: SHA-256 hash of the key in hexadecimal.
    """

    digest: str


class Organisation(msgspec.Struct, forbid_unknown_fields=True):
    """An organisation with its rate limit over the whole fleet.

    Attributes:
        rate_per_s: Requests per second over all VMs together.
        burst: Requests that may arrive at once after an idle period.
        keys: Its API keys by key id.
    """

    rate_per_s: PositiveNumber
    burst: PositiveNumber
    keys: dict[Name, Key] = {}


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """A model that the fleet serves, with the version to load.

    Attributes:
        version: The version of the weights to load.
        adapters: Names of its adapters, each served as `MODEL:ADAPTER`.
    """

    version: str = "1"
    adapters: list[Name] = []


class Endpoint(msgspec.Struct, forbid_unknown_fields=True):
    """A model engine or a plain service.

    Attributes:
        kind: `engine` or `service`.
        url: Base URL, with an IP address as its host.
        serves: Names of an engine's models, or the name of the service.
        data_centre: Name of the data centre that it runs in.
        checks_fencing: Whether it refuses orders with an outdated fencing
            number.
        state: `active`, or `leaving` when it is draining and gets no new
            requests.
        role: What an engine does: `mixed`, `prefill` or `decode`.
    """

    kind: Annotated[str, msgspec.Meta(pattern="^(engine|service)$")]
    url: str
    serves: list[Name]
    data_centre: str
    checks_fencing: bool = True
    state: Annotated[str, msgspec.Meta(pattern="^(active|leaving)$")] = ACTIVE
    role: Annotated[str, msgspec.Meta(pattern="^(mixed|prefill|decode)$")] = (
        "mixed"
    )


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """A path below `/services/` to a plain service.

    Attributes:
        service: Name of the service, as in the endpoints' `serves`.
        open: Whether requests need no API key.
        idempotent: Whether a call may be sent again after a failure.
    """

    service: Name
    open: bool = False
    idempotent: bool = True


class Policy(msgspec.Struct, forbid_unknown_fields=True):
    """Settings that balance the goals of the service against each other.

    Attributes:
        batch_weight: Fraction of the idle capacity that batch requests may
            use.
        key_grace_s: Seconds for which an accepted stream may continue after
            its key is withdrawn.
    """

    batch_weight: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    key_grace_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0


class Configuration(msgspec.Struct, forbid_unknown_fields=True):
    """The content that operators have confirmed, at one version.

    Attributes:
        version: Number of the version; 0 before the first change.
        organisations: Organisations by name.
        models: Models by name.
        endpoints: Endpoints by name.
        routes: Routes by name, which is the path below `/services/`.
        policy: The policy.
    """

    version: int = 0
    organisations: dict[Name, Organisation] = {}
    models: dict[Name, Model] = {}
    endpoints: dict[Name, Endpoint] = {}
    routes: dict[Name, Route] = {}
    policy: Policy = msgspec.field(default_factory=Policy)

    def active_engines(self, model: str) -> list[str]:
        """Returns the names of the active engines that serve a model.

        Args:
            model: A model, or an adapter as `MODEL:ADAPTER`.
        """
        return self._active_endpoints(ENGINE, model.partition(":")[0])

    def has_model(self, name: str) -> bool:
        """Returns whether a model, or an adapter `MODEL:ADAPTER`, exists."""
        base, _, adapter = name.partition(":")
        model = self.models.get(base)
        if model is None:
            return False
        return not adapter or adapter in model.adapters

    def active_services(self, service: str) -> list[str]:
        """Returns the names of the active endpoints of a plain service."""
        return self._active_endpoints(SERVICE, service)

    def _active_endpoints(self, kind: str, name: str) -> list[str]:
        return [
            endpoint_name
            for endpoint_name, endpoint in self.endpoints.items()
            if endpoint.kind == kind
            and endpoint.state == ACTIVE
            and name in endpoint.serves
        ]


class KeyOwner(msgspec.Struct, frozen=True):
    """The organisation and the key id that a key belongs to."""

    organisation: str
    key_id: str


def index_keys(configuration: Configuration) -> dict[str, KeyOwner]:
    """Returns the owner of each valid key by the key's hash."""
    return {
        key.digest: KeyOwner(name, key_id)
        for name, organisation in configuration.organisations.items()
        for key_id, key in organisation.keys.items()
    }


def encode(configuration: Configuration) -> bytes:
    """Encodes a configuration as canonical JSON."""
    return msgspec.json.encode(configuration, order="sorted")


def decode(data: bytes) -> Configuration:
    """Decodes a configuration."""
    return msgspec.json.decode(data, type=Configuration)
