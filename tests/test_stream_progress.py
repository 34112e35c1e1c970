"""What the caller has of a stream, so that another engine can go on."""

import msgspec
import pytest

from martenrun.backends.stream_progress import ResumeFields, StreamProgress


def event(text="", finish=None, **choice):
    choices = [{"index": 0, "text": text, "finish_reason": finish, **choice}]
    return b"data: " + msgspec.json.encode({"choices": choices}) + b"\n\n"


def test_tokens_are_counted_and_a_second_finish_is_held_back():
    progress = StreamProgress()
    assert progress.resume_fields() is None
    assert progress.take(event("one "))
    assert progress.take(event("two "))
    assert progress.take(event(finish="length"))
    assert not progress.take(event(finish="length"))
    assert progress.resume_fields() == ResumeFields(2, "one two ")
    assert progress.can_resume


@pytest.mark.parametrize(
    "piece",
    [b"data: not json\n\n", event("x", index=1), event("", delta={"tool_calls": []})],
    ids=["not-json", "second-choice", "tool-call"],
)
def test_other_output_cannot_be_resumed(piece):
    progress = StreamProgress()
    assert progress.take(piece)
    assert not progress.can_resume
