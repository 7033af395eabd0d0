"""Tests of the encoding of messages and of the table of error kinds."""

import msgspec
import pytest

from auburnrock import errors
from auburnrock import messages


def test_every_error_kind_has_an_answer():
    assert set(errors.ANSWERS) == set(errors.ErrorKind)


def test_a_renewal_fits_in_forty_bytes():
    renewal = messages.Renew(2**62, 2**62, 2**24, 2**31)
    assert len(messages.encode(renewal)) <= 40


@pytest.mark.parametrize("garbage", [b"", b"\x00", b"\xff" * 9, b"\x91\x01"])
def test_garbage_is_a_decode_error(garbage):
    with pytest.raises(msgspec.DecodeError):
        messages.decode_datagram(garbage)
    with pytest.raises(msgspec.DecodeError):
        messages.decode_frame(garbage)


def test_a_datagram_decodes_to_what_was_encoded():
    answer = messages.RenewAnswer(1, 2, 3, True, 4)
    assert messages.decode_datagram(messages.encode(answer)) == answer
