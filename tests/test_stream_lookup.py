"""Finding the software that began a stream, with parts of the fleet away."""

from collections.abc import Callable
import math

import anyio
import fake_fleet
import fake_pairs_store
import pytest

from ibisknot import errors
from ibisknot import fleetview
from ibisknot import software_history
from ibisknot import stream_lookup
from ibisknot import stream_origins
from ibisknot import stream_records
from ibisknot.gen.fleet import ttypes

V1 = stream_origins.Origin("s", "v1", 1)
V2 = stream_origins.Origin("s", "v2", 2)


class _Fleet:
    """Gateways and workers whose lookups ask each other.

    Attributes:
        lookups: The lookup of each process, by its name.
        asked: Addresses of the processes that were asked.
        store: Has the records of streams.
        registered: Services and versions that the store lists.
        refreshes: Number of reads of these.
    """

    def __init__(self, **sizes: int) -> None:
        self.clock = fake_fleet.Clock()
        self.peers = fake_fleet.Peers()
        self.store = fake_pairs_store.FakeStore()
        self.registered: set[tuple[str, str]] = set()
        self.refreshes = 0
        self.view = fake_fleet.view(**sizes)
        self.view.endpoints_read_s = self.clock.now()
        self.peers.answers["stream_origin"] = lambda address, message: (
            self.lookups[address.partition(":")[0]].answer(message)
        )
        self.lookups = {name: self._lookup(name) for name in self.view.members}

    def _lookup(self, name: str) -> stream_lookup.Lookup:
        members = self.view.members.values()

        def schedulers() -> list[fleetview.Member]:
            workers = [m for m in members if m.kind == "worker"]
            return workers[: fleetview.MAX_SCHEDULERS]

        history = software_history.History(has_record=True)

        async def refresh() -> bool:
            self.refreshes += 1
            if not self.store.is_down:
                history.gone_s |= dict.fromkeys(self.registered, math.inf)
            return not self.store.is_down

        table = stream_origins.Table()
        return stream_lookup.Lookup(
            table,
            history,
            stream_records.Reader(self.store, table, self.clock.now),
            self.view,
            self.peers,  # type: ignore[arg-type]
            self.clock.now,
            schedulers=schedulers,
            others=lambda: [m for m in members if m.name != name],
            refresh=refresh,
        )

    def see(self, *software: tuple[str, str]) -> None:
        """Lets all processes see software of services."""
        self.registered = set(software)
        for lookup in self.lookups.values():
            lookup.history.gone_s = dict.fromkeys(software, math.inf)

    def remember(
        self, name: str, origin: stream_origins.Origin, stream: str = "a"
    ) -> None:
        """Lets a process know the origin of a stream."""
        self.lookups[name].table.record(stream, origin, self.clock.now())

    def write(self, origin: stream_origins.Origin, stream: str = "a") -> None:
        """Writes a stream into the store, as a process that has died did."""
        table = stream_origins.Table()
        table.record_grant(stream, origin, 0.0)
        history = software_history.History()
        history.gone_s = {("s", "v1"): math.inf, ("s", "v2"): math.inf}
        writer = stream_records.Writer("w9", self.store, table, history)
        anyio.run(writer.check, 1.0)

    def asked(self) -> list[str]:
        """Returns the names of the processes that were asked."""
        return [address.partition(":")[0] for address, _, _ in self.peers.calls]

    def find(
        self,
        stream: str = "a",
        *,
        at: str = "g0",
        services: tuple[str, ...] = ("s",),
        meanwhile: Callable[[], None] = lambda: None,
    ) -> stream_origins.Origin | None:
        """Returns what a process finds, or None if it cannot tell.

        Args:
            stream: Id of the stream.
            at: Name of the process.
            services: Names of the services that may have begun the stream.
            meanwhile: Called once the process has looked for the first time.
        """

        async def run() -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(change)
                found.append(await self.lookups[at].find(stream, services))

        async def change() -> None:
            await anyio.sleep(stream_lookup.RETRY_PAUSE_S / 2)
            meanwhile()

        found: list[stream_origins.Origin] = []
        try:
            anyio.run(run)
        except* errors.UnavailableError as group:
            (error,) = group.exceptions
            assert isinstance(error, errors.UnavailableError)
            assert error.ran == errors.NOT_RUN
            self.retry_after_s = error.retry_after_s
        return found[0] if found else None


