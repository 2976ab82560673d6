/// \file
/// The active area of a store, and the journal of records that follows its trees.
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

/// Reads and writes by offset within the two areas of a medium. Throws StoreError if the medium
/// fails.
class AreaStorage {
public:
    /// @param medium must outlive it.
    explicit AreaStorage(Medium &medium) : medium_(medium) {}

    std::string read(AreaIndex area, std::uint64_t offset, std::size_t size);
    void write(AreaIndex area, std::uint64_t offset, std::string_view bytes);

private:
    Medium &medium_;
};

/// A record that was read from the journal.
struct JournalRecord {
    RecordKind kind = RecordKind::write;
    std::string payload;
    std::uint64_t end = 0; ///< Offset in the area of the first byte after the record.
};

/// Appends records after the trees of the active area, and reads them back when the store is
/// opened.
class Journal {
public:
    /// @param medium must outlive it.
    explicit Journal(Medium &medium) : areas_(medium) {}

    AreaStorage &areas() { return areas_; }
    AreaIndex area() const { return area_; }
    std::uint64_t generation() const { return generation_; }
    std::uint64_t last_number() const { return last_number_; }

    /// Forgets the active area, so that the next checkpoint goes into area 0.
    void reset();
    /// Makes an area active and starts an empty journal after its trees, which must be durable.
    void begin(AreaIndex area, const AreaHeader &header);

    /// Appends a record. If the medium fails, the next append overwrites the incomplete record.
    void append(RecordKind kind, std::string_view payload);
    /// Reads the records from the start of the journal up to the first that is missing or
    /// incomplete.
    std::vector<JournalRecord> read_records();
    /// Keeps a record that was read; the next append goes after it.
    void accept(const JournalRecord &record);
    /// Marks all records so far as durable.
    void mark_flushed() { flushed_end_ = end_; }
    /// Makes the records since the last flush unreadable. Durable only after the next sync.
    void erase_unflushed();

    /// Whether the journal has grown so long that a checkpoint should replace it.
    bool needs_checkpoint() const;

private:
    AreaStorage areas_;
    AreaIndex area_ = 0;
    std::uint64_t generation_ = 0; // 0: there is no active area
    std::uint64_t last_number_ = 0;
    // Offsets in the area: the journal's begin and end, and the end of its durable part.
    std::uint64_t begin_ = 0;
    std::uint64_t end_ = 0;
    std::uint64_t flushed_end_ = 0;
};

} // namespace knotvane::store
