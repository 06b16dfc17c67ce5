import collections

from pimentobridge.core import fairness


def test_a_small_flow_is_not_starved_by_a_large_one():
    queue = fairness.FlowQueue(levels=2)
    for number in range(100):
        queue.push(("large", "desk"), f"large-{number}")
    queue.push(("small", "guide"), "small-0")
    first = [queue.pop(lambda _: 1.0) for _ in range(2)]
    assert "small-0" in first


def test_weights_divide_service_in_proportion():
    weights = {"a": 3.0, "b": 1.0}
    queue = fairness.FlowQueue(levels=2, weight_of=lambda key: weights[key])
    for number in range(100):
        queue.push(("a", "x"), ("a", number))
        queue.push(("b", "x"), ("b", number))
    served = collections.Counter(queue.pop(lambda _: 1.0)[0] for _ in range(80))
    assert 58 <= served["a"] <= 62


def test_an_idle_flow_earns_no_credit():
    queue = fairness.FlowQueue(levels=1)
    for number in range(50):
        queue.push(("busy",), ("busy", number))
    for _ in range(30):
        queue.pop(lambda _: 1.0)
    for number in range(20):
        queue.push(("late",), ("late", number))
    served = [queue.pop(lambda _: 1.0)[0] for _ in range(10)]
    assert 4 <= served.count("late") <= 6


def test_a_drained_queue_has_no_active_flows():
    queue = fairness.FlowQueue(levels=2)
    for number in range(1000):
        queue.push(("account", f"caller-{number}"), number)
    while len(queue):
        queue.pop(lambda _: 1.0)
    queue.push(("account", "caller-0"), 0)
    queue.pop(lambda _: 1.0)
    assert queue.active_flows() == 0
