import pytest

from wayslip.decisions import access
from wayslip.decisions import manifest as manifest_module
from wayslip.decisions import organisations

KEY = organisations.hash_key(b"k1")
SHOP = organisations.Organisation("shop", (KEY,))
CURRENT = access.ConfigurationStatus(True, True)


def make_route(is_public=False):
    return manifest_module.Route(
        "r",
        "h",
        "/a/",
        manifest_module.RequestKind.ONCE,
        1.0,
        1.0,
        0,
        (manifest_module.Split("s", 1.0),),
        is_public=is_public,
    )


def make_manifest(*callers):
    return manifest_module.Manifest(1, (), {}, organisations=callers)


@pytest.mark.parametrize(
    ("key", "is_public", "status", "verdict", "caller"),
    [
        (KEY, False, CURRENT, access.Verdict.ALLOWED, SHOP),
        (
            KEY,
            False,
            access.ConfigurationStatus(True, False),
            access.Verdict.ALLOWED,
            SHOP,
        ),
        (None, False, CURRENT, access.Verdict.UNKNOWN_KEY, None),
        (b"other", False, CURRENT, access.Verdict.UNKNOWN_KEY, None),
        (
            b"other",
            False,
            access.ConfigurationStatus(True, False),
            access.Verdict.OLD_CONFIGURATION,
            None,
        ),
        (
            KEY,
            False,
            access.ConfigurationStatus(False, False),
            access.Verdict.UNCONFIRMED,
            None,
        ),
        (
            b"other",
            False,
            access.ConfigurationStatus(False, True),
            access.Verdict.UNCONFIRMED,
            None,
        ),
        (
            None,
            True,
            access.ConfigurationStatus(False, False),
            access.Verdict.ALLOWED,
            None,
        ),
        (KEY, True, CURRENT, access.Verdict.ALLOWED, SHOP),
        (
            KEY,
            True,
            access.ConfigurationStatus(False, True),
            access.Verdict.ALLOWED,
            None,
        ),
    ],
)
def test_judge_of_a_key(key, is_public, status, verdict, caller):
    found = access.judge(
        make_manifest(SHOP), make_route(is_public), key, status
    )
    assert found == (verdict, caller)


def test_no_key_is_needed_without_organisations():
    found = access.judge(
        make_manifest(),
        make_route(),
        None,
        access.ConfigurationStatus(False, False),
    )
    assert found == (access.Verdict.ALLOWED, None)