def test_process_that_heard_nothing_asks_the_schedulers() -> None:
    """Guards against a stream that goes on at the wrong software."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.remember("w1", V1)
    assert fleet.find() == V1
    assert sorted(fleet.asked()) == ["w0", "w1"]


def test_scheduler_that_heard_of_the_later_attempt_is_believed() -> None:
    """Guards against a standby scheduler that has missed a message."""
    fleet = _Fleet()
    fleet.remember("w0", V1)
    fleet.remember("w1", V2)
    assert fleet.find() == V2


def test_gateways_are_asked_if_all_schedulers_have_restarted() -> None:
    """Guards against refusing a stream that another gateway remembers."""
    fleet = _Fleet(gateways=3)
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.remember("g2", V2)
    assert fleet.find() == V2


def test_unknown_stream_is_refused_if_two_versions_may_have_begun_it() -> None:
    """Guards against guessing after a restart of all processes."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    assert fleet.find() is None
    assert fleet.retry_after_s is None


def test_versions_that_only_another_process_has_seen_count() -> None:
    """Guards against a process that does not know the new version yet."""
    fleet = _Fleet()
    fleet.see(("s", "v1"))
    fleet.lookups["w1"].history.gone_s[("s", "v2")] = math.inf
    assert fleet.find() is None


@pytest.mark.parametrize("stream", ["a", ""])
def test_unknown_stream_goes_on_if_one_version_has_served(stream: str) -> None:
    """Guards against refusals in a fleet that has one version.

    All processes have restarted, or the caller names no request.
    """
    fleet = _Fleet(gateways=9)
    fleet.see(("s", "v1"), ("other", "v9"))
    found = fleet.find(stream)
    assert found is not None
    assert (found.service, found.software_version) == ("s", "v1")
    assert sorted(fleet.asked()) == ["w0", "w1"]


def test_stream_of_a_route_with_two_services_is_not_guessed() -> None:
    """Guards against an answer that is joined from two services."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("t", "v1"))
    assert fleet.find(services=("s", "t")) is None


@pytest.mark.parametrize("is_store_down", [True, False])
def test_gateway_that_is_cut_off_trusts_only_what_it_reads_now(
    *, is_store_down: bool
) -> None:
    """Guards against a version that came after the cut.

    The age of what is known does not tell: a process that was suspended takes
    it for less than it is.
    """
    fleet = _Fleet()
    fleet.see(("s", "v1"))
    fleet.peers.unresponsive = {m.address for m in fleet.view.members.values()}
    fleet.store.is_down = is_store_down
    assert (fleet.find() is not None) != is_store_down
    if is_store_down:
        # Another gateway may know more.
        assert fleet.retry_after_s is not None


def test_gateway_out_of_step_does_not_guess_the_old_version() -> None:
    """Guards against a stream that goes on at other software.

    Endpoints of a new version joined while the gateway was cut off.
    """
    fleet = _Fleet()
    fleet.see(("s", "v1"))
    fleet.peers.unresponsive = {m.address for m in fleet.view.members.values()}
    fleet.registered.add(("s", "v2"))
    assert fleet.find() is None


def test_software_is_not_read_while_a_scheduler_answers() -> None:
    """Guards against a price for days on which nobody is cut off."""
    fleet = _Fleet()
    fleet.see(("s", "v1"))
    assert fleet.find() is not None
    assert fleet.refreshes == 0


def test_own_stream_is_found_without_a_message() -> None:
    """Guards against refusals by a gateway that is cut off."""
    fleet = _Fleet()
    fleet.remember("g0", V1)
    assert fleet.find() == V1
    assert fleet.asked() == []


def test_process_without_the_record_does_not_guess() -> None:
    """Guards against a start that takes what it sees for all there was."""
    fleet = _Fleet()
    fleet.see(("s", "v2"))
    for lookup in fleet.lookups.values():
        lookup.history.has_record = False
    assert fleet.find() is None


def test_process_that_has_just_started_waits_for_the_members() -> None:
    """Guards against refusing before the schedulers are known."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.remember("w0", V1)
    members = dict(fleet.view.members)
    fleet.view.members.clear()
    assert fleet.find(meanwhile=lambda: fleet.view.members.update(members))


