"""A model of a disk that loses unsynced changes, recorded from the system calls of the storage package.

The calls, except for syncs, run on real files below a root directory. The model also tracks what may remain
after a power failure, following the platform's documentation: a file has the contents of its last sync, and
each later write is present, missing or torn; each directory entry that was created, renamed or removed is
kept or lost independently until its directory is synced. (According to the documentation, the sync of a new
file also makes its directory entry durable. The model is stricter: only a sync of the directory does.)
"""

from __future__ import annotations

import errno
import itertools
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from functools import cache
from pathlib import Path, PurePath
from random import Random
from types import FrameType
from typing import Any
from unittest import mock

import attrs

_os_open, _os_close, _os_lseek, _os_write = os.open, os.close, os.lseek, os.write
_os_ftruncate, _os_rename, _os_unlink, _os_mkdir = os.ftruncate, os.rename, os.unlink, os.mkdir

SYNC_HELPERS = ("sync_directory", "sync_file")
DIRECTORY = -1  # stands for a directory in place of a file id

DiskContents = tuple[tuple[str, bytes | None], ...]  # sorted names below the root; None for a directory


@attrs.frozen
class FileWrite:
    offset: int
    data: bytes


@attrs.frozen
class FileTruncation:
    length: int


FileChange = FileWrite | FileTruncation


@attrs.frozen
class NameChange:
    """Directory entry ``added`` now refers to ``file``, and ``removed`` no longer exists."""

    added: str
    removed: str
    file: int


@attrs.define
class ModelFile:
    durable: bytes = b""
    unsynced: list[FileChange] = attrs.field(factory=list)

    def sync(self) -> None:
        for change in self.unsynced:
            self.durable = apply_change(self.durable, change)
        self.unsynced.clear()


def apply_change(data: bytes, change: FileChange) -> bytes:
    if isinstance(change, FileTruncation):
        return data[: change.length].ljust(change.length, b"\0")
    padded = data.ljust(change.offset, b"\0")
    return padded[: change.offset] + change.data + padded[change.offset + len(change.data) :]


def possible_results(change: FileChange) -> list[FileChange | None]:
    """Return the possible results of an unsynced change: present, missing, or torn with one half kept.

    The data is torn in the middle of what precedes its zero padding, so that both halves have content.
    """
    if isinstance(change, FileTruncation):
        return [change, None]
    middle = len(change.data.rstrip(b"\0")) // 2
    if middle == 0:
        return [change, None]
    first_half = FileWrite(change.offset, change.data[:middle])
    second_half = FileWrite(change.offset + middle, change.data[middle:])
    return [change, None, first_half, second_half]


