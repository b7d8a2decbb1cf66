"""A model of a disk that loses what is not synced, recorded from the calls that storage makes.

The calls run on real files below a root folder, but for the syncs. Beside them the model keeps what a loss
of power may leave, as the platform's page states it: a file holds what its last sync covered, and each later
write is present, missing or torn; each name made, renamed or removed is kept or lost on its own until its
folder is synced. (The page lets a new file last through its own sync. The model grants less: only the
folder's sync makes its name last.)
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
FOLDER = -1  # id of a folder in place of a file's

Contents = tuple[tuple[str, bytes | None], ...]  # sorted names below the root; None for a folder


@attrs.frozen
class FileWrite:
    offset: int
    data: bytes


@attrs.frozen
class FileLength:
    length: int


FileChange = FileWrite | FileLength


@attrs.frozen
class NameChange:
    """``added`` now stands for ``file``, and ``removed`` for nothing."""

    added: str
    removed: str
    file: int


@attrs.define
class ModelFile:
    durable: bytes = b""
    unsynced: list[FileChange] = attrs.field(factory=list)

    def sync(self) -> None:
        for change in self.unsynced:
            self.durable = changed(self.durable, change)
        self.unsynced.clear()


def changed(data: bytes, change: FileChange) -> bytes:
    if isinstance(change, FileLength):
        return data[: change.length].ljust(change.length, b"\0")
    padded = data.ljust(change.offset, b"\0")
    return padded[: change.offset] + change.data + padded[change.offset + len(change.data) :]


def outcomes(change: FileChange) -> list[FileChange | None]:
    """What may have become of an unsynced change: present, missing, or torn at either end.

    It is torn in the middle of what stands before its padding, so that neither end is all that matters."""
    if isinstance(change, FileLength):
        return [change, None]
    middle = len(change.data.rstrip(b"\0")) // 2
    if middle == 0:
        return [change, None]
    first_half = FileWrite(change.offset, change.data[:middle])
    second_half = FileWrite(change.offset + middle, change.data[middle:])
    return [change, None, first_half, second_half]


@attrs.define
class DiskState:
    """What lasts, and what only a running machine still knows."""

    files: dict[int, ModelFile] = attrs.field(factory=dict)
    names: dict[str, int] = attrs.field(factory=dict)  # durable ones
    unsynced_names: list[NameChange] = attrs.field(factory=list)

    @staticmethod
    def of(contents: Contents) -> DiskState:
        """A disk on which ``contents`` are durable."""
        state = DiskState()
        for number, (name, data) in enumerate(contents):
            state.names[name] = FOLDER if data is None else number
            if data is not None:
                state.files[number] = ModelFile(data)
        return state

    def copy(self) -> DiskState:
        files = {number: ModelFile(file.durable, list(file.unsynced)) for number, file in self.files.items()}
        return DiskState(files, dict(self.names), list(self.unsynced_names))

    def after_kill(self) -> Contents:
        """What the next process finds when only this one dies."""
        names = self._names_after(self.unsynced_names)
        data = {number: self._replayed(file, file.unsynced) for number, file in self.files.items()}
        return contents_of(names, data)

    def after_power_loss(self) -> set[Contents]:
        """Everything that the machine may find when power returns."""
        variants = {number: self._variants(file) for number, file in self.files.items()}
        found: set[Contents] = set()
        for names in self._possible_names():
            numbers = sorted(set(names.values()) - {FOLDER})
            for chosen in itertools.product(*(variants[number] for number in numbers)):
                found.add(contents_of(names, dict(zip(numbers, chosen, strict=True))))
        return found

    def after_some_power_loss(self, random: Random) -> Contents:
        """One of ``after_power_loss``, which may be very many."""
        names = self._names_after([change for change in self.unsynced_names if random.random() < 0.5])
        data: dict[int, bytes] = {}
        for number, file in self.files.items():
            chosen = [random.choice(outcomes(change)) for change in file.unsynced]
            data[number] = self._replayed(file, [change for change in chosen if change is not None])
        return contents_of(names, data)

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
            for chosen in itertools.product(*(outcomes(change) for change in file.unsynced))
        }
        return sorted(variants)

    @staticmethod
    def _replayed(file: ModelFile, changes: list[FileChange]) -> bytes:
        data = file.durable
        for change in changes:
            data = changed(data, change)
        return data

    def _names_after(self, changes: list[NameChange]) -> dict[str, int]:
        """Names that can be reached, if of the unsynced ones just ``changes`` are kept."""
        names = dict(self.names)
        for change in changes:
            names.pop(change.removed, None)
            if change.added:
                names[change.added] = change.file
        return {name: file for name, file in names.items() if reachable(name, names)}


@cache
def folders_above(name: str) -> list[str]:
    """Folders on the way to ``name``, without the root."""
    return [str(parent) for parent in PurePath(name).parents][:-1]


def reachable(name: str, names: dict[str, int]) -> bool:
    """Whether all folders above ``name`` are there."""
    return all(folder in names for folder in folders_above(name))


def contents_of(names: dict[str, int], data: dict[int, bytes]) -> Contents:
    found = [(name, None if file == FOLDER else data[file]) for name, file in names.items()]
    return tuple(sorted(found, key=lambda item: item[0]))


def sync_place(frame: FrameType) -> str:
    """The function that syncs, and behind a helper its caller."""
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
    """Runs calls on real files below ``root`` and keeps the state of the model after each of them."""

    def __init__(self, root: Path, state: DiskState) -> None:
        self.root = root
        self.state = state
        self.states: list[DiskState] = []  # after each call that changes anything
        self.failing_call = 0  # number of the first call that finds the disk full; 0: none
        self.failures = 1  # how many calls in a row do
        self.ignored_sync = ""  # place of a sync that is left out
        self.sync_places: set[str] = set()
        self._open: dict[int, OpenFile] = {}
        self._visible = dict(state.names)
        self._calls = 0
        self._next_file = max(state.files, default=0) + 1
        for change in state.unsynced_names:
            self._show(change)
        self._fill(state.after_kill())

    def _fill(self, contents: Contents) -> None:
        self.root.mkdir(parents=True, exist_ok=True)
        for name, data in contents:
            if data is None:
                (self.root / name).mkdir()
            else:
                (self.root / name).write_bytes(data)

    @property
    def calls(self) -> int:
        """How many calls were made that change something."""
        return self._calls

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Storage's calls come here."""
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
            mkdir=self._make_folder,
        ):
            yield

    def _name(self, path: Any) -> str:
        return str(Path(path).relative_to(self.root))

    def _begin(self) -> None:
        self._calls += 1
        if 0 < self.failing_call <= self._calls < self.failing_call + self.failures:
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
            self._change_file(self._visible[name], FileLength(0))
        descriptor = _os_open(path, flags, mode)
        self._open[descriptor] = OpenFile(name, self._visible.get(name, FOLDER))
        return descriptor

    def _close(self, descriptor: int) -> None:
        del self._open[descriptor]
        _os_close(descriptor)

    def _seek(self, descriptor: int, position: int, whence: int) -> int:
        assert whence == os.SEEK_SET
        self._open[descriptor].position = position
        return _os_lseek(descriptor, position, whence)

    def _write(self, descriptor: int, data: Any) -> int:
        """A disk that is full takes the first half."""
        whole = bytes(data)
        try:
            self._begin()
        except OSError:
            self._write_part(descriptor, whole[: len(whole) // 2])
            raise
        return self._write_part(descriptor, whole)

    def _write_part(self, descriptor: int, data: bytes) -> int:
        target = self._open[descriptor]
        assert _os_write(descriptor, data) == len(data)
        self._change_file(target.file, FileWrite(target.position, data))
        target.position += len(data)
        return len(data)

    def _truncate(self, descriptor: int, length: int) -> None:
        self._begin()
        _os_ftruncate(descriptor, length)
        self._change_file(self._open[descriptor].file, FileLength(length))

    def _sync(self, descriptor: int) -> None:
        place = sync_place(sys._getframe(1))
        self.sync_places.add(place)
        self._begin()
        target = self._open[descriptor]
        if place == self.ignored_sync:
            pass
        elif target.file == FOLDER:
            self._sync_names(PurePath(target.name))
        else:
            self.state.files[target.file].sync()
        self._end()

    def _sync_names(self, folder: PurePath) -> None:
        waiting = self.state.unsynced_names
        for change in [
            change for change in waiting if PurePath(change.added or change.removed).parent == folder
        ]:
            waiting.remove(change)
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
        self._change_name("", self._name(path), FOLDER)

    def _make_folder(self, path: Any, mode: int = 0o777) -> None:
        self._begin()
        _os_mkdir(path, mode)
        self._change_name(self._name(path), "", FOLDER)
