"""The order in which a customer's requests prefer servers, which hashes determine."""

from __future__ import annotations

from zlib import crc32

from onyxpost.core.customer_quota import CustomerQuota
from tests.policy.gateway_host import Host


def preferred(host: Host, customer: CustomerQuota) -> list[str]:
    """Returns the ids of the ready servers in the customer's order."""
    return [server.id for server in host.gateway.selection.order.servers_for(customer)]


def test_the_order_is_fixed_by_the_hashes_of_customer_and_server() -> None:
    customer = CustomerQuota(crc32(b"c"), 0.0)
    servers = [f"s{index}" for index in range(9)]

    def rank(server: str) -> int:
        return (crc32(server.encode()) ^ crc32(b"c")) * 2654435761 % 2**32

    assert preferred(Host(servers=9), customer) == sorted(servers, key=rank)


def test_nodes_of_a_small_set_share_an_order_and_those_of_a_large_set_do_not() -> None:
    customer = CustomerQuota(crc32(b"c"), 0.0)
    small = {
        tuple(preferred(Host(servers=9, node_index=index, node_count=12), customer)) for index in range(6)
    }
    customer.coordinator = 3
    large = {
        tuple(preferred(Host(servers=9, node_index=index, node_count=12), customer)) for index in range(6)
    }
    assert len(small) == 1
    assert len(large) == 6


def test_a_change_of_endpoints_changes_the_order() -> None:
    host = Host(servers=9)
    customer = CustomerQuota(crc32(b"c"), 0.0)
    before = preferred(host, customer)
    host.update_endpoints(*(host.endpoint(index) for index in range(9) if f"s{index}" != before[0]))
    assert preferred(host, customer) == before[1:]
