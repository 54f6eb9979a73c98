"""The bytes of a worker's connection are divided the same way however they are cut into reads."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowfold.dataplane.answer_framing import AnswerFramer
from arrowfold.dataplane.answer_heads import AnswerFault, InvalidAnswerError, check_head
from arrowfold.dataplane.answer_protocol import AnswerProtocol
from tests.system.byte_workers import encode_answer

SEALED = b"X-Server-Seal: s1\r\n"
WHOLE = encode_answer("a1", 200, b"the body", SEALED, chunked=False)
CHUNKED = encode_answer("a1", 200, b"the body, in chunks", SEALED, chunked=True)

answers = st.builds(
    encode_answer,
    st.just("a1"),
    st.sampled_from([200, 500]),
    st.one_of(st.binary(max_size=60), st.just(b"H" * 20), st.just(b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n")),
    st.just(SEALED),
    st.booleans(),
)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Returns the bytes in pieces."""
    ends = sorted(place % (len(data) + 1) for place in places)
    return [data[start:end] for start, end in zip([0, *ends], [*ends, len(data)], strict=True)]


def feed(framer: AnswerFramer, pieces: list[bytes]) -> bytes:
    """Returns what is passed on of these reads."""
    return b"".join(framer.take(piece) for piece in pieces)


@settings(max_examples=300)
@given(answers, st.binary(max_size=30), st.lists(st.integers(0, 400), max_size=8))
def test_given_any_reads_then_the_answer_is_passed_on_and_what_follows_it_is_not(
    answer: bytes, following: bytes, places: list[int]
) -> None:
    framer = AnswerFramer()
    framer.expect_answer()
    assert feed(framer, cut(answer + following, places)) == answer
    assert framer.has_surplus == bool(following)
    assert not framer.has_trailers


@settings(max_examples=300)
@given(answers, answers, st.lists(st.integers(0, 800), max_size=8))
def test_given_two_answers_then_each_is_passed_on_when_it_is_expected(
    first: bytes, second: bytes, places: list[int]
) -> None:
    framer = AnswerFramer()
    framer.expect_answer()
    assert feed(framer, cut(first + second, places)) == first
    framer.expect_answer()
    assert framer.take(b"") == second
    assert not framer.has_surplus


# Guards against MIXED: a part of one head, and the next head, make one head that is valid HTTP.
@given(
    st.integers(1, WHOLE.index(b"\r\n\r\n") + 2),
    st.sampled_from([WHOLE, CHUNKED]),
    st.lists(st.integers(0, 400)),
)
def test_given_a_head_that_stops_before_the_next_then_nothing_is_passed_on(
    stops_after: int, following: bytes, places: list[int]
) -> None:
    framer = AnswerFramer()
    framer.expect_answer()
    with pytest.raises(InvalidAnswerError):
        feed(framer, cut(WHOLE[:stops_after] + following, places))


# Guards against MIXED: the rest of a body is taken from the answer that follows.
def test_given_a_body_that_stops_before_the_next_answer_then_it_is_rejected() -> None:
    for stops_after in range(WHOLE.index(b"\r\n\r\n") + 4, len(WHOLE)):
        framer = AnswerFramer()
        framer.expect_answer()
        with pytest.raises(InvalidAnswerError):
            framer.take(WHOLE[:stops_after] + WHOLE)


# Guards against MIXED: after bytes that are no head, a second answer is read as the first.
def test_given_an_invalid_head_then_no_answer_after_it_is_read() -> None:
    async def scenario() -> None:
        protocol = AnswerProtocol(asyncio.get_running_loop())
        faults: list[AnswerFault] = []
        protocol.on_invalid_answer = faults.append
        protocol.set_response_params()
        protocol.expect_answer()
        protocol.data_received(b"HTTP/1.1 OK 200\r\n\r\n")
        protocol.data_received(WHOLE)
        with pytest.raises(InvalidAnswerError):
            await protocol.read()
        assert faults == [AnswerFault.MALFORMED_HEAD]

    asyncio.run(scenario())


@given(st.binary(min_size=1, max_size=50))
def test_given_bytes_while_no_answer_is_expected_then_none_is_passed_on(noise: bytes) -> None:
    framer = AnswerFramer()
    assert framer.take(noise) == b""
    assert framer.has_surplus


@given(st.binary(max_size=200))
def test_given_arbitrary_bytes_for_a_head_then_they_are_checked_or_rejected(noise: bytes) -> None:
    framer = AnswerFramer()
    framer.expect_answer()
    try:
        passed = framer.take(noise)
    except InvalidAnswerError:
        return
    assert passed == b"" and b"HTTP/1.".startswith(noise[:7])


HEADS = {
    b"HTTP/1.1 200 OK\r\nX-A: bHTTP/1.1 500 X\r\n\r\n": AnswerFault.SECOND_STATUS_LINE,
    b"HTTP/1.1 200 HTTP/1.1 500 X\r\n\r\n": AnswerFault.SECOND_STATUS_LINE,
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nx-attempt-id: a\r\n\r\n": AnswerFault.REPEATED_HEADER,
    b"HTTP/1.1 200 OK\r\nX-Server-Seal: a\r\nX-Server-Seal: b\r\n\r\n": AnswerFault.REPEATED_HEADER,
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n": AnswerFault.REPEATED_HEADER,
    b"HTTP/1.1 200\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": AnswerFault.AMBIGUOUS_LENGTH,
    b"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n": AnswerFault.AMBIGUOUS_LENGTH,
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n": AnswerFault.AMBIGUOUS_LENGTH,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n": AnswerFault.AMBIGUOUS_LENGTH,
    b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n": AnswerFault.MALFORMED_HEAD,
    b"HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\n\r\n": AnswerFault.MALFORMED_HEAD,
    b"HTTP/1.1 200 OK\r\nX-A: b\nX-B: c\r\n\r\n": AnswerFault.MALFORMED_HEAD,
    b"HTTP/1.1 200 OK\r\nX-A: b\0\r\n\r\n": AnswerFault.MALFORMED_HEAD,
    b"HTTP/1.1 OK 200\r\n\r\n": AnswerFault.MALFORMED_HEAD,
    b"\r\nHTTP/1.1 200 OK\r\n\r\n": AnswerFault.SECOND_STATUS_LINE,
}


@pytest.mark.parametrize("head", HEADS)
def test_given_a_head_that_is_not_one_alone_then_it_is_rejected(head: bytes) -> None:
    with pytest.raises(InvalidAnswerError) as raised:
        check_head(head)
    assert raised.value.fault is HEADS[head]


def test_given_ordinary_headers_then_the_head_is_accepted() -> None:
    head = check_head(
        b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway\r\nServer: SimpleHTTP/0.6\r\nSet-Cookie: a\r\n"
        b"Set-Cookie: b\r\nX-Empty:\r\ncontent-length:  12 \r\n\r\n"
    )
    assert (head.is_interim, head.is_chunked, head.length) == (False, False, 12)
