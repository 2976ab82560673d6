#include "loop/address.hpp"

#include <stdexcept>

#include <uv.h>

namespace knotvane::loop {

sockaddr_in parse_address(const std::string &address) {
    auto colon = address.rfind(':');
    sockaddr_in out{};
    int port = -1;
    if (colon != std::string::npos && colon + 1 < address.size() && address.size() - colon <= 6 &&
        address.find_first_not_of("0123456789", colon + 1) == std::string::npos)
        port = std::stoi(address.substr(colon + 1));
    if (port < 0 || port > 65535 || uv_ip4_addr(address.substr(0, colon).c_str(), port, &out) != 0)
        throw std::runtime_error("address '" + address +
                                 "': expected an IPv4 address and a port, such as 127.0.0.1:10809");
    return out;
}

} // namespace knotvane::loop
