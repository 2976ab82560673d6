#include "planner/sqlite_state_store.hpp"

#include <cstring>
#include <filesystem>
#include <stdexcept>

#include <sqlite3.h>
#include <xxhash.h>

namespace knotvane::planner {
namespace {

// The format's number; a file with another is not touched.
constexpr std::int64_t format = 1;

std::uint64_t sum_of(StateStore::Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                     std::string_view body) {
    std::uint64_t head[4] = {static_cast<std::uint64_t>(row), a, b, stamp.value};
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(head, sizeof head));
}
std::uint64_t sum_of(Term term, std::uint64_t lineage, Version version, Version oldest,
                     std::uint64_t settings, std::uint64_t all) {
    std::uint64_t f[6] = {term.value, lineage, version.value, oldest.value, settings, all};
    return XXH3_64bits(f, sizeof f);
}
// SQLite's integers have a sign; ours are carried bit by bit.
void bind(sqlite3_stmt *s, int at, std::uint64_t v) {
    sqlite3_bind_int64(s, at, static_cast<std::int64_t>(v));
}
std::uint64_t column(sqlite3_stmt *s, int at) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(s, at));
}

} // namespace

void SqliteStateStore::fail(const std::string &what) const {
    throw std::runtime_error("planner's store " + path_ + ": " + what);
}

void SqliteStateStore::run(const char *sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
        throw std::runtime_error(sqlite3_errmsg(db_));
}
sqlite3_stmt *SqliteStateStore::prepare(const char *sql) {
    sqlite3_stmt *s = nullptr;
    if (sqlite3_prepare_v2(db_, sql, -1, &s, nullptr) != SQLITE_OK)
        throw std::runtime_error(sqlite3_errmsg(db_));
    statements_.push_back(s);
    return s;
}

SqliteStateStore::SqliteStateStore(const std::string &path, const char *vfs) : path_(path) {
    try {
        // SQLite takes a file of a few bytes for an empty one.
        std::error_code none;
        if (auto size = std::filesystem::file_size(path, none); !none && size > 0 && size < 512)
            throw std::runtime_error("damaged: of " + std::to_string(size) +
                                     " bytes, expected a whole store");
        if (sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs) !=
            SQLITE_OK)
            throw std::runtime_error(db_ ? sqlite3_errmsg(db_) : "no memory");
        // One file besides a short-lived journal: a log beside it, cut short, would lose versions
        // and not show it. The lock is kept for the process's life, so no two planners have one
        // store; it goes with a kill.
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
        load(path);
        put_ = prepare("INSERT OR REPLACE INTO rows VALUES(?,?,?,?,?,?)");
        erase_ = prepare("DELETE FROM rows WHERE kind=? AND a=? AND b=?");
        meta_ = prepare("INSERT OR REPLACE INTO meta VALUES(1,?,?,?,?,?,?,?,?)");
    } catch (const std::exception &e) {
        std::string what = e.what();
        int code = db_ ? sqlite3_errcode(db_) : 0;
        for (auto *s : statements_)
            sqlite3_finalize(s);
        sqlite3_close_v2(db_);
        if (code == SQLITE_BUSY || code == SQLITE_LOCKED)
            what = "in use by another planner";
        if (code == SQLITE_CORRUPT || code == SQLITE_NOTADB)
            what = "damaged: " + what + "; expected a whole store: bring it back, or --rebuild";
        fail(what);
    }
}
SqliteStateStore::~SqliteStateStore() {
    for (auto *s : statements_)
        sqlite3_finalize(s);
    sqlite3_close_v2(db_);
}

