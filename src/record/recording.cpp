#include "record/recording.hpp"

#include <cstring>
#include <stdexcept>

#include <msgpack.hpp>

#include "node_protocol/crc.hpp"

namespace knotvane::record {
namespace {
// The largest entry: one read of a socket and a little more. Past it the length itself is wrong.
constexpr std::uint32_t most_entry = 64u << 20;
constexpr std::string_view head = "knotvane recording 1\n";
} // namespace

Writer::Writer(const std::string &path) : out_(path, std::ios::binary | std::ios::trunc) {
    if (!out_)
        throw std::runtime_error("recording " + path + " can't be written");
    out_ << head;
}

void Writer::put(Time at, Kind kind, std::uint64_t a, std::uint64_t b, std::uint64_t c,
                 std::string_view text) {
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> to(buf);
    to.pack_array(6);
    to.pack(at);
    to.pack(static_cast<std::uint8_t>(kind));
    to.pack(a);
    to.pack(b);
    to.pack(c);
    to.pack_bin(static_cast<std::uint32_t>(text.size()));
    to.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
    std::uint32_t front[2] = {static_cast<std::uint32_t>(buf.size()),
                              crc32c({buf.data(), buf.size()})};
    out_.write(reinterpret_cast<const char *>(front), sizeof front);
    out_.write(buf.data(), static_cast<std::streamsize>(buf.size()));
}

std::string read(const std::string &path,
                 const std::function<void(Time, Kind, std::uint64_t, std::uint64_t, std::uint64_t,
                                          std::string_view)> &call) {
    std::ifstream in(path, std::ios::binary);
    std::string got(head.size(), '\0');
    if (!in || !in.read(got.data(), static_cast<std::streamsize>(got.size())) || got != head)
        return path + ": is no recording of this program (expected it to begin with '" +
               std::string(head.substr(0, head.size() - 1)) + "')";
    std::uint64_t at = head.size();
    bool ended = false;
    std::string entry;
    for (;;) {
        std::uint32_t front[2];
        in.read(reinterpret_cast<char *>(front), sizeof front);
        auto where = path + ": byte " + std::to_string(at) + ": ";
        if (in.gcount() == 0)
            return ended ? "" : where + "the recording stops without its end";
        if (ended)
            return where + "an entry past the end";
        if (in.gcount() < static_cast<std::streamsize>(sizeof front) || front[0] > most_entry)
            return where + "expected an entry's length and checksum";
        entry.resize(front[0]);
        if (!in.read(entry.data(), static_cast<std::streamsize>(entry.size())) ||
            crc32c(entry) != front[1])
            return where + "an entry of " + std::to_string(front[0]) +
                   " bytes does not match its checksum";
        try {
            auto handle = msgpack::unpack(entry.data(), entry.size());
            auto &o = handle.get();
            if (o.type != msgpack::type::ARRAY || o.via.array.size != 6)
                return where + "expected six fields";
            auto *f = o.via.array.ptr;
            auto kind = f[1].as<std::uint8_t>();
            if (kind < 1 || kind > 11 || f[5].type != msgpack::type::BIN)
                return where + "kind " + std::to_string(kind) + " is not known; expected 1 to 11";
            ended = kind == 11;
            call(f[0].as<Time>(), static_cast<Kind>(kind), f[2].as<std::uint64_t>(),
                 f[3].as<std::uint64_t>(), f[4].as<std::uint64_t>(),
                 {f[5].via.bin.ptr, f[5].via.bin.size});
        } catch (const std::exception &e) {
            return where + e.what();
        }
        at += sizeof front + entry.size();
    }
}

} // namespace knotvane::record
