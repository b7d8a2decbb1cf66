"""Tests the commands of the controllers' replicated state machine."""

from __future__ import annotations

from control_support import document, replica

from cherrycove.tier.controlplane import configuration_state
from cherrycove.tier.controlplane.configuration_state import AcceptOutcome, content_digest
from cherrycove.tier.controlplane.state import Applied, ControlState
from cherrycove.tier.protocol.keeper_pb2 import (
    AcceptConfiguration,
    Barrier,
    Command,
    ForgetRetired,
    FormStoreGroup,
    RecordMachines,
    Retire,
    Retired,
    StoreMachine,
)


def accept(state: ControlState, version: int, base: int, body: bytes | None = None) -> object:
    body = document(version) if body is None else body
    digest = content_digest(body)
    assert digest is not None
    command = AcceptConfiguration(version=version, base_version=base, document=body, digest=digest)
    return state.apply(0, Command(accept_configuration=command).SerializeToString())


def apply_command(state: ControlState, **body: object) -> bool:
    outcome = state.apply(0, Command(**body).SerializeToString())  # type: ignore[arg-type]
    assert isinstance(outcome, Applied)
    return outcome.changed


def test_of_two_changes_with_one_base_version_only_the_first_is_accepted() -> None:
    state = ControlState()
    assert accept(state, 3, 0) is AcceptOutcome.ACCEPTED
    assert accept(state, 5, 0) is AcceptOutcome.BASE_MISMATCH
    assert accept(state, 5, 3) is AcceptOutcome.ACCEPTED
    assert accept(state, 5, 5) is AcceptOutcome.ALREADY_ACCEPTED
    assert accept(state, 4, 5) is AcceptOutcome.NOT_NEWER
    assert state.configuration.version == 5
    assert state.configuration.document == document(5)


def test_a_different_document_with_an_accepted_version_is_rejected() -> None:
    state = ControlState()
    assert accept(state, 3, 0) is AcceptOutcome.ACCEPTED
    assert accept(state, 3, 0, document(3, limits={})) is AcceptOutcome.BASE_MISMATCH
    assert accept(state, 3, 3, document(3, limits={})) is AcceptOutcome.NOT_NEWER


def test_a_document_is_recognized_after_newer_ones_and_with_other_formatting() -> None:
    state = ControlState()
    accept(state, 3, 0)
    accept(state, 9, 3)
    reformatted = document(3).replace(b": ", b":  ")
    assert accept(state, 3, 0, reformatted) is AcceptOutcome.ALREADY_ACCEPTED
    assert state.configuration.version == 9


