// The configuration that the platform lays down for a scheduler (JSON), read part by part.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler_setup/options.hpp"

namespace knotvane::http_gateway {

class Config {
public:
    // Throws scheduler_setup::MalformedInput, saying which field and what was expected.
    explicit Config(std::string_view json);
    ~Config();
    Config(Config &&) noexcept;
    Config &operator=(Config &&) noexcept;

    std::string name() const;
    std::string listen() const;
    std::string discovery() const;
    std::uint64_t seed() const;
    std::size_t sockets() const;
    // The list as it was last had, in discovery's form; empty for none.
    std::string known() const;
    // The settings at the paths that the simulator's first message has.
    scheduler_setup::Options settings() const;
    // Names in the order of their ids: of the objects of a list, or of a plain list.
    std::vector<std::string> names(const std::string &list) const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace knotvane::http_gateway