@attrs.define
class ModelDisk:
    """Durable contents of a disk, and changes that are lost if the machine fails."""

    files: dict[int, ModelFile] = attrs.field(factory=dict)
    names: dict[str, int] = attrs.field(factory=dict)  # durable directory entries
    unsynced_names: list[NameChange] = attrs.field(factory=list)

    @staticmethod
    def of(contents: DiskContents) -> ModelDisk:
        """Create a disk on which ``contents`` are durable."""
        state = ModelDisk()
        for number, (name, data) in enumerate(contents):
            state.names[name] = DIRECTORY if data is None else number
            if data is not None:
                state.files[number] = ModelFile(data)
        return state

    def copy(self) -> ModelDisk:
        files = {number: ModelFile(file.durable, list(file.unsynced)) for number, file in self.files.items()}
        return ModelDisk(files, dict(self.names), list(self.unsynced_names))

    def after_kill(self) -> DiskContents:
        """Return what the next process finds after this process is killed."""
        names = self._names_after(self.unsynced_names)
        data = {number: self._replayed(file, file.unsynced) for number, file in self.files.items()}
        return disk_contents(names, data)

    def after_power_loss(self) -> set[DiskContents]:
        """Return all contents that the machine may find after a power failure."""
        variants = {number: self._variants(file) for number, file in self.files.items()}
        found: set[DiskContents] = set()
        for names in self._possible_names():
            numbers = sorted(set(names.values()) - {DIRECTORY})
            for chosen in itertools.product(*(variants[number] for number in numbers)):
                found.add(disk_contents(names, dict(zip(numbers, chosen, strict=True))))
        return found

    def random_power_loss(self, random: Random) -> DiskContents:
        """Return a random one of the results of ``after_power_loss``, of which there may be very many."""
        names = self._names_after([change for change in self.unsynced_names if random.random() < 0.5])
        data: dict[int, bytes] = {}
        for number, file in self.files.items():
            chosen = [random.choice(possible_results(change)) for change in file.unsynced]
            data[number] = self._replayed(file, [change for change in chosen if change is not None])
        return disk_contents(names, data)

    def _possible_names(self) -> list[dict[str, int]]:
        found: list[dict[str, int]] = []
        for kept in itertools.product((True, False), repeat=len(self.unsynced_names)):
            names = self._names_after(list(itertools.compress(self.unsynced_names, kept)))
            if names not in found:
                found.append(names)
        return found

    def _variants(self, file: ModelFile) -> list[bytes]:
        variants = {
            self._replayed(file, [change for change in chosen if change is not None])
            for chosen in itertools.product(*(possible_results(change) for change in file.unsynced))
        }
        return sorted(variants)

    @staticmethod
    def _replayed(file: ModelFile, changes: list[FileChange]) -> bytes:
        data = file.durable
        for change in changes:
            data = apply_change(data, change)
        return data

    def _names_after(self, changes: list[NameChange]) -> dict[str, int]:
        """Return the reachable names if only ``changes`` of the unsynced ones are kept."""
        names = dict(self.names)
        for change in changes:
            names.pop(change.removed, None)
            if change.added:
                names[change.added] = change.file
        return {name: file for name, file in names.items() if reachable(name, names)}


@cache
def parent_directories(name: str) -> list[str]:
    """Return the directories above ``name``, without the root."""
    return [str(parent) for parent in PurePath(name).parents][:-1]


def reachable(name: str, names: dict[str, int]) -> bool:
    """Return whether all directories above ``name`` exist."""
    return all(directory in names for directory in parent_directories(name))


def disk_contents(names: dict[str, int], data: dict[int, bytes]) -> DiskContents:
    found = [(name, None if file == DIRECTORY else data[file]) for name, file in names.items()]
    return tuple(sorted(found, key=lambda item: item[0]))


def sync_location(frame: FrameType) -> str:
    """Return the name of the function that syncs, preceded by its caller if it is a sync helper."""
    name = frame.f_code.co_name
    caller = frame.f_back
    if name in SYNC_HELPERS and caller is not None:
        return f"{caller.f_code.co_name} > {name}"
    return name


@attrs.define
class OpenFile:
    name: str
    file: int
    position: int = 0


