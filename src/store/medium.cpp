#include "store/medium.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <unistd.h>

namespace knotvane::store {
namespace {

constexpr mode_t file_mode = 0644;

class FileMedium final : public Medium {
public:
    FileMedium(const std::string &path, bool is_durable) : path_(path), is_durable_(is_durable) {
        fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
        if (fd_ < 0)
            throw_errno("can't be opened");
    }
    ~FileMedium() override { ::close(fd_); }
    FileMedium(const FileMedium &) = delete;
    FileMedium &operator=(const FileMedium &) = delete;

    void read(std::uint64_t offset, char *to, std::size_t size) override {
        while (size > 0) {
            ssize_t count = ::pread(fd_, to, size, static_cast<off_t>(offset));
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                throw_errno("can't be read");
            if (count == 0) {
                std::memset(to, 0, size); // past the end of the file: zeroes
                return;
            }
            to += count;
            offset += static_cast<std::uint64_t>(count);
            size -= static_cast<std::size_t>(count);
        }
    }

    void write(std::uint64_t offset, std::string_view bytes) override {
        while (!bytes.empty()) {
            ssize_t count = ::pwrite(fd_, bytes.data(), bytes.size(), static_cast<off_t>(offset));
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                throw_errno("can't be written");
            offset += static_cast<std::uint64_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    void sync() override {
        if (is_durable_ && ::fdatasync(fd_) != 0)
            throw_errno("can't be synced to disk");
    }

private:
    [[noreturn]] void throw_errno(const char *failure) {
        throw StoreError(StoreError::Kind::medium,
                         "store file " + path_ + " " + failure + ": " + std::strerror(errno));
    }

    std::string path_;
    bool is_durable_;
    int fd_ = -1;
};

class MemoryMedium final : public Medium {
public:
    explicit MemoryMedium(std::string &bytes) : bytes_(bytes) {}

    void read(std::uint64_t offset, char *to, std::size_t size) override {
        std::memset(to, 0, size);
        if (offset < bytes_.size())
            std::memcpy(to, bytes_.data() + offset, std::min(size, bytes_.size() - offset));
    }

    void write(std::uint64_t offset, std::string_view bytes) override {
        if (offset + bytes.size() > bytes_.size())
            bytes_.resize(offset + bytes.size());
        std::memcpy(bytes_.data() + offset, bytes.data(), bytes.size());
    }

    void sync() override {}

private:
    std::string &bytes_;
};

class OverlayMedium final : public Medium {
public:
    explicit OverlayMedium(Medium &below) : below_(below) {}

    void read(std::uint64_t offset, char *to, std::size_t size) override {
        for_each_page(offset, size,
                      [&](std::uint64_t page, std::size_t offset_in_page, std::size_t count) {
                          auto it = pages_.find(page);
                          if (it == pages_.end())
                              below_.read(page * page_size + offset_in_page, to, count);
                          else
                              std::memcpy(to, it->second.data() + offset_in_page, count);
                          to += count;
                      });
    }

    void write(std::uint64_t offset, std::string_view bytes) override {
        for_each_page(offset, bytes.size(),
                      [&](std::uint64_t page, std::size_t offset_in_page, std::size_t count) {
                          auto [it, is_new] = pages_.try_emplace(page, page_size, '\0');
                          if (is_new)
                              below_.read(page * page_size, it->second.data(), page_size);
                          std::memcpy(it->second.data() + offset_in_page, bytes.data(), count);
                          bytes.remove_prefix(count);
                      });
    }

    void sync() override {}

private:
    static constexpr std::size_t page_size = 4096;

    // Calls `visit(page number, offset in the page, byte count)` for each page of a range, in
    // order.
    template <class Visit>
    static void for_each_page(std::uint64_t offset, std::size_t size, Visit visit) {
        while (size > 0) {
            auto offset_in_page = static_cast<std::size_t>(offset % page_size);
            auto count = std::min(size, page_size - offset_in_page);
            visit(offset / page_size, offset_in_page, count);
            offset += count;
            size -= count;
        }
    }

    Medium &below_;
    std::map<std::uint64_t, std::string> pages_; // pages written so far, by page number
};

} // namespace

std::unique_ptr<Medium> file_medium(const std::string &path, bool is_durable) {
    return std::make_unique<FileMedium>(path, is_durable);
}

std::unique_ptr<Medium> overlay_medium(Medium &below) {
    return std::make_unique<OverlayMedium>(below);
}

std::unique_ptr<Medium> memory_medium(std::string &bytes) {
    return std::make_unique<MemoryMedium>(bytes);
}

} // namespace knotvane::store
