/// \file
/// The planner's durable state in SQLite; only this class knows its format. Each row has a
/// checksum, and there is one of all rows together, so that missing rows are detected as well as
/// changed ones.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "planner/state_store.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace knotvane::planner {

/// The store can't be used. The one-line message names the file, the fault and what is expected.
class StateStoreError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Another process has the store open.
class StateStoreInUse final : public StateStoreError {
public:
    using StateStoreError::StateStoreError;
};

/// A store in one file, which stays open and exclusively locked for the lifetime of this object.
class SqliteStateStore final : public StateStore {
public:
    /// Opens the file, or creates it.
    /// \param vfs  the name of the SQLite VFS to use, for tests; null for the default
    /// \throws StateStoreInUse  another planner has it open
    /// \throws StateStoreError  it is damaged, of another format, or can't be opened
    explicit SqliteStateStore(const std::string &path, const char *vfs = nullptr);
    ~SqliteStateStore() override;
    SqliteStateStore(const SqliteStateStore &) = delete;

    /// Whether nothing was ever committed to it.
    bool is_new() const { return position_.term == Term{0}; }

    /// The position committed last.
    const StorePosition &position() const { return position_; }

    /// Calls `call` for every row, ordered by kind and ids.
    /// \throws StateStoreError  it can't be read
    void rows(const std::function<void(Row row, std::uint64_t first_id, std::uint64_t second_id,
                                       Version stamp, std::string_view body)> &call) const;

    void put(Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
             std::string body) override;
    void erase(Row row, std::uint64_t first_id, std::uint64_t second_id) override;
    bool commit(const StorePosition &position) override;

    /// The error of the last commit that failed.
    const std::string &fault() const { return fault_; }

private:
    struct Change {
        bool is_put = false; // else dropped
        Version stamp;
        std::string body;
    };
    using Key = std::tuple<Row, std::uint64_t, std::uint64_t>;
    using Checksums = std::map<Key, std::uint64_t>;

    void open(const char *vfs);
    void close() noexcept;
    void run(const char *sql);
    sqlite3_stmt *prepare(const char *sql);
    void load();
    void check_pages();
    void load_checksums();
    void load_position();
    std::uint64_t write_changes(Checksums &new_checksums);
    void write_position(const StorePosition &position, std::uint64_t all_rows);
    void step(sqlite3_stmt *statement);

    std::string path_;
    std::string fault_;
    sqlite3 *db_ = nullptr;
    std::vector<sqlite3_stmt *> statements_;
    sqlite3_stmt *put_row_ = nullptr;
    sqlite3_stmt *erase_row_ = nullptr;
    sqlite3_stmt *set_position_ = nullptr;
    StorePosition position_;
    Checksums checksums_;
    std::uint64_t all_rows_checksum_ = 0; // exclusive or of the checksums of all rows
    std::map<Key, Change> changes_;
};

} // namespace knotvane::planner
