#include "planner/sqlite_state_store.hpp"

#include <cstring>
#include <filesystem>

#include <sqlite3.h>
#include <xxhash.h>

namespace knotvane::planner {
namespace {

// The version of the format; a file with any other version is rejected and not changed.
constexpr std::int64_t format = 1;
// SQLite treats a file that is smaller than its smallest page as empty.
constexpr std::uintmax_t min_file_bytes = 512;

std::uint64_t checksum(StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                       Version stamp, std::string_view body) {
    const std::uint64_t head[4] = {static_cast<std::uint64_t>(row), first_id, second_id,
                                   stamp.value};
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(head, sizeof head));
}

std::uint64_t checksum(const StorePosition &position, std::uint64_t all_rows) {
    const std::uint64_t fields[6] = {position.term.value,       position.lineage,
                                     position.version.value,    position.oldest_version.value,
                                     position.settings_version, all_rows};
    return XXH3_64bits(fields, sizeof fields);
}

// SQLite's integers are signed; unsigned values are stored with the same bits.
void bind(sqlite3_stmt *statement, int index, std::uint64_t value) {
    sqlite3_bind_int64(statement, index, static_cast<std::int64_t>(value));
}

std::uint64_t column(sqlite3_stmt *statement, int index) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement, index));
}

} // namespace

// ---- Opening.

SqliteStateStore::SqliteStateStore(const std::string &path, const char *vfs) : path_(path) {
    try {
        open(vfs);
    } catch (const std::exception &error) {
        std::string what = error.what();
        const int code = db_ ? sqlite3_errcode(db_) : SQLITE_OK;
        close();
        const auto where = "planner's store " + path_ + ": ";
        if (code == SQLITE_BUSY || code == SQLITE_LOCKED)
            throw StateStoreInUse(where + "in use by another planner");
        if (code == SQLITE_CORRUPT || code == SQLITE_NOTADB)
            what = "damaged: " + what + "; expected an intact store: restore it, or use --rebuild";
        throw StateStoreError(where + what);
    }
}

SqliteStateStore::~SqliteStateStore() {
    close();
}

void SqliteStateStore::close() noexcept {
    for (auto *statement : statements_)
        sqlite3_finalize(statement);
    sqlite3_close_v2(db_);
}

void SqliteStateStore::open(const char *vfs) {
    std::error_code none;
    const auto size = std::filesystem::file_size(path_, none);
    if (!none && size > 0 && size < min_file_bytes)
        throw StateStoreError("damaged: the file has only " + std::to_string(size) +
                              " bytes; restore it from a copy, or use --rebuild");
    if (sqlite3_open_v2(path_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs) !=
        SQLITE_OK)
        throw StateStoreError(db_ ? sqlite3_errmsg(db_) : "out of memory");
    // Uses a rollback journal, which exists only during a commit: a truncated write-ahead log would
    // lose versions undetected. The lock is held until the process ends, also by a kill, so that no
    // two planners use one store.
    run("PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=DELETE; PRAGMA synchronous=EXTRA;"
        "BEGIN EXCLUSIVE;"
        "CREATE TABLE IF NOT EXISTS meta(one INTEGER PRIMARY KEY CHECK(one=1), format INTEGER, "
        "term INTEGER,"
        " lineage INTEGER, version INTEGER, oldest INTEGER, settings INTEGER, all_sum INTEGER, "
        "sum INTEGER);"
        "CREATE TABLE IF NOT EXISTS rows(kind INTEGER, a INTEGER, b INTEGER, stamp INTEGER, "
        "body BLOB,"
        " sum INTEGER, PRIMARY KEY(kind, a, b)) WITHOUT ROWID;"
        "COMMIT;");
    load();
    put_row_ = prepare("INSERT OR REPLACE INTO rows VALUES(?,?,?,?,?,?)");
    erase_row_ = prepare("DELETE FROM rows WHERE kind=? AND a=? AND b=?");
    set_position_ = prepare("INSERT OR REPLACE INTO meta VALUES(1,?,?,?,?,?,?,?,?)");
}

void SqliteStateStore::run(const char *sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
        throw StateStoreError(sqlite3_errmsg(db_));
}

sqlite3_stmt *SqliteStateStore::prepare(const char *sql) {
    sqlite3_stmt *statement = nullptr;
    if (sqlite3_prepare_v2(db_, sql, -1, &statement, nullptr) != SQLITE_OK)
        throw StateStoreError(sqlite3_errmsg(db_));
    statements_.push_back(statement);
    return statement;
}

void SqliteStateStore::load() {
    check_pages();
    load_checksums();
    load_position();
}

void SqliteStateStore::check_pages() {
    auto *check = prepare("PRAGMA quick_check(1)");
    if (sqlite3_step(check) != SQLITE_ROW ||
        std::strcmp(reinterpret_cast<const char *>(sqlite3_column_text(check, 0)), "ok") != 0)
        throw StateStoreError(
            "damaged: SQLite's quick_check found inconsistent pages; restore it, or use --rebuild");
    sqlite3_reset(check);
}

void SqliteStateStore::load_checksums() {
    rows([this](Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
                std::string_view body) {
        const auto sum = checksum(row, first_id, second_id, stamp, body);
        checksums_[{row, first_id, second_id}] = sum;
        all_rows_checksum_ ^= sum;
    });
    auto *stored = prepare("SELECT kind, a, b, sum FROM rows");
    while (sqlite3_step(stored) == SQLITE_ROW) {
        const int kind = sqlite3_column_int(stored, 0);
        const Key key{static_cast<Row>(kind), column(stored, 1), column(stored, 2)};
        if (!checksums_.contains(key) || checksums_.at(key) != column(stored, 3))
            throw StateStoreError(
                "damaged: row " + std::to_string(kind) + "/" + std::to_string(column(stored, 1)) +
                "/" + std::to_string(column(stored, 2)) +
                " does not match its checksum; restore the store, or use --rebuild");
    }
}

