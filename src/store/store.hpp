// A shard's data: volumes, snapshots and clones that share the blocks they have in common, and the
// marks of the writes that were done, in one medium. The one owner of that format
// (docs/store-format.md). A store outlives the processes that serve it; its life changes when what
// was answered but not flushed may be lost.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "store/medium.hpp"

namespace knotvane::store {

class Store {
public:
    static constexpr std::uint32_t block =
        4096; // a checksum covers this much, and this much is shared or copied
    // How cutting a snapshot or a clone went. `exists`: by this id, from the same source: a resend.
    // `taken`: the id is another's. `full`: the reserve that writes need would be touched.
    // `failed`: the medium.
    enum class Cut { done, exists, taken, full, failed };

    // Opens what is there, or makes an empty store of so many blocks; the number may grow from one
    // opening to the next. Throws std::runtime_error: what does not match its checksum, or a medium
    // that fails.
    explicit Store(Medium &medium, std::uint64_t capacity = std::uint64_t{1} << 24);
    ~Store();
    Store(const Store &) = delete;

    std::uint64_t incarnation() const { return incarnation_; }
    // Reads a range of a volume onto `to`; what was never written reads as zeroes. False where a
    // block does not match its checksum.
    bool read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to);
    // Writes, all or nothing; blocks that are written in part keep the rest. False where that rest
    // does not match its checksum, no space is left, the medium fails, or the volume is a snapshot.
    bool write(VolumeId volume, std::uint64_t offset, std::string_view bytes);
    bool zero(VolumeId volume, std::uint64_t offset, std::uint32_t length);
    // The range's runs of data (true) and holes, in order, lengths in bytes.
    std::vector<std::pair<std::uint32_t, bool>> runs(VolumeId volume, std::uint64_t offset,
                                                     std::uint32_t length);
    // What was written so far is durable from here on. Throws where the medium can't: nothing is
    // served after that.
    void flush();
    // Nothing more comes: the next opening goes on with the same life.
    void close();
    // As if the power were cut: all since the last flush is gone, and the life is another one.
    void lose();

    // ---- Snapshots and clones, durable when they return. Time and space by what changes later,
    // not by size. `as` is what `of` is now; frozen: it can't be written.
    Cut cut(VolumeId of, VolumeId as, bool frozen);
    // The same in two steps, for a cut over many stores: `as` stays open, and writes of before
    // `epoch` that come late go to both, by write_both and zero_both, until it is sealed. Not
    // durable before that. `epoch`: that of what is written to `of` from here on.
    Cut open_cut(VolumeId of, VolumeId as, std::uint32_t epoch);
    // Frozen and durable from here on; again: nothing. False where there is none, or the medium
    // fails.
    bool seal(VolumeId as);
    std::uint32_t epoch(VolumeId volume) const;
    // The epoch of the last cut of it that was sealed: what is of before it would change that one.
    std::uint32_t sealed(VolumeId volume) const;
    // The cut of a volume that is open, if one is.
    std::optional<VolumeId> opened(VolumeId of) const;
    std::vector<VolumeId> cuts() const; // snapshots and clones, open ones too
    // To a volume and the cut of it that is open, both or none.
    bool write_both(VolumeId of, VolumeId as, std::uint64_t offset, std::string_view bytes);
    bool zero_both(VolumeId of, VolumeId as, std::uint64_t offset, std::uint32_t length);
    // False where there is none, or the medium fails. Its blocks come back by reclaim.
    bool drop(VolumeId volume);
    bool has(VolumeId volume) const { return branches_.contains(volume); }
    bool frozen(VolumeId volume) const;
    // Ranges (bytes, in order) in which two differ.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> diff(VolumeId a, VolumeId b) const;
    // Takes down up to so many nodes of dropped trees; false once there is nothing left.
    bool reclaim(std::size_t nodes);
    bool reclaiming() const { return !dying_.empty(); }
    std::uint64_t blocks_used() const { return used_; }
    std::uint64_t capacity() const { return capacity_; }
    // Whether a write of so many bytes finds room.
    bool has_room(std::uint64_t bytes) const;
    // Blocks that this volume's next write to `offset` would have to copy: shared ones. For what a
    // write costs.
    bool shared(VolumeId volume, std::uint64_t offset) const;

    // Whether a write with this mark was done, as far as that is remembered: until its not-after
    // time.
    bool was_done(std::uint64_t incarnation, std::uint64_t number, Time now);
    void remember(std::uint64_t incarnation, std::uint64_t number, Time not_after, Time now);
    std::size_t marks() const { return marks_.size(); }

    // Every tree walked, every block read, every count counted anew: what does not hold, one line
    // each.
    std::vector<std::string> check();
    // Memory of trees and counts, bytes: by blocks written, not by the sizes of volumes.
    std::size_t memory() const;
    // Turns one stored bit over, as a failing disk does, without touching its checksum.
    void rot(VolumeId volume, std::uint64_t offset);

private:
    static constexpr std::size_t width = 64;
    struct Entry {
        std::uint32_t slot = 0, crc = 0; // slot 0: never written
        bool operator==(const Entry &) const = default;
    };
    struct Node;
    using Ptr = std::shared_ptr<Node>;
    struct Branch {
        Ptr root;
        int levels = 0; // below the root
        VolumeId of;    // what it was cut from
        bool is_snapshot = false, frozen = false, open = false;
        std::uint32_t epoch = 0, sealed = 0; // in force; of the last cut that was sealed
    };
    using Mark = std::pair<std::uint64_t, std::uint64_t>;
    struct Change {
        std::uint64_t at; // block
        Entry entry;
    };

    Entry find(const Branch &b, std::uint64_t at) const;
    void set(Branch &b, std::uint64_t at, Entry entry);
    Node &own(Ptr &p, int level);
    bool load(const Entry &e, char *to);
    std::uint32_t take_slot();
    void unref(std::uint32_t slot);
    // By volume: all of a change, in one record.
    using Changes = std::map<VolumeId, std::vector<Change>>;
    bool change(const std::vector<VolumeId> &volumes, std::uint64_t offset, std::uint64_t length,
                const char *bytes);
    void log(const Changes &changes);
    bool put_all(const Changes &changes);
    void apply(const Changes &changes);
    Cut cut_tree(VolumeId of, VolumeId as, bool frozen, bool open = false, std::uint32_t epoch = 0);
    Cut make(char kind, VolumeId of, VolumeId as, bool frozen, std::uint32_t epoch);
    void drop_tree(VolumeId volume);

    void append(char kind, std::string_view payload);
    void replay(char kind, std::string_view payload, bool durable, bool &sound);
    void checkpoint();
    std::string dump() const;
    void restore(std::string_view body);
    void open();
    void count();
    void area_read(int area, std::uint64_t at, char *to, std::size_t size);
    void area_write(int area, std::uint64_t at, std::string_view bytes);

    Medium &medium_;
    std::uint64_t capacity_, incarnation_ = 1, generation_ = 0, sequence_ = 0, journal_at_ = 0,
                             journal_from_ = 0;
    std::uint64_t flushed_at_ = 0, used_ = 0, nodes_ = 0;
    int area_ = 0;
    bool broken_ = false, unflushed_ = false;
    std::map<VolumeId, Branch> branches_;
    std::vector<std::uint32_t> refs_; // by slot: in how many leaves it stands
    std::vector<std::uint32_t> free_, free_soon_, free_later_; // see flush
    std::vector<std::pair<Ptr, int>> dying_;
    std::map<Mark, Time> marks_;
    std::multimap<Time, Mark> forget_; // by not-after
};

} // namespace knotvane::store
