import pytest

from wayslip import errors
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations
from wayslip.decisions import urgency


def make_route(priority):
    return manifest_module.Route(
        f"r{priority}",
        "h",
        f"/{priority}/",
        manifest_module.RequestKind.STREAM,
        1.0,
        1.0,
        priority,
        (manifest_module.Split("s", 1.0),),
    )


FIRST = organisations.Organisation("first", priority=0)
SECOND = organisations.Organisation("second", priority=1)
ROUTES = tuple(make_route(n) for n in range(3))
MANIFEST = manifest_module.Manifest(
    1, ROUTES, {}, organisations=(FIRST, SECOND)
)


def rank_all(policy):
    return [
        urgency.rank(policy, MANIFEST, route, caller)
        for caller in (FIRST, SECOND)
        for route in ROUTES
    ]


@pytest.mark.parametrize(
    ("policy", "ranks"),
    [
        ("organisation", [0, 0, 0, 1, 1, 1]),
        ("both", [0, 1, 2, 3, 4, 5]),
    ],
)
def test_priorities_of_organisations_and_routes_are_combined(policy, ranks):
    assert rank_all(policy) == ranks


@pytest.mark.parametrize("policy", list(urgency.POLICIES))
def test_without_an_organisation_the_route_priority_applies(policy):
    assert urgency.rank(policy, MANIFEST, ROUTES[2], None) == 2


@pytest.mark.parametrize("policy", list(urgency.POLICIES))
def test_priorities_that_the_configuration_lacks_have_a_rank(policy):
    stranger = organisations.Organisation("stranger", priority=40)
    found = urgency.rank(policy, MANIFEST, make_route(70), stranger)
    assert 0 <= found <= 9


def test_more_pairs_than_ranks_keep_their_order():
    many = manifest_module.Manifest(
        1,
        ROUTES,
        {},
        organisations=tuple(
            organisations.Organisation(str(n), priority=n) for n in range(8)
        ),
    )
    ranks = [
        urgency.rank("both", many, route, caller)
        for caller in many.organisations
        for route in ROUTES
    ]
    assert ranks == sorted(ranks)
    assert (ranks[0], ranks[-1]) == (0, 9)


def test_error_for_an_unknown_policy_lists_the_known_ones():
    with pytest.raises(errors.SettingsError, match="both"):
        urgency.rank("none", MANIFEST, ROUTES[0], FIRST)
