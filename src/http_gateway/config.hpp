/// \file
/// The JSON configuration that the platform gives to a gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler_setup/options.hpp"

namespace knotvane::http_gateway {

/// A parsed configuration. The constructor checks that all required fields are present and valid.
class Config {
public:
    /// @param text the configuration as JSON.
    /// @throws scheduler_setup::MalformedInput if a field is missing or invalid; the message names
    /// the field and what was expected.
    explicit Config(std::string_view text);
    ~Config();
    Config(const Config &) = delete;
    Config &operator=(const Config &) = delete;
    Config(Config &&) noexcept;
    Config &operator=(Config &&) noexcept;

    /// This gateway's name. Throws MalformedInput if the configuration has none: the constructor
    /// doesn't check it.
    std::string name() const;
    /// The address to listen on, "host:port".
    std::string listen_address() const;
    /// The address of discovery, "host:port".
    std::string discovery_address() const;
    /// Seed of the gateway's random choices.
    std::uint64_t seed() const;
    /// The most descriptors that the process may have open.
    std::size_t max_sockets() const;
    /// The memory in bytes over which the process is ended; that of the platform's smallest host if
    /// the configuration names none.
    std::size_t max_memory() const;
    /// The endpoint list that was last known, as JSON in discovery's format; empty if there is
    /// none.
    std::string known_endpoints() const;
    /// The settings, by the paths that they have in the simulator's boot record.
    scheduler_setup::Options settings() const;
    /// Returns the names in a list of the settings, in the order of their ids. An entry is a text,
    /// which is the name itself, or an object with the name in its field Name.
    /// @param list the list's name in the settings, such as "Classes".
    /// @throws scheduler_setup::MalformedInput if there is no such list or an entry has no name.
    std::vector<std::string> names(const std::string &list) const;

private:
    struct Document;
    std::unique_ptr<Document> document_;
};

} // namespace knotvane::http_gateway
