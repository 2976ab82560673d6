#include "store/medium.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <stdexcept>
#include <unistd.h>

namespace knotvane::store {
namespace {

class File final : public Medium {
public:
    File(const std::string &path, bool sync_for_real) : path_(path), sync_for_real_(sync_for_real) {
        fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        if (fd_ < 0)
            fail("can't be opened");
    }
    ~File() override { ::close(fd_); }
    void read(std::uint64_t at, char *to, std::size_t size) override {
        while (size > 0) {
            ssize_t got = ::pread(fd_, to, size, static_cast<off_t>(at));
            if (got < 0 && errno == EINTR)
                continue;
            if (got < 0)
                fail("can't be read");
            if (got == 0) {
                std::memset(to, 0, size);
                return;
            }
            to += got, at += static_cast<std::uint64_t>(got), size -= static_cast<std::size_t>(got);
        }
    }
    void write(std::uint64_t at, std::string_view bytes) override {
        while (!bytes.empty()) {
            ssize_t put = ::pwrite(fd_, bytes.data(), bytes.size(), static_cast<off_t>(at));
            if (put < 0 && errno == EINTR)
                continue;
            if (put < 0)
                fail("can't be written");
            at += static_cast<std::uint64_t>(put),
                bytes.remove_prefix(static_cast<std::size_t>(put));
        }
    }
    void sync() override {
        if (sync_for_real_ && ::fdatasync(fd_) != 0)
            fail("can't be made durable");
    }

private:
    [[noreturn]] void fail(const char *what) {
        throw std::runtime_error("store file " + path_ + " " + what + ": " + std::strerror(errno));
    }
    std::string path_;
    bool sync_for_real_;
    int fd_ = -1;
};

class Memory final : public Medium {
public:
    explicit Memory(std::string &bytes) : bytes_(bytes) {}
    void read(std::uint64_t at, char *to, std::size_t size) override {
        std::memset(to, 0, size);
        if (at < bytes_.size())
            std::memcpy(to, bytes_.data() + at, std::min(size, bytes_.size() - at));
    }
    void write(std::uint64_t at, std::string_view bytes) override {
        if (at + bytes.size() > bytes_.size())
            bytes_.resize(at + bytes.size());
        std::memcpy(bytes_.data() + at, bytes.data(), bytes.size());
    }
    void sync() override {}

private:
    std::string &bytes_;
};

class Untouched final : public Medium {
public:
    explicit Untouched(Medium &below) : below_(below) {}
    void read(std::uint64_t at, char *to, std::size_t size) override {
        each(at, size, [&](std::uint64_t number, std::size_t within, std::size_t n) {
            auto it = pages_.find(number);
            if (it == pages_.end())
                below_.read(number * page + within, to, n);
            else
                std::memcpy(to, it->second.data() + within, n);
            to += n;
        });
    }
    void write(std::uint64_t at, std::string_view bytes) override {
        each(at, bytes.size(), [&](std::uint64_t number, std::size_t within, std::size_t n) {
            auto [it, is_new] = pages_.try_emplace(number, page, '\0');
            if (is_new)
                below_.read(number * page, it->second.data(), page);
            std::memcpy(it->second.data() + within, bytes.data(), n);
            bytes.remove_prefix(n);
        });
    }
    void sync() override {}

private:
    static constexpr std::size_t page = 4096;
    template <class Call>
    static void each(std::uint64_t at, std::size_t size, Call call) {
        while (size > 0) {
            auto within = static_cast<std::size_t>(at % page), n = std::min(size, page - within);
            call(at / page, within, n);
            at += n, size -= n;
        }
    }
    Medium &below_;
    std::map<std::uint64_t, std::string> pages_;
};

} // namespace

std::unique_ptr<Medium> file_medium(const std::string &path, bool sync_for_real) {
    return std::make_unique<File>(path, sync_for_real);
}
std::unique_ptr<Medium> memory_medium(std::string &bytes) {
    return std::make_unique<Memory>(bytes);
}

std::unique_ptr<Medium> untouched(Medium &below) {
    return std::make_unique<Untouched>(below);
}

} // namespace knotvane::store
