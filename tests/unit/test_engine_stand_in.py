from twisted.internet import task

from tests.fakes import engine


def test_a_repeated_prompt_is_served_from_the_cache_by_whole_blocks():
    options = engine.parse([])
    fake_engine = engine.Engine(options, task.Clock())
    prompt = " ".join(f"word{number}" for number in range(40))
    assert fake_engine._uncached_words(prompt) == 40
    assert fake_engine._uncached_words(prompt) == 40 % engine.BLOCK_WORDS
