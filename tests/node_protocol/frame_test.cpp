// The frames' bytes, and what a reader makes of bytes that are no frames.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>

#include "node_protocol/frame.hpp"

using namespace knotvane;
using namespace knotvane::node_protocol;

namespace {

// Keeps the last frame.
struct FrameKeeper final : FrameHandler {
    std::optional<Frame> frame;
    std::string payload;
    int count = 0;

    bool on_frame(const Frame &received) override {
        frame = received;
        payload = received.payload;
        ++count;
        return true;
    }
};

// A frame whose bytes are all of a known place.
Frame full_frame() {
    return {.kind = FrameKind::write,
            .flags = flag_deduplicated,
            .status = Status::stale_epoch,
            .tag = 0x0102030405060708,
            .volume = VolumeId{0x1112131415161718},
            .offset = 0x2122232425262728,
            .length = 0x31323334,
            .milliunits = 0x41424344,
            .incarnation = 0x5152535455565758,
            .request_number = 0x6162636465666768,
            .not_after = 0x7172737475767778,
            .shard = ShardId{0x01020304},
            .payload = "payload",
            .epoch = 0x21222324};
}

std::uint64_t little_endian(std::string_view bytes, std::size_t at, std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = size; i-- > 0;)
        value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    return value;
}

} // namespace

TEST_SUITE("frames") {
    TEST_CASE("a header has its fields where docs/node-protocol.md says") {
        auto bytes = encode(full_frame());
        CHECK(bytes.size() == 84 + 7);
        CHECK(bytes.substr(0, 4) == "KVN1");
        CHECK(little_endian(bytes, 4, 1) == 4);
        CHECK(little_endian(bytes, 5, 1) == 2);
        CHECK(little_endian(bytes, 6, 2) == 7);
        CHECK(little_endian(bytes, 8, 4) == 7);
        CHECK(little_endian(bytes, 16, 8) == 0x0102030405060708);
        CHECK(little_endian(bytes, 24, 8) == 0x1112131415161718);
        CHECK(little_endian(bytes, 32, 8) == 0x2122232425262728);
        CHECK(little_endian(bytes, 40, 4) == 0x31323334);
        CHECK(little_endian(bytes, 44, 4) == 0x41424344);
        CHECK(little_endian(bytes, 48, 8) == 0x5152535455565758);
        CHECK(little_endian(bytes, 56, 8) == 0x6162636465666768);
        CHECK(little_endian(bytes, 64, 8) == 0x7172737475767778);
        CHECK(little_endian(bytes, 72, 4) == 0x01020304);
        CHECK(little_endian(bytes, 80, 4) == 0x21222324);
        CHECK(bytes.substr(84) == "payload");
    }

    TEST_CASE("what is encoded is decoded, in any pieces") {
        auto bytes = encode(full_frame());
        FrameReader reader;
        FrameKeeper keeper;
        for (char byte : bytes)
            CHECK(reader.feed({&byte, 1}, keeper).empty());
        REQUIRE(keeper.count == 1);
        CHECK(reader.buffered_bytes() == 0);
        auto expected = full_frame();
        CHECK(keeper.frame->kind == expected.kind);
        CHECK(keeper.frame->flags == expected.flags);
        CHECK(keeper.frame->status == expected.status);
        CHECK(keeper.frame->tag == expected.tag);
        CHECK(keeper.frame->volume == expected.volume);
        CHECK(keeper.frame->offset == expected.offset);
        CHECK(keeper.frame->length == expected.length);
        CHECK(keeper.frame->milliunits == expected.milliunits);
        CHECK(keeper.frame->incarnation == expected.incarnation);
        CHECK(keeper.frame->request_number == expected.request_number);
        CHECK(keeper.frame->not_after == expected.not_after);
        CHECK(keeper.frame->shard == expected.shard);
        CHECK(keeper.frame->epoch == expected.epoch);
        CHECK(keeper.payload == "payload");
    }

    // A bit flips on the way. The reader must say what is wrong or wait for more, and pass on no
    // frame.
    TEST_CASE("a frame with a flipped bit is not passed on") {
        CHECK(rc::check([](std::uint16_t at, std::uint8_t bit) {
            auto bytes = encode(full_frame());
            bytes[at % bytes.size()] ^= static_cast<char>(1 << (bit % 8));
            FrameReader reader;
            FrameKeeper keeper;
            RC_ASSERT(!reader.feed(bytes, keeper).empty());
            RC_ASSERT(keeper.count == 0);
        }));
    }

    TEST_CASE("a fault is named") {
        FrameKeeper keeper;
        CHECK(FrameReader().feed(std::string(header_size, 'z'), keeper) ==
              "a frame does not begin with its magic");
        auto bytes = encode(full_frame());
        bytes[20] ^= 1;
        CHECK(FrameReader().feed(bytes, keeper) == "a frame's header does not match its checksum");
        bytes = encode(full_frame());
        bytes.back() ^= 1;
        CHECK(FrameReader().feed(bytes, keeper) == "a frame's payload does not match its checksum");
        CHECK(FrameReader().feed(encode({.kind = static_cast<FrameKind>(10)}), keeper) ==
              "a frame of kind 10 and status 0; kinds are 1 to 9, statuses 0 to 8");
        CHECK(keeper.count == 0);
    }
}
