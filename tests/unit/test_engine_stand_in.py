from twisted.internet import task

from tests.fakes import engine


def test_a_long_prompt_is_counted_once_and_then_found_in_the_cache():
    options = engine.parse([])
    stand_in = engine.Engine(options, task.Clock())
    prompt = " ".join(f"word{number}" for number in range(40))
    assert stand_in._uncached_words(prompt) == 40
    assert stand_in._uncached_words(prompt) == 40 % engine.BLOCK_WORDS
