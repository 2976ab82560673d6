#include "node/store.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "frames/crc.hpp"

namespace knotvane::node {
namespace {

// The medium: a header block; places for marks, used in a ring; places of the directory; then the slots, each
// with its checksums before its data. All fields little-endian, as the machines that run it are.
constexpr std::uint64_t magic = 0x31726f7473766e6b;
constexpr std::uint32_t mark_size = 32, entry_size = 24;
// Marks kept on the medium: at 2,000 writes a second on a node, twice the longest window of the first users.
constexpr std::size_t mark_places = 16384;
// Chunks in all: 64 GiB of data at 256 KiB each.
constexpr std::uint32_t most_chunks = 1 << 18;
constexpr std::uint64_t marks_from = Store::block, entries_from = marks_from + mark_places * mark_size,
                        slots_from = entries_from + std::uint64_t{most_chunks} * entry_size;
constexpr std::uint32_t blocks = Store::chunk / Store::block;
constexpr std::uint64_t slot_size = Store::block + Store::chunk; // checksums take a block of their own
// Undo kept at most (blocks): past it the store flushes by itself, as disks do. 64 MiB.
constexpr std::size_t most_before = 16384;

template <class T> void put(std::string &to, T v) {
    char raw[sizeof v];
    std::memcpy(raw, &v, sizeof v);
    to.append(raw, sizeof v);
}
template <class T> T get(const char *from) {
    T v;
    std::memcpy(&v, from, sizeof v);
    return v;
}
// 0 says "never written", so a checksum of 0 stands as 1.
std::uint32_t crc_of(std::string_view bytes) { return std::max(crc32c(bytes), 1u); }

} // namespace

Store::Store(Medium &medium) : medium_(medium) {
    char head[24];
    medium_.read(0, head, sizeof head);
    if (get<std::uint64_t>(head) == 0) {
        write_header();
        return;
    }
    if (get<std::uint64_t>(head) != magic || get<std::uint32_t>(head + 16) != crc32c({head, 16}))
        throw std::runtime_error("store: the header does not match its checksum");
    life_ = get<std::uint64_t>(head + 8);
    std::string marks(mark_places * mark_size, '\0');
    medium_.read(marks_from, marks.data(), marks.size());
    Time latest = 0;
    for (std::size_t i = 0; i < mark_places; ++i) {
        const char *m = marks.data() + i * mark_size;
        // A mark cut short by a crash is one whose write was not answered yet.
        if (get<std::uint32_t>(m + 24) == 0 || get<std::uint32_t>(m + 24) != crc_of({m, 24})) continue;
        Mark mark{get<std::uint64_t>(m), get<std::uint64_t>(m + 8)};
        marks_[mark] = get<Time>(m + 16);
        forget_.emplace(marks_[mark], mark);
        // The ring goes on past the youngest mark, so that the oldest are written over first.
        if (marks_[mark] >= latest) latest = marks_[mark], next_mark_ = (i + 1) % mark_places;
    }
    for (std::uint32_t slot = 0; slot < most_chunks; ++slot) {
        char e[entry_size];
        medium_.read(entries_from + std::uint64_t{slot} * entry_size, e, sizeof e);
        if (get<std::uint32_t>(e + 16) == 0) break;
        if (get<std::uint32_t>(e + 16) != crc_of({e, 16}))
            throw std::runtime_error("store: directory entry " + std::to_string(slot) +
                                     " does not match its checksum");
        Chunk &c = chunks_[{VolumeId{get<std::uint64_t>(e)}, get<std::uint64_t>(e + 8)}];
        c.slot = slot;
        c.crcs.resize(blocks);
        medium_.read(slots_from + slot * slot_size, reinterpret_cast<char *>(c.crcs.data()), blocks * 4);
    }
}

void Store::write_header() {
    std::string head;
    put(head, magic);
    put(head, life_);
    put(head, crc32c(head));
    medium_.write(0, head);
}

std::uint64_t Store::block_at(const Chunk &c, std::uint32_t index) const {
    return slots_from + c.slot * slot_size + block + std::uint64_t{index} * block;
}
std::uint64_t Store::crc_at(const Chunk &c, std::uint32_t index) const {
    return slots_from + c.slot * slot_size + index * 4;
}

Store::Chunk *Store::find(VolumeId volume, std::uint64_t offset) {
    auto it = chunks_.find({volume, offset / chunk});
    return it == chunks_.end() ? nullptr : &it->second;
}
Store::Chunk *Store::need(VolumeId volume, std::uint64_t offset) {
    if (Chunk *c = find(volume, offset)) return c;
    if (chunks_.size() >= most_chunks) return nullptr;
    auto slot = static_cast<std::uint32_t>(chunks_.size());
    std::string entry;
    put(entry, volume.value);
    put(entry, offset / chunk);
    put(entry, crc_of(entry));
    medium_.write(entries_from + std::uint64_t{slot} * entry_size, entry);
    Chunk &c = chunks_[{volume, offset / chunk}];
    c.slot = slot;
    c.crcs.resize(blocks);
    return &c;
}

bool Store::load(const Chunk &c, std::uint32_t index, char *to) {
    if (c.crcs[index] == 0) {
        std::memset(to, 0, block);
        return true;
    }
    medium_.read(block_at(c, index), to, block);
    return crc_of({to, block}) == c.crcs[index];
}

void Store::save(Chunk &c, std::uint32_t index, std::string_view bytes, std::uint32_t crc) {
    auto [it, is_new] = before_.try_emplace({c.slot, index});
    if (is_new) {
        it->second.first = c.crcs[index];
        if (c.crcs[index] != 0) {
            it->second.second.resize(block);
            medium_.read(block_at(c, index), it->second.second.data(), block);
        }
    }
    if (crc != 0) medium_.write(block_at(c, index), bytes);
    c.crcs[index] = crc;
    std::string raw;
    put(raw, crc);
    medium_.write(crc_at(c, index), raw);
}

bool Store::read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to) {
    std::size_t start = to.size();
    to.resize(start + length);
    char *out = to.data() + start;
    char whole[block];
    while (length > 0) {
        auto within = static_cast<std::uint32_t>(offset % block);
        std::uint32_t n = std::min(block - within, length);
        Chunk *c = find(volume, offset);
        auto index = static_cast<std::uint32_t>(offset % chunk / block);
        if (!c) {
            std::memset(out, 0, n);
        } else if (n == block) {
            if (!load(*c, index, out)) return false;
        } else {
            if (!load(*c, index, whole)) return false;
            std::memcpy(out, whole + within, n);
        }
        out += n, offset += n, length -= n;
    }
    return true;
}

