// The planner's durable state: the one owner of its format, on SQLite. Every row has a checksum,
// and all rows together one, so that a row that is missing is noticed like one that changed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "planner/core.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace knotvane::planner {

class SqliteStateStore final : public StateStore {
public:
    // Opens or makes the file. Throws std::runtime_error with one line: what is wrong, where, what
    // is expected. A store that another process has open is that, and so is one that is damaged.
    // `vfs`: SQLite's name of the file layer, for tests.
    explicit SqliteStateStore(const std::string &path, const char *vfs = nullptr);
    ~SqliteStateStore() override;
    SqliteStateStore(const SqliteStateStore &) = delete;

    // Nothing was ever committed to it.
    bool is_new() const { return term_ == Term{0}; }
    Term term() const { return term_; }
    Version version() const { return version_; }
    Version oldest() const { return oldest_; }
    std::uint64_t lineage() const { return lineage_; }
    std::uint64_t settings() const { return settings_; }
    // Every row, in order of kind and ids.
    void rows(const std::function<void(Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                                       std::string_view body)> &call) const;

    void keep(Row row, std::uint64_t a, std::uint64_t b, Version stamp, std::string body) override;
    void drop(Row row, std::uint64_t a, std::uint64_t b) override;
    bool commit(Term term, std::uint64_t lineage, Version version, Version oldest,
                std::uint64_t settings) override;
    // What the last commit that failed met.
    const std::string &fault() const { return fault_; }

private:
    struct Change {
        bool there;
        Version stamp;
        std::string body;
    };
    using Key = std::tuple<Row, std::uint64_t, std::uint64_t>;
    void run(const char *sql);
    sqlite3_stmt *prepare(const char *sql);
    void load(const std::string &path);
    [[noreturn]] void fail(const std::string &what) const;

    std::string path_, fault_;
    sqlite3 *db_ = nullptr;
    std::vector<sqlite3_stmt *> statements_;
    sqlite3_stmt *put_ = nullptr, *erase_ = nullptr, *meta_ = nullptr;
    Term term_;
    Version version_, oldest_;
    std::uint64_t lineage_ = 0, settings_ = 0, all_ = 0; // all_: the rows' checksums, as one
    std::map<Key, std::uint64_t> sums_;
    std::map<Key, Change> gathered_;
};

} // namespace knotvane::planner
