import pytest

from magnoliaroad.records.journal import JournalRecord
from magnoliaroad.records.pending import PendingRecords
from magnoliaroad.records.settings import RecordSettings

CFG = RecordSettings()


def record(key, size=100):
    return JournalRecord(key, b"x" * size, 65.0)


def keys(batch):
    return [pending.record.key for pending in batch]


def test_nothing_is_written_before_it_is_due():
    pending = PendingRecords(CFG)
    pending.add(0.0, record("a"), ("other",), writes_first=True)
    assert pending.next_batch(CFG.store_after_s - 0.01) == []
    assert keys(pending.next_batch(CFG.store_after_s)) == ["a"]


def test_batch_includes_records_due_soon_but_not_partner_copies():
    pending = PendingRecords(CFG)
    pending.add(0.0, record("a"), ("other",), writes_first=True)
    pending.add(0.9, record("b"), ("other",), writes_first=True)
    pending.add(0.9, record("c"), ("other",), writes_first=False)
    assert keys(pending.next_batch(1.0)) == ["a", "b"]


def test_partner_writes_records_it_was_not_notified_of():
    pending = PendingRecords(CFG)
    pending.add(0.0, record("a"), ("other",), writes_first=False)
    assert keys(pending.next_batch(CFG.partner_after_s)) == ["a"]


def test_batches_stay_within_count_and_size():
    pending = PendingRecords(CFG)
    for n in range(100):
        pending.add(0.0, record(str(n), 10), (), writes_first=True)
    assert len(pending.next_batch(5.0)) == CFG.batch_count
    large = PendingRecords(CFG)
    for n in range(10):
        large.add(0.0, record(str(n), 200_000), "", writes_first=True)
    assert len(large.next_batch(5.0)) == 3


def test_a_record_larger_than_a_batch_goes_alone():
    pending = PendingRecords(CFG)
    pending.add(0.0, record("big", CFG.batch_bytes * 2), "", writes_first=True)
    assert keys(pending.next_batch(5.0)) == ["big"]


def test_size_counts_each_pending_record_once():
    pending = PendingRecords(CFG)
    pending.add(0.0, record("a", 70), "", writes_first=True)
    pending.add(0.0, record("a", 70), "", writes_first=True)
    assert pending.size_bytes == 70
    pending.pop("a")
    pending.pop("a")
    assert pending.size_bytes == 0


@pytest.mark.parametrize(
    ("hosts", "delay_s"), [(1, 0.0), (8, 0.0), (12, 0.5), (99, 1.0)]
)
def test_many_record_hosts_write_less_often(hosts, delay_s):
    pending = PendingRecords(CFG)
    pending.delay_s = CFG.delay_s(hosts)
    pending.add(0.0, record("a"), (), True)
    pending.add(0.5, record("b"), (), True)
    pending.add(0.5, record("c"), (), False)
    assert pending.next_batch(CFG.store_after_s + delay_s - 0.01) == []
    assert keys(pending.next_batch(CFG.store_after_s + delay_s)) == ["a", "b"]
    pending.pop("a")
    pending.pop("b")
    assert keys(pending.next_batch(CFG.partner_after_s + delay_s + 0.5)) == ["c"]


def test_records_are_in_the_store_before_as_many_disks_may_be_lost_again():
    """As many disks may be lost again after ``catch_up_s``.

    It is 6 s with more than eight record hosts.
    """
    assert CFG.partner_after_s + CFG.delay_s(1000) < 6.0


def test_a_refused_record_is_kept_until_it_expires_but_not_written():
    pending = PendingRecords(CFG)
    pending.add(0.0, record("a"), (), writes_first=True)
    pending.refuse(10.0, "a")
    assert pending.next_batch(20.0, everything=True) == []
    assert (len(pending), pending.refused_count, pending.size_bytes) == (0, 1, 100)
    assert pending.get("a") == b"x" * 100
    assert pending.expired(74.0) == []
    assert pending.expired(75.0) == ["a"]
    pending.pop("a")
    assert (pending.get("a"), pending.size_bytes) == (None, 0)
