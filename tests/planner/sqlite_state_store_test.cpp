// The planner's store: killed at every write, truncated at any byte, damaged, or opened twice.
#include <doctest/doctest.h>

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

#include <sqlite3.h>

#include "planner/sqlite_state_store.hpp"

using namespace knotvane;
using namespace knotvane::planner;

namespace {

// An SQLite VFS in which every file change fails from a chosen call on, and every other failed
// write stores half of its bytes, as after a kill or on a full disk. Writes, truncations, syncs and
// deletions count as calls.
struct FailingVfs {
    static inline sqlite3_vfs *real = nullptr;
    static inline int left = -1, calls = 0;
    // SQLite's original methods of each open file, and the replacement for each set of methods (a
    // journal has other methods than a database).
    static inline std::map<sqlite3_file *, const sqlite3_io_methods *> of;
    static inline std::map<const sqlite3_io_methods *, sqlite3_io_methods> ours;
    static inline sqlite3_vfs vfs;

    static bool dead() {
        ++calls;
        return left >= 0 && left-- <= 0 && (left = 0, true);
    }
    static int write(sqlite3_file *f, const void *from, int n, sqlite3_int64 at) {
        if (!dead())
            return of.at(f)->xWrite(f, from, n, at);
        static bool half = true;
        if ((half = !half))
            of.at(f)->xWrite(f, from, n / 2, at);
        return SQLITE_IOERR_WRITE;
    }
    static int truncate(sqlite3_file *f, sqlite3_int64 n) {
        return dead() ? SQLITE_IOERR : of.at(f)->xTruncate(f, n);
    }
    static int sync(sqlite3_file *f, int flags) {
        return dead() ? SQLITE_IOERR : of.at(f)->xSync(f, flags);
    }
    static int remove(sqlite3_vfs *, const char *name, int dir) {
        return dead() ? SQLITE_IOERR_DELETE : real->xDelete(real, name, dir);
    }
    static int open(sqlite3_vfs *, const char *name, sqlite3_file *f, int flags, int *out) {
        int got = real->xOpen(real, name, f, flags, out);
        if (got != SQLITE_OK)
            return got;
        of[f] = f->pMethods;
        auto &mine = ours[f->pMethods];
        mine = *f->pMethods;
        mine.iVersion = 1; // disables memory mapping, which would bypass these methods
        mine.xWrite = write, mine.xTruncate = truncate, mine.xSync = sync;
        f->pMethods = &mine;
        return got;
    }
    static const char *name() {
        if (!real) {
            real = sqlite3_vfs_find(nullptr);
            vfs = *real;
            vfs.zName = "failing", vfs.xOpen = open, vfs.xDelete = remove;
            sqlite3_vfs_register(&vfs, 0);
        }
        return "failing";
    }
};

struct Folder {
    std::string path =
        std::filesystem::temp_directory_path() / ("knotvane-store-" + std::to_string(::getpid()));
    Folder() {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string file(const std::string &name) const { return path + "/" + name; }
};

std::string all_rows(const SqliteStateStore &s) {
    std::string out = std::to_string(s.position().term.value) + "/" +
                      std::to_string(s.position().version.value) + ":";
    s.rows([&](StateStore::Row row, std::uint64_t a, std::uint64_t b, Version stamp,
               std::string_view body) {
        out += std::to_string(static_cast<int>(row)) + "," + std::to_string(a) + "," +
               std::to_string(b) + "," + std::to_string(stamp.value) + "," + std::string(body) +
               ";";
    });
    return out;
}
void change(SqliteStateStore &s, std::uint64_t version) {
    for (std::uint64_t i = 0; i < 40; ++i)
        s.put(StateStore::Row::quota_share, i, version % 7, Version{version},
              std::string(200, static_cast<char>('a' + version % 26)));
    s.erase(StateStore::Row::quota_share, version % 40, (version + 3) % 7);
}
std::string opened(const std::string &path) {
    try {
        SqliteStateStore s(path);
        return all_rows(s);
    } catch (const std::exception &e) {
        return std::string("! ") + e.what();
    }
}

} // namespace

TEST_SUITE("the planner's store") {
    TEST_CASE(
        "after a kill at any write the store holds all committed rows and no uncommitted ones") {
        Folder folder;
        int attempts = 0, unchanged = 0;
        for (int at = 0;; ++at) {
            auto path = folder.file("s" + std::to_string(at));
            std::string before, after;
            bool committed = true;
            {
                SqliteStateStore s(path);
                change(s, 1);
                REQUIRE(s.commit({Term{1}, 5, Version{1}, Version{0}, 1}));
                before = all_rows(s);
            }
            {
                FailingVfs::left = -1;
                SqliteStateStore s(path, FailingVfs::name());
                FailingVfs::left = at, FailingVfs::calls = 0;
                change(s, 2);
                committed = s.commit({Term{1}, 5, Version{2}, Version{0}, 1});
                if (committed)
                    after = all_rows(s);
                // Also fails the writes that closing the store would make.
                FailingVfs::left = 0;
            }
            FailingVfs::left = -1;
            auto now = opened(path);
            if (committed)
                CHECK(now == after);
            else
                CHECK((now == before || now.starts_with("1/2:")));
            unchanged += now == before, ++attempts;
            if (committed)
                break;
        }
        CHECK(attempts > 10);
        CHECK(unchanged > 3);
    }
    TEST_CASE("a truncated store is rejected in one line; one with a changed byte is rejected or "
              "read correctly") {
        Folder folder;
        auto path = folder.file("s");
        {
            SqliteStateStore s(path);
            change(s, 1);
            REQUIRE(s.commit({Term{4}, 5, Version{9}, Version{0}, 1}));
        }
        auto good = opened(path);
        std::ifstream in(path, std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(in)), {});
        auto with = [&](const std::string &other) {
            auto p = folder.file("t");
            std::ofstream(p, std::ios::binary | std::ios::trunc) << other;
            return opened(p);
        };
        int refused = 0;
        for (std::size_t cut = 1; cut < bytes.size(); cut += cut < 200 ? 1 : 127) {
            auto got = with(bytes.substr(0, cut));
            INFO(cut << " of " << bytes.size() << ": " << got.substr(0, 100));
            CHECK(got.starts_with("! planner's store "));
            ++refused;
        }
        CHECK(refused > 200);
        int changed = 0, same = 0;
        for (std::size_t at = 100; at < bytes.size(); at += 211) {
            auto other = bytes;
            other[at] = static_cast<char>(other[at] ^ 0x41);
            auto got = with(other);
            // A change in an unused byte may go unnoticed; otherwise the store must be rejected.
            CHECK((got == good || got.starts_with("! ")));
            (got == good ? same : changed)++;
        }
        CHECK(changed > 10);
        CHECK(with("").starts_with("0/0:"));
    }
    TEST_CASE("only one planner can open the store at a time; the next one can once it is closed") {
        Folder folder;
        auto path = folder.file("s");
        {
            SqliteStateStore first(path);
            REQUIRE(first.commit({Term{1}, 5, Version{1}, Version{0}, 1}));
            CHECK(opened(path) == "! planner's store " + path + ": in use by another planner");
        }
        CHECK(opened(path) == "1/1:");
    }
}
