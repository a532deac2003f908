from hemlocktiller._internal.control import placement


def make_placed(name, first_layer, end_layer, requests=0):
    return placement.LoadedTarget(
        name, first_layer, end_layer, 8, "a", requests
    )


LAYER_RANGES = [(0, 4), (4, 8)]


def test_model_with_all_ranges_live_needs_no_move():
    live = [make_placed("a", 0, 4), make_placed("b", 4, 8)]
    assert placement.choose_move(live, LAYER_RANGES) is None


def test_lost_range_gets_the_least_loaded_target_of_the_largest_group():
    live = [
        make_placed("a", 0, 4, 3),
        make_placed("b", 0, 4, 1),
        make_placed("c", 0, 4, 2),
    ]
    move = placement.choose_move(live, LAYER_RANGES)
    assert (move.target, move.first_layer, move.end_layer) == ("b", 4, 8)
    assert "layers 4 to 8 have no live target" in move.reason


def test_last_target_of_a_range_is_never_moved():
    assert (
        placement.choose_move([make_placed("a", 0, 4)], LAYER_RANGES) is None
    )


def test_no_live_targets_give_no_move():
    assert placement.choose_move([], LAYER_RANGES) is None
