// What a trace of the front tells: what the decisions believed against what crossed the sockets. No
// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knotvane::http_gateway {

class Trace {
public:
    // A line of the log; one without a trace in it is passed over.
    void line(std::string_view text);
    // The figures, a line each.
    std::string report() const;

private:
    struct Attempts {
        std::vector<std::int64_t> over, connected,
            answer;            // us: since decided; of a new connection; first byte to last
        std::size_t begun = 0; // something came back
    };
    std::map<int, Attempts> attempts_; // by outcome
    std::vector<std::int64_t> late_, told_;
    std::map<std::int64_t, std::size_t> apart_; // counted out less open, how often
    std::size_t looks_ = 0, broken_ = 0;
};

} // namespace knotvane::http_gateway
