// The planner's store: killed at every write, cut at every byte, a row changed, two at once.
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

// SQLite's own file layer, but writing stops for good at a chosen call, halfway through it: what a
// kill or a full disk leaves. Every change of a file counts: writes, cuts, syncs and removals.
struct Cutting {
    static inline sqlite3_vfs *real = nullptr;
    static inline int left = -1, calls = 0;
    // SQLite's methods for a file (a journal's are not a database's), and ours over each kind.
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
        mine.iVersion = 1; // no mapped memory past these calls
        mine.xWrite = write, mine.xTruncate = truncate, mine.xSync = sync;
        f->pMethods = &mine;
        return got;
    }
    static const char *name() {
        if (!real) {
            real = sqlite3_vfs_find(nullptr);
            vfs = *real;
            vfs.zName = "cutting", vfs.xOpen = open, vfs.xDelete = remove;
            sqlite3_vfs_register(&vfs, 0);
        }
        return "cutting";
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
    TEST_CASE("killed at every write it makes: what was committed is there, and nothing of what "
              "was not") {
        Folder folder;
        int tried = 0, kept = 0;
        for (int at = 0;; ++at) {
            auto path = folder.file("s" + std::to_string(at));
            std::string before, after;
            bool well = true;
            {
                SqliteStateStore s(path);
                change(s, 1);
                REQUIRE(s.commit({Term{1}, 5, Version{1}, Version{0}, 1}));
                before = all_rows(s);
            }
            {
                Cutting::left = -1;
                SqliteStateStore s(path, Cutting::name());
                Cutting::left = at, Cutting::calls = 0;
                change(s, 2);
                well = s.commit({Term{1}, 5, Version{2}, Version{0}, 1});
                if (well)
                    after = all_rows(s);
                // What would still be written when the process ends is not.
                Cutting::left = 0;
            }
            Cutting::left = -1;
            auto now = opened(path);
            if (well)
                CHECK(now == after);
            else
                CHECK((now == before || now.starts_with("1/2:")));
            kept += now == before, ++tried;
            if (well)
                break;
        }
        CHECK(tried > 10);
        CHECK(kept > 3);
    }
    TEST_CASE(
        "cut short at any byte, or with a byte changed: refused in one line, never half read") {
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
            // Bytes that nothing is kept in may change; what is read is what was written, or
            // nothing.
            CHECK((got == good || got.starts_with("! ")));
            (got == good ? same : changed)++;
        }
        CHECK(changed > 10);
        CHECK(with("").starts_with("0/0:"));
    }
    TEST_CASE("one planner has it at a time; when it is gone the next one may") {
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
