#include "record/recording.hpp"

#include <cstring>
#include <stdexcept>

#include <msgpack.hpp>

#include "node_protocol/crc.hpp"

namespace knotvane::record {
namespace {
// Upper bound of an entry in bytes, well above one socket read. A larger length is corruption.
constexpr std::uint32_t max_entry_bytes = 64u << 20;
constexpr std::string_view signature = "knotvane recording 1\n";
} // namespace

Writer::Writer(const std::string &path) : out_(path, std::ios::binary | std::ios::trunc) {
    if (!out_)
        throw std::runtime_error("can't open recording " + path + " for writing");
    out_ << signature;
}

void Writer::put(Time at, Kind kind, std::uint64_t first, std::uint64_t second, std::uint64_t third,
                 std::string_view text) {
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(6);
    packer.pack(at);
    packer.pack(static_cast<std::uint8_t>(kind));
    packer.pack(first);
    packer.pack(second);
    packer.pack(third);
    packer.pack_bin(static_cast<std::uint32_t>(text.size()));
    packer.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
    std::uint32_t header[2] = {static_cast<std::uint32_t>(buf.size()),
                               crc32c({buf.data(), buf.size()})};
    out_.write(reinterpret_cast<const char *>(header), sizeof header);
    out_.write(buf.data(), static_cast<std::streamsize>(buf.size()));
}

std::string read(const std::string &path,
                 const std::function<void(Time, Kind, std::uint64_t, std::uint64_t, std::uint64_t,
                                          std::string_view)> &on_entry) {
    std::ifstream in(path, std::ios::binary);
    std::string found(signature.size(), '\0');
    if (!in || !in.read(found.data(), static_cast<std::streamsize>(found.size())) ||
        found != signature)
        return path + ": not a knotvane recording (expected the file to begin with '" +
               std::string(signature.substr(0, signature.size() - 1)) + "')";
    std::uint64_t at = signature.size();
    bool ended = false;
    std::string entry;
    for (;;) {
        std::uint32_t header[2];
        in.read(reinterpret_cast<char *>(header), sizeof header);
        auto location = path + ": byte " + std::to_string(at) + ": ";
        if (in.gcount() == 0)
            return ended ? ""
                         : location + "the recording ends without an end entry; it is incomplete";
        if (ended)
            return location + "found data after the end entry";
        if (in.gcount() < static_cast<std::streamsize>(sizeof header) ||
            header[0] > max_entry_bytes)
            return location + "expected an entry header (length of at most " +
                   std::to_string(max_entry_bytes) + " bytes, then checksum)";
        entry.resize(header[0]);
        if (!in.read(entry.data(), static_cast<std::streamsize>(entry.size())) ||
            crc32c(entry) != header[1])
            return location + "an entry of " + std::to_string(header[0]) +
                   " bytes is cut short or does not match its checksum";
        try {
            auto handle = msgpack::unpack(entry.data(), entry.size());
            auto &object = handle.get();
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 6)
                return location + "expected an entry of six fields";
            auto *fields = object.via.array.ptr;
            auto kind = fields[1].as<std::uint8_t>();
            if (kind < 1 || kind > 11 || fields[5].type != msgpack::type::BIN)
                return location + "entry of kind " + std::to_string(kind) +
                       ": expected a kind from 1 to 11 and a binary text field";
            ended = kind == 11;
            on_entry(fields[0].as<Time>(), static_cast<Kind>(kind), fields[2].as<std::uint64_t>(),
                     fields[3].as<std::uint64_t>(), fields[4].as<std::uint64_t>(),
                     {fields[5].via.bin.ptr, fields[5].via.bin.size});
        } catch (const std::exception &e) {
            return location + e.what();
        }
        at += sizeof header + entry.size();
    }
}

} // namespace knotvane::record
