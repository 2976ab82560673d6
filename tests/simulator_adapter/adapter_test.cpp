// Tests of the simulator's wire protocol: unusual but valid input is handled, malformed input is
// refused with an error.
#include <cstring>

#include <doctest/doctest.h>

#include "scheduler_setup/input_validation.hpp"
#include "simulator_adapter/adapter.hpp"
#include "simulator_adapter/record_writer.hpp"
#include "simulator_adapter/records.hpp"

using namespace knotvane;
using scheduler_setup::MalformedInput;
using simulator_adapter::InputRecord;
using simulator_adapter::RecordWriter;
using simulator_adapter::SimulatorAdapter;

namespace {

std::string make_frame(const std::string &records, double clock = 1) {
    std::string frame(4, '\0');
    frame.append(reinterpret_cast<const char *>(&clock), sizeof clock);
    frame += records;
    auto length = static_cast<std::uint32_t>(frame.size());
    std::memcpy(frame.data(), &length, sizeof length);
    return frame;
}

std::string target_record(std::uint32_t instance) {
    std::string records;
    RecordWriter(records, InputRecord::target_instance).put(instance);
    return records;
}

/// Records that name the instance as target and start it.
std::string start_records(std::uint32_t instance,
                          const std::string &settings = "Balancers=1\nClasses.count=0\n") {
    std::string records = target_record(instance);
    RecordWriter record(records, InputRecord::start);
    record.put(std::uint64_t{3}).put(static_cast<std::uint32_t>(settings.size()));
    records += settings;
    return records;
}

std::string empty_record(InputRecord code) {
    std::string records;
    { RecordWriter record(records, code); }
    return records;
}

std::string kill_record() {
    return empty_record(InputRecord::kill);
}

std::string timer_expired_record() {
    std::string records;
    RecordWriter(records, InputRecord::timer_expired).put(std::uint32_t{0});
    return records;
}

} // namespace

TEST_CASE("an empty frame gets an empty reply") {
    SimulatorAdapter adapter;
    CHECK(adapter.handle_frame(make_frame("")) == std::string("\4\0\0\0", 4));
}

TEST_CASE("an instance is killed and started again within one frame") {
    SimulatorAdapter adapter;
    adapter.handle_frame(make_frame(start_records(3)));
    CHECK_NOTHROW(
        adapter.handle_frame(make_frame(target_record(3) + kill_record() + start_records(3))));
    CHECK_NOTHROW(adapter.handle_frame(make_frame(start_records(3) + kill_record())));
    CHECK_THROWS_AS(adapter.handle_frame(make_frame(target_record(3) + kill_record())),
                    MalformedInput);
}

TEST_CASE("unknown records and unknown settings are ignored") {
    SimulatorAdapter adapter;
    std::string records = start_records(1, "Novel.Thing=seven\nBalancers=2\n");
    RecordWriter(records, 999).put(std::uint64_t{1});
    CHECK_NOTHROW(adapter.handle_frame(make_frame(records)));
}

TEST_CASE("results and cancellations of unknown requests are ignored, and fields may be absent") {
    SimulatorAdapter adapter;
    std::string records = start_records(1);
    RecordWriter(records, InputRecord::attempt_completed)
        .put(std::uint64_t{9})
        .put(std::uint8_t{0})
        .address(77)
        .put(std::uint16_t{0});
    RecordWriter(records, InputRecord::request_canceled).put(std::uint64_t{9});
    CHECK_NOTHROW(adapter.handle_frame(make_frame(records)));
}

TEST_CASE("malformed input is refused") {
    SimulatorAdapter adapter;
    std::string truncated = start_records(1);
    truncated.resize(truncated.size() - 1);
    for (const auto &records :
         {target_record(4) + timer_expired_record(), // the instance was never started
          timer_expired_record(),                    // no instance is named
          truncated, start_records(1, "StepS=fast\n"), start_records(1, "no equals sign\n")})
        CHECK_THROWS_AS(adapter.handle_frame(make_frame(records)), MalformedInput);
}

// A renumbered enumerator would make the simulator and this program read each other's records as
// records of another kind.
TEST_CASE("records have the codes and the layout of the wire protocol") {
    CHECK(start_records(3).substr(0, 10) == std::string("\x0b\x01\4\0\0\0\3\0\0\0", 10));
    CHECK(start_records(3).substr(10, 2) == std::string("\0\x01", 2));
    CHECK(kill_record() == std::string("\x09\x01\0\0\0\0", 6));
    CHECK(timer_expired_record().substr(0, 2) == std::string("\x06\x01", 2));
    CHECK(empty_record(InputRecord::attempt_completed) == std::string("\4\x01\0\0\0\0", 6));
    CHECK(empty_record(InputRecord::request_canceled) == std::string("\5\x01\0\0\0\0", 6));
}
