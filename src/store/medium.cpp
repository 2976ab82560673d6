#include "store/medium.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

namespace knotvane::store {
namespace {

class File final : public Medium {
  public:
    File(const std::string &path, bool sync_for_real) : path_(path), sync_for_real_(sync_for_real) {
        fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        if (fd_ < 0) fail("can't be opened");
    }
    ~File() override { ::close(fd_); }
    void read(std::uint64_t at, char *to, std::size_t size) override {
        while (size > 0) {
            ssize_t got = ::pread(fd_, to, size, static_cast<off_t>(at));
            if (got < 0 && errno == EINTR) continue;
            if (got < 0) fail("can't be read");
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
            if (put < 0 && errno == EINTR) continue;
            if (put < 0) fail("can't be written");
            at += static_cast<std::uint64_t>(put), bytes.remove_prefix(static_cast<std::size_t>(put));
        }
    }
    void sync() override {
        if (sync_for_real_ && ::fdatasync(fd_) != 0) fail("can't be made durable");
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
        if (at < bytes_.size()) std::memcpy(to, bytes_.data() + at, std::min(size, bytes_.size() - at));
    }
    void write(std::uint64_t at, std::string_view bytes) override {
        if (at + bytes.size() > bytes_.size()) bytes_.resize(at + bytes.size());
        std::memcpy(bytes_.data() + at, bytes.data(), bytes.size());
    }
    void sync() override {}

  private:
    std::string &bytes_;
};

} // namespace

std::unique_ptr<Medium> file_medium(const std::string &path, bool sync_for_real) {
    return std::make_unique<File>(path, sync_for_real);
}
std::unique_ptr<Medium> memory_medium(std::string &bytes) { return std::make_unique<Memory>(bytes); }

} // namespace knotvane::store
