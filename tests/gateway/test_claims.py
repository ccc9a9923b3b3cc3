"""Claims on engines while the store is restored from copies."""

import asyncio
from unittest import mock

from wayslip import clock
from wayslip import errors
from wayslip.decisions import lease
from wayslip.decisions import position
from wayslip.gateway import options as options_module
from wayslip.gateway import store as store_module
from wayslip.gateway.planning import claims as claims_module

PENDING = lease.Pending("e1", 3, lease.Action.LOAD, "m1")


class FakeStore:
    """Keeps claims by position; refuses conditions of an earlier era."""

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.stored = {}
        self._restored = []

    def on_restore(self, listener):
        self._restored.append(listener)

    def restore(self):
        """Loses nothing, but writes begin a new era."""
        self.era += 1
        for listener in self._restored:
            listener()

    def _put(self, name, value):
        self.revision += 1
        self.stored[name] = (self.revision, value)
        return store_module.Stored(
            name, position.make(self.era, self.revision), value
        )

    async def create(self, kind, name, value):
        if name in self.stored:
            raise errors.ObjectConflictError("it exists", "read again")
        return self._put(name, value)

    async def replace(self, kind, stored):
        revision, _ = self.stored[stored.name]
        if stored.revision != position.make(self.era, revision):
            raise errors.ObjectConflictError("another era", "read again")
        return self._put(stored.name, stored.value)

    async def get(self, kind, name):
        revision, value = self.stored[name]
        return store_module.Stored(
            name, position.make(self.era, revision), value
        )

    async def list(self, kind):
        items = [await self.get(kind, name) for name in self.stored]
        return mock.Mock(items=items)


def make_claims(store, name="g1"):
    options = options_module.Options(name, "127.0.0.1", "h", "", "", "", "", 7)
    claims = claims_module.Claims(options, store)
    claims._startup_hold_off_until = 0.0
    return claims


def test_first_order_after_a_restore_is_claimed_at_once():
    store = FakeStore()
    claims = make_claims(store)
    claims.holds_lease = lambda: True

    async def body():
        assert await claims.write(PENDING)
        store.restore()
        return await claims.write(PENDING)

    assert asyncio.run(body()) is not None


def test_claim_of_another_holder_is_not_overwritten_after_a_conflict():
    store = FakeStore()
    claims, other = make_claims(store), make_claims(store, "g2")

    async def body():
        assert await claims.write(PENDING)
        other.known["e1"] = lease.ObservedClaim(
            claims.known["e1"].claim, claims.known["e1"].revision, 0.0
        )
        assert await other.write(PENDING)
        return await claims.write(PENDING)

    assert asyncio.run(body()) is None
    assert store.stored["e1"][1].holder == "g2"


def test_hold_off_begins_when_the_holder_tells_of_a_restore():
    store = FakeStore()
    claims = make_claims(store)
    claims.note_position(position.make(1, 5))
    with mock.patch.object(clock, "now", return_value=1000.0):
        claims.note_position(position.make(2, 5))
        assert not claims.may_claim("e1")
    with mock.patch.object(clock, "now", return_value=1003.0):
        # The instance reads the store for the first time since.
        store.restore()
    with mock.patch.object(clock, "now", return_value=1004.0):
        assert claims.may_claim("e1")


def test_claim_is_older_than_a_later_position_that_was_announced():
    store = FakeStore()
    other, claims = make_claims(store, "g2"), make_claims(store)
    asyncio.run(other.write(PENDING))
    with mock.patch.object(clock, "now", return_value=1000.0):
        claims.note_position(position.make(1, 5))
    with mock.patch.object(clock, "now", return_value=1004.0):
        asyncio.run(claims.read_all())
        assert claims.may_claim("e1")


def test_claim_of_a_later_era_is_as_old_as_its_first_observation():
    store = FakeStore()
    other, claims = make_claims(store, "g2"), make_claims(store)
    with mock.patch.object(clock, "now", return_value=1000.0):
        claims.note_position(position.make(1, 5))
    store.restore()
    other._store_hold_off_until = 0.0
    asyncio.run(other.write(PENDING))
    with mock.patch.object(clock, "now", return_value=1004.0):
        claims._store_hold_off_until = 0.0
        asyncio.run(claims.read_all())
        assert not claims.may_claim("e1")
