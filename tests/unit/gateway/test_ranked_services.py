import pytest

from hemlocktiller._internal.gateway import model
from hemlocktiller._internal.policy import fleet


@pytest.mark.parametrize(
    ("priorities", "expected"),
    [((1, 1), frozenset()), ((0, 2), frozenset({"model"}))],
)
def test_a_service_is_ranked_if_its_routes_differ_in_priority(
    stream_route, priorities, expected
):
    routes = tuple(
        stream_route._replace(path_prefix=f"/{number}/", priority=priority)
        for number, priority in enumerate(priorities)
    )
    catalog = model.Catalog(1, {"drafts.example": routes}, {}, None, None)
    assert model.ranked_services(catalog) == expected


@pytest.mark.parametrize(
    ("workspace_priorities", "ranks"),
    [
        ((1, 1), (0, 1, 0, 1)),
        ((0, 1), (0, 1, 2, 3)),
        ((None, 1), (0, 3, 1, 2)),
    ],
)
def test_a_workspaces_class_goes_first_and_the_routes_decides_inside_it(
    stream_route, workspace_priorities, ranks
):
    routes = tuple(
        stream_route._replace(path_prefix=f"/{priority}/", priority=priority)
        for priority in (0, 2)
    )
    workspaces = {
        f"key{number}": model.Workspace(f"w{number}", priority)
        for number, priority in enumerate(workspace_priorities)
    }
    catalog = model.Catalog(
        1, {"drafts.example": routes}, {}, workspaces, None
    )
    order = model.class_orders(catalog)["model"]
    assert ranks == tuple(
        model.rank_in(order, route, workspace)
        for workspace in workspaces.values()
        for route in routes
    )


@pytest.mark.parametrize(
    ("slowest", "is_uneven"), [(13.9, False), (14.0, True)]
)
def test_an_engine_is_uneven_from_a_tenfold_decode_time(
    engine, slowest, is_uneven
):
    accelerators = {
        "fast": fleet.Accelerator("fast", 72_000.0, 1.4, 1.0),
        "slow": fleet.Accelerator("slow", 14_400.0, slowest, 15.0),
    }
    uneven = engine._replace(accelerators=accelerators)
    assert fleet.is_uneven(uneven) == is_uneven


def test_a_service_without_an_engine_is_not_uneven():
    assert not fleet.is_uneven(None)
