// Hosts any number of schedulers behind the drill's wire. It decides nothing: a decoded field goes
// straight into a call, and a call goes straight out as a record.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy.hpp"
#include "wire/reader.hpp"

namespace knotvane::drill {

class Host {
public:
    Host();
    ~Host();
    // One frame in, header included; its reply out. Throws wire::Malformed on what the wire does
    // not allow.
    std::string reply_to(std::string_view frame);

private:
    struct Instance;
    struct Entry {
        NodeId node;
        ShardId shard;
        ZoneId zone;
        std::uint8_t state;
        Time started;
    };

    void census(wire::Reader in);
    void event(std::uint16_t code, wire::Reader in);
    void boot(wire::Reader &in);
    void membership(Scheduler &to, wire::Reader &in);
    Instance &instance();

    Time now_ = 0;
    std::optional<std::uint32_t> target_;
    std::vector<std::uint32_t> touched_;
    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
    std::array<std::optional<std::vector<Entry>>, 16> census_;
};

} // namespace knotvane::drill
