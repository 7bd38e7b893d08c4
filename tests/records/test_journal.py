"""Recovery of the journal after restarts and power failures."""

import errno
import os

import pytest

from magnoliaroad.records.journal import Journal, JournalRecord


def records(count, size=100):
    return [JournalRecord(f"turns/{n}", b"x" * size, 65.0) for n in range(count)]


def reopened(path):
    journal = Journal(path, 1000)
    return journal, {record.key for record in journal.recover()}


def test_records_are_there_after_a_restart(tmp_path):
    journal, _ = reopened(tmp_path)
    journal.append(records(3))
    journal.close()
    _, found = reopened(tmp_path)
    assert found == {"turns/0", "turns/1", "turns/2"}


@pytest.mark.parametrize("cut", range(1, 150, 7))
def test_torn_end_loses_only_unsynced_records(tmp_path, cut):
    journal, _ = reopened(tmp_path)
    journal.append(records(2))
    synced = next(tmp_path.glob("*.log")).stat().st_size
    journal.append([JournalRecord("turns/last", b"y" * 150, 65.0)])
    journal.close()
    path = next(tmp_path.glob("*.log"))
    data = path.read_bytes()
    path.write_bytes(data[: synced + cut])
    _, found = reopened(tmp_path)
    assert found == {"turns/0", "turns/1"}


def test_corrupted_end_is_not_read_as_a_record(tmp_path):
    journal, _ = reopened(tmp_path)
    journal.append(records(2))
    synced = next(tmp_path.glob("*.log")).stat().st_size
    journal.append([JournalRecord("turns/last", b"y" * 150, 65.0)])
    journal.close()
    path = next(tmp_path.glob("*.log"))
    data = bytearray(path.read_bytes())
    data[synced + 60] ^= 0xFF
    path.write_bytes(data)
    _, found = reopened(tmp_path)
    assert found == {"turns/0", "turns/1"}


def test_files_are_removed_once_all_their_records_are_stored(tmp_path):
    journal, _ = reopened(tmp_path)
    for record in records(40):
        journal.append([record])
    assert len(list(tmp_path.glob("*.log"))) > 3
    for record in records(40):
        journal.mark_stored(record.key)
    assert len(list(tmp_path.glob("*.log"))) == 1
    journal.close()
    _, found = reopened(tmp_path)
    assert len(found) < 40


def test_records_of_an_earlier_run_keep_their_file_until_stored(tmp_path):
    journal, _ = reopened(tmp_path)
    journal.append(records(2))
    journal.close()
    journal, _ = reopened(tmp_path)
    journal.append([JournalRecord("turns/new", b"z", 65.0)])
    journal.mark_stored("turns/0")
    assert len(list(tmp_path.glob("*.log"))) == 2
    journal.mark_stored("turns/1")
    assert len(list(tmp_path.glob("*.log"))) == 1
    journal.close()


def test_an_empty_folder_is_an_empty_journal(tmp_path):
    _, found = reopened(tmp_path / "new")
    assert found == set()


def test_a_file_that_is_no_segment_is_ignored(tmp_path, logged):
    """Guards against hosts that never start since a file lies in their folder."""
    journal, _ = reopened(tmp_path)
    journal.append(records(1))
    journal.close()
    (tmp_path / "copy-of-1.log").write_bytes(b"x")
    _, found = reopened(tmp_path)
    assert found == {"turns/0"}
    assert "file of no journal ignored" in {line["event"] for line in logged}


@pytest.mark.parametrize("kept", [0, 1, 30])
def test_records_after_a_write_that_failed_midway_are_recovered(
    tmp_path, monkeypatch, kept
):
    """Guards against synced turns that are lost since a full disk cut one before."""
    journal, _ = reopened(tmp_path)
    journal.append(records(2))
    write = os.write

    def write_in_part(file, data):
        write(file, data[:kept])
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write_in_part)
        for _ in range(3):
            with pytest.raises(OSError, match="No space"):
                journal.append([JournalRecord("turns/torn", b"y" * 150, 65.0)])
    journal.append([JournalRecord("turns/last", b"y" * 150, 65.0)])
    journal.close()
    segments = len(list(tmp_path.glob("*.log")))
    _, found = reopened(tmp_path)
    assert found == {"turns/0", "turns/1", "turns/last"}
    assert segments <= 2


def test_a_segment_that_cannot_be_removed_is_left(tmp_path, monkeypatch, logged):
    """Guards against records that are written to the store again and again."""

    def refuse(path, missing_ok):
        raise OSError(errno.EROFS, "Read-only file system")

    journal, _ = reopened(tmp_path)
    for record in records(40):
        journal.append([record])
    monkeypatch.setattr("pathlib.Path.unlink", refuse)
    for record in records(40):
        journal.mark_stored(record.key)
    assert "journal segment not removed" in {line["event"] for line in logged}
