from hemlocktiller._internal.control import placement


def placed(name, first_layer, end_layer, requests=0):
    return placement.LoadedTarget(
        name, first_layer, end_layer, 8, "a", requests
    )


KNOWN = [(0, 4), (4, 8)]


def test_a_whole_model_needs_no_move():
    live = [placed("a", 0, 4), placed("b", 4, 8)]
    assert placement.choose_move(live, KNOWN) is None


def test_a_lost_range_takes_the_idlest_target_of_the_richest_one():
    live = [placed("a", 0, 4, 3), placed("b", 0, 4, 1), placed("c", 0, 4, 2)]
    move = placement.choose_move(live, KNOWN)
    assert (move.target, move.first_layer, move.end_layer) == ("b", 4, 8)
    assert "layers 4 to 8 have no live target" in move.reason


def test_the_last_target_of_a_range_is_never_taken():
    assert placement.choose_move([placed("a", 0, 4)], KNOWN) is None


def test_nothing_live_gives_nothing_to_move():
    assert placement.choose_move([], KNOWN) is None
