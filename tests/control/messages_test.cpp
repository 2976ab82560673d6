// The messages of the control protocol: their bytes on the wire, and which input is rejected.
#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <string>
#include <tuple>
#include <vector>

#include "control/decode.hpp"
#include "control/encode.hpp"
#include "control/message_layout.hpp"

using namespace knotvane;
using namespace knotvane::control;

namespace {

constexpr VolumeId volume{7};
constexpr VolumeId snapshot{std::uint64_t{1} << 63 | 99};

EdgeHello sample_hello() {
    return {{}, EdgeId{3},  "127.0.0.1:10809",        Term{2}, 11,
            5,  Version{9}, {NodeId{1}, NodeId{300}}, {volume}};
}

Volume sample_volume() {
    Volume out;
    out.name = "v@a";
    out.size = 1 << 30;
    out.alignment_bytes = 4096;
    out.plan = PlanId{1};
    out.layout_volume = volume;
    out.quota_volume = volume;
    out.source = volume;
    out.epoch = 41;
    out.frozen = true;
    out.created_at = 123;
    return out;
}

std::string to_hex(const std::string &bytes) {
    static constexpr const char *digits = "0123456789abcdef";
    std::string out;
    for (char c : bytes) {
        auto byte = static_cast<unsigned char>(c);
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

// Encodes each message it receives again.
struct ReencodingHandler final : MessageHandler {
    std::vector<std::string> received;
    std::vector<std::string> unexpected_messages;

    using MessageHandler::handle;
    void handle(const EdgeHello &message) override { received.push_back(encode(message)); }
    void handle(const LeaseRenewal &message) override { received.push_back(encode(message)); }
    void handle(const FullStateRequest &message) override { received.push_back(encode(message)); }
    void handle(const VolumeServed &message) override { received.push_back(encode(message)); }
    void handle(const ReachabilityReport &message) override { received.push_back(encode(message)); }
    void handle(const Superseded &message) override { received.push_back(encode(message)); }
    void handle(const NodeHello &message) override { received.push_back(encode(message)); }
    void handle(const NodeRenewal &message) override { received.push_back(encode(message)); }
    void handle(const StatusRequest &message) override { received.push_back(encode(message)); }
    void handle(const DrainRequest &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotRequest &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotStepReport &message) override { received.push_back(encode(message)); }
    void handle(const DiffReport &message) override { received.push_back(encode(message)); }
    void handle(const UpdateBegin &message) override { received.push_back(encode(message)); }
    void handle(const NodeUpdate &message) override { received.push_back(encode(message)); }
    void handle(const PlanUpdate &message) override { received.push_back(encode(message)); }
    void handle(const VolumeUpdate &message) override { received.push_back(encode(message)); }
    void handle(const QuotaShareUpdate &message) override { received.push_back(encode(message)); }
    void handle(const NodeRemoval &message) override { received.push_back(encode(message)); }
    void handle(const PlanRemoval &message) override { received.push_back(encode(message)); }
    void handle(const VolumeRemoval &message) override { received.push_back(encode(message)); }
    void handle(const QuotaShareRemoval &message) override { received.push_back(encode(message)); }
    void handle(const UpdateEnd &message) override { received.push_back(encode(message)); }
    void handle(const LeaseRenewed &message) override { received.push_back(encode(message)); }
    void handle(const NodeStateNotice &message) override { received.push_back(encode(message)); }
    void handle(const Status &message) override { received.push_back(encode(message)); }
    void handle(const OperationResult &message) override { received.push_back(encode(message)); }
    void handle(const ReachabilityRequest &message) override {
        received.push_back(encode(message));
    }
    void handle(const SnapshotHold &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotResume &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotRelease &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotOpen &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotSeal &message) override { received.push_back(encode(message)); }
    void handle(const SnapshotDrop &message) override { received.push_back(encode(message)); }
    void handle(const CloneOpen &message) override { received.push_back(encode(message)); }
    void handle(const DiffRequest &message) override { received.push_back(encode(message)); }
    void handle_unexpected(std::string_view message) override {
        unexpected_messages.emplace_back(message);
    }
};

// Expects no message at all.
struct NoMessageHandler final : MessageHandler {
    std::vector<std::string> unexpected_messages;
    void handle_unexpected(std::string_view message) override {
        unexpected_messages.emplace_back(message);
    }
};

struct Sample {
    std::string bytes;
    std::string expected; // hexadecimal
};

std::vector<Sample> samples() {
    return {
        {encode(sample_hello()),
         "1f000000fd854bdf9a010203af3132372e302e302e313a3130383039020b05099201cd012c9107"},
        {encode(LeaseRenewal{1500000000, Term{2}, Version{9}}),
         "090000004846155f9402ce59682f000209"},
        {encode(FullStateRequest{}), "02000000291795359103"},
        {encode(VolumeServed{volume, true}), "040000009302efa5930407c3"},
        {encode(ReachabilityReport{NodeId{2}, false}), "0400000045eaedaf930502c2"},
        {encode(Superseded{Term{4}}), "03000000933ddb7a920604"},
        {encode(NodeHello{{}, NodeId{1}, ShardId{-1}, ZoneId{2}, "n:1", 70000, 3600 * sec}),
         "180000004d494cba98070201ff02a36e3a31ce00011170cf0000034630b8a000"},
        {encode(NodeRenewal{}), "0200000012bc1cac9108"},
        {encode(StatusRequest{}), "02000000113f775e9109"},
        {encode(DrainRequest{NodeId{1}, true, DrainMode::force}), "05000000804add79940a01c302"},
        {encode(SnapshotRequest{SnapshotOperation::clone, "v@a", "c", "gold"}),
         "0e000000b9d7460e950b02a3764061a163a4676f6c64"},
        {encode(SnapshotStepReport{snapshot, SnapshotStep::sealed, SnapshotResult::failed,
                                   EdgeIncarnation{77}}),
         "0e00000011527b38950ccf800000000000006305044d"},
        {encode(DiffReport{8, {{0, 4096}, {8192, 512}}, true}),
         "0f000000db9c1b99940d089400cd1000cd2000cd0200c3"},
        {encode(UpdateBegin{Term{2}, 11, 5, Version{9}, Version{8}, 123456789}),
         "0c0000003bfc44eb9714020b050908ce075bcd15"},
        {encode(NodeUpdate{NodeId{1}, {"n:1", ShardId{0}, ZoneId{1}, NodeState::ready, -5, 70000}}),
         "100000000278d5c7981501a36e3a31000102fbce00011170"},
        {encode(PlanUpdate{PlanId{1}, {"gold", 1.5, 100, 20, 2, 300, 50}}),
         "18000000c7ce4c09991601a4676f6c64cb3ff8000000000000641402cd012c32"},
        {encode(VolumeUpdate{snapshot, sample_volume()}),
         "1e0000004cf94cb69c17cf8000000000000063a3764061ce40000000cd10000107070729c37b"},
        {encode(QuotaShareUpdate{volume, {500000, 2}}), "09000000c3d7003e941807ce0007a12002"},
        {encode(NodeRemoval{NodeId{1}}), "03000000f3d29697921901"},
        {encode(PlanRemoval{PlanId{1}}), "030000006a7a71a3921a01"},
        {encode(VolumeRemoval{volume}), "03000000f5057296921b07"},
        {encode(QuotaShareRemoval{volume}), "03000000b0cc1fec921c07"},
        {encode(UpdateEnd{Version{9}, 4}), "040000000703c1ab931d0904"},
        {encode(LeaseRenewed{1500000000, Term{2}, 6 * sec, 600 * sec, Version{9}}),
         "1b000000da8909df961ece59682f0002cf0000000165a0bc00cf0000008bb2c9700009"},
        {encode(NodeStateNotice{NodeState::draining}), "03000000c200320c921f00"},
        {encode(Status{"{}"}), "050000004b70e3fe9220a27b7d"},
        {encode(OperationResult{true, false, "no"}), "07000000b55a10249421c3c2a26e6f"},
        {encode(ReachabilityRequest{NodeId{2}}), "03000000a5587b6d922202"},
        {encode(SnapshotHold{volume, snapshot, 42, 500 * ms}),
         "12000000a8ca1688952307cf80000000000000632ace1dcd6500"},
        {encode(SnapshotResume{volume, snapshot, 42}),
         "0d0000002a9bb45a942407cf80000000000000632a"},
        {encode(SnapshotRelease{volume, snapshot}), "0c000000f3178fe7932507cf8000000000000063"},
        {encode(SnapshotOpen{volume, snapshot, 42, {EdgeIncarnation{77}, EdgeIncarnation{78}}}),
         "10000000c740b7b5952607cf80000000000000632a924d4e"},
        {encode(SnapshotSeal{volume, snapshot}), "0c000000808e80cc932707cf8000000000000063"},
        {encode(SnapshotDrop{snapshot}), "0b0000009653602d9228cf8000000000000063"},
        {encode(CloneOpen{snapshot, VolumeId{100}}), "0c000000710f05e69329cf800000000000006364"},
        {encode(DiffRequest{8, volume, snapshot, 4096}),
         "10000000546c8be0952a0807cf8000000000000063cd1000"},
    };
}

std::string decode_error(const std::string &bytes) {
    ReencodingHandler handler;
    MessageDecoder decoder;
    try {
        decoder.decode(bytes, handler);
    } catch (const ProtocolError &error) {
        return error.what();
    }
    return {};
}

bool contains(const std::string &text, const std::string &part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("control messages") {
    // The planner, edges and nodes are upgraded one by one, so each message must keep the encoding
    // that older processes read and write. The expected bytes come from the implementation that
    // preceded the message types.
    TEST_CASE("every message keeps its encoding and decodes to what was encoded") {
        CHECK(samples().size() == std::tuple_size_v<AllMessages>);
        for (const auto &sample : samples()) {
            CHECK(to_hex(sample.bytes) == sample.expected);
            ReencodingHandler handler;
            MessageDecoder().decode(sample.bytes, handler);
            REQUIRE(handler.received.size() == 1);
            CHECK(handler.received[0] == sample.bytes);
        }
    }
    TEST_CASE("messages are delivered complete and in order, however the bytes are split") {
        std::string all;
        for (const auto &sample : samples())
            all += sample.bytes;
        for (std::size_t piece_bytes : {1u, 7u, 64u}) {
            ReencodingHandler handler;
            MessageDecoder decoder;
            for (std::size_t offset = 0; offset < all.size(); offset += piece_bytes)
                decoder.decode(std::string_view(all).substr(offset, piece_bytes), handler);
            std::string received;
            for (const auto &bytes : handler.received)
                received += bytes;
            CHECK(received == all);
        }
    }
    TEST_CASE("a handler without overrides gets the name of each message as unexpected") {
        NoMessageHandler handler;
        for (const auto &sample : samples())
            MessageDecoder().decode(sample.bytes, handler);
        CHECK(handler.unexpected_messages.size() == samples().size());
        CHECK(handler.unexpected_messages.front() == "edge hello");
    }
    // Invalid bytes come from another program, a flipped bit or a hostile client. Nothing after
    // them can be trusted, so every later call must fail with the same error.
    TEST_CASE("after invalid bytes the decoder fails for good; messages before them are handled") {
        auto corrupt = encode(NodeRenewal{});
        corrupt.back() = static_cast<char>(corrupt.back() ^ 1);
        ReencodingHandler handler;
        MessageDecoder decoder;
        CHECK_THROWS_WITH_AS(decoder.decode(encode(StatusRequest{}) + corrupt, handler),
                             "checksum mismatch in a message of 2 bytes", ProtocolError);
        CHECK(handler.received.size() == 1);
        CHECK_THROWS_WITH_AS(decoder.decode(encode(StatusRequest{}), handler),
                             "checksum mismatch in a message of 2 bytes", ProtocolError);
        CHECK(handler.received.size() == 1);
        CHECK(decode_error("GET / HTTP/1.1\r\n\r\n") ==
              "message length 542393671 bytes, expected 1 to 1048576");
        CHECK(contains(decode_error(std::string(8, '\0')), "message length 0 bytes"));
    }
    // The checksum does not detect wrong values from a peer with a bug or of another version.
    TEST_CASE("a field out of its range is an error that says what was expected") {
        NodeHello negative_age;
        negative_age.age = -1;
        CHECK(
            contains(decode_error(encode(negative_age)), "process age -1 ns, expected 0 or more"));
        EdgeHello old_protocol;
        old_protocol.protocol.value = 1;
        CHECK(contains(decode_error(encode(old_protocol)), "protocol version 1, expected 2"));
        NodeHello new_protocol;
        new_protocol.protocol.value = 3;
        CHECK(contains(decode_error(encode(new_protocol)), "protocol version 3, expected 2"));
        CHECK(
            contains(decode_error(encode(QuotaShareUpdate{volume, {full_limit_millionths + 1, 1}})),
                     "quota share of 1000001 millionths, expected at most 1000000"));
        CHECK(decode_error(encode(QuotaShareUpdate{volume, {full_limit_millionths, 1}})).empty());
        for (double number : {std::numeric_limits<double>::infinity(), std::nan("")}) {
            Plan plan;
            plan.reserved_rate = number;
            CHECK(contains(decode_error(encode(PlanUpdate{PlanId{1}, plan})),
                           "a number is not finite, expected a finite one"));
        }
    }
    TEST_CASE("a value above the last one of its enumeration is an error") {
        CHECK(contains(decode_error(encode(DrainRequest{NodeId{1}, true, DrainMode{3}})),
                       "enumeration value 3, expected 0 to 2"));
        CHECK(contains(decode_error(encode(SnapshotRequest{SnapshotOperation{4}, "v", "a", ""})),
                       "enumeration value 4, expected 0 to 3"));
        CHECK(contains(decode_error(encode(SnapshotStepReport{
                           snapshot, SnapshotStep{8}, SnapshotResult::done, {}})),
                       "enumeration value 8, expected 0 to 7"));
        CHECK(contains(decode_error(encode(SnapshotStepReport{
                           snapshot, SnapshotStep::sealed, SnapshotResult{5}, {}})),
                       "enumeration value 5, expected 0 to 4"));
        CHECK(contains(decode_error(encode(NodeStateNotice{static_cast<NodeState>(3)})),
                       "enumeration value 3, expected 0 to 2"));
    }
}
