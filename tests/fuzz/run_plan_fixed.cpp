// Runs the planner's fuzz target over a fixed, seeded set: real conversations with bytes changed,
// cut and repeated, their checksums put right again half of the time so that what is inside is
// read, too.
#include <cstdio>
#include <cstring>
#include <random>

#include "../planner/helpers.hpp"
#include "node_protocol/crc.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main() {
    using namespace knotvane;
    using namespace knotvane::control;
    // The id that the first cut of a planner's first life has.
    constexpr VolumeId first{std::uint64_t{1} << 63 | std::uint64_t{1} << 40 | 1};
    EdgeHello hello;
    hello.edge = EdgeId{1};
    hello.listen_address = "e";
    hello.term = Term{1};
    hello.instance = 11;
    hello.lineage = 5;
    hello.version = Version{1};
    auto serving_hello = hello;
    serving_hello.draining = {NodeId{1}};
    serving_hello.serving = {VolumeId{7}};
    auto newer_hello = hello;
    newer_hello.term = Term{9};
    NodeHello node_hello;
    node_hello.node = NodeId{1};
    node_hello.address = "n";
    node_hello.incarnation = 4;
    node_hello.age = sec;
    using Operation = SnapshotOperation;
    constexpr auto done = SnapshotResult::done;
    std::vector<std::string> talks = {
        encode(serving_hello) + encode(LeaseRenewal{5, Term{1}, Version{1}}) +
            encode(VolumeServed{VolumeId{7}, true}) + encode(ReachabilityReport{NodeId{2}, false}) +
            encode(FullStateRequest{}),
        encode(node_hello) + encode(NodeRenewal{}),
        encode(DrainRequest{NodeId{1}, true, DrainMode::force}) + encode(StatusRequest{}),
        encode(UpdateBegin{Term{2}, 1, 1, Version{4}, Version{0}, 9}) +
            encode(PlanUpdate{PlanId{0}, control::Plan{"p", 1, 1, 0, 1, 5, 5}}) +
            encode(VolumeUpdate{VolumeId{7}, control::Volume{"v", 4096, 512, PlanId{0}}}) +
            encode(NodeUpdate{NodeId{1},
                              control::Node{"a", ShardId{0}, ZoneId{0}, NodeState::ready, 3, 4}}) +
            encode(QuotaShareUpdate{VolumeId{7}, QuotaShare{500000, 2}}) +
            encode(UpdateEnd{Version{4}, 4}) +
            encode(LeaseRenewed{1, Term{2}, sec, sec, Version{1}}),
        encode(newer_hello) + encode(Superseded{Term{3}}),
        encode(SnapshotRequest{Operation::take, "v", "a", ""}) +
            encode(SnapshotRequest{Operation::clone, "v@a", "c", "p"}) +
            encode(SnapshotRequest{Operation::compare, "v", "v", ""}) +
            encode(SnapshotRequest{Operation::drop, "v@a", "", ""}),
        encode(node_hello) + encode(SnapshotStepReport{first, SnapshotStep::opened, done, {}}) +
            encode(SnapshotStepReport{first, SnapshotStep::sealed, SnapshotResult::failed, {}}) +
            encode(DiffReport{1, {{0, 4096}, {8192, 512}}, true}),
        encode(hello) +
            encode(SnapshotStepReport{first, SnapshotStep::ready, done, EdgeIncarnation{3}}) +
            encode(SnapshotStepReport{first, SnapshotStep::moved, done, EdgeIncarnation{3}}) +
            encode(SnapshotStepReport{first, SnapshotStep::lapsed, done, EdgeIncarnation{3}}),
        encode(SnapshotHold{VolumeId{7}, first, 3, sec}) +
            encode(SnapshotResume{VolumeId{7}, first, 3}) +
            encode(SnapshotRelease{VolumeId{7}, first})};
    std::ranlux24_base chance(1);
    int runs = 4000;
    for (int i = 0; i < runs; ++i) {
        auto s = talks[chance() % talks.size()];
        for (auto n = chance() % 6; n > 0; --n)
            s[chance() % s.size()] = static_cast<char>(chance());
        if (chance() % 2 == 0) {
            for (std::size_t at = 0; at + 8 <= s.size();) {
                std::uint32_t front[2];
                std::memcpy(front, s.data() + at, sizeof front);
                if (front[0] > s.size() - at - 8)
                    break;
                front[1] = crc32c(std::string_view(s).substr(at + 8, front[0]));
                std::memcpy(s.data() + at, front, sizeof front);
                at += 8 + front[0];
            }
        }
        if (chance() % 4 == 0)
            s.resize(1 + chance() % s.size());
        if (chance() % 4 == 0)
            s += s.substr(chance() % s.size());
        s.insert(0, 1, static_cast<char>(chance()));
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(s.data()), s.size());
    }
    std::printf("%d passed, 0 failed\n", runs);
}