class RecordedDisk:
    """Runs system calls on real files below ``root`` and records the model disk after each of them."""

    def __init__(self, root: Path, state: ModelDisk) -> None:
        self.root = root
        self.state = state
        self.states: list[ModelDisk] = []  # after each call that changes the disk
        self.first_failing_call = 0  # number of the first call that fails with a full disk; 0: none
        self.failing_calls = 1  # number of consecutive calls that fail
        self.skipped_sync = ""  # location of a sync that is skipped
        self.sync_locations: set[str] = set()
        self._open: dict[int, OpenFile] = {}
        self._visible = dict(state.names)
        self._calls = 0
        self._next_file = max(state.files, default=0) + 1
        for change in state.unsynced_names:
            self._show(change)
        self._fill(state.after_kill())

    def _fill(self, contents: DiskContents) -> None:
        self.root.mkdir(parents=True, exist_ok=True)
        for name, data in contents:
            if data is None:
                (self.root / name).mkdir()
            else:
                (self.root / name).write_bytes(data)

    @property
    def calls(self) -> int:
        """Number of calls that change the disk."""
        return self._calls

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Redirect the system calls of the storage package to this disk."""
        with mock.patch.multiple(
            os,
            open=self._open_file,
            close=self._close,
            lseek=self._seek,
            write=self._write,
            ftruncate=self._truncate,
            fsync=self._sync,
            fdatasync=self._sync,
            rename=self._rename,
            unlink=self._unlink,
            mkdir=self._make_directory,
        ):
            yield

    def _name(self, path: Any) -> str:
        return str(Path(path).relative_to(self.root))

    def _begin(self) -> None:
        self._calls += 1
        if 0 < self.first_failing_call <= self._calls < self.first_failing_call + self.failing_calls:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _end(self) -> None:
        self.states.append(self.state.copy())

    def _show(self, change: NameChange) -> None:
        self._visible.pop(change.removed, None)
        if change.added:
            self._visible[change.added] = change.file

    def _change_name(self, added: str, removed: str, file: int) -> None:
        change = NameChange(added, removed, file)
        self.state.unsynced_names.append(change)
        self._show(change)
        self._end()

    def _change_file(self, file: int, change: FileChange) -> None:
        self.state.files[file].unsynced.append(change)
        self._end()

    def _open_file(self, path: Any, flags: int, mode: int = 0o777) -> int:
        name = self._name(path)
        if flags & os.O_CREAT and name not in self._visible:
            self._begin()
            file, self._next_file = self._next_file, self._next_file + 1
            self.state.files[file] = ModelFile()
            self._change_name(name, "", file)
        elif flags & os.O_TRUNC:
            self._begin()
            self._change_file(self._visible[name], FileTruncation(0))
        descriptor = _os_open(path, flags, mode)
        self._open[descriptor] = OpenFile(name, self._visible.get(name, DIRECTORY))
        return descriptor

    def _close(self, descriptor: int) -> None:
        del self._open[descriptor]
        _os_close(descriptor)

    def _seek(self, descriptor: int, position: int, whence: int) -> int:
        assert whence == os.SEEK_SET
        self._open[descriptor].position = position
        return _os_lseek(descriptor, position, whence)

    def _write(self, descriptor: int, data: Any) -> int:
        """Write ``data``; on a full disk only the first half is written."""
        content = bytes(data)
        try:
            self._begin()
        except OSError:
            self._write_part(descriptor, content[: len(content) // 2])
            raise
        return self._write_part(descriptor, content)

    def _write_part(self, descriptor: int, data: bytes) -> int:
        target = self._open[descriptor]
        assert _os_write(descriptor, data) == len(data)
        self._change_file(target.file, FileWrite(target.position, data))
        target.position += len(data)
        return len(data)

    def _truncate(self, descriptor: int, length: int) -> None:
        self._begin()
        _os_ftruncate(descriptor, length)
        self._change_file(self._open[descriptor].file, FileTruncation(length))

    def _sync(self, descriptor: int) -> None:
        location = sync_location(sys._getframe(1))
        self.sync_locations.add(location)
        self._begin()
        target = self._open[descriptor]
        if location == self.skipped_sync:
            pass
        elif target.file == DIRECTORY:
            self._sync_names(PurePath(target.name))
        else:
            self.state.files[target.file].sync()
        self._end()

    def _sync_names(self, directory: PurePath) -> None:
        unsynced = self.state.unsynced_names
        for change in [
            change for change in unsynced if PurePath(change.added or change.removed).parent == directory
        ]:
            unsynced.remove(change)
            self.state.names.pop(change.removed, None)
            if change.added:
                self.state.names[change.added] = change.file

    def _rename(self, old: Any, new: Any) -> None:
        self._begin()
        _os_rename(old, new)
        self._change_name(self._name(new), self._name(old), self._visible[self._name(old)])

    def _unlink(self, path: Any, dir_fd: int | None = None) -> None:
        self._begin()
        _os_unlink(path, dir_fd=dir_fd)
        self._change_name("", self._name(path), DIRECTORY)

    def _make_directory(self, path: Any, mode: int = 0o777) -> None:
        self._begin()
        _os_mkdir(path, mode)
        self._change_name(self._name(path), "", DIRECTORY)
