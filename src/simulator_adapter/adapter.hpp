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

#include "scheduler_setup/record_reader.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::simulator_adapter {

class Host {
public:
    Host();
    ~Host();
    // One frame in, header included; its reply out. Throws scheduler_setup::Malformed on what the
    // wire does not allow.
    std::string reply_to(std::string_view frame);

private:
    struct Instance;

    void census(scheduler_setup::Reader in);
    void event(std::uint16_t code, scheduler_setup::Reader in);
    void boot(scheduler_setup::Reader &in);
    void membership(Scheduler &to, scheduler_setup::Reader &in);
    Instance &instance();

    Time now_ = 0;
    std::optional<std::uint32_t> target_;
    std::vector<std::uint32_t> touched_;
    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
    std::array<std::optional<std::vector<Endpoint>>, 16> census_;
};

} // namespace knotvane::simulator_adapter
