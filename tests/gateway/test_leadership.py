"""Acquisition and loss of the lease, by the store and by announcements."""

import asyncio

from standins import platform_store
from wayslip import addresses
from wayslip.decisions import lease
from wayslip.gateway import options as options_module
from wayslip.gateway.sharing import leadership as leadership_module
from wayslip.gateway.sharing import records
from wayslip.platform import store


class Member:
    def __init__(self, name, address, port):
        self.taken = 0
        options = options_module.Options(
            name, "127.0.0.1", "h", "", "", address, f"127.0.0.1:{port}", 0
        )
        self.store = store.PlatformStore(addresses.split_address(address))
        self.leadership = leadership_module.Leadership(
            options, self.store, records.LEASE, self.take, lambda: None
        )
        self.task = asyncio.create_task(self.leadership.run())

    def take(self):
        self.taken += 1

    async def stop(self):
        self.task.cancel()
        self.store.close()


def with_members(test):
    def wrapper():
        async def body():
            standin = platform_store.PlatformStore()
            address = await standin.start()
            members = [Member(f"g{n}", address, n) for n in (1, 2, 3)]
            try:
                async with asyncio.timeout(30):
                    await test(standin, members)
            finally:
                for member in members:
                    await member.stop()
                standin.stop()

        asyncio.run(body())

    wrapper.__name__ = test.__name__
    return wrapper


async def until(check):
    while not check():
        await asyncio.sleep(0.01)


def holders(members):
    return [m for m in members if m.leadership.is_valid]


@with_members
async def test_one_of_all_takes_the_lease(standin, members):
    await until(lambda: holders(members))
    await asyncio.sleep(lease.HOLD_SECONDS)
    assert len(holders(members)) == 1
    assert sum(m.taken for m in members) == 1


@with_members
async def test_yielded_term_is_taken_once(standin, members):
    # One announcement of a holder that yields must not let two instances take
    # the lease one after the other: no instance plans for seconds then.
    await until(lambda: holders(members))
    holder = holders(members)[0]
    holder.task.cancel()
    others = [m for m in members if m is not holder]
    term = holder.leadership.seen_term
    for _ in range(60):
        for member in others:
            member.leadership.receive_yield(term)
        await asyncio.sleep(0.02)
    assert sum(m.taken for m in others) == 1
    assert len(holders(others)) == 1


@with_members
async def test_holder_without_an_answer_is_not_valid(standin, members):
    await until(lambda: holders(members))
    holder = holders(members)[0]
    standin.faults.is_silent = True
    await until(lambda: not holder.leadership.is_valid)
    assert holder.leadership.is_held
    standin.faults.is_silent = False
    await until(lambda: holder.leadership.is_valid)
    assert holder.taken == 1


@with_members
async def test_disconnected_holder_yields_to_an_announced_successor(
    standin, members
):
    await until(lambda: holders(members))
    holder = holders(members)[0]
    term = holder.leadership.seen_term
    holder.leadership.receive_holder(term + 1, 99_999, "127.0.0.1:9")
    assert not holder.leadership.is_held
    assert holder.leadership.holder_address == "127.0.0.1:9"


@with_members
async def test_lost_answer_does_not_cost_the_lease(standin, members):
    await until(lambda: holders(members))
    holder = holders(members)[0]
    standin.faults.loses_writes = 1
    await until(lambda: not standin.faults.loses_writes)
    await until(lambda: holder.leadership.is_valid)
    assert sum(m.taken for m in members) == 1


@with_members
async def test_released_lease_is_free_at_once(standin, members):
    await until(lambda: holders(members))
    holder = holders(members)[0]
    await holder.leadership.release()
    others = [m for m in members if m is not holder]
    for member in others:
        member.leadership.request_check()
    async with asyncio.timeout(lease.EXPIRY_SECONDS):
        await until(lambda: holders(others))
    assert not holder.leadership.follows_another
    assert holders(others)[0].leadership.follows_another


@with_members
async def test_unanswered_renewal_is_repeated_before_the_timeout(
    standin, members
):
    # A lost answer must not cost the lease: after each change of the holder
    # engines receive no orders for a while. With several lost answers the
    # lease changed hands five times in ten seconds.
    await until(lambda: holders(members))
    holder = holders(members)[0]
    expirations = []
    holder.leadership._renewal_timeout.expire = lambda: expirations.append(1)
    revision = holder.leadership.revision
    standin.faults.mutes_writes = 1
    await until(lambda: not standin.faults.mutes_writes)
    await until(lambda: holder.leadership.revision > revision + 1)
    assert not expirations
    assert sum(m.taken for m in members) == 1


@with_members
async def test_former_holder_does_not_overwrite_its_successors_lease(
    standin, members
):
    # A former holder must not continue to renew, on its successor's record. The
    # successor loses the lease by that, and no instance plans for 2 s.
    await until(lambda: holders(members))
    holder = holders(members)[0]
    others = [m for m in members if m is not holder]
    await holder.leadership.release()
    for member in others:
        member.leadership.request_check()
    await until(lambda: holders(others))
    taken = holders(others)[0].leadership
    # The successor's first announcement reaches the former holder between two
    # renewals.
    holder.leadership.receive_holder(
        taken.seen_term, taken.revision, "127.0.0.1:9"
    )
    await asyncio.sleep(2 * lease.RENEWAL_SECONDS)
    assert taken.is_held
    assert sum(m.taken for m in others) == 1


@with_members
async def test_record_read_just_before_a_release_uses_up_no_check(
    standin, members
):
    # A read counts as a sign of the holder. The check that was requested after
    # the release must not end by it: nobody would take the lease.
    await until(lambda: holders(members))
    holder = holders(members)[0]
    others = [m for m in members if m is not holder]
    for member in others:
        await member.leadership.look_up()
    await holder.leadership.release()
    for member in others:
        member.leadership.request_check()
    async with asyncio.timeout(lease.HOLD_SECONDS + lease.EXPIRY_SECONDS):
        await until(lambda: holders(others))
    assert sum(m.taken for m in others) == 1


@with_members
async def test_holder_that_renews_ends_a_check(standin, members):
    await until(lambda: holders(members))
    holder = holders(members)[0]
    other = next(m for m in members if m is not holder)
    await other.leadership.look_up()
    other.leadership.request_check()
    end = asyncio.get_running_loop().time() + 2 * lease.EXPIRY_SECONDS
    while asyncio.get_running_loop().time() < end:
        other.leadership.note_renewal(holder.leadership.revision)
        await asyncio.sleep(0.1)
    assert holder.leadership.is_valid
    assert sum(m.taken for m in members) == 1
