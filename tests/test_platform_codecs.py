"""The adapter's decoding of the platform's formats, bad ones included."""

import base64
from typing import Any

import msgspec
import platform_fleet
import pytest

from ibisknot import batch_api
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import http11
from ibisknot import pairs
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot.platform import configuration
from ibisknot.platform import entries
from ibisknot.platform import headers
from ibisknot.platform import jobs


def _decoded(**changed: Any) -> serving.Configuration:
    stated = platform_fleet.configuration(3, **changed)
    return configuration.decode(msgspec.json.encode(stated))


def test_routes_are_found_by_the_longest_prefix() -> None:
    """Guards against a request that goes to another route's service."""
    found = _decoded()
    inner = dict(platform_fleet.configuration()["Routes"][0])
    inner |= {"Name": "inner", "Prefix": "/chat/x/", "Kind": "unsafe"}
    routes = [*platform_fleet.configuration()["Routes"], inner]
    found = _decoded(Routes=routes)
    host = platform_fleet.HOST
    outer = found.find_route(host, "/chat/y")
    assert outer is not None
    assert (outer.name, outer.is_idempotent()) == ("chat", True)
    nested = found.find_route(f"{host}:80", "/chat/x/1")
    assert nested is not None
    assert (nested.name, nested.is_idempotent()) == ("inner", False)
    assert found.find_route(host, "/chat") is None
    assert found.find_route("other", "/chat/y") is None


def test_keys_belong_to_their_organisation() -> None:
    """Guards against a key that opens another organisation's account."""
    found = _decoded()
    assert found.find_organisation(platform_fleet.KEY) == "one"
    assert found.find_organisation(platform_fleet.OTHER_KEY) == "two"
    assert found.find_organisation("x") is None
    assert found.find_organisation(None) is None


def test_configuration_without_organisations_needs_no_key() -> None:
    """Guards against 401 where no keys are stated."""
    stated = platform_fleet.configuration()
    del stated["Tenants"]
    found = configuration.decode(msgspec.json.encode(stated))
    assert not found.requires_key


@pytest.mark.parametrize("value", [b"", b"[]", b'{"Version":"x"}', b"\xff"])
def test_unreadable_configuration_is_an_error(value: bytes) -> None:
    """Guards against a bad value that is taken for an empty configuration."""
    with pytest.raises(errors.BadRequestError):
        configuration.decode(value)


def _entry(**changed: Any) -> pairs.Pair:
    fields = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "State": "ready",
        "Slots": 8,
    } | changed
    kept = {k: v for k, v in fields.items() if v is not None}
    return pairs.Pair("servers/i-1", msgspec.json.encode(kept), 1)


def test_entry_names_an_endpoint() -> None:
    """Guards against work for an engine that has said it leaves."""
    found = entries.decode(_entry())
    assert found is not None
    assert (found.name, found.is_draining) == ("i-1", False)
    leaving = entries.decode(_entry(State="draining"))
    assert leaving is not None
    assert leaving.is_draining


@pytest.mark.parametrize(
    "changed",
    [
        {"Service": None},
        {"Slots": "8"},
        {"Slots": 0},
        {"State": "odd"},
        {"Address": "nowhere"},
        {"Address": 5},
    ],
)
def test_entry_of_another_writer_is_left_aside(changed: Any) -> None:
    """Guards against an entry with odd fields that stops the others."""
    assert entries.decode(_entry(**changed)) is None


def test_onward_headers_hide_the_key_and_name_the_organisation() -> None:
    """Guards against a key at an engine, and a forged organisation."""
    sent: http11.Headers = [
        (b"Host", b"h"),
        (b"Authorization", b"Token secret"),
        (b"X-Ibisknot-Tenant", b"forged"),
        (b"X-Ibisknot-Deadline-Ms", b"5000"),
        (b"Connection", b"close, X-Own"),
        (b"X-Own", b"1"),
        (b"X-Kept", b"2"),
    ]
    onward = headers.onward(
        sent,
        request_metadata.EndpointMetadata(
            "e-1", "one", 1.2345, last_event_id=7
        ),
    )
    found = {name.lower(): value for name, value in onward}
    assert b"authorization" not in found
    assert b"x-own" not in found
    assert found[b"x-kept"] == b"2"
    assert found[b"x-ibisknot-tenant"] == b"one"
    assert found[b"x-ibisknot-deadline-ms"] == b"1234"
    assert found[b"last-event-id"] == b"7"
    assert len(onward) == len(found)


def test_terms_of_a_request_with_odd_headers() -> None:
    """Guards against a request that fails for an unreadable header."""
    found = headers.terms(
        [
            (b"X-Ibisknot-Deadline-Ms", b"soon"),
            (b"X-Ibisknot-Token-Usage", b"a,b"),
            (b"Authorization", b"Basic x"),
            (b"Last-Event-Id", b"-"),
        ]
    )
    assert found == request_metadata.CallerMetadata()


def _job(**changed: Any) -> bytes:
    item = {
        "Id": "i",
        "Path": "/p",
        "Headers": {"A": "b"},
        "Body": base64.b64encode(b"body").decode(),
        "Tokens": 5,
    } | changed
    return msgspec.json.encode({"Items": [item]})


def test_job_is_decoded() -> None:
    """Guards against an item whose body or headers are changed."""
    found = jobs.submission("j", _job())
    item = found.items[0]
    assert (item.body, item.headers) == (b"body", [("A", "b")])
    assert found.total_tokens() == 5
    again = batch_records.decode_items(
        batch_records.split_items(found.items, 100)
    )
    assert again == found.items


@pytest.mark.parametrize(
    ("job", "body"),
    [
        ("", _job()),
        ("j", b"{}"),
        ("j", b'{"Items":[]}'),
        ("j", _job(Body="%%%")),
        ("j", _job(Tokens="x")),
    ],
)
def test_malformed_job_is_refused(job: str, body: bytes) -> None:
    """Guards against a job that is accepted and can never be run."""
    with pytest.raises(errors.BadRequestError):
        jobs.submission(job, body)


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        (b"GET", b"/lots/a?After=3", batch_api.ReadResults("a", 3, 0.0)),
        (b"GET", b"/lots/a?After=x", batch_api.ReadResults("a", 0, 0.0)),
        (b"GET", b"/items/a?Id=b", batch_api.ReadItemBody("a", "b")),
        (b"DELETE", b"/lots/a", batch_api.CancelJob("a")),
        (b"POST", b"/lots/a", None),
    ],
)
def test_calls_of_jobs(
    method: bytes, target: bytes, call: batch_api.Call | None
) -> None:
    """Guards against a call that is taken for another one."""
    assert jobs.call_of(http11.Message(method, target, [])) == call
