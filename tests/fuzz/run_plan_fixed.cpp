// Runs the planner's fuzz target over a fixed, seeded set of inputs: valid conversations with bytes
// changed, truncated and repeated. Half of the time the checksums are corrected afterwards, so that
// the messages' contents are decoded as well.
#include <cstdio>
#include <cstring>
#include <random>

#include "../planner/helpers.hpp"
#include "node_protocol/crc.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace {

using namespace knotvane;
using namespace knotvane::control;

EdgeHello edge_hello() {
    EdgeHello hello;
    hello.edge = EdgeId{1};
    hello.listen_address = "e";
    hello.term = Term{1};
    hello.instance = 11;
    hello.lineage = 5;
    hello.version = Version{1};
    return hello;
}

NodeHello node_hello() {
    NodeHello hello;
    hello.node = NodeId{1};
    hello.address = "n";
    hello.incarnation = 4;
    hello.age = sec;
    return hello;
}

// The messages that an edge, a node, an operator and the planner send.
std::vector<std::string> conversations() {
    auto serving_hello = edge_hello();
    serving_hello.draining_nodes = {NodeId{1}};
    serving_hello.served_volumes = {VolumeId{7}};
    auto newer_hello = edge_hello();
    newer_hello.term = Term{9};
    return {encode(serving_hello) + encode(LeaseRenewal{5, Term{1}, Version{1}}) +
                encode(VolumeServed{VolumeId{7}, true}) +
                encode(ReachabilityReport{NodeId{2}, false}) + encode(FullStateRequest{}),
            encode(node_hello()) + encode(NodeRenewal{}),
            encode(DrainRequest{NodeId{1}, true, DrainMode::force}) + encode(StatusRequest{}),
            encode(UpdateBegin{Term{2}, 1, 1, Version{4}, Version{0}, 9}) +
                encode(PlanUpdate{PlanId{0}, control::Plan{"p", 1, 1, 0, 1, 5, 5}}) +
                encode(VolumeUpdate{VolumeId{7}, control::Volume{"v", 4096, 512, PlanId{0}}}) +
                encode(NodeUpdate{
                    NodeId{1}, control::Node{"a", ShardId{0}, ZoneId{0}, NodeState::ready, 3, 4}}) +
                encode(QuotaShareUpdate{VolumeId{7}, QuotaShare{500000, 2}}) +
                encode(UpdateEnd{Version{4}, 4}) +
                encode(LeaseRenewed{1, Term{2}, sec, sec, Version{1}}),
            encode(newer_hello) + encode(Superseded{Term{3}})};
}

// The steps of snapshots and clones.
std::vector<std::string> snapshot_conversations() {
    // The id of the first snapshot in a planner's first term.
    constexpr VolumeId first{std::uint64_t{1} << 63 | std::uint64_t{1} << 40 | 1};
    using Operation = SnapshotOperation;
    constexpr auto done = SnapshotResult::done;
    return {
        encode(SnapshotRequest{Operation::take, "v", "a", ""}) +
            encode(SnapshotRequest{Operation::clone, "v@a", "c", "p"}) +
            encode(SnapshotRequest{Operation::compare, "v", "v", ""}) +
            encode(SnapshotRequest{Operation::drop, "v@a", "", ""}),
        encode(node_hello()) + encode(SnapshotStepReport{first, SnapshotStep::opened, done, {}}) +
            encode(SnapshotStepReport{first, SnapshotStep::sealed, SnapshotResult::failed, {}}) +
            encode(DiffReport{1, {{0, 4096}, {8192, 512}}, true}),
        encode(edge_hello()) +
            encode(SnapshotStepReport{first, SnapshotStep::holding, done, EdgeIncarnation{3}}) +
            encode(SnapshotStepReport{first, SnapshotStep::resumed, done, EdgeIncarnation{3}}) +
            encode(SnapshotStepReport{first, SnapshotStep::hold_expired, done, EdgeIncarnation{3}}),
        encode(SnapshotHold{VolumeId{7}, first, 3, sec}) +
            encode(SnapshotResume{VolumeId{7}, first, 3}) +
            encode(SnapshotRelease{VolumeId{7}, first})};
}

// Corrects the checksum of each complete message, so that its content is decoded.
void correct_checksums(std::string &bytes) {
    for (std::size_t at = 0; at + 8 <= bytes.size();) {
        std::uint32_t header[2]; // length and checksum
        std::memcpy(header, bytes.data() + at, sizeof header);
        if (header[0] > bytes.size() - at - 8)
            break;
        header[1] = crc32c(std::string_view(bytes).substr(at + 8, header[0]));
        std::memcpy(bytes.data() + at, header, sizeof header);
        at += 8 + header[0];
    }
}

} // namespace

int main() {
    std::vector<std::string> all_conversations = conversations();
    for (auto &conversation : snapshot_conversations())
        all_conversations.push_back(std::move(conversation));
    std::ranlux24_base random(1);
    int runs = 4000;
    for (int i = 0; i < runs; ++i) {
        auto s = all_conversations[random() % all_conversations.size()];
        for (auto n = random() % 6; n > 0; --n)
            s[random() % s.size()] = static_cast<char>(random());
        if (random() % 2 == 0)
            correct_checksums(s);
        if (random() % 4 == 0)
            s.resize(1 + random() % s.size());
        if (random() % 4 == 0)
            s += s.substr(random() % s.size());
        s.insert(0, 1, static_cast<char>(random()));
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(s.data()), s.size());
    }
    std::printf("%d passed, 0 failed\n", runs);
}
