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
    std::vector<std::string> talks = {
        edge_hello(EdgeId{1}, "e", Term{1}, 11, 5, Version{1}, {NodeId{1}}, {VolumeId{7}}) +
            renew(5, Term{1}, Version{1}) + serve(VolumeId{7}, true) + witness(NodeId{2}, false) +
            ask(),
        node_hello(NodeId{1}, ShardId{0}, ZoneId{0}, "n", 4, sec) + node_renew(),
        ask_drain(NodeId{1}, true, 2) + ask_status(),
        begins(Term{2}, 1, 1, Version{4}, Version{0}, 9) +
            put(PlanId{0}, control::Plan{"p", 1, 1, 0, 1, 5, 5}) +
            put(VolumeId{7}, control::Volume{"v", 4096, 512, PlanId{0}}) +
            put(NodeId{1}, control::Node{"a", ShardId{0}, ZoneId{0}, NodeState::ready, 3, 4}) +
            put(VolumeId{7}, QuotaShare{500000, 2}) + ends(Version{4}, 4) +
            renewed(1, Term{2}, sec, sec, Version{1}),
        edge_hello(EdgeId{1}, "e", Term{9}, 11, 5, Version{1}, {}, {}) + superseded(Term{3}),
        ask_cut(0, "v", "a", "") + ask_cut(2, "v@a", "c", "p") + ask_cut(3, "v", "v", "") +
            ask_cut(1, "v@a", "", ""),
        node_hello(NodeId{1}, ShardId{0}, ZoneId{0}, "n", 4, sec) +
            tell_cut(first, SnapshotStep::opened, 0) + tell_cut(first, SnapshotStep::sealed, 4) +
            tell_diff(1, {0, 4096, 8192, 512}, true),
        edge_hello(EdgeId{1}, "e", Term{1}, 11, 5, Version{1}, {}, {}) +
            tell_cut(first, SnapshotStep::ready, 0, EdgeIncarnation{3}) +
            tell_cut(first, SnapshotStep::moved, 0, EdgeIncarnation{3}) +
            tell_cut(first, SnapshotStep::lapsed, 0, EdgeIncarnation{3}),
        cut_hold(VolumeId{7}, first, 3, sec) + cut_go(VolumeId{7}, first, 3) +
            cut_release(VolumeId{7}, first)};
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
