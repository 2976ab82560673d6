// Shared by the gateway's tests: a fleet on loopback with a temporary folder, and a libnbd client.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

#include <libnbd.h>

#include "fleet/fleet.hpp"

namespace knotvane {

struct Gateway {
    std::string dir;
    std::unique_ptr<fleet::Fleet> fleet;
    explicit Gateway(std::uint64_t nodes = 3, std::uint64_t edges = 1,
                     const std::string &scheduling = fleet::default_scheduling(),
                     const std::string &service = fleet::default_service()) {
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-test-XXXXXX").string();
        dir = mkdtemp(pattern.data());
        fleet = std::make_unique<fleet::Fleet>(
            dir, nodes, edges, 0, scheduling, service,
            [](SchedulerActions &a, std::uint64_t s) { return make_scheduler(a, s); });
        fleet->start();
    }
    ~Gateway() {
        fleet.reset();
        std::filesystem::remove_all(dir);
    }
    std::string uri(const std::string &volume, std::size_t edge = 0) const {
        return "nbd://" + fleet->edge_address(edge) + "/" + volume;
    }
};

// A libnbd handle, connected if it was given a URI. `write` returns 0 or the errno value; `read`
// returns the data or the text "error ERRNO".
struct Client {
    nbd_handle *h = nbd_create();
    Client() = default;
    explicit Client(const std::string &uri) { nbd_connect_uri(h, uri.c_str()); }
    ~Client() { nbd_close(h); }
    Client(const Client &) = delete;
    std::string read(std::uint64_t offset, std::size_t n) {
        std::string out(n, '\0');
        return nbd_pread(h, out.data(), n, offset, 0) == 0
                   ? out
                   : "error " + std::to_string(nbd_get_errno());
    }
    int write(std::uint64_t offset, const std::string &data, std::uint32_t flags = 0) {
        return nbd_pwrite(h, data.data(), data.size(), offset, flags) == 0 ? 0 : nbd_get_errno();
    }
};

} // namespace knotvane
