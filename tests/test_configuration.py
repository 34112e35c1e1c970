"""Tests of the configuration state."""

import hashlib

import pytest

from martenrun.configuration.objects import Kind, parse_document
from martenrun.configuration.state import ConfigurationState
from martenrun.errors import InvalidKeyError, InvalidObjectError
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate


def tenant(revision, weight):
    document = b'{"weight": %d}' % weight
    return ConfigurationObject("tenants", "t", revision, False, document)


def test_late_and_repeated_updates_never_bring_back_an_older_version():
    state = ConfigurationState()
    newer = ConfigurationUpdate(0, 5, [tenant(5, weight=5)])
    older = ConfigurationUpdate(0, 3, [tenant(3, weight=3)])
    for update in (newer, older, newer):
        state.apply(update)
    assert (state.revision, state.view.tenant("t").weight) == (5, 5)


def test_an_update_with_a_gap_is_not_applied():
    state = ConfigurationState()
    assert not state.apply(ConfigurationUpdate(4, 5, [tenant(5, weight=5)]))
    assert state.revision == 0


def test_what_a_peer_passes_on_equals_what_it_has():
    state, copy = ConfigurationState(), ConfigurationState()
    state.apply(ConfigurationUpdate(0, 5, [tenant(5, weight=5)]))
    copy.apply(state.update_since(0))
    assert copy.view == state.view


def test_a_process_that_has_begun_with_a_complete_copy_passes_removals_on():
    older, newer = ConfigurationState(), ConfigurationState()
    older.apply(ConfigurationUpdate(0, 3, [tenant(3, weight=3)]))
    # The tenant was removed in revision 4; a list of what exists does not tell.
    newer.apply(ConfigurationUpdate(0, 5, [], complete=True))
    older.apply(newer.update_since(older.revision))
    assert older.revision == 5
    assert older.view == newer.view


def test_every_faulty_field_is_named():
    with pytest.raises(InvalidObjectError) as caught:
        parse_document(Kind.TENANT, b'{"weight": -1, "colour": "red"}')
    assert "weight" in caught.value.message
    assert "colour" in caught.value.message


def test_two_keys_with_one_digest_end_only_when_both_are_gone():
    state = ConfigurationState()
    document = (
        b'{"tenant": "t", "key_sha256": "%s"}' % hashlib.sha256(b"token").hexdigest().encode()
    )
    keys = [
        ConfigurationObject("keys", name, 2 + n, False, document) for n, name in enumerate("ab")
    ]
    state.apply(ConfigurationUpdate(0, 3, keys))
    state.apply(ConfigurationUpdate(3, 4, [ConfigurationObject("keys", "a", 4, deleted=True)]))
    assert state.view.key_of("token").tenant == "t"
    state.apply(ConfigurationUpdate(4, 5, [ConfigurationObject("keys", "b", 5, deleted=True)]))
    with pytest.raises(InvalidKeyError):
        state.view.key_of("token")
