// The format of a store on the medium, which other versions of the program read.
#include <doctest/doctest.h>

#include "node_protocol/crc.hpp"
#include "store/store.hpp"

using namespace knotvane;
using namespace knotvane::store;

TEST_SUITE("store format") {
    // A code change that alters any stored byte would make existing stores unreadable. The expected
    // checksums were computed from the same changes made by an earlier version.
    TEST_CASE("a store with all kinds of records has the same bytes as with earlier versions") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        {
            Store store(*medium, 1000);
            VolumeId volume{1};
            store.write(volume, 100, std::string(9000, 'a'));
            store.flush();
            store.take_snapshot(volume, VolumeId{2});
            store.write(volume, 1 << 20, std::string(4096, 'b'));
            store.open_snapshot(volume, VolumeId{3}, 4);
            store.write_both(volume, VolumeId{3}, 0, std::string(512, 'c'));
            store.seal_snapshot(VolumeId{3});
            store.mark_applied({7, 9}, 5 * sec, 0);
            store.drop(VolumeId{2});
            store.close();
        }
        CHECK(bytes.size() == 151552);
        CHECK(crc32c(bytes) == 0xbc964f4e);
        Store reopened(*medium, 1000);
        CHECK(crc32c(bytes) == 0x1888ea2d);
        CHECK(reopened.epoch(VolumeId{1}) == 4);
        CHECK(reopened.sealed_epoch(VolumeId{1}) == 4);
        CHECK(reopened.is_frozen(VolumeId{3}));
        CHECK_FALSE(reopened.contains(VolumeId{2}));
    }

    TEST_CASE("a header and a record are decoded as encoded; a record of another generation does "
              "not match") {
        auto header = encode_header({.generation = 3,
                                     .incarnation = 5,
                                     .trees_size = 7,
                                     .last_record = 9,
                                     .trees_crc = 11});
        header.resize(area_header_size);
        auto read = decode_header(header);
        REQUIRE(read.header.has_value());
        CHECK(read.header->generation == 3);
        CHECK(read.header->incarnation == 5);
        CHECK(read.header->trees_size == 7);
        CHECK(read.header->last_record == 9);
        CHECK(read.header->trees_crc == 11);
        header[8] ^= 1;
        CHECK_FALSE(decode_header(header).header.has_value());
        CHECK_FALSE(decode_header(header).is_blank);
        CHECK(decode_header(std::string(area_header_size, '\0')).is_blank);

        auto record = encode_record(3, 10, RecordKind::drop, "payload");
        auto record_header = decode_record_header(record);
        CHECK(record_header.size == 7);
        CHECK(record_header.number == 10);
        CHECK(record_header.kind == RecordKind::drop);
        CHECK(matches_checksum(record_header, 3, "payload"));
        CHECK_FALSE(matches_checksum(record_header, 4, "payload"));
        CHECK_FALSE(matches_checksum(record_header, 3, "payloaf"));
    }

    TEST_CASE(
        "a truncated record and one with a block beyond the capacity are each rejected by name") {
        auto error_message = [](std::string_view payload, std::uint64_t capacity) {
            try {
                decode_changes(payload, capacity);
                return std::string();
            } catch (const StoreError &error) {
                CHECK(error.kind() == StoreError::Kind::corruption);
                return std::string(error.what());
            }
        };
        BlockChanges changes;
        changes[VolumeId{1}].push_back({.block = 2, .ref = {.slot = 9, .crc = 1}});
        auto payload = encode_changes(changes);
        CHECK(error_message(payload, 9).empty());
        CHECK(error_message(payload, 8) ==
              "store: a record refers to a block beyond the store's capacity");
        payload.pop_back();
        CHECK(error_message(payload, 9) == "store: a record is truncated");
    }
}