def test_silent_scheduler_is_asked_again() -> None:
    """Guards against taking a delay for an answer that nobody knows."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.remember("w0", V1)
    fleet.peers.unresponsive = {"w0:1"}
    assert fleet.find(meanwhile=fleet.peers.unresponsive.clear) == V1


def test_process_that_has_just_started_waits_for_the_record() -> None:
    """Guards against refusing a stream that is sound a moment later."""
    fleet = _Fleet()
    fleet.see(("s", "v1"))
    histories = [lookup.history for lookup in fleet.lookups.values()]
    for history in histories:
        history.has_record = False

    def read_record() -> None:
        for history in histories:
            history.has_record = True

    assert fleet.find(meanwhile=read_record) is not None


@pytest.mark.parametrize("complete", [True, False])
def test_unknown_stream_of_several_versions_is_refused_at_once(
    *, complete: bool
) -> None:
    """Guards against callers that wait for nothing."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    for lookup in fleet.lookups.values():
        lookup.history.has_record = complete
    assert fleet.find() is None
    assert sorted(fleet.asked()) == ["g1", "w0", "w1"]


def test_few_other_processes_are_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a question to every process of a large fleet."""
    monkeypatch.setattr(stream_lookup, "MAX_OTHERS_ASKED", 5)
    fleet = _Fleet(gateways=40, workers=20)
    assert fleet.find() is None
    assert len(fleet.asked()) == fleetview.MAX_SCHEDULERS + 5


def test_answer_of_a_peer_says_what_it_knows() -> None:
    """Guards against an answer without the number of its attempt."""
    fleet = _Fleet()
    fleet.remember("w0", V2)
    answer = anyio.run(fleet.lookups["w0"].on_ask, ttypes.StreamOriginAsk("a"))
    assert (answer.known, answer.software, answer.number) == (True, "v2", 2)


def test_stream_that_only_the_store_remembers_goes_on() -> None:
    """Guards against refusals after a death of all processes."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.write(V1)
    assert fleet.find() == V1


def test_store_is_read_while_no_scheduler_is_known() -> None:
    """Guards against gateways that wait for schedulers that know no more."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.write(V2)
    fleet.view.members.clear()
    assert fleet.find() == V2


def test_living_process_is_believed_before_the_store() -> None:
    """Guards against a record of an attempt that brought no event."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.write(V1)
    fleet.remember("g1", V2)
    assert fleet.find() == V2
    assert fleet.store.calls["list"] == 0


def test_store_that_is_away_makes_the_refusal_a_short_one() -> None:
    """Guards against callers that are told to give up too early."""
    fleet = _Fleet()
    fleet.see(("s", "v1"), ("s", "v2"))
    fleet.store.is_down = True
    assert fleet.find() is None
    assert fleet.retry_after_s is not None


def test_one_version_is_not_looked_up_in_the_store() -> None:
    """Guards against a price for days without a second version."""
    fleet = _Fleet()
    fleet.see(("s", "v1"))
    assert fleet.find() is not None
    assert fleet.store.calls["list"] == 0