void SqliteStateStore::load(const std::string &) {
    auto *check = prepare("PRAGMA quick_check(1)");
    if (sqlite3_step(check) != SQLITE_ROW ||
        std::strcmp(reinterpret_cast<const char *>(sqlite3_column_text(check, 0)), "ok") != 0)
        throw std::runtime_error(
            "damaged: its pages don't hold together; expected a whole store: bring it back, "
            "or --rebuild");
    sqlite3_reset(check);
    rows([&](Row row, std::uint64_t a, std::uint64_t b, Version stamp, std::string_view body) {
        auto sum = sum_of(row, a, b, stamp, body);
        sums_[{row, a, b}] = sum;
        all_ ^= sum;
    });
    auto *sums = prepare("SELECT kind, a, b, sum FROM rows");
    while (sqlite3_step(sums) == SQLITE_ROW) {
        Key key{static_cast<Row>(sqlite3_column_int(sums, 0)), column(sums, 1), column(sums, 2)};
        if (!sums_.contains(key) || sums_.at(key) != column(sums, 3))
            throw std::runtime_error("damaged: row " + std::to_string(sqlite3_column_int(sums, 0)) +
                                     "/" + std::to_string(column(sums, 1)) + "/" +
                                     std::to_string(column(sums, 2)) +
                                     " does not match its checksum");
    }
    auto *meta =
        prepare("SELECT format, term, lineage, version, oldest, settings, all_sum, sum FROM meta");
    int got = sqlite3_step(meta);
    if (got == SQLITE_DONE) {
        if (!sums_.empty())
            throw std::runtime_error("damaged: it has rows and does not say where it stands");
        return;
    }
    if (got != SQLITE_ROW)
        throw std::runtime_error(sqlite3_errmsg(db_));
    if (sqlite3_column_int64(meta, 0) != format)
        throw std::runtime_error("format " + std::to_string(sqlite3_column_int64(meta, 0)) +
                                 ", expected " + std::to_string(format));
    term_ = Term{column(meta, 1)}, lineage_ = column(meta, 2), version_ = Version{column(meta, 3)};
    oldest_ = Version{column(meta, 4)}, settings_ = column(meta, 5);
    if (column(meta, 6) != all_ ||
        column(meta, 7) != sum_of(term_, lineage_, version_, oldest_, settings_, all_))
        throw std::runtime_error("damaged: its rows are not those that it was left with");
    sqlite3_reset(meta);
}

void SqliteStateStore::rows(const std::function<void(Row, std::uint64_t, std::uint64_t, Version,
                                                     std::string_view)> &call) const {
    sqlite3_stmt *s = nullptr;
    if (sqlite3_prepare_v2(db_, "SELECT kind, a, b, stamp, body FROM rows ORDER BY kind, a, b", -1,
                           &s, nullptr) != SQLITE_OK)
        throw std::runtime_error(sqlite3_errmsg(db_));
    int got;
    while ((got = sqlite3_step(s)) == SQLITE_ROW)
        call(static_cast<Row>(sqlite3_column_int(s, 0)), column(s, 1), column(s, 2),
             Version{column(s, 3)},
             {static_cast<const char *>(sqlite3_column_blob(s, 4)),
              static_cast<std::size_t>(sqlite3_column_bytes(s, 4))});
    sqlite3_finalize(s);
    if (got != SQLITE_DONE)
        throw std::runtime_error(sqlite3_errmsg(db_));
}

void SqliteStateStore::keep(Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                            std::string body) {
    gathered_[{row, a, b}] = {true, stamp, std::move(body)};
}
void SqliteStateStore::drop(Row row, std::uint64_t a, std::uint64_t b) {
    gathered_[{row, a, b}] = {false, {}, {}};
}

bool SqliteStateStore::commit(Term term, std::uint64_t lineage, Version version, Version oldest,
                              std::uint64_t settings) {
    std::map<Key, std::uint64_t>
        fresh; // only what changes: a commit costs by that, not by all there is
    auto all = all_;
    auto step = [&](sqlite3_stmt *s) {
        int got = sqlite3_step(s);
        std::string what = got == SQLITE_DONE ? "" : sqlite3_errmsg(db_);
        sqlite3_reset(s);
        if (!what.empty())
            throw std::runtime_error(what);
    };
    try {
        run("BEGIN");
        for (auto &[key, c] : gathered_) {
            auto [row, a, b] = key;
            if (auto it = sums_.find(key); it != sums_.end())
                all ^= it->second;
            auto *s = c.there ? put_ : erase_;
            sqlite3_bind_int(s, 1, static_cast<int>(row));
            bind(s, 2, a), bind(s, 3, b);
            if (c.there) {
                auto sum = sum_of(row, a, b, c.stamp, c.body);
                fresh[key] = sum, all ^= sum;
                bind(s, 4, c.stamp.value);
                sqlite3_bind_blob(s, 5, c.body.data(), static_cast<int>(c.body.size()),
                                  SQLITE_STATIC);
                bind(s, 6, sum);
            }
            step(s);
        }
        sqlite3_bind_int64(meta_, 1, format);
        bind(meta_, 2, term.value), bind(meta_, 3, lineage), bind(meta_, 4, version.value);
        bind(meta_, 5, oldest.value), bind(meta_, 6, settings), bind(meta_, 7, all);
        bind(meta_, 8, sum_of(term, lineage, version, oldest, settings, all));
        step(meta_);
        run("COMMIT");
    } catch (const std::exception &e) {
        fault_ = e.what();
        sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
        return false;
    }
    for (auto &[key, c] : gathered_)
        if (c.there)
            sums_[key] = fresh.at(key);
        else
            sums_.erase(key);
    all_ = all, gathered_.clear();
    term_ = term, lineage_ = lineage, version_ = version, oldest_ = oldest, settings_ = settings;
    return true;
}

} // namespace knotvane::planner
