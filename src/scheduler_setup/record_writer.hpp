// Appends records of little-endian fields to a run of bytes.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "common/time.hpp"

namespace knotvane::scheduler_setup {

class Record {
public:
    Record(std::string &out, std::uint16_t code) : out_(out) {
        put(code);
        at_ = out_.size();
        put(std::uint32_t{0});
    }
    ~Record() {
        auto n = static_cast<std::uint32_t>(out_.size() - at_ - 4);
        std::memcpy(out_.data() + at_, &n, 4);
    }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    template <class T>
    Record &put(T v) {
        char bytes[sizeof(T)];
        std::memcpy(bytes, &v, sizeof(T));
        out_.append(bytes, sizeof(T));
        return *this;
    }
    Record &time(Time t) { return put(seconds(t)); }
    Record &address(std::uint64_t node) {
        char bytes[6];
        std::memcpy(bytes, &node, 6);
        out_.append(bytes, 6);
        return *this;
    }
    // At most what the count of two bytes can tell.
    Record &text(std::string_view s) {
        s = s.substr(0, 65535);
        put(static_cast<std::uint16_t>(s.size()));
        out_.append(s);
        return *this;
    }

private:
    std::string &out_;
    std::size_t at_ = 0;
};

} // namespace knotvane::scheduler_setup
