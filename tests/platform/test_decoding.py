import json

import pytest

from standins import platform_site
from wayslip import errors
from wayslip.decisions import manifest
from wayslip.decisions import organisations
from wayslip.gateway.sharing import snapshots
from wayslip.platform import decoding


def test_manifest_is_decoded_with_units():
    value = decoding.decode_manifest(platform_site.manifest(version=7))
    assert value.version == 7
    route = value.resolve(platform_site.HOST, "/gen/x")
    assert route.kind is manifest.RequestKind.STREAM
    assert (route.timeout, route.target) == (1.5, 0.8)
    assert route.may_repeat
    assert value.services["models"].pool.models["m1"].load_s == 0.4
    assert value.limits.header_seconds == 0.5


def test_names_with_half_a_surrogate_pair_can_be_copied():
    # Guards against a configuration that instances can not hand on.
    text = json.dumps(platform_site.manifest())
    for name in ("plain", "models", "m1", "get", "/get/"):
        text = text.replace(f'"{name}', f'"\\ud83d{name}')
    raw = json.loads(text)
    raw["tenants"] = [{"name": "\ud83d", "api_keys": ["\ud83d"]}]
    found = decoding.decode_manifest(raw)
    assert snapshots.decode(snapshots.encode(found)) == found
    services = {s for r in found.routes for s in (r.splits[0].service,)}
    assert services == set(found.services)
    assert [r.prefix for r in found.routes][1:] == ["/once/", "/gen/", "/live/"]


def test_route_may_be_split():
    raw = platform_site.manifest()
    raw["routes"][0]["traffic_split"] = [
        {"service": "plain", "weight": 90},
        {"service": "models", "weight": 10},
    ]
    route = decoding.decode_manifest(raw).routes[0]
    assert route.choose_service(0.89) == "plain"
    assert route.choose_service(0.91) == "models"


def test_heartbeat_count_is_not_read_as_order_count():
    spec = platform_site.entry("models", "127.0.0.1:1", ["m1"], seq=900)
    endpoint = decoding.decode_endpoint("e1", spec)
    found = [n for n in endpoint.__slots__ if getattr(endpoint, n) == 900]
    assert found == ["beat"]
    state = decoding.decode_state({"seq": 3, "models": []})
    assert state.orders == 3


def test_organisations_are_decoded_and_keys_kept_as_digests_only():
    raw = platform_site.manifest()
    raw["tenants"] = [
        {
            "name": "shop",
            "api_keys": ["key-of-shop"],
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 4200,
            "burst": 900,
        },
        {"name": "bank", "api_keys": []},
    ]
    raw["routes"][0]["public"] = True
    value = decoding.decode_manifest(raw)
    shop, bank = value.organisations
    assert value.find_caller(organisations.hash_key(b"key-of-shop")) == shop
    assert "key-of-shop" not in repr(value)
    assert (shop.priority, bank.priority) == (1, None)
    assert (shop.quota.rate, shop.quota.burst) == (4200.0, 900.0)
    assert shop.quota.measure(0) == 200.0
    assert shop.quota.measure(1540) == 1540.0
    assert not bank.quota.is_limited
    assert value.routes[0].is_public and not value.routes[1].is_public
    assert snapshots.decode(snapshots.encode(value)) == value


@pytest.mark.parametrize(
    "organisation",
    [
        {"name": "shop", "api_keys": "one-text"},
        {"name": "shop", "api_keys": [7]},
        {"name": "", "api_keys": []},
        {"name": "shop", "api_keys": [], "unit": "parsecs"},
    ],
)
def test_malformed_organisation_is_refused_without_revealing_keys(organisation):
    raw = platform_site.manifest()
    raw["tenants"] = [organisation]
    with pytest.raises(errors.ObjectError) as caught:
        decoding.decode_manifest(raw)
    assert "one-text" not in str(caught.value)


@pytest.mark.parametrize("spelling", ["a3", "m1/a3", "a3@2", "m1/a3@2"])
def test_adapters_have_plain_names(spelling):
    models = [{"name": "m1", "version": 1, "adapters": [spelling]}]
    state = decoding.decode_state({"seq": 0, "models": models})
    assert state.models == {"m1": frozenset({"a3"})}


def test_loading_adapters_are_decoded():
    state = decoding.decode_state(
        {"seq": 1, "models": [], "coming": ["m1/a2@1"]}
    )
    assert state.pending_loads == {("m1", "a2")}


@pytest.mark.parametrize(
    "raw", [{}, {"version": 1}, {"version": 1, "routes": [{}], "services": []}]
)
def test_malformed_configuration_names_a_remedy(raw):
    with pytest.raises(errors.ObjectError, match="correct it"):
        decoding.decode_manifest(raw)


def test_malformed_entry_and_report():
    with pytest.raises(errors.ObjectError):
        decoding.decode_endpoint("e1", {"address": 1})
    with pytest.raises(errors.EndpointError):
        decoding.decode_state({"models": []})
