// A shard's data: blocks with a checksum each, and the marks of the writes that were done, in one medium. The
// one owner of that format. A store outlives the processes that serve it; its life changes when what was
// answered but not flushed is lost.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "node/medium.hpp"

namespace knotvane::node {

class Store {
  public:
    static constexpr std::uint32_t block = 4096; // a checksum covers this much
    static constexpr std::uint32_t chunk = 64 * block; // space is given out by this much: small, for sparse files

    // Opens what is there, or makes an empty store. Throws std::runtime_error where the header or the directory
    // does not match its checksum.
    explicit Store(Medium &medium);

    std::uint64_t life() const { return life_; }
    // Reads a range of a volume onto `to`; what was never written reads as zeroes. False where a block does
    // not match its checksum.
    bool read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to);
    // Writes; blocks that are written in part keep the rest. False where that rest does not match its
    // checksum or the store has no space left.
    bool write(VolumeId volume, std::uint64_t offset, std::string_view bytes);
    bool zero(VolumeId volume, std::uint64_t offset, std::uint32_t length);
    // The range's runs of data (true) and holes, in order, lengths in bytes.
    std::vector<std::pair<std::uint32_t, bool>> runs(VolumeId volume, std::uint64_t offset,
                                                     std::uint32_t length);
    // What was written so far is durable from here on.
    void flush();
    // As if the power were cut: all since the last flush is gone, and the life is another one.
    void lose();

    // Whether a write with this mark was done, as far as that is remembered: until its not-after time.
    bool was_done(std::uint64_t life, std::uint64_t number, Time now);
    void remember(std::uint64_t life, std::uint64_t number, Time not_after, Time now);
    std::size_t marks() const { return marks_.size(); }

    // Turns one stored bit over, as a failing disk does, without touching its checksum.
    void rot(VolumeId volume, std::uint64_t offset);

  private:
    using Mark = std::pair<std::uint64_t, std::uint64_t>;
    struct Chunk {
        std::uint32_t slot;
        std::vector<std::uint32_t> crcs; // 0: never written
    };
    Chunk *find(VolumeId volume, std::uint64_t offset);
    Chunk *need(VolumeId volume, std::uint64_t offset);
    std::uint64_t block_at(const Chunk &c, std::uint32_t index) const;
    std::uint64_t crc_at(const Chunk &c, std::uint32_t index) const;
    bool load(const Chunk &c, std::uint32_t index, char *to);
    void save(Chunk &c, std::uint32_t index, std::string_view bytes, std::uint32_t crc);
    void write_header();
    void write_mark(std::size_t place, Mark mark, Time not_after);

    Medium &medium_;
    std::uint64_t life_ = 1;
    std::map<std::pair<VolumeId, std::uint64_t>, Chunk> chunks_;
    std::map<Mark, Time> marks_;
    std::multimap<Time, Mark> forget_; // by not-after
    std::size_t next_mark_ = 0;
    // What stood there at the last flush, of what changed since.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<std::uint32_t, std::string>> before_;
    std::vector<std::pair<std::size_t, Mark>> marks_since_;
};

} // namespace knotvane::node
