// Reads little-endian fields out of a run of bytes. A field past the end of a record counts as
// absent and reads as zero; one that is cut in two is malformed.
#pragma once

#include <cmath>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

#include "common/time.hpp"

namespace knotvane::scheduler_setup {

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}

    bool empty() const { return rest_.empty(); }

    template <class T>
    T get(const char *what) {
        if (rest_.empty())
            return T{};
        return load<T>(take(sizeof(T), what));
    }

    // A field that may not be absent.
    template <class T>
    T need(const char *what) {
        return load<T>(take(sizeof(T), what));
    }

    std::string_view take(std::size_t n, const char *what) {
        if (n > rest_.size())
            throw Malformed(std::string(what) + ": " + std::to_string(n) + " bytes wanted, " +
                            std::to_string(rest_.size()) + " left");
        auto taken = rest_.substr(0, n);
        rest_.remove_prefix(n);
        return taken;
    }

    // Four bytes of address, first byte first, and a port; kept as one number.
    std::uint64_t address(const char *what) {
        auto bytes = take(6, what);
        std::uint64_t v = 0;
        std::memcpy(&v, bytes.data(), 6);
        return v;
    }

    Time time(const char *what) { return to_time(get<double>(what), what); }

    // Seconds to nanoseconds, at the whole microseconds that the other end counts in.
    static Time to_time(double s, const char *what) {
        if (!std::isfinite(s) || std::abs(s) > 9e9)
            throw Malformed(std::string(what) + ": not a time");
        return static_cast<Time>(std::llround(s * 1e6)) * us;
    }

private:
    template <class T>
    static T load(std::string_view bytes) {
        static_assert(std::is_arithmetic_v<T>);
        T v{};
        std::memcpy(&v, bytes.data(), sizeof(T));
        return v;
    }

    std::string_view rest_;
};

} // namespace knotvane::scheduler_setup
