// The encoding of frames, and how a reader treats bytes that are not valid frames.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>

#include "node_protocol/frame.hpp"

using namespace knotvane;
using namespace knotvane::node_protocol;

namespace {

// Records the last decoded frame and counts the frames.
struct FrameRecorder final : FrameHandler {
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

// A frame in which each byte of a field has a value that shows its position.
Frame frame_with_all_fields() {
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

std::uint64_t decode_little_endian(std::string_view bytes, std::size_t position, std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = size; i-- > 0;)
        value = value << 8 | static_cast<unsigned char>(bytes[position + i]);
    return value;
}

} // namespace

TEST_SUITE("frames") {
    TEST_CASE("a header has its fields where docs/node-protocol.md says") {
        auto bytes = encode(frame_with_all_fields());
        CHECK(bytes.size() == 84 + 7);
        CHECK(bytes.substr(0, 4) == "KVN1");
        CHECK(decode_little_endian(bytes, 4, 1) == 4);
        CHECK(decode_little_endian(bytes, 5, 1) == 2);
        CHECK(decode_little_endian(bytes, 6, 2) == 7);
        CHECK(decode_little_endian(bytes, 8, 4) == 7);
        CHECK(decode_little_endian(bytes, 16, 8) == 0x0102030405060708);
        CHECK(decode_little_endian(bytes, 24, 8) == 0x1112131415161718);
        CHECK(decode_little_endian(bytes, 32, 8) == 0x2122232425262728);
        CHECK(decode_little_endian(bytes, 40, 4) == 0x31323334);
        CHECK(decode_little_endian(bytes, 44, 4) == 0x41424344);
        CHECK(decode_little_endian(bytes, 48, 8) == 0x5152535455565758);
        CHECK(decode_little_endian(bytes, 56, 8) == 0x6162636465666768);
        CHECK(decode_little_endian(bytes, 64, 8) == 0x7172737475767778);
        CHECK(decode_little_endian(bytes, 72, 4) == 0x01020304);
        CHECK(decode_little_endian(bytes, 80, 4) == 0x21222324);
        CHECK(bytes.substr(84) == "payload");
    }

    TEST_CASE("an encoded frame is decoded to the same fields when it is received byte by byte") {
        auto bytes = encode(frame_with_all_fields());
        FrameReader reader;
        FrameRecorder recorder;
        for (char byte : bytes)
            CHECK(reader.feed({&byte, 1}, recorder).empty());
        REQUIRE(recorder.count == 1);
        CHECK(reader.buffered_bytes() == 0);
        auto expected = frame_with_all_fields();
        CHECK(recorder.frame->kind == expected.kind);
        CHECK(recorder.frame->flags == expected.flags);
        CHECK(recorder.frame->status == expected.status);
        CHECK(recorder.frame->tag == expected.tag);
        CHECK(recorder.frame->volume == expected.volume);
        CHECK(recorder.frame->offset == expected.offset);
        CHECK(recorder.frame->length == expected.length);
        CHECK(recorder.frame->milliunits == expected.milliunits);
        CHECK(recorder.frame->incarnation == expected.incarnation);
        CHECK(recorder.frame->request_number == expected.request_number);
        CHECK(recorder.frame->not_after == expected.not_after);
        CHECK(recorder.frame->shard == expected.shard);
        CHECK(recorder.frame->epoch == expected.epoch);
        CHECK(recorder.payload == "payload");
    }

    // One bit flips in transmission. The reader must report an error and must not pass the frame to
    // its handler.
    TEST_CASE("a frame with a flipped bit is reported as an error and not passed to the handler") {
        CHECK(rc::check([](std::uint16_t position, std::uint8_t bit) {
            auto bytes = encode(frame_with_all_fields());
            bytes[position % bytes.size()] ^= static_cast<char>(1 << (bit % 8));
            FrameReader reader;
            FrameRecorder recorder;
            RC_ASSERT(!reader.feed(bytes, recorder).empty());
            RC_ASSERT(recorder.count == 0);
        }));
    }

    TEST_CASE("a wrong magic number, header, payload or kind is described in the error") {
        FrameRecorder recorder;
        CHECK(FrameReader().feed(std::string(header_size, 'z'), recorder) ==
              "a frame does not begin with the magic number KVN1");
        auto bytes = encode(frame_with_all_fields());
        bytes[20] ^= 1;
        CHECK(FrameReader().feed(bytes, recorder) ==
              "a frame's header does not match its checksum");
        bytes = encode(frame_with_all_fields());
        bytes.back() ^= 1;
        CHECK(FrameReader().feed(bytes, recorder) ==
              "a frame's payload does not match its checksum");
        CHECK(FrameReader().feed(encode({.kind = static_cast<FrameKind>(10)}), recorder) ==
              "a frame of kind 10 and status 0; kinds are 1 to 9, statuses 0 to 8");
        CHECK(recorder.count == 0);
    }
}