bool Store::write(VolumeId volume, std::uint64_t offset, std::string_view bytes) {
    char whole[block];
    while (!bytes.empty()) {
        auto within = static_cast<std::uint32_t>(offset % block);
        auto n = static_cast<std::uint32_t>(std::min<std::size_t>(block - within, bytes.size()));
        Chunk *c = need(volume, offset);
        if (!c) return false;
        auto index = static_cast<std::uint32_t>(offset % chunk / block);
        std::string_view put_in = bytes.substr(0, n);
        if (n < block) {
            if (!load(*c, index, whole)) return false;
            std::memcpy(whole + within, bytes.data(), n);
            put_in = {whole, block};
        }
        save(*c, index, put_in, crc_of(put_in));
        offset += n, bytes.remove_prefix(n);
    }
    if (before_.size() > most_before) flush();
    return true;
}

bool Store::zero(VolumeId volume, std::uint64_t offset, std::uint32_t length) {
    static const std::string zeroes(block, '\0');
    while (length > 0) {
        auto within = static_cast<std::uint32_t>(offset % block);
        std::uint32_t n = std::min(block - within, length);
        Chunk *c = find(volume, offset);
        auto index = static_cast<std::uint32_t>(offset % chunk / block);
        if (c && c->crcs[index] != 0) {
            if (n == block)
                save(*c, index, {}, 0);
            else if (!write(volume, offset, std::string_view(zeroes).substr(0, n)))
                return false;
        }
        offset += n, length -= n;
    }
    return true;
}

std::vector<std::pair<std::uint32_t, bool>> Store::runs(VolumeId volume, std::uint64_t offset,
                                                        std::uint32_t length) {
    std::vector<std::pair<std::uint32_t, bool>> out;
    while (length > 0) {
        std::uint32_t n = std::min(block - static_cast<std::uint32_t>(offset % block), length);
        Chunk *c = find(volume, offset);
        bool data = c && c->crcs[offset % chunk / block] != 0;
        if (!out.empty() && out.back().second == data)
            out.back().first += n;
        else
            out.emplace_back(n, data);
        offset += n, length -= n;
    }
    return out;
}

void Store::flush() {
    medium_.sync();
    before_.clear();
    marks_since_.clear();
}

void Store::lose() {
    for (auto &[id, c] : chunks_)
        for (std::uint32_t i = 0; i < blocks; ++i)
            if (auto it = before_.find({c.slot, i}); it != before_.end()) {
                c.crcs[i] = it->second.first;
                std::string raw;
                put(raw, c.crcs[i]);
                medium_.write(crc_at(c, i), raw);
                if (c.crcs[i] != 0) medium_.write(block_at(c, i), it->second.second);
            }
    // The marks of lost writes are lost with them: a repeat must then be done, not dropped.
    for (auto &[place, mark] : marks_since_) {
        marks_.erase(mark);
        medium_.write(marks_from + place * mark_size, std::string(mark_size, '\0'));
    }
    before_.clear();
    marks_since_.clear();
    ++life_;
    write_header();
    medium_.sync();
}

bool Store::was_done(std::uint64_t life, std::uint64_t number, Time now) {
    while (!forget_.empty() && forget_.begin()->first < now) {
        auto it = marks_.find(forget_.begin()->second);
        if (it != marks_.end() && it->second < now) marks_.erase(it);
        forget_.erase(forget_.begin());
    }
    return marks_.contains({life, number});
}

void Store::write_mark(std::size_t place, Mark mark, Time not_after) {
    std::string raw;
    put(raw, mark.first);
    put(raw, mark.second);
    put(raw, not_after);
    put(raw, crc_of(raw));
    raw.resize(mark_size);
    medium_.write(marks_from + place * mark_size, raw);
}

void Store::remember(std::uint64_t life, std::uint64_t number, Time not_after, Time now) {
    if (was_done(life, number, now)) return;
    Mark mark{life, number};
    marks_[mark] = not_after;
    forget_.emplace(not_after, mark);
    write_mark(next_mark_, mark, not_after);
    marks_since_.emplace_back(next_mark_, mark);
    next_mark_ = (next_mark_ + 1) % mark_places;
}

void Store::rot(VolumeId volume, std::uint64_t offset) {
    Chunk *c = find(volume, offset);
    if (!c) return;
    std::uint64_t at = block_at(*c, static_cast<std::uint32_t>(offset % chunk / block)) + offset % block;
    char byte;
    medium_.read(at, &byte, 1);
    byte = static_cast<char>(byte ^ 1);
    medium_.write(at, {&byte, 1});
}

} // namespace knotvane::node
