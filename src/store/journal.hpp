/// \file
/// The area that counts: which one it is, and the journal of records behind its trees.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "store/format.hpp"
#include "store/medium.hpp"

namespace knotvane::store {

/// An area's number, 0 or 1.
using AreaIndex = unsigned;
inline constexpr AreaIndex area_count = 2;

/// Reads and writes within the two areas of a medium. Throws what the medium does.
class AreaStorage {
public:
    /// @param medium must outlive it.
    explicit AreaStorage(Medium &medium) : medium_(medium) {}

    std::string read(AreaIndex area, std::uint64_t offset, std::size_t size);
    void write(AreaIndex area, std::uint64_t offset, std::string_view bytes);

private:
    Medium &medium_;
};

/// A record that was read.
struct JournalRecord {
    RecordKind kind = RecordKind::write;
    std::string payload;
    std::uint64_t end = 0; ///< Offset behind it in the area.
};

/// Appends records behind the trees of the area that counts, and reads them at an opening.
class Journal {
public:
    /// @param medium must outlive it.
    explicit Journal(Medium &medium) : areas_(medium) {}

    AreaStorage &areas() { return areas_; }
    AreaIndex area() const { return area_; }
    std::uint64_t generation() const { return generation_; }
    std::uint64_t last_number() const { return last_number_; }

    /// There is no area that counts; the first one will be area 0.
    void reset();
    /// Goes on behind the trees of an area; all before is durable.
    void begin(AreaIndex area, const AreaHeader &header);

    /// Appends a record. If the medium fails, the next one is written over it.
    void append(RecordKind kind, std::string_view payload);
    /// Reads all records from the beginning until one is missing or not whole.
    std::vector<JournalRecord> read_records();
    /// Notes that a record that was read counts; the next one is appended behind it.
    void accept(const JournalRecord &record);
    /// Notes that all records so far are durable.
    void mark_flushed() { flushed_end_ = end_; }
    /// Makes the records since the last flush unreadable. Not durable before the next sync.
    void erase_unflushed();

    /// Whether the records take so much more than the trees that a checkpoint is due.
    bool needs_checkpoint() const;

private:
    AreaStorage areas_;
    AreaIndex area_ = 0;
    std::uint64_t generation_ = 0; // 0: there is no area that counts
    std::uint64_t last_number_ = 0;
    // Offsets in the area.
    std::uint64_t begin_ = 0;
    std::uint64_t end_ = 0;
    std::uint64_t flushed_end_ = 0;
};

} // namespace knotvane::store
