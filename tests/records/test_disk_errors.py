"""The journal on a disk that is full, fails, or holds files that it did not write."""

import errno
import os

import pytest

from magnoliaroad.records.journal import Journal, JournalRecord

SEGMENT_BYTES = 1000


def record(name, size=100):
    return JournalRecord(f"turns/{name}", b"x" * size, 65.0)


def recovered(path):
    return {each.key for each in Journal(path, SEGMENT_BYTES).recover()}


class FailingDisk:
    """Lets a function of ``os`` fail, after it has written a part of the data."""

    def __init__(self, monkeypatch, name, code, written_bytes=0):
        self.failing = False
        self.code, self.written_bytes = code, written_bytes
        self._function = getattr(os, name)
        monkeypatch.setattr(os, name, self._call)

    def _call(self, *args, **kwargs):
        if not self.failing:
            return self._function(*args, **kwargs)
        if self.written_bytes:
            descriptor, data = args
            part, self.written_bytes = data[: self.written_bytes], 0
            return self._function(descriptor, part)
        raise OSError(self.code, os.strerror(self.code))


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize(
    ("name", "written_bytes"),
    [("write", 0), ("write", 1), ("write", 60), ("fdatasync", 0)],
)
def test_records_kept_after_a_failed_write_are_recovered(
    tmp_path, monkeypatch, name, written_bytes, code
):
    """Guards against records that follow a torn one, which recovery ignored."""
    journal = Journal(tmp_path, SEGMENT_BYTES)
    journal.recover()
    journal.append([record("before")])
    disk = FailingDisk(monkeypatch, name, code, written_bytes)
    disk.failing = True
    for _ in range(3):
        with pytest.raises(OSError):
            journal.append([record("failed")])
    disk.failing = False
    journal.append([record("after")])
    journal.close()
    assert recovered(tmp_path) >= {"turns/before", "turns/after"}


def test_failed_writes_leave_no_segments_behind(tmp_path, monkeypatch):
    journal = Journal(tmp_path, SEGMENT_BYTES)
    journal.recover()
    disk = FailingDisk(monkeypatch, "fdatasync", errno.ENOSPC)
    disk.failing = True
    for _ in range(5):
        with pytest.raises(OSError):
            journal.append([record("failed")])
    assert not list(tmp_path.glob("*.log"))


@pytest.mark.parametrize("code", [errno.EIO, errno.EROFS])
def test_a_segment_that_cannot_be_removed_ends_nothing(tmp_path, monkeypatch, code):
    """Guards against a background task, and so a host, that ended for it (FAULT)."""
    journal = Journal(tmp_path, SEGMENT_BYTES)
    journal.recover()
    names = [str(number) for number in range(30)]
    disk = FailingDisk(monkeypatch, "unlink", code)
    disk.failing = True
    for name in names:
        journal.append([record(name)])
    for name in names:
        journal.mark_stored(f"turns/{name}")
    journal.close()
    disk.failing = False
    assert recovered(tmp_path) == {f"turns/{name}" for name in names}


def damaged(data):
    """Yields ``data`` cut and with flipped bits, and where the damage begins."""
    for at in range(len(data)):
        yield at, data[:at]
        for mask in (0x01, 0x10, 0x4F, 0x80, 0xFF):
            yield at, data[:at] + bytes([data[at] ^ mask]) + data[at + 1 :]


def test_records_before_any_damage_are_recovered(tmp_path):
    journal = Journal(tmp_path, SEGMENT_BYTES)
    journal.recover()
    names, ends = [f"turns/{number}" for number in range(3)], []
    path = tmp_path / "00000001.log"
    for number in range(3):
        journal.append([record(number, 40)])
        ends.append(path.stat().st_size)
    journal.close()
    for at, data in damaged(path.read_bytes()):
        path.write_bytes(data)
        sound = sum(end <= at for end in ends)
        assert recovered(tmp_path) == set(names[:sound])


def test_a_segment_that_recovery_could_not_list_is_not_overwritten(
    tmp_path, monkeypatch
):
    journal = Journal(tmp_path, SEGMENT_BYTES)
    journal.recover()
    journal.append([record("before")])
    journal.close()
    disk = FailingDisk(monkeypatch, "listdir", errno.EIO)
    disk.failing = True
    journal = Journal(tmp_path, SEGMENT_BYTES)
    assert journal.recover() == []
    assert journal.unread
    disk.failing = False
    with pytest.raises(OSError):
        journal.append([record("refused")])
    journal.append([record("after")])
    journal.close()
    assert recovered(tmp_path) == {"turns/before", "turns/after"}
