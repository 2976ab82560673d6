/// \file
/// The planner's durable state: the one owner of its format, on SQLite. Every row has a checksum,
/// and all rows together one, so that a row that is missing is noticed like one that changed.
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

/// The store can't be used: one line says what is wrong, where, and what is expected.
class StateStoreError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Another process has the store open.
class StateStoreInUse final : public StateStoreError {
public:
    using StateStoreError::StateStoreError;
};

/// One file, open for as long as this lives; no other process can open it meanwhile.
class SqliteStateStore final : public StateStore {
public:
    /// Opens or makes the file.
    /// \param vfs  SQLite's name of the file layer, for tests; null: the usual one
    /// \throws StateStoreInUse  another planner has it
    /// \throws StateStoreError  it is damaged, of another format, or can't be opened
    explicit SqliteStateStore(const std::string &path, const char *vfs = nullptr);
    ~SqliteStateStore() override;
    SqliteStateStore(const SqliteStateStore &) = delete;

    /// Nothing was ever committed to it.
    bool is_new() const { return position_.term == Term{0}; }

    /// As committed last.
    const StorePosition &position() const { return position_; }

    /// Calls for every row, in order of kind and ids.
    /// \throws StateStoreError  it can't be read
    void rows(const std::function<void(Row row, std::uint64_t first_id, std::uint64_t second_id,
                                       Version stamp, std::string_view body)> &call) const;

    void keep(Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
              std::string body) override;
    void drop(Row row, std::uint64_t first_id, std::uint64_t second_id) override;
    bool commit(const StorePosition &position) override;

    /// What the last commit that failed met.
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
    sqlite3_stmt *keep_row_ = nullptr;
    sqlite3_stmt *drop_row_ = nullptr;
    sqlite3_stmt *set_position_ = nullptr;
    StorePosition position_;
    Checksums checksums_;
    std::uint64_t all_rows_checksum_ = 0; // those of all rows, joined by exclusive or
    std::map<Key, Change> changes_;
};

} // namespace knotvane::planner
