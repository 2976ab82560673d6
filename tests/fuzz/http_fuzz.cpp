// Fuzz target of the HTTP gateway: arbitrary bytes from a client, a node or discovery. Nothing
// may crash, every request is answered at most once and completes in time, and the bytes sent on
// any connection stay bounded. Built with libFuzzer, or run over a fixed set of inputs.
#include <cstdint>
#include <cstdlib>

#include "../http_gateway/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    using namespace knotvane;
    using namespace knotvane::http_gateway;
    if (size < 2)
        return 0;
    std::size_t piece_size = 1 + data[0];
    std::string_view input(reinterpret_cast<const char *>(data + 2), size - 2);
    TestGateway gateway;
    auto source = data[1] % 3 == 0 ? *gateway.core.client_connected(gateway.now) : ConnectionId{};
    auto good_client = gateway.connect_client(read_request("good"));
    if (data[1] % 3 == 1)
        source = gateway.connect_node();
    if (data[1] % 3 == 2)
        gateway.core.connected(gateway.now, source = gateway.transport.connection_to("d1"));
    for (std::size_t position = 0;
         position < input.size() && !gateway.transport.closed.contains(source);
         position += piece_size) {
        gateway.core.received(gateway.now, source, input.substr(position, piece_size));
        gateway.settle(ms);
    }
    gateway.settle(5 * sec);
    gateway.settle(5 * sec);
    auto &response = gateway.transport.sent[good_client];
    if (response.find("HTTP/1.1", 8) != std::string::npos)
        std::abort(); // more than one response
    if (gateway.core.request_count() != 0 || gateway.core.pool().attempts_in_flight() != 0)
        std::abort(); // a request outlived its timeout
    for (auto &[connection, bytes] : gateway.transport.sent)
        if (bytes.size() > (1 << 20))
            std::abort();
    return 0;
}
