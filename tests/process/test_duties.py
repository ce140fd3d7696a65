"""Which control instance may make calls, and from when."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from pollenlb.clock import deadline_in, now
from pollenlb.durable.duty_commands import TakeDuties
from pollenlb.durable.state_machine import ControlStateMachine
from pollenlb.exceptions import NotLeaderError
from pollenlb.ids import InstanceName
from pollenlb.process.duties import DutyIssuer
from pollenlb.process.duty_channel import DutyResponse
from pollenlb.settings.control import ControlSettings

LEASE_S = 3.0


class _Replica:
    """Replica whose leadership and confirmation a test sets."""

    def __init__(self) -> None:
        self.leadership = object()
        self.confirm_s = 0.0
        self.is_confirmed = True
        self.next_leadership = self.leadership

    async def confirm_leadership(self) -> None:
        """Confirm after a while, or raise as an isolated leader does."""
        await asyncio.sleep(self.confirm_s)
        self.leadership = self.next_leadership
        if not self.is_confirmed:
            raise NotLeaderError()


class _Context:
    """Control context with a state machine and without a log."""

    def __init__(self, name: str) -> None:
        self.settings = ControlSettings.check(
            {
                "name": name,
                "failure_domain": "north",
                "listen": "127.0.0.1:1",
                "data_folder": "data",
                "seeds": ["127.0.0.1:1"],
                "duty_address": "127.0.0.1:2",
                "duties": "usage",
                "duty_lease_ms": 1000 * LEASE_S,
            }
        ).unwrap()
        self.machine = ControlStateMachine()
        self.replica = _Replica()
        self.events = SimpleNamespace(record=lambda *kind, **fields: None)

    async def execute(self, command: TakeDuties) -> None:
        """Apply a command to the table of duties."""
        self.machine.state.duties.take(command)


@pytest.fixture
def context():
    """Return the context of a control instance."""
    return _Context("control-1")


async def _holder(context: _Context) -> DutyIssuer:
    """Return the issuer of an instance that may make calls."""
    issuer = DutyIssuer(context, None)  # type: ignore[arg-type]
    await issuer._take_duties()
    issuer._leadership = context.replica.leadership
    issuer._may_call_at = deadline_in(0)
    return issuer


async def _calls(issuer: DutyIssuer) -> list:
    """Make a call and return the holders that it was sent with."""
    sent = []

    async def send(holder):
        sent.append(holder)
        return DutyResponse(200)

    try:
        await issuer._call("usage 1", send, issuer._leadership, issuer._usage_backoff)
    except NotLeaderError:
        assert not sent
    return sent


async def test_holder_sends_its_name_and_number(context):
    """Guards against calls without a fencing number."""
    issuer = await _holder(context)
    (holder,) = await _calls(issuer)
    assert (holder.name, holder.fencing) == ("control-1", 1)


async def test_isolated_leader_makes_no_call(context):
    """Guards against two holders at the same time."""
    issuer = await _holder(context)
    context.replica.is_confirmed = False
    assert not await _calls(issuer)


async def test_call_is_not_sent_long_after_the_confirmation(context):
    """Guards against the calls of a process that was frozen meanwhile."""
    issuer = await _holder(context)
    context.replica.confirm_s = 0.4
    assert not await _calls(issuer)


async def test_leader_that_lost_its_term_during_the_confirmation_makes_no_call(context):
    """Guards against a call of a leadership that has ended."""
    issuer = await _holder(context)
    context.replica.next_leadership = object()
    assert not await _calls(issuer)


async def test_instance_that_is_not_the_holder_makes_no_call(context):
    """Guards against a call with the number of another instance."""
    issuer = await _holder(context)
    context.machine.state.duties.take(TakeDuties(InstanceName("control-2")))
    assert not await _calls(issuer)


async def test_new_holder_waits_until_calls_of_the_one_before_have_ended(context):
    """Guards against holders that take turns faster than the lease."""
    context.machine.state.duties.take(TakeDuties(InstanceName("control-2")))
    issuer = DutyIssuer(context, None)  # type: ignore[arg-type]
    await issuer._take_duties()
    assert context.machine.state.duties.fencing == 2
    assert issuer._may_call_at > now() + LEASE_S


async def test_restarted_holder_keeps_its_number_and_waits_again(context):
    """Guards against a restart that cuts the wait of the process before short."""
    context.machine.state.duties.take(TakeDuties(InstanceName("control-1")))
    issuer = DutyIssuer(context, None)  # type: ignore[arg-type]
    await issuer._take_duties()
    assert context.machine.state.duties.fencing == 1
    assert issuer._may_call_at > now() + LEASE_S


async def test_very_first_holder_does_not_wait(context):
    """Guards against reports that are late only because a deployment is new."""
    issuer = DutyIssuer(context, None)  # type: ignore[arg-type]
    await issuer._take_duties()
    assert issuer._may_call_at <= now()


async def test_calls_stay_within_the_rate_of_the_api(context):
    """Guards against calls that the API rejects with 429."""
    issuer = await _holder(context)
    context.settings.values["duty_per_s"] = 2.0
    assert await _calls(issuer)
    assert not await _calls(issuer)


async def test_failed_calls_are_repeated_with_growing_pauses(context):
    """Guards against a busy API that is called without pause."""
    issuer = await _holder(context)
    pauses = []

    async def send(holder):
        return DutyResponse(503)

    backoff = issuer._usage_backoff
    for _ in range(6):
        issuer._next_call_at = backoff.retry_at = deadline_in(0)
        await issuer._call("usage 1", send, issuer._leadership, backoff)
        pauses.append(backoff.retry_at - now())
    assert pauses == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.0, 1.0], abs=0.05)
