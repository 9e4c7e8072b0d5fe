"""Adoption of updates to the fleet view, which keeps the newer state."""

import fake_fleet
import pytest

from ibisknot import deployment
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import http_server
from ibisknot import pairs
from ibisknot import serving


def _configuration(version: int) -> serving.Configuration:
    return serving.Configuration(
        version=version,
        routes=[],
        services=frozenset(),
        organisations={},
        organisations_by_key_hash={},
        requires_key=True,
        limits=http_server.Limits(),
    )


def _listing(*names: str) -> list[pairs.Pair]:
    return [pairs.Pair(name, name.encode(), 1) for name in names]


def _adopt(
    view: fleetview.View, now: float, revision: int, *names: str
) -> bool:
    return fleetview.adopt_endpoints(
        view,
        now,
        revision=revision,
        age_s=0.0,
        entries=_listing(*names),
        decode=lambda pair: fake_fleet.endpoint(pair.key),
    )


def test_older_configuration_is_not_adopted() -> None:
    """Guards against an older version that arrives late from a peer."""
    view = fleetview.View()
    assert fleetview.adopt_configuration(view, 10, b"x", _configuration(5))
    assert not fleetview.adopt_configuration(view, 9, b"y", _configuration(6))
    assert not fleetview.adopt_configuration(view, 11, b"z", _configuration(4))
    assert fleetview.adopt_configuration(view, 12, b"w", _configuration(7))
    assert view.configuration is not None
    assert (view.configuration.version, view.encoded_configuration) == (7, b"w")


def test_deleted_entry_is_removed_at_once() -> None:
    """Guards against requests to an endpoint that no longer exists."""
    view = fleetview.View()
    _adopt(view, 1.0, 10, "a", "b")
    _adopt(view, 1.4, 11, "b")
    assert sorted(view.endpoints) == ["b"]


def test_entries_that_expired_in_an_outage_are_retained_for_a_while() -> None:
    """Guards against losing all endpoints when the store recovers.

    Their leases expire in the outage, and the engines write them again.
    """
    view = fleetview.View()
    _adopt(view, 1.0, 10, "a", "b")
    recovered_s = 1.0 + fleetview.OUTAGE_THRESHOLD_S + 1.0
    _adopt(view, recovered_s, 20, "b")
    assert sorted(view.endpoints) == ["a", "b"]
    _adopt(view, recovered_s + fleetview.OUTAGE_THRESHOLD_S / 2, 21, "b")
    assert sorted(view.endpoints) == ["a", "b"]
    _adopt(view, recovered_s + fleetview.REREGISTRATION_S + 0.1, 22, "b")
    assert sorted(view.endpoints) == ["b"]


def test_members_that_lapsed_in_an_outage_are_retained_for_a_while() -> None:
    """Guards against a fleet without workers when the store recovers.

    The members may be read before the entries. A job that was submitted then
    had no owner, and no request found a scheduler.
    """
    view = fake_fleet.view(gateways=1, workers=2)
    view.members_revision, view.members_read_s = 5, 1.0
    gateway = [view.members["g0"]]
    recovered_s = 1.0 + fleetview.OUTAGE_THRESHOLD_S + 1.0
    for late_s, names in [
        (0.0, ["g0", "w0", "w1"]),
        (fleetview.MEMBER_REREGISTRATION_S * 0.4, ["g0", "w0", "w1"]),
        (fleetview.MEMBER_REREGISTRATION_S * 0.8, ["g0", "w0", "w1"]),
        (fleetview.MEMBER_REREGISTRATION_S + 0.1, ["g0"]),
    ]:
        now = recovered_s + late_s
        revision = 6 + int(10 * late_s)
        fleetview.record_members_read(view, now)
        fleetview.adopt_members(view, now, revision=revision, members=gateway)
        assert sorted(view.members) == names


def test_member_that_leaves_is_removed_at_once() -> None:
    """Guards against requests to a scheduler that no longer exists."""
    view = fake_fleet.view(gateways=1, workers=2)
    view.members_revision, view.members_read_s = 5, 1.0
    members = [m for m in view.members.values() if m.name != "w0"]
    fleetview.record_members_read(view, 2.0)
    fleetview.adopt_members(view, 2.0, revision=6, members=members)
    assert sorted(view.members) == ["g0", "w1"]


def test_older_listing_is_not_adopted() -> None:
    """Guards against a late listing that restores a deleted endpoint."""
    view = fleetview.View()
    _adopt(view, 1.0, 10, "a")
    _adopt(view, 1.1, 9, "a", "b")
    assert sorted(view.endpoints) == ["a"]


def test_digest_confirms_only_equal_endpoints() -> None:
    """Guards against entries that count as current but differ."""
    view, other = fleetview.View(), fleetview.View()
    _adopt(view, 1.0, 10, "a")
    _adopt(other, 1.0, 11, "a", "b")
    digest = fleetview.endpoints_digest(other)
    assert not fleetview.confirm_endpoints(
        view, 2.0, revision=11, age_s=0.0, digest=digest
    )
    assert view.endpoints_read_s == 1.0
    own = fleetview.endpoints_digest(view)
    assert fleetview.confirm_endpoints(
        view, 2.0, revision=12, age_s=0.5, digest=own
    )
    assert (view.endpoints_read_s, view.endpoints_revision) == (1.5, 12)


def test_digest_is_the_one_that_other_builds_compute() -> None:
    """Guards against builds that compute different digests of the same entry.

    Processes of such builds send all entries with every update. The code of
    commit a681e33 computed the value.
    """
    view = fleetview.View()
    view.endpoints["i-1"] = fleet_endpoint.Endpoint(
        name="i-1",
        service="chat",
        address="10.0.0.1:8000",
        data_centre="dc1",
        slots=4,
        leaving=True,
        born_ms=1_700_000_000_000,
    )
    assert fleetview.endpoints_digest(view) == 309330016071767627


@pytest.mark.parametrize(("me", "later"), [("w0", "g0"), ("w1", "w0")])
def test_processes_read_the_entries_in_order_of_precedence(
    me: str, later: str
) -> None:
    """Guards against a read of the store by every process."""
    view = fake_fleet.view()
    view.endpoints_read_s = 5.0
    assert fleetview.poll_due_s(view, me) < fleetview.poll_due_s(view, later)


def test_workers_come_first_in_the_order_of_precedence() -> None:
    """Guards against different orders of the same members."""
    members = list(fake_fleet.view().members.values())
    names = [m.name for m in fleetview.by_precedence(reversed(members))]
    assert names == ["w0", "w1", "g0", "g1"]
    assert members[0].kind == deployment.GATEWAY


def test_reads_of_a_fleet_without_updates_are_bounded() -> None:
    """Guards against a whole fleet that reads the store at once.

    It loses its source of updates when the store forgets its history or the
    first workers are killed.
    """
    view = fake_fleet.view(gateways=165, workers=30)
    due_s = sorted(fleetview.poll_due_s(view, name) for name in view.members)
    most = max(
        sum(start_s <= other_s < start_s + 1.0 for other_s in due_s)
        for start_s in due_s
    )
    assert most <= 1 + 1.0 / fleetview.LATE_STAGGER_S


def test_active_scheduler_is_not_the_first_reader() -> None:
    """Guards against one process that does all the work for the others."""
    members = fake_fleet.view(workers=3).members.values()
    scheduler = fleetview.by_precedence(members)[0]
    assert fleetview.readers(members)[0].name != scheduler.name
    assert {m.name for m in fleetview.readers(members)} == {
        m.name for m in members
    }
