"""The targets that a request is offered to, one after the other."""

from magnoliaroad.relay.detour_failure import PeerLost
from magnoliaroad.relay.offers import Offers
from magnoliaroad.targets import TargetError, TargetFull, TargetUnreachable
from magnoliaroad.verdict import Verdict


def test_targets_that_failed_are_not_tried_again():
    offers = Offers()
    lost = TargetError("reset", Verdict.MAY_HAVE_RUN)
    assert offers.record_failure("i-1", lost, False)
    assert not offers.record_failure("i-2", TargetFull("full"), False)
    assert offers.excluded == {"i-1", "i-2"}
    assert offers.attempts == 1


def test_unreachable_targets_are_offered_through_a_peer():
    offers = Offers()
    lost = TargetError("reset", Verdict.MAY_HAVE_RUN)
    offers.record_failure("i-0", lost, False)
    assert offers.record_failure("i-1", TargetUnreachable("refused"), False)
    assert not offers.record_failure("i-2", TargetUnreachable("refused"), True)
    assert offers.excluded == {"i-0"}
    assert offers.record_failure("i-1", TargetUnreachable("refused"), False)
    assert offers.excluded == {"i-0", "i-1"}


def test_a_target_is_not_blamed_for_a_lost_peer():
    offers = Offers()
    assert not offers.record_failure("i-1", PeerLost("silent"), False)
    assert offers.attempts == 1
