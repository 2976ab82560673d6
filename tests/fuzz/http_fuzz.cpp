// Any bytes from clients, nodes and discovery: nothing crashes, bounds hold, every request taken is
// answered once at most, and a client gets only what a node's whole answer held. Built with
// libFuzzer, or run over a fixed set of inputs.
#include <cstdint>
#include <cstdlib>

#include "../http_gateway/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    using namespace knotvane;
    using namespace knotvane::http_gateway;
    if (size < 2)
        return 0;
    std::size_t piece = 1 + data[0];
    std::string_view in(reinterpret_cast<const char *>(data + 2), size - 2);
    TestGateway gateway;
    auto from = data[1] % 3 == 0 ? *gateway.core.client_connected(gateway.now) : ConnectionId{};
    auto asked = gateway.connect_client(read_request("good"));
    if (data[1] % 3 == 1)
        from = gateway.connect_node();
    if (data[1] % 3 == 2)
        gateway.core.connected(gateway.now, from = gateway.transport.connection_to("d1"));
    for (std::size_t at = 0; at < in.size() && !gateway.transport.closed.contains(from);
         at += piece) {
        gateway.core.received(gateway.now, from, in.substr(at, piece));
        gateway.settle(ms);
    }
    gateway.settle(5 * sec);
    gateway.settle(5 * sec);
    auto &got = gateway.transport.sent[asked];
    if (got.find("HTTP/1.1", 8) != std::string::npos)
        std::abort(); // one answer
    if (gateway.core.request_count() != 0 || gateway.core.pool().attempts_in_flight() != 0)
        std::abort(); // nothing held past its time
    for (auto &[conn, n] : gateway.transport.sent)
        if (n.size() > (1 << 20))
            std::abort();
    return 0;
}
