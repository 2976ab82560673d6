/// \file
/// The configuration that the platform gives a gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler_setup/options.hpp"

namespace knotvane::http_gateway {

/// A configuration (JSON), checked when it is read.
class Config {
public:
    /// @param text JSON.
    /// @throws scheduler_setup::MalformedInput, saying which field and what was expected.
    explicit Config(std::string_view text);
    ~Config();
    Config(const Config &) = delete;
    Config &operator=(const Config &) = delete;
    Config(Config &&) noexcept;
    Config &operator=(Config &&) noexcept;

    /// This gateway's name.
    std::string name() const;
    /// Where to listen, "host:port".
    std::string listen_address() const;
    /// Where discovery is, "host:port".
    std::string discovery_address() const;
    std::uint64_t seed() const;
    /// Descriptors that the process may hold.
    std::size_t max_sockets() const;
    /// The endpoint list as it was last had, in discovery's form; empty for none.
    std::string known_endpoints() const;
    /// The settings, at the paths of the simulator's boot record.
    scheduler_setup::Options settings() const;
    /// Returns the names of a list of the settings, in the order of their ids: of its objects, or
    /// its texts themselves.
    /// @throws scheduler_setup::MalformedInput if there is no such list or an entry has no name.
    std::vector<std::string> names(const std::string &list) const;

private:
    struct Document;
    std::unique_ptr<Document> document_;
};

} // namespace knotvane::http_gateway
