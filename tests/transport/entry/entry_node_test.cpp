#include "transport/entry/entry_node.hpp"

#include <catch2/catch.hpp>

using namespace auburnchute;

// Found on jheelpath-rink-grown, trouble-1: with 88 VMs a message comes every 0.7 s, and a silence of 1 s
// took peers that live for gone: callers got no address, rates shrank, and everyone read the lease from the
// store.
TEST_CASE("a peer is not given up before three of its messages are missing", "[peers]")
{
    for (std::size_t const peers : {0U, 1U, 8U, 30U, 87U, 299U, 1'199U}) {
        CAPTURE(peers);
        CHECK(peer_silence(peers) >= message_rhythm(peers) * 3);
        CHECK(peer_silence(peers) >= millis{1'000});
    }
    CHECK(message_rhythm(8) < millis{250});
}
