// The drill's wire: odd but legal input works, malformed input is told and refused.
#include <cstring>
#include <doctest/doctest.h>

#include "scheduler_setup/options.hpp"
#include "scheduler_setup/record_writer.hpp"
#include "simulator_adapter/adapter.hpp"

using namespace knotvane;
using scheduler_setup::Malformed;
using scheduler_setup::Record;

namespace {

std::string frame(const std::string &records, double clock = 1) {
    std::string f(4, '\0');
    f.append(reinterpret_cast<const char *>(&clock), 8);
    f += records;
    auto n = static_cast<std::uint32_t>(f.size());
    std::memcpy(f.data(), &n, 4);
    return f;
}

std::string boot(std::uint32_t instance,
                 const std::string &settings = "Balancers=1\nClasses.count=0\n") {
    std::string r;
    Record(r, 267).put(instance);
    Record boot(r, 256);
    boot.put(std::uint64_t{3}).put(static_cast<std::uint32_t>(settings.size()));
    r += settings;
    return r;
}

std::string killed() {
    std::string r;
    Record(r, 265);
    return r;
}

} // namespace

TEST_CASE("an empty batch gets an empty reply") {
    simulator_adapter::Host host;
    CHECK(host.reply_to(frame("")) == std::string("\4\0\0\0", 4));
}

TEST_CASE("killed and booted again within one batch") {
    simulator_adapter::Host host;
    host.reply_to(frame(boot(3)));
    std::string r;
    Record(r, 267).put(std::uint32_t{3});
    CHECK_NOTHROW(host.reply_to(frame(r + killed() + boot(3))));
    CHECK_NOTHROW(host.reply_to(frame(boot(3) + killed())));
    CHECK_THROWS_AS(host.reply_to(frame(r + killed())), Malformed);
}

TEST_CASE("an unknown record and an unknown setting are skipped") {
    simulator_adapter::Host host;
    std::string r = boot(1, "Novel.Thing=seven\nBalancers=2\n");
    Record(r, 999).put(std::uint64_t{1});
    CHECK_NOTHROW(host.reply_to(frame(r)));
}

TEST_CASE("outcomes and withdrawals of unknown tasks are skipped, absent fields read as zero") {
    simulator_adapter::Host host;
    std::string r = boot(1);
    {
        Record out(r, 260);
        out.put(std::uint64_t{9}).put(std::uint8_t{0}).address(77).put(std::uint16_t{0});
    }
    Record(r, 261).put(std::uint64_t{9});
    CHECK_NOTHROW(host.reply_to(frame(r)));
}

TEST_CASE("malformed input") {
    simulator_adapter::Host host;
    std::string never_booted, cut, no_target;
    Record(never_booted, 267).put(std::uint32_t{4});
    Record(never_booted, 262).put(std::uint32_t{0});
    Record(no_target, 262).put(std::uint32_t{0});
    cut = boot(1);
    cut.resize(cut.size() - 1);
    CHECK_THROWS_AS(host.reply_to(frame(never_booted)), Malformed);
    CHECK_THROWS_AS(host.reply_to(frame(no_target)), Malformed);
    CHECK_THROWS_AS(host.reply_to(frame(cut)), Malformed);
    CHECK_THROWS_AS(host.reply_to(frame(boot(1, "StepS=fast\n"))), Malformed);
    CHECK_THROWS_AS(host.reply_to(frame(boot(1, "no equals sign\n"))), Malformed);
}

TEST_CASE("seconds become whole nanoseconds at the microsecond") {
    CHECK(scheduler_setup::Reader::to_time(9.563867, "t") == 9'563'867 * us);
    CHECK_THROWS_AS(scheduler_setup::Reader::to_time(std::nan(""), "t"), Malformed);
}