def test_versions_without_a_retained_digest_are_neither_accepted_nor_rejected(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(configuration_state, "MAX_ACCEPTED_VERSIONS", 2)
    state = ControlState()
    for version, base in ((1, 0), (3, 1), (6, 3), (9, 6)):
        accept(state, version, base)
    restored = ControlState()
    restored.restore(state.snapshot())
    for one in (state, restored):
        assert accept(one, 1, 0) is AcceptOutcome.FORGOTTEN
        assert accept(one, 2, 1) is AcceptOutcome.FORGOTTEN
        assert accept(one, 3, 1, document(3, limits={})) is AcceptOutcome.FORGOTTEN
        assert accept(one, 4, 3) is AcceptOutcome.BASE_MISMATCH
        assert accept(one, 6, 3) is AcceptOutcome.ALREADY_ACCEPTED
        assert accept(one, 9, 6) is AcceptOutcome.ALREADY_ACCEPTED
        assert accept(one, 9, 6, document(9, limits={})) is AcceptOutcome.BASE_MISMATCH
        assert one.configuration.version == 9


def test_the_number_of_retained_digests_is_limited() -> None:
    state = ControlState()
    total = configuration_state.MAX_ACCEPTED_VERSIONS + 3
    for version in range(1, total + 1):
        accept(state, version, version - 1, b"%d" % version)
    restored = ControlState()
    restored.restore(state.snapshot())
    outcomes = [accept(restored, version, version - 1, b"%d" % version) for version in (1, 3, 4, total)]
    assert outcomes == [
        AcceptOutcome.FORGOTTEN,
        AcceptOutcome.FORGOTTEN,
        AcceptOutcome.ALREADY_ACCEPTED,
        AcceptOutcome.ALREADY_ACCEPTED,
    ]


def test_the_store_group_is_formed_once() -> None:
    state = ControlState()
    assert not apply_command(state, form_store_group=FormStoreGroup())
    assert apply_command(state, form_store_group=FormStoreGroup(initial=[replica("s1"), replica("s2")]))
    assert not apply_command(state, form_store_group=FormStoreGroup(initial=[replica("s3")]))
    assert [one.node_name for one in state.initial_stores] == ["s1", "s2"]
    assert state.store_group_revision == 1


def test_a_machine_is_retired_and_its_name_reused_by_a_new_one() -> None:
    state = ControlState()
    assert apply_command(state, retire=Retire(node_name="s1", member_id="a"))
    assert not apply_command(state, retire=Retire(node_name="s1", member_id="a"))
    assert not apply_command(state, retire=Retire(node_name="s1", member_id=""))
    assert apply_command(state, retired=Retired(node_name="s1", member_id="a"))
    assert not apply_command(state, retired=Retired(node_name="s1", member_id="a"))
    assert state.retire_orders["s1"].completed
    assert list(state.store_group().retiring) == ["s1"]
    assert not apply_command(state, forget_retired=ForgetRetired(node_name="s1", member_id="b"))
    assert apply_command(state, forget_retired=ForgetRetired(node_name="s1", member_id="a"))
    assert list(state.store_group().retiring) == []


def test_an_order_is_extended_by_the_disk_of_its_machine() -> None:
    state = ControlState()
    apply_command(state, retire=Retire(node_name="s1", member_id=""))
    assert apply_command(state, retire=Retire(node_name="s1", member_id="a"))
    assert state.retire_orders["s1"].member_id == "a"
    assert state.retire_orders["s1"].revision == 2


def machine(name: str, ip: str, disk: str, keeper: str = "") -> StoreMachine:
    return StoreMachine(node_name=name, ip=ip, store_id=disk, keeper_id=keeper)


def test_an_order_copies_address_and_disks_from_the_machine_record() -> None:
    state = ControlState()
    apply_command(state, form_store_group=FormStoreGroup(initial=[replica("s1")]))
    assert state.machines["s1"] == machine("s1", "127.0.0.1", "disk-s1")
    assert not apply_command(
        state, record_machines=RecordMachines(machines=[machine("s2", "10.0.0.2", "a", "k")])
    )
    assert apply_command(state, retire=Retire(node_name="s2"))
    created = state.retire_orders["s2"]
    assert created.member_id == "a"
    assert (created.ips, created.store_ids, created.keeper_ids) == (["10.0.0.2"], ["a"], ["k"])


def test_an_order_is_extended_by_new_disks_of_its_machine_even_after_completion() -> None:
    state = ControlState()
    apply_command(state, retire=Retire(node_name="s2", member_id="a", ip="10.0.0.2"))
    revision = state.retire_orders["s2"].revision
    assert apply_command(
        state, record_machines=RecordMachines(machines=[machine("s2", "10.0.0.2", "b", "k")])
    )
    assert not apply_command(state, retired=Retired(node_name="s2", member_id="a", revision=revision))
    extended = state.retire_orders["s2"]
    assert (extended.store_ids, extended.keeper_ids) == (["a", "b"], ["k"])
    assert extended.revision > revision
    assert apply_command(state, retired=Retired(node_name="s2", member_id="b", revision=extended.revision))
    assert not apply_command(state, retire=Retire(node_name="s2", member_id="b", ip="10.0.0.2"))
    assert apply_command(state, record_machines=RecordMachines(machines=[machine("s2", "10.0.0.2", "c")]))
    again = state.retire_orders["s2"]
    assert again.completed
    assert again.store_ids == ["a", "b", "c"]
    assert [disk.member_id for disk in state.store_group().retiring_disks] == ["a", "b", "c"]


def test_a_new_machine_with_the_same_name_gets_its_own_order() -> None:
    state = ControlState()
    apply_command(state, retire=Retire(node_name="s2", member_id="a", ip="10.0.0.2"))
    apply_command(state, retired=Retired(node_name="s2", member_id="a", revision=1))
    assert not apply_command(state, record_machines=RecordMachines(machines=[machine("s2", "10.0.0.9", "n")]))
    assert state.retire_orders["s2"].store_ids == ["a"]
    assert apply_command(state, retire=Retire(node_name="s2", member_id="n", ip="10.0.0.9"))
    fresh = state.retire_orders["s2"]
    assert (fresh.completed, fresh.ips, fresh.store_ids) == (False, ["10.0.0.9"], ["n"])


def test_a_snapshot_restores_the_whole_state() -> None:
    state = ControlState()
    apply_command(state, record_machines=RecordMachines(machines=[machine("s2", "10.0.0.2", "a", "k")]))
    accept(state, 3, 0)
    accept(state, 7, 3)
    apply_command(state, form_store_group=FormStoreGroup(initial=[replica("s1")]))
    apply_command(state, retire=Retire(node_name="s1", member_id="a"))
    restored = ControlState()
    changes: list[int] = []
    restored.on_change(lambda: changes.append(restored.configuration.version))
    restored.restore(state.snapshot())
    assert changes == [7]
    assert restored.snapshot() == state.snapshot()
    assert accept(restored, 3, 0) is AcceptOutcome.ALREADY_ACCEPTED
    assert not apply_command(restored, retire=Retire(node_name="s1", member_id="a"))


def test_a_barrier_changes_nothing() -> None:
    state = ControlState()
    before = state.snapshot()
    assert not apply_command(state, barrier=Barrier())
    assert not apply_command(state)
    assert state.snapshot() == before


def test_the_digest_requires_json_and_ignores_formatting() -> None:
    assert content_digest(b"{") is None
    assert content_digest(b"\xff") is None
    assert content_digest(b"[" * 100_000) is None
    assert content_digest(b'{"b":1,"a":2}') == content_digest(b'{ "a": 2, "b": 1 }')
    assert content_digest(b'{"a":1}') != content_digest(b'{"a":2}')