void SqliteStateStore::load_position() {
    auto *meta =
        prepare("SELECT format, term, lineage, version, oldest, settings, all_sum, sum FROM meta");
    const int result = sqlite3_step(meta);
    if (result == SQLITE_DONE) {
        if (!checksums_.empty())
            throw StateStoreError(
                "damaged: it has rows but no position in table meta; restore it, or use --rebuild");
        return;
    }
    if (result != SQLITE_ROW)
        throw StateStoreError(sqlite3_errmsg(db_));
    if (sqlite3_column_int64(meta, 0) != format)
        throw StateStoreError("unsupported format " +
                              std::to_string(sqlite3_column_int64(meta, 0)) + ", expected " +
                              std::to_string(format));
    position_ = {Term{column(meta, 1)}, column(meta, 2), Version{column(meta, 3)},
                 Version{column(meta, 4)}, column(meta, 5)};
    if (column(meta, 6) != all_rows_checksum_ ||
        column(meta, 7) != checksum(position_, all_rows_checksum_))
        throw StateStoreError("damaged: rows are missing or changed since the last commit "
                              "(checksum of all rows); restore it, or use --rebuild");
    sqlite3_reset(meta);
}

// ---- Rows.

void SqliteStateStore::rows(const std::function<void(Row, std::uint64_t, std::uint64_t, Version,
                                                     std::string_view)> &call) const {
    sqlite3_stmt *statement = nullptr;
    if (sqlite3_prepare_v2(db_, "SELECT kind, a, b, stamp, body FROM rows ORDER BY kind, a, b", -1,
                           &statement, nullptr) != SQLITE_OK)
        throw StateStoreError(sqlite3_errmsg(db_));
    int result = SQLITE_DONE;
    while ((result = sqlite3_step(statement)) == SQLITE_ROW) {
        const std::string_view body{static_cast<const char *>(sqlite3_column_blob(statement, 4)),
                                    static_cast<std::size_t>(sqlite3_column_bytes(statement, 4))};
        call(static_cast<Row>(sqlite3_column_int(statement, 0)), column(statement, 1),
             column(statement, 2), Version{column(statement, 3)}, body);
    }
    sqlite3_finalize(statement);
    if (result != SQLITE_DONE)
        throw StateStoreError(sqlite3_errmsg(db_));
}

void SqliteStateStore::put(Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
                           std::string body) {
    changes_[{row, first_id, second_id}] = {true, stamp, std::move(body)};
}

void SqliteStateStore::erase(Row row, std::uint64_t first_id, std::uint64_t second_id) {
    changes_[{row, first_id, second_id}] = {};
}

// ---- Committing.

void SqliteStateStore::step(sqlite3_stmt *statement) {
    const int result = sqlite3_step(statement);
    const std::string what = result == SQLITE_DONE ? "" : sqlite3_errmsg(db_);
    sqlite3_reset(statement);
    if (!what.empty())
        throw StateStoreError(what);
}

// Returns the new checksum of all rows. The cost depends on the number of changes, not of rows.
std::uint64_t SqliteStateStore::write_changes(Checksums &new_checksums) {
    auto all_rows = all_rows_checksum_;
    for (const auto &[key, change] : changes_) {
        const auto &[row, first_id, second_id] = key;
        if (auto it = checksums_.find(key); it != checksums_.end())
            all_rows ^= it->second;
        auto *statement = change.is_put ? put_row_ : erase_row_;
        sqlite3_bind_int(statement, 1, static_cast<int>(row));
        bind(statement, 2, first_id);
        bind(statement, 3, second_id);
        if (change.is_put) {
            const auto sum = checksum(row, first_id, second_id, change.stamp, change.body);
            new_checksums[key] = sum;
            all_rows ^= sum;
            bind(statement, 4, change.stamp.value);
            sqlite3_bind_blob(statement, 5, change.body.data(),
                              static_cast<int>(change.body.size()), SQLITE_STATIC);
            bind(statement, 6, sum);
        }
        step(statement);
    }
    return all_rows;
}

void SqliteStateStore::write_position(const StorePosition &position, std::uint64_t all_rows) {
    sqlite3_bind_int64(set_position_, 1, format);
    bind(set_position_, 2, position.term.value);
    bind(set_position_, 3, position.lineage);
    bind(set_position_, 4, position.version.value);
    bind(set_position_, 5, position.oldest_version.value);
    bind(set_position_, 6, position.settings_version);
    bind(set_position_, 7, all_rows);
    bind(set_position_, 8, checksum(position, all_rows));
    step(set_position_);
}

bool SqliteStateStore::commit(const StorePosition &position) {
    Checksums new_checksums;
    std::uint64_t all_rows = 0;
    try {
        run("BEGIN");
        all_rows = write_changes(new_checksums);
        write_position(position, all_rows);
        run("COMMIT");
    } catch (const std::exception &error) {
        fault_ = error.what();
        sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
        return false;
    }
    for (const auto &[key, change] : changes_) {
        if (change.is_put)
            checksums_[key] = new_checksums.at(key);
        else
            checksums_.erase(key);
    }
    all_rows_checksum_ = all_rows;
    changes_.clear();
    position_ = position;
    return true;
}

} // namespace knotvane::planner
